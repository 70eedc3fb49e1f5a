"""Protocols for time: clocks and the timer service."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Protocol


class Clock(Protocol):
    """Source of time for the core; the daemon and the tests provide one."""

    def monotonic(self) -> float:
        """Return seconds from a clock that never goes back."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""


class Subscription(Protocol):
    """A subscription to a timer."""

    def cancel(self) -> None:
        """Stop the calls; a call that is running is not interrupted."""


class Timers(Protocol):
    """Timer service that the parts of a daemon subscribe to."""

    def every(
        self,
        period_s: float,
        callback: Callable[[], Awaitable[None] | None],
        *,
        name: str,
        jitter: float = 0.1,
    ) -> Subscription:
        """Call back periodically.

        Args:
            period_s: Seconds between two calls.
            callback: Function or coroutine function without arguments.
            name: Name in logs when the callback fails.
            jitter: Random share of the period that each wait varies by.
        """

    def after(
        self,
        delay_s: float,
        callback: Callable[[], Awaitable[None] | None],
        *,
        name: str,
    ) -> Subscription:
        """Call back once after a delay in seconds."""
