"""Clients of the log service and of the daemon admin interface."""
