"""Which new requests a daemon takes."""

import enum


class Intake(enum.Enum):
    """Which new requests a daemon takes; the others are refused unsent."""

    OPEN = 'open'
    NESTED_ONLY = 'nested-only'
    CLOSED = 'closed'

    def takes(self, is_nested: bool) -> bool:
        """Return whether a request is taken.

        Args:
            is_nested: Whether a target makes the request.
        """
        return self is Intake.OPEN or (
            self is Intake.NESTED_ONLY and is_nested
        )
