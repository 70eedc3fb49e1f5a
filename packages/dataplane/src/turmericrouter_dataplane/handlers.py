"""Request handlers for readiness, metrics and announcements."""

from collections.abc import Callable

from turmericrouter_dataplane.announcements import Announcements
from turmericrouter_dataplane.announcements import InvalidAnnouncement
from turmericrouter_dataplane.announcements import TargetDeparture
from turmericrouter_dataplane.decision_log import DecisionLog
from turmericrouter_dataplane.http_server import HttpRequest
from turmericrouter_dataplane.http_server import status_line
from turmericrouter_dataplane.local_target import LocalTarget

AnnouncementDecoder = Callable[
    [HttpRequest], LocalTarget | TargetDeparture | InvalidAnnouncement
]


class _ImmediateHandler:
    """Base of handlers that answer at once."""

    def abandon(self, request: HttpRequest) -> None:
        """Do nothing; the request has been answered."""


class ReadyHandler(_ImmediateHandler):
    """Answers the readiness check.

    Args:
        is_ready: Returns whether callers may be sent here.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def handle(self, request: HttpRequest) -> None:
        """Answer 200 or 503."""
        status = 200 if self._is_ready() else 503
        request.connection.respond(request, status_line(status), b'')


class MetricsHandler(_ImmediateHandler):
    """Serves the metrics.

    Args:
        render: Returns the metrics as text.
    """

    def __init__(self, render: Callable[[], bytes]) -> None:
        self._render = render

    def handle(self, request: HttpRequest) -> None:
        """Answer with all metrics, whatever the path."""
        request.connection.respond(request, status_line(200), self._render())


class AnnouncementHandler(_ImmediateHandler):
    """Takes announcements of the local target.

    Args:
        decode: Reads a request.
        announcements: Keeps the newest announcement.
        log: Decision log.
    """

    def __init__(
        self,
        decode: AnnouncementDecoder,
        announcements: Announcements,
        log: DecisionLog,
    ) -> None:
        self._decode = decode
        self._announcements = announcements
        self._log = log

    def handle(self, request: HttpRequest) -> None:
        """Acknowledge valid announcements, and refuse others."""
        message = self._decode(request)
        status = 200
        if isinstance(message, LocalTarget):
            self._announcements.handle_announcement(message)
        elif isinstance(message, TargetDeparture):
            self._announcements.handle_departure(message)
        else:
            status = 400
            self._log.decision('announcement_ignored', why=message.why)
        head = status_line(status) + b'Content-Type: application/json\r\n'
        request.connection.respond(request, head, b'{}')
