"""Recorded traces."""
