"""Agent daemon of a target: owns flows, requests and run records."""
