"""HTTP/1.1 server connection on the parser of httptools."""

import asyncio
from collections.abc import Callable
import http
import math
import time
from typing import cast
from typing import Protocol

import httptools

from turmericrouter_dataplane.fleet_config import CallerLimits

STATUS_LINES = {
    status.value: b'HTTP/1.1 %d %s\r\n'
    % (status.value, status.phrase.encode())
    for status in http.HTTPStatus
}
# Headers that describe one connection or the framing of its messages.
# They are never forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    {
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'content-length',
        b'upgrade',
    }
)
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_MAX_PIPELINED_REQUESTS = 64
# Closing a socket with unread bytes resets the connection, which may destroy
# the last answer before the caller has read it. A connection therefore reads
# on for this time after it has sent its last answer, or until the caller
# closes it.
_LINGER_S = 1.0
# A connection closes earlier once its caller has sent more than these bytes.
# The oldest one does when more than this number of them wait at one server.
_MAX_DISCARDED_BYTES = 8 * 1024 * 1024
_MAX_LINGERING_CONNECTIONS = 256

Headers = list[tuple[bytes, bytes, bytes]]


class HttpRequest:
    """A complete request as received.

    Args:
        method: Method, as sent.
        target: Request target (path and query), as sent.
        headers: Lower-case name, name as sent, and value of each header.
        body: Complete body without transfer coding.
        has_body: Whether the request announced a body, even an empty one.
        close: Whether the connection closes after the answer.
    """

    __slots__ = (
        'body', 'close', 'connection', 'context', 'has_body', 'headers',
        'method', 'target',
    )  # fmt: skip

    def __init__(
        self,
        connection: 'HttpServerConnection',
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        *,
        has_body: bool,
        close: bool,
    ) -> None:
        self.connection = connection
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.has_body = has_body
        self.close = close
        # State that the handler attaches to the request.
        self.context: object = None


class RequestHandler(Protocol):
    """Handles requests; answers with `HttpServerConnection.respond`."""

    def handle(self, request: HttpRequest) -> None:
        """Start to handle a request."""

    def abandon(self, request: HttpRequest) -> None:
        """Abandon a request whose caller disconnected before the answer."""


def status_line(status: int) -> bytes:
    """Return the status line of an answer."""
    return STATUS_LINES.get(status) or b'HTTP/1.1 %d Other\r\n' % status


