"""Reports that the log has returned from an older copy."""

from collections.abc import Callable
import time

from turmericrouter_dataplane.decision_log import DecisionLog
from turmericrouter_dataplane.policy.log_era import LogEra

# After a return of the log, hosts need up to this time to learn of it from
# peers and to write their records again, also in a large or a busy fleet.
_REPAIR_S = 60.0


class EraWatch:
    """Collects the eras that the log and the peers report.

    Args:
        era: Newest known era of the log.
        log: Decision log.
    """

    def __init__(self, era: LogEra, log: DecisionLog) -> None:
        self._era = era
        self._log = log
        self._risen_at = -_REPAIR_S
        # Called after each rise, with whether the log itself reported it.
        self.on_rise: Callable[[bool], None] = lambda is_from_log: None

    @property
    def current(self) -> int:
        """Return the newest known era of the log."""
        return self._era.current

    @property
    def is_repairing(self) -> bool:
        """Return whether the log may still lack records of hosts."""
        return time.monotonic() - self._risen_at < _REPAIR_S

    def observe_log(self, era: int) -> None:
        """Handle the era of an answer of the log."""
        self._observe(era, is_from_log=True)

    def observe_peer(self, era: int) -> None:
        """Handle the era that a peer reports."""
        self._observe(era, is_from_log=False)

    def _observe(self, era: int, *, is_from_log: bool) -> None:
        before = self._era.current
        if not self._era.observe(era):
            return
        self._risen_at = time.monotonic()
        self._log.event(
            'log_era_risen',
            before=before,
            era=era,
            source='log' if is_from_log else 'peer',
        )
        self.on_rise(is_from_log)
