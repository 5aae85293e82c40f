"""Layer-4 load balancer for long sessions and at-most-once work."""

__version__ = "0.1.0"
