"""Timer service with one wake-up for many deadlines."""

import asyncio
from collections.abc import Callable
import heapq
import itertools
import math
import time

# Callbacks run up to one tick late, which saves one timer per request.
TICK_S = 0.02


class Deadline:
    """A callback at a point in time; cancelling it costs nothing."""

    __slots__ = ('callback',)

    def __init__(self, callback: Callable[[], None] | None) -> None:
        self.callback = callback

    def cancel(self) -> None:
        """Remove the callback."""
        self.callback = None


class TimerService:
    """Calls subscribers back, at a deadline or periodically.

    Args:
        on_error: Called with the name and the error of a failing callback.
    """

    def __init__(self, on_error: Callable[[str, Exception], None]) -> None:
        self._on_error = on_error
        self._loop = asyncio.get_running_loop()
        self._heap: list[tuple[float, int, Deadline]] = []
        self._order = itertools.count()
        self._handle: asyncio.TimerHandle | None = None
        # When the loop will wake this service; infinite if it won't.
        self._armed_for = math.inf
        self._stopped = False

    @staticmethod
    def now() -> float:
        """Return monotonic seconds."""
        return time.monotonic()

    def at(self, when: float, callback: Callable[[], None]) -> Deadline:
        """Call back once, up to a tick after a monotonic time."""
        deadline = Deadline(callback)
        heapq.heappush(self._heap, (when, next(self._order), deadline))
        if when + TICK_S < self._armed_for:
            self._arm(when)
        return deadline

    def every(
        self, period_s: float, callback: Callable[[], None], *, name: str
    ) -> Deadline:
        """Call back periodically until the subscription is cancelled."""
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
        """Make no more calls."""
        self._stopped = True
        if self._handle is not None:
            self._handle.cancel()

    def _arm(self, when: float) -> None:
        """Wake up for a deadline, at the earliest a tick from now."""
        if self._stopped:
            return
        if self._handle is not None:
            self._handle.cancel()
        wait_s = max(TICK_S, when - self.now())
        self._armed_for = self.now() + wait_s
        self._handle = self._loop.call_later(wait_s, self._tick)

    def _tick(self) -> None:
        # Callbacks that subscribe must not arm the timer one by one.
        self._armed_for = -math.inf
        self._handle = None
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
        self._armed_for = math.inf
        if heap:
            self._arm(heap[0][0])
