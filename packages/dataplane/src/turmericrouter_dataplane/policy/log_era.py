"""Decides what follows from the era of the log.

A log that returns from an older copy has lost its newest records and gives
their offsets out again. Its era rises by one each time, so offsets and
acknowledgements hold only within the era that they come from.
"""

import dataclasses

UNKNOWN_ERA = -1


@dataclasses.dataclass(frozen=True, slots=True)
class LogPosition:
    """An offset and the era in which it was given out."""

    offset: int
    era: int


class LogEra:
    """The newest era of the log that this host knows of."""

    def __init__(self) -> None:
        self._current = UNKNOWN_ERA

    @property
    def current(self) -> int:
        """Return the newest known era, or `UNKNOWN_ERA`."""
        return self._current

    def observe(self, era: int) -> bool:
        """Record an era that the log or a peer has reported.

        Returns:
            Whether it is newer than a known one, so that records may be lost.
        """
        if era <= self._current:
            return False
        before, self._current = self._current, era
        return before != UNKNOWN_ERA

    def resolve(self, era: int) -> int:
        """Return the era of an answer; one that names none has the newest."""
        return max(self._current, 0) if era == UNKNOWN_ERA else era

    def is_stale(self, era: int) -> bool:
        """Return whether an answer of this era was made before a loss."""
        return self.resolve(era) < self._current

    def holds(self, position: LogPosition) -> bool:
        """Return whether an offset can still be read from."""
        return position.era == max(self._current, 0)
