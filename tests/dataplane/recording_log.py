"""A decision log that the tests of the request path read."""

from typing import Any


class RecordingLog:
    """Records events with their fields."""

    def __init__(self) -> None:
        self.events: list[tuple[str, dict[str, Any]]] = []

    def event(self, event: str, **fields: Any) -> None:
        self.events.append((event, fields))
