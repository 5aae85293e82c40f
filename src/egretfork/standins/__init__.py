"""Simulated fabric, targets and callers for the demo and the tests."""
