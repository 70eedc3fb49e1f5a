"""The turmericrouter daemon."""
