"""Tests of the forwarding of passed-through flows."""
