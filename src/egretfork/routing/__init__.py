"""Routing of datagrams to services, buckets and targets."""
