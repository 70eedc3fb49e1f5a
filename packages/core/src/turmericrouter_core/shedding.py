"""Admission levels: shed by importance, then by request hash."""

import dataclasses

from turmericrouter_core.identity import HASH_BUCKETS
from turmericrouter_core.messages import Level
from turmericrouter_core.verdict import Importance

_TOP = len(Importance) * HASH_BUCKETS
# An eighth of the most important requests passes in any case: without
# any answer nobody would learn that the overload has ended.
_FLOOR = HASH_BUCKETS // 8
# Arrivals are remembered over a few windows, since one window of a slow
# target holds too few to tell buckets apart.
_MEMORY = 0.7
# A cut leaves this share of what was started, so that the queue drains.
_DRAIN_SHARE = 0.95
_LARGEST_CUT = 0.5
_FIRST_STEP = 4
# A window that starts less than this share of what overloaded windows have
# started shows slots that stand idle.
_IDLE_SHARE = 0.5
# What overloaded windows start is remembered with this factor, so that a
# target that has become slower is known to be.
_CAPACITY_MEMORY = 0.9
# This many windows without overload raise any level to the top.
_FULL_RECOVERY_WINDOWS = 16


def passes(level: Level, importance: Importance, bucket: int) -> bool:
    """Return whether a request is below an admission level.

    Args:
        level: Level of a gate.
        importance: Importance of the request.
        bucket: Shedding bucket of the top-level request, 0 to 127.
    """
    return (importance, bucket) < (level.importance, level.bucket)


@dataclasses.dataclass(frozen=True, slots=True)
class LevelSettings:
    """Windows of the controller.

    Args:
        window_s: Seconds for which a level stands.
        delay_target_s: Mean queue delay that counts as overload.
    """

    window_s: float = 0.1
    delay_target_s: float = 0.02


class LevelController:
    """Moves the admission level once per window.

    The level falls when the queue was never empty during a window and its
    delay was above the target, or requests did not fit into it. It also
    falls when in two windows in a row more requests did not fit than were
    started, as a short queue empties whenever several slots end together.
    The cut is sized by the arrivals per importance and bucket; nothing is
    cut while fewer requests pass than are started. In every other window
    the level rises, by steps that double. While far fewer requests start
    than under overload it rises in proportion, as if requests were spread
    evenly over importance and bucket; steps that double from a small first
    one leave slots idle for more than a second.

    Args:
        settings: Windows of the controller.
        now: Monotonic seconds.
    """

    def __init__(self, settings: LevelSettings, now: float) -> None:
        self._settings = settings
        self._index = _TOP
        self._level = Level()
        self._window_end = now + settings.window_s
        self._step = _FIRST_STEP
        self._arrivals = [0.0] * _TOP
        self._starts = 0.0
        self._capacity = 0.0
        self._mostly_overflowed = False
        self._reset()

    def level(self, now: float) -> Level:
        """Return the level in force."""
        if now >= self._window_end:
            self._close_windows(now)
        return self._level

    def arrived(
        self, now: float, importance: Importance, bucket: int, queued: int
    ) -> bool:
        """Count a request and return whether it passes.

        Args:
            now: Monotonic seconds.
            importance: Importance of the request.
            bucket: Shedding bucket of the request.
            queued: Requests that wait at this moment.
        """
        if now >= self._window_end:
            self._close_windows(now)
        index = importance * HASH_BUCKETS + bucket
        self._arrivals[index] += 1
        self._arrived = True
        if not queued:
            self._was_empty = True
        return index < self._index

    def started(self, now: float, delay_s: float, queued: int) -> None:
        """Count a request that starts.

        Args:
            now: Monotonic seconds.
            delay_s: Seconds that it has waited.
            queued: Requests that still wait.
        """
        if now >= self._window_end:
            self._close_windows(now)
        self._starts += 1
        self._window_starts += 1
        self._delay_sum_s += delay_s
        self._departures += 1
        if not queued:
            self._was_empty = True

    def overflowed(self, now: float, delay_s: float) -> None:
        """Count a request that did not fit into the queue or left it late."""
        if now >= self._window_end:
            self._close_windows(now)
        self._overflows += 1
        self._delay_sum_s += delay_s
        self._departures += 1

    def _close_windows(self, now: float) -> None:
        if self._is_overloaded():
            self._capacity = max(
                self._capacity * _CAPACITY_MEMORY, self._window_starts
            )
            self._cut()
            self._step = _FIRST_STEP
        else:
            self._raise()
        passed = int((now - self._window_end) / self._settings.window_s)
        # Windows without any request pass unnoticed until the next one.
        for _ in range(min(passed, _FULL_RECOVERY_WINDOWS)):
            self._raise()
        self._window_end += (passed + 1) * self._settings.window_s
        if self._arrived:
            self._arrivals = [count * _MEMORY for count in self._arrivals]
            self._starts *= _MEMORY
        self._level = Level(*divmod(self._index, HASH_BUCKETS))
        self._reset()

    def _is_overloaded(self) -> bool:
        overflowed_before = self._mostly_overflowed
        self._mostly_overflowed = self._overflows > self._window_starts
        if self._mostly_overflowed and overflowed_before:
            return True
        if not self._departures or self._was_empty:
            return False
        mean_s = self._delay_sum_s / self._departures
        return self._overflows > 0 or mean_s > self._settings.delay_target_s

    def _cut(self) -> None:
        admitted = sum(self._arrivals[: self._index])
        goal = max(_DRAIN_SHARE * self._starts, _LARGEST_CUT * admitted)
        index = self._index
        while index > _FLOOR and admitted > goal:
            index -= 1
            admitted -= self._arrivals[index]
        self._index = index

    def _raise(self) -> None:
        if self._index < _TOP:
            step = max(self._step, self._idle_step())
            self._index = min(_TOP, self._index + step)
            self._step = min(self._step * 2, _TOP)

    def _idle_step(self) -> int:
        """Return the step that would use the slots that stand idle."""
        starts = max(self._window_starts, 1)
        if starts >= _IDLE_SHARE * self._capacity:
            return 0
        return int(self._index * (self._capacity / starts - 1))

    def _reset(self) -> None:
        self._was_empty = False
        self._arrived = False
        self._overflows = 0
        self._window_starts = 0
        self._departures = 0
        self._delay_sum_s = 0.0
