"""Decisions of the request path, without input or output."""
