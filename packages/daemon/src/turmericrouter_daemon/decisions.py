"""Log of routing decisions, which keeps recent ones for `explain`."""

import collections

from turmericrouter_daemon.logs import Log

DEFAULT_CAPACITY = 4096


class DecisionLog:
    """Logs decisions and keeps the most recent ones in memory.

    Args:
        log: Logger of the process.
        enabled: Whether to write log lines; decisions are kept regardless.
        capacity: Number of decisions to keep.
    """

    def __init__(
        self,
        log: Log,
        *,
        enabled: bool = True,
        capacity: int = DEFAULT_CAPACITY,
    ) -> None:
        self._log = log
        self._enabled = enabled
        self._recent: collections.deque[tuple[str, dict[str, object]]] = (
            collections.deque(maxlen=capacity)
        )

    def record(self, event: str, **fields: object) -> None:
        """Record a decision.

        Args:
            event: Name of the log event.
            **fields: Pairs of the log line; `request_id` is among them.
        """
        self._recent.append((event, fields))
        if self._enabled:
            self._log.info(event, **fields)

    def explain(self, request_id: str) -> list[tuple[str, dict[str, object]]]:
        """Return the decisions on a request, oldest first."""
        return [
            (event, fields)
            for event, fields in self._recent
            if fields.get('request_id') == request_id
        ]
