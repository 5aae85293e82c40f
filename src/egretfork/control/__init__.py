"""Control daemon: replicates configurations through a Raft log."""
