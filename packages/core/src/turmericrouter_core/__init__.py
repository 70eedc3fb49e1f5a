"""Decision logic of turmericrouter, which does no input or output."""
