"""Timer service with one wake-up for many deadlines."""

import asyncio
from collections.abc import Callable
import heapq
import itertools
import math
import time

# Callbacks run up to one tick late, so that one event loop timer serves many
# requests.
TICK_S = 0.02


class Deadline:
    """A scheduled callback; cancelling it leaves the heap unchanged."""

    __slots__ = ('callback',)

    def __init__(self, callback: Callable[[], None] | None) -> None:
        self.callback = callback

    def cancel(self) -> None:
        """Drop the callback, so that it is not called."""
        self.callback = None


class TimerService:
    """Runs callbacks at a deadline or periodically.

    Args:
        on_error: Called with the name and the error of a failing callback.
    """

    def __init__(self, on_error: Callable[[str, Exception], None]) -> None:
        self._on_error = on_error
        self._loop = asyncio.get_running_loop()
        self._heap: list[tuple[float, int, Deadline]] = []
        self._sequence = itertools.count()
        self._timer_handle: asyncio.TimerHandle | None = None
        # Time of the next wake-up; infinite if none is scheduled.
        self._wake_up_at = math.inf
        self._stopped = False

    @staticmethod
    def now() -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def at(self, when: float, callback: Callable[[], None]) -> Deadline:
        """Run a callback once, up to a tick after a monotonic time."""
        deadline = Deadline(callback)
        heapq.heappush(self._heap, (when, next(self._sequence), deadline))
        if when + TICK_S < self._wake_up_at:
            self._arm(when)
        return deadline

    def every(
        self, period_s: float, callback: Callable[[], None], *, name: str
    ) -> Deadline:
        """Run a callback periodically until its deadline is cancelled.

        The period runs from the end of one call to the start of the next.
        """
        subscription = Deadline(callback)

        def repeat() -> None:
            if subscription.callback is None or self._stopped:
                return
            try:
                subscription.callback()
            except Exception as error:
                self._on_error(name, error)
            self.at(self.now() + period_s, repeat)

        self.at(self.now() + period_s, repeat)
        return subscription

    def stop(self) -> None:
        """Cancel the pending wake-up and schedule no more."""
        self._stopped = True
        if self._timer_handle is not None:
            self._timer_handle.cancel()

    def _arm(self, when: float) -> None:
        """Schedule the wake-up for a deadline, at least a tick ahead."""
        if self._stopped:
            return
        if self._timer_handle is not None:
            self._timer_handle.cancel()
        wait_s = max(TICK_S, when - self.now())
        self._wake_up_at = self.now() + wait_s
        self._timer_handle = self._loop.call_later(wait_s, self._tick)

    def _tick(self) -> None:
        # Deadlines that callbacks add must not arm the timer one by one; it is
        # armed once at the end.
        self._wake_up_at = -math.inf
        self._timer_handle = None
        heap = self._heap
        now = self.now()
        while heap and (heap[0][0] <= now or heap[0][2].callback is None):
            callback = heapq.heappop(heap)[2].callback
            if callback is None:
                continue
            try:
                callback()
            except Exception as error:
                self._on_error('deadline', error)
        self._wake_up_at = math.inf
        if heap:
            self._arm(heap[0][0])
