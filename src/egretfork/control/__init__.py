"""Daemon of a control VM: replicated log of configurations."""
