"""Which new requests a daemon takes."""

import enum


class Intake(enum.Enum):
    """Which new requests a daemon takes; the others are refused unsent."""

    OPEN = 'open'
    LOCAL_ONLY = 'local-only'
    CLOSED = 'closed'

    def takes(self, is_local: bool) -> bool:
        """Return whether a request is taken.

        Args:
            is_local: Whether the local target makes the request or, at the
                gate, whether it entered at this host.
        """
        return self is Intake.OPEN or (self is Intake.LOCAL_ONLY and is_local)
