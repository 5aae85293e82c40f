"""Tests of control and the operators client."""
