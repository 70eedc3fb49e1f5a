"""Operator library and the turmericctl command."""
