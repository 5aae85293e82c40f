"""Tests of egretfork."""
