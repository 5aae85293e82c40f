"""Tests of passed-through flows."""
