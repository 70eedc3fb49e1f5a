"""System clock and timer service."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import inspect
import random
import time

import structlog

from turmericrouter_core.clock import Subscription

Callback = Callable[[], Awaitable[None] | None]


class SystemClock:
    """The clocks of the operating system."""

    def monotonic(self) -> float:
        """Return seconds from a clock that never goes back."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()


class _TaskSubscription:
    """Subscription whose callback runs in its own task."""

    def __init__(self, task: asyncio.Task[None]) -> None:
        self._task = task

    def cancel(self) -> None:
        self._task.cancel()


class TimerService:
    """Schedules callbacks.

    An exception in a callback is logged and does not stop the timer.

    Args:
        log: Logger for failed callbacks.
        rng: Random generator for the jitter.
    """

    def __init__(
        self, log: structlog.typing.FilteringBoundLogger, rng: random.Random
    ) -> None:
        self._log = log
        self._rng = rng
        self._tasks: set[asyncio.Task[None]] = set()

    def every(
        self,
        period_s: float,
        callback: Callback,
        *,
        name: str,
        jitter: float = 0.1,
    ) -> Subscription:
        """Call back periodically, see `Timers.every`."""
        return self._start_task(self._repeat(period_s, callback, name, jitter))

    def after(
        self, delay_s: float, callback: Callback, *, name: str
    ) -> Subscription:
        """Call back once after a delay in seconds."""
        return self._start_task(self._once(delay_s, callback, name))

    async def close(self) -> None:
        """Cancel all subscriptions."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _start_task(self, work: Awaitable[None]) -> Subscription:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return _TaskSubscription(task)

    async def _repeat(
        self, period_s: float, callback: Callback, name: str, jitter: float
    ) -> None:
        while True:
            wait_s = period_s * (1 + jitter * (self._rng.random() - 0.5))
            await asyncio.sleep(wait_s)
            await self._call(callback, name)

    async def _once(
        self, delay_s: float, callback: Callback, name: str
    ) -> None:
        await asyncio.sleep(delay_s)
        await self._call(callback, name)

    async def _call(self, callback: Callback, name: str) -> None:
        try:
            result = callback()
            if inspect.isawaitable(result):
                await result
        except Exception as error:
            self._log.error('timer_failed', timer=name, error=repr(error))
