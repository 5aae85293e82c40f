"""Gossip protocol for configuration and membership."""
