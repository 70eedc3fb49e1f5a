"""Request path between callers, daemons and the target of each host."""
