"""Protocols of clocks and of the timer service."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Protocol


class Clock(Protocol):
    """Source of time for the core; the daemon and the tests provide one."""

    def monotonic(self) -> float:
        """Return the seconds of a clock that never goes backwards."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""


class Subscription(Protocol):
    """A subscription to a timer."""

    def cancel(self) -> None:
        """Cancel future calls; a running call is not interrupted."""


class Timers(Protocol):
    """Timer service for the components of a daemon."""

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
            name: Name that is logged when the callback fails.
            jitter: Width of the random range of the waits, which is centred
                on the period, as a fraction of the period.
        """

    def after(
        self,
        delay_s: float,
        callback: Callable[[], Awaitable[None] | None],
        *,
        name: str,
    ) -> Subscription:
        """Call back once after a delay in seconds."""
