"""Interface for reports of requests in flight when a target crashes."""

from collections.abc import Sequence
from typing import Protocol

from turmericrouter_core.messages import Dispatch


class CrashReporter(Protocol):
    """Records crashes and successes and blocks poison requests."""

    def record_crash(
        self, messages: Sequence[Dispatch], crash_id: str
    ) -> None:
        """Record requests whose connection broke.

        Args:
            messages: Requests in flight; one crash may be reported in parts.
            crash_id: The same for all requests of one crash.
        """

    def record_success(self, message: Dispatch) -> None:
        """Record a request that received a complete answer."""

    def is_message_blocked(self, message: Dispatch) -> bool:
        """Return whether a request has caused too many crashes."""
