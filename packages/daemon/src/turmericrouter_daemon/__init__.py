"""Daemon that admits, routes and forwards requests on each host."""
