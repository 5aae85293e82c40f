"""Dissemination of configuration and membership between nodes."""
