"""Who is told of requests that were at the target when it crashed."""

from collections.abc import Sequence
from typing import Protocol

from turmericrouter_core.messages import Dispatch


class CrashReporter(Protocol):
    """Is told of crashes and successes and names who may not run."""

    def crashed(self, messages: Sequence[Dispatch], crash_id: str) -> None:
        """Record requests whose connection broke.

        Args:
            messages: Requests in flight; one crash may be told in parts.
            crash_id: The same for all requests of one crash.
        """

    def succeeded(self, message: Dispatch) -> None:
        """Record a request that got a whole answer."""

    def blocks(self, message: Dispatch) -> bool:
        """Return whether a request has crashed targets too often."""
