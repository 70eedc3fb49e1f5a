"""Decisions of turmericrouter, without input or output."""
