"""Daemon of an entry VM: forwards datagrams to agents."""
