"""Flows of any connection protocol, whose content only the two ends read."""
