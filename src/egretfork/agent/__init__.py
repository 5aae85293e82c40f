"""Daemon beside a target: owns flows, requests and run records."""
