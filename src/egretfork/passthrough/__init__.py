"""Forwarding of flows whose payload the proxies cannot read."""
