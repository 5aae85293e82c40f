"""Benchmarks and simulations."""