class HttpServerConnection(asyncio.Protocol):
    """Connection of a caller; its requests are served one at a time.

    Args:
        server: Server that accepted the connection.
    """

    def __init__(self, server: 'HttpServer') -> None:
        self._server = server
        self._handler = server.handler
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._headers: Headers = []
        self._target = b''
        self._body: list[bytes] = []
        self._received_bytes = 0
        self._has_body = False
        self._pipelined: list[HttpRequest] = []
        self._current: HttpRequest | None = None
        # Whether what the caller sends from now on is discarded.
        self._is_input_ended = False
        self._discarded_bytes = 0
        self._expects_continue = False
        self.is_reading_body = False
        self.last_active = time.monotonic()
        # Time when the head being received began; infinite if there is none.
        self.head_started_at = math.inf

    @property
    def is_idle(self) -> bool:
        """Return whether requests are awaited, and none is read or served."""
        return (
            self._current is None
            and not self._target
            and not self._is_input_ended
        )

    @property
    def is_open(self) -> bool:
        """Return whether the caller is still connected."""
        return self._transport is not None

    @property
    def has_unsent_data(self) -> bool:
        """Return whether a part of an answer waits for the caller to read."""
        return (
            self._transport is not None
            and self._transport.get_write_buffer_size() > 0
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Add the connection to the server."""
        self._transport = cast(asyncio.Transport, transport)
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Abandon the current request and drop the pipelined ones."""
        self._transport = None
        self._server.connections.discard(self)
        self._server.lingering.pop(self, None)
        current, self._current = self._current, None
        self._pipelined.clear()
        if current is not None:
            self._handler.abandon(current)

    def eof_received(self) -> bool:
        """Treat a half-closed connection as disconnected."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parse received data."""
        self.last_active = time.monotonic()
        if self._is_input_ended:
            self._discard(len(data))
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.fail(400)
        except httptools.HttpParserError:
            self.fail(400)

    def on_message_begin(self) -> None:
        """Reset the state of the parsed request."""
        if self._is_input_ended:
            return
        self._headers = []
        self._body = []
        self._received_bytes = 0
        self._target = b''
        self._has_body = False
        self._expects_continue = False
        self.head_started_at = self.last_active

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._target += url
        self._count_bytes(len(url), 431)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        lower = name.lower()
        if lower in (b'content-length', b'transfer-encoding'):
            self._has_body = True
        elif lower == b'expect' and value.lower() == b'100-continue':
            self._expects_continue = True
        self._headers.append((lower, name, value))
        self._count_bytes(len(name) + len(value) + 4, 431)

    def on_headers_complete(self) -> None:
        """Begin to read the body."""
        if self._is_input_ended:
            return
        self._received_bytes = 0
        self.head_started_at = math.inf
        self.is_reading_body = True
        if self._expects_continue and self._transport is not None:
            self._transport.write(_CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        if self._is_input_ended:
            return
        self._body.append(body)
        self._count_bytes(len(body), 413)

    def on_message_complete(self) -> None:
        """Handle the request, or queue it until earlier ones are answered."""
        self.is_reading_body = False
        if self._is_input_ended:
            return
        request = HttpRequest(
            self,
            self._parser.get_method(),
            self._target,
            self._headers,
            self._body[0] if len(self._body) == 1 else b''.join(self._body),
            has_body=self._has_body,
            close=not self._parser.should_keep_alive(),
        )
        self._target = b''
        if self._current is not None:
            if len(self._pipelined) < _MAX_PIPELINED_REQUESTS:
                self._pipelined.append(request)
            else:
                # The connection closes once those before it are answered.
                self._end_input()
            return
        self._current = request
        self._handler.handle(request)

    def respond(self, request: HttpRequest, head: bytes, body: bytes) -> bool:
        """Answer the request that is being served.

        Args:
            request: The request.
            head: Status line and headers without `Content-Length` and
                `Connection`.
            body: Complete body.

        Returns:
            Whether the caller was still connected.
        """
        if self._current is not request or self._transport is None:
            return False
        is_ending = self._server.is_leaving or self._is_input_ended
        close = request.close or (is_ending and not self._pipelined)
        self._transport.write(
            b'%bContent-Length: %d\r\n%b\r\n%b'
            % (head, len(body), b'Connection: close\r\n' if close else b'',
               body)
        )  # fmt: skip
        self._current = None
        if close:
            self._linger()
        elif self._pipelined:
            self._current = self._pipelined.pop(0)
            self._handler.handle(self._current)
        return True

    def fail(self, status: int) -> None:
        """Reject the request being received and close the connection.

        Earlier requests are answered first; the status is then not sent.
        """
        if self._is_input_ended:
            return
        self._end_input()
        self._server.on_bad_request(status)
        self._reject(status)

    def refuse_unfinished(self) -> None:
        """Refuse a request of which only a part has been received."""
        if self._target and not self._is_input_ended:
            self._end_input()
            self._reject(503)

    def close(self) -> None:
        """Close the connection once all written data is sent."""
        if self._transport is not None:
            self._transport.close()

    def _reject(self, status: int) -> None:
        if self._transport is None or self._current is not None:
            return
        self._transport.write(
            b'%bContent-Length: 0\r\nConnection: close\r\n\r\n'
            % status_line(status)
        )
        self._linger()

    def _end_input(self) -> None:
        self._is_input_ended = True
        self.head_started_at = math.inf
        self.is_reading_body = False
        self._headers = []
        self._body = []

    def _linger(self) -> None:
        """Send the end of the stream, and close once the caller has.

        `HttpServer.close_lingering` bounds the wait for the caller.
        """
        transport = self._transport
        assert transport is not None
        self._end_input()
        self._pipelined.clear()
        if transport.is_closing():
            return
        try:
            transport.write_eof()
        except (OSError, RuntimeError):
            # The caller is gone.
            transport.close()
            return
        self._server.add_lingering(self)

    def _discard(self, size: int) -> None:
        self._discarded_bytes += size
        if self._discarded_bytes > _MAX_DISCARDED_BYTES:
            self._server.end_lingering(self)

    def _count_bytes(self, size: int, status: int) -> None:
        self._received_bytes += size
        limits = self._server.limits
        limit = (
            limits.max_header_bytes if status == 431 else limits.max_body_bytes
        )
        if self._received_bytes > limit:
            self.fail(status)


class HttpServer:
    """HTTP server: a listener and its connections.

    Args:
        handler: Handles the requests.
        on_bad_request: Called with the status of each rejected request.
    """

    def __init__(
        self,
        handler: RequestHandler,
        on_bad_request: Callable[[int], None] = lambda status: None,
    ) -> None:
        self.handler = handler
        self.on_bad_request = on_bad_request
        self.limits = CallerLimits()
        self.connections: set[HttpServerConnection] = set()
        # Connections whose last answer has been written, and the time since
        # which they wait for the caller to close; the oldest comes first.
        self.lingering: dict[HttpServerConnection, float] = {}
        self.is_leaving = False
        self._server: asyncio.Server | None = None

    @property
    def has_unread_answers(self) -> bool:
        """Return whether callers may still have to read their answers."""
        return bool(self.lingering) or any(
            connection.has_unsent_data for connection in self.connections
        )

    async def start(self, ip: str, port: int) -> None:
        """Open the listener."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: HttpServerConnection(self),
            ip,
            port,
            reuse_address=True,
            backlog=1024,
        )

    def close_idle(self, idle_s: float) -> None:
        """Close connections that were idle for longer than `idle_s`."""
        cutoff = time.monotonic() - idle_s
        for connection in list(self.connections):
            if (
                connection.is_idle
                and connection.last_active < cutoff
                and not connection.has_unsent_data
            ):
                connection.close()

    def close_slow(self) -> None:
        """Reject requests whose head is slow, or whose body has stopped."""
        now = time.monotonic()
        head_cutoff = now - self.limits.header_timeout_s
        body_cutoff = now - self.limits.idle_timeout_s
        for connection in list(self.connections):
            if connection.head_started_at < head_cutoff or (
                connection.is_reading_body
                and connection.last_active < body_cutoff
            ):
                connection.fail(408)

    def refuse_unfinished(self) -> None:
        """Refuse the requests of which only a part has been received."""
        for connection in list(self.connections):
            connection.refuse_unfinished()

    def add_lingering(self, connection: HttpServerConnection) -> None:
        """Wait for the caller of a connection to close it.

        If too many connections wait, the oldest one is closed.
        """
        if len(self.lingering) >= _MAX_LINGERING_CONNECTIONS:
            self.end_lingering(next(iter(self.lingering)))
        self.lingering[connection] = time.monotonic()

    def end_lingering(self, connection: HttpServerConnection) -> None:
        """Close a connection if it waits for its caller to close it."""
        if self.lingering.pop(connection, None) is not None:
            connection.close()

    def close_lingering(self) -> None:
        """Close connections whose callers have had time to read and close.

        The time runs from when the answer has left the process.
        """
        now = time.monotonic()
        for connection, since in list(self.lingering.items()):
            if connection.has_unsent_data:
                self.lingering[connection] = now
            elif since < now - _LINGER_S:
                self.end_lingering(connection)

    def stop_listening(self) -> None:
        """Close the listener; open connections stay in service."""
        if self._server is not None:
            self._server.close()
