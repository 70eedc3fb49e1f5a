"""Decides what follows from the era of the log.

A log that returns from an older copy has lost its newest records and gives
their offsets out again. Its era rises by one each time, so offsets and
acknowledgements hold only within the era that they come from.
"""

from collections.abc import Iterable
import dataclasses

# Era of an answer that names none, and of the log before any answer named one.
# It is part of the frames: their era has this value if the sender, which may
# be an older daemon, knows none.
UNKNOWN_ERA = -1
# Era of a log that names none in its answers, or that has lost nothing yet.
_FIRST_ERA = 0
# A host that is cut off from the log cannot write its record again. Without a
# record it is kept for this long, which outlasts partitions.
_LOST_RECORD_GRACE_S = 600.0


@dataclasses.dataclass(frozen=True, slots=True)
class LogPosition:
    """An offset and the era in which it was given out."""

    offset: int
    era: int


class RecordedHosts:
    """The hosts whose records the log has held since it last lost any."""

    def __init__(self) -> None:
        self._names: frozenset[str] = frozenset()
        self._era = UNKNOWN_ERA
        self._since = 0.0

    def find_removed(
        self,
        present: frozenset[str],
        era: int,
        silent: Iterable[str],
        now: float,
    ) -> list[str]:
        """Return the silent hosts whose records have been removed.

        A record that the log of a later era has not held may have been lost
        with the return, and its host may be cut off with its whole failure
        domain. Forgetting it would let a minority count as a majority.

        Args:
            present: Hosts whose records the log holds.
            era: Era of the log.
            silent: Hosts that have sent nothing for a while.
            now: Monotonic seconds.
        """
        if era != self._era:
            self._names, self._era, self._since = frozenset(), era, now
        may_be_lost = (
            era > _FIRST_ERA and now - self._since < _LOST_RECORD_GRACE_S
        )
        removed = [
            host
            for host in silent
            if host not in present and (host in self._names or not may_be_lost)
        ]
        self._names |= present
        return removed


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
        return max(self._current, _FIRST_ERA) if era == UNKNOWN_ERA else era

    def is_stale(self, era: int) -> bool:
        """Return whether an answer of this era was made before a loss."""
        return self.resolve(era) < self._current

    def holds(self, position: LogPosition) -> bool:
        """Return whether an offset can still be read from."""
        return position.era == self.resolve(UNKNOWN_ERA)
