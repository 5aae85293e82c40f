"""Entry daemon: forwards callers' datagrams to agents."""
