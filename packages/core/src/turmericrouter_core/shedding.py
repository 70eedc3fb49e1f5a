"""Load shedding by admission level.

A gate, which admits the requests of a local target, refuses requests at or
above its level. The level orders requests by importance, then by a hash of
the request id.
"""

import dataclasses

from turmericrouter_core.identity import HASH_BUCKETS
from turmericrouter_core.messages import AdmissionLevel
from turmericrouter_core.verdict import Importance

_MAX_LEVEL_INDEX = len(Importance) * HASH_BUCKETS
# An eighth of the most important requests always passes. Entries need their
# answers to detect the end of the overload.
_MIN_LEVEL_INDEX = HASH_BUCKETS // 8
# Decay of arrivals and starts per window. Arrivals are accumulated over a few
# windows, since one window of a slow target has too few per bucket.
_ARRIVAL_DECAY = 0.7
# A cut admits this fraction of the started requests, so that the queue
# drains.
_DRAIN_FRACTION = 0.95
_MIN_ADMITTED_FRACTION = 0.5
_INITIAL_STEP = 4
# Slots are idle in a window that starts less than this fraction of the
# requests started in overloaded windows.
_IDLE_FRACTION = 0.5
# Decay per overloaded window of the highest number of starts, so that it
# follows a target that has become slower.
_OVERLOAD_STARTS_DECAY = 0.9
# Windows without overload that raise any level to the maximum.
_FULL_RECOVERY_WINDOWS = 16


def is_admitted(
    level: AdmissionLevel, importance: Importance, bucket: int
) -> bool:
    """Return whether a request is below an admission level.

    Args:
        level: Level of a gate.
        importance: Importance of the request.
        bucket: Shedding bucket of the top-level request, 0 to 127.
    """
    return (importance, bucket) < (level.importance, level.bucket)


@dataclasses.dataclass(frozen=True, slots=True)
class LevelSettings:
    """Parameters of the level controller.

    Args:
        window_s: Seconds for which a level stays in force.
        delay_target_s: Mean queue delay above which the gate is overloaded.
    """

    window_s: float = 0.1
    delay_target_s: float = 0.02


class LevelController:
    """Adjusts the admission level once per window.

    The level falls if the queue was never empty during a window and either
    its mean delay was above the target or requests did not fit into it. It
    also falls if more requests did not fit than were started in two
    consecutive windows, because a short queue empties whenever several slots
    become free together.

    The cut is sized by the arrivals per importance and bucket. Nothing is
    cut while fewer requests pass than are started. In every other window the
    level rises by a step that doubles. While far fewer requests start than
    under overload, the level rises in proportion, assuming that requests are
    spread evenly over importance and bucket. Doubling alone, from a small
    initial step, leaves slots idle for more than a second.

    Args:
        settings: Parameters of the controller.
        now: Monotonic seconds.
    """

    def __init__(self, settings: LevelSettings, now: float) -> None:
        self._settings = settings
        self._level_index = _MAX_LEVEL_INDEX
        self._level = AdmissionLevel()
        self._window_end = now + settings.window_s
        self._step = _INITIAL_STEP
        self._arrivals = [0.0] * _MAX_LEVEL_INDEX
        self._recent_starts = 0.0
        self._overload_starts = 0.0
        self._overflows_exceed_starts = False
        self._reset()

    def level(self, now: float) -> AdmissionLevel:
        """Return the level in force."""
        if now >= self._window_end:
            self._close_windows(now)
        return self._level

    def record_arrival(
        self, now: float, importance: Importance, bucket: int, queued: int
    ) -> bool:
        """Count a request and return whether it passes.

        Args:
            now: Monotonic seconds.
            importance: Importance of the request.
            bucket: Shedding bucket of the request.
            queued: Number of waiting requests.
        """
        if now >= self._window_end:
            self._close_windows(now)
        index = importance * HASH_BUCKETS + bucket
        self._arrivals[index] += 1
        self._had_arrivals = True
        if not queued:
            self._was_empty = True
        return index < self._level_index

    def record_start(self, now: float, delay_s: float, queued: int) -> None:
        """Count a request that starts.

        Args:
            now: Monotonic seconds.
            delay_s: Seconds spent in the queue.
            queued: Number of requests that are still waiting.
        """
        if now >= self._window_end:
            self._close_windows(now)
        self._recent_starts += 1
        self._window_starts += 1
        self._delay_sum_s += delay_s
        self._departures += 1
        if not queued:
            self._was_empty = True

    def record_overflow(self, now: float, delay_s: float) -> None:
        """Count a request that did not fit into the queue or left it late.

        Args:
            now: Monotonic seconds.
            delay_s: Seconds spent in the queue.
        """
        if now >= self._window_end:
            self._close_windows(now)
        self._overflows += 1
        self._delay_sum_s += delay_s
        self._departures += 1

    def _close_windows(self, now: float) -> None:
        if self._is_overloaded():
            self._overload_starts = max(
                self._overload_starts * _OVERLOAD_STARTS_DECAY,
                self._window_starts,
            )
            self._cut()
            self._step = _INITIAL_STEP
        else:
            self._raise()
        elapsed = int((now - self._window_end) / self._settings.window_s)
        # Windows without requests are closed at the next call only.
        for _ in range(min(elapsed, _FULL_RECOVERY_WINDOWS)):
            self._raise()
        self._window_end += (elapsed + 1) * self._settings.window_s
        if self._had_arrivals:
            self._arrivals = [
                count * _ARRIVAL_DECAY for count in self._arrivals
            ]
            self._recent_starts *= _ARRIVAL_DECAY
        self._level = AdmissionLevel(*divmod(self._level_index, HASH_BUCKETS))
        self._reset()

    def _is_overloaded(self) -> bool:
        exceeded_before = self._overflows_exceed_starts
        self._overflows_exceed_starts = self._overflows > self._window_starts
        if self._overflows_exceed_starts and exceeded_before:
            return True
        if not self._departures or self._was_empty:
            return False
        mean_s = self._delay_sum_s / self._departures
        return self._overflows > 0 or mean_s > self._settings.delay_target_s

    def _cut(self) -> None:
        admitted = sum(self._arrivals[: self._level_index])
        goal = max(
            _DRAIN_FRACTION * self._recent_starts,
            _MIN_ADMITTED_FRACTION * admitted,
        )
        index = self._level_index
        while index > _MIN_LEVEL_INDEX and admitted > goal:
            index -= 1
            admitted -= self._arrivals[index]
        self._level_index = index

    def _raise(self) -> None:
        if self._level_index < _MAX_LEVEL_INDEX:
            step = max(self._step, self._idle_step())
            self._level_index = min(_MAX_LEVEL_INDEX, self._level_index + step)
            self._step = min(self._step * 2, _MAX_LEVEL_INDEX)

    def _idle_step(self) -> int:
        """Return the step that would fill the idle slots."""
        starts = max(self._window_starts, 1)
        if starts >= _IDLE_FRACTION * self._overload_starts:
            return 0
        return int(self._level_index * (self._overload_starts / starts - 1))

    def _reset(self) -> None:
        self._was_empty = False
        self._had_arrivals = False
        self._overflows = 0
        self._window_starts = 0
        self._departures = 0
        self._delay_sum_s = 0.0
