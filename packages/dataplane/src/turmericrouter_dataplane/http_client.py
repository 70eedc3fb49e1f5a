"""HTTP/1.1 client connection on the parser of httptools."""

import asyncio
import collections
from collections.abc import Callable
import enum
import re
import socket
import time
from typing import cast

import httptools

from turmericrouter_dataplane.http_server import HOP_BY_HOP_HEADERS
from turmericrouter_dataplane.http_server import status_line
from turmericrouter_dataplane.receive_budget import ReceiveBudget

# TCP drops a connection whose sent data stays unacknowledged this long.
USER_TIMEOUT_MS = 3000
# Size of a head, with the interim answers and late ones before it.
MAX_HEAD_BYTES = 256 * 1024
# Size of a whole answer with its framing.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Unfinished answers of a process; a fraction of the memory of a small host.
MAX_UNFINISHED_BYTES = 64 * 1024 * 1024
# Ids that a connection remembers, to notice one that is sent again. A late
# copy comes where one of the next answers is expected, not many answers later.
_MAX_SENT_IDS = 64
# Start of an answer, with its status. In the phrase or a header of an answer
# it shows that the target stopped there and began the next answer. A proxy may
# name itself by protocol and address: "Via: HTTP/1.1 192.0.2.7".
_PROTOCOL = b'HTTP/1.'
_find_status_line = re.compile(rb'HTTP/1\.[01] [1-9][0-9][0-9](?!\S)').search


class Failure(enum.Enum):
    """Why a request got no complete answer."""

    BROKEN = 'broken'
    INVALID = 'invalid'


class HttpResponse:
    """A complete answer.

    Args:
        status: Status code.
        head: Status line and the headers that may be forwarded.
        headers: All headers by lower-case name.
        body: Complete body without transfer coding.
        is_attributed: Whether the answer certainly belongs to the request:
            it is the first on its connection, or has an id that no earlier
            request on the connection had.
    """

    __slots__ = (
        'body',
        'head',
        'headers',
        'is_attributed',
        'status',
    )

    def __init__(
        self,
        status: int,
        head: bytes,
        headers: dict[bytes, bytes],
        body: bytes,
        *,
        is_attributed: bool = True,
    ) -> None:
        self.status = status
        self.head = head
        self.headers = headers
        self.body = body
        self.is_attributed = is_attributed


AnswerCallback = Callable[[HttpResponse | Failure], None]


def set_user_timeout(transport: asyncio.BaseTransport) -> None:
    """Limit the time that sent data may stay unacknowledged."""
    sock = transport.get_extra_info('socket')
    if sock is not None:
        try:
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
            )
        except OSError:
            # Unix sockets neither have nor need this option.
            return


class HttpClientConnection(asyncio.Protocol):
    """Connection to a server that carries one request at a time.

    Args:
        on_closed: Called once when the connection is closed.
        dropped_headers: Lower-case headers that are not forwarded.
        id_header: Lower-case header in which answers return the request id.
        budget: Memory of unfinished answers, shared by connections.
    """

    def __init__(
        self,
        on_closed: Callable[['HttpClientConnection'], None],
        *,
        dropped_headers: frozenset[bytes] = frozenset(),
        id_header: bytes = b'',
        budget: ReceiveBudget | None = None,
    ) -> None:
        self._on_closed = on_closed
        self._dropped_headers = HOP_BY_HOP_HEADERS | dropped_headers
        self._id_header = id_header
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._callback: AnswerCallback | None = None
        self._expected_id = b''
        self._is_new_id = False
        self._sent_ids: collections.deque[bytes] = collections.deque(
            maxlen=_MAX_SENT_IDS
        )
        self._is_head_request = False
        self._headers: dict[bytes, bytes] = {}
        self._header_lines: list[bytes] = []
        # Phrase, in the parts that the parser gives, and values of headers
        # that are not forwarded, each after a line feed.
        self._dropped_parts: list[bytes] = []
        self._has_merged_heads = False
        self._body: list[bytes] = []
        self._in_message = False
        self._headers_done = False
        self._must_close = False
        self._answer: HttpResponse | None = None
        self._budget = budget or ReceiveBudget(MAX_UNFINISHED_BYTES)
        # Bytes received since the request was sent.
        self._received_bytes = 0
        # Final answers received, with those to other requests.
        self._answer_count = 0
        self.idle_since = time.monotonic()
        self.keep_alive_s = 0.0

    @property
    def is_open(self) -> bool:
        """Return whether a request can be sent."""
        transport = self._transport
        return transport is not None and not transport.is_closing()

    @property
    def is_busy(self) -> bool:
        """Return whether a request awaits its answer."""
        return self._callback is not None

    @property
    def is_reusable(self) -> bool:
        """Return whether the next request may go over this connection."""
        transport = self._transport
        return (
            transport is not None
            and not self._must_close
            and not transport.is_closing()
            # After an early answer the server may still be reading the body.
            and transport.get_write_buffer_size() == 0
        )

    def can_attribute(self, request_id: bytes) -> bool:
        """Return whether the answer to a request will be certainly its own.

        Args:
            request_id: Id of the request, empty if it has none.
        """
        return not self._answer_count or self._has_not_sent(request_id)

    def send(
        self,
        data: bytes,
        callback: AnswerCallback,
        *,
        expected_id: bytes = b'',
        is_head: bool = False,
    ) -> None:
        """Send a request and pass its answer or failure to the callback.

        Args:
            data: The complete request.
            callback: Called once.
            expected_id: Value of the id header; other answers are skipped.
            is_head: Whether the request is a HEAD, whose answer has no body.
        """
        assert self._transport is not None
        self._callback = callback
        self._expected_id = expected_id
        self._is_new_id = self._has_not_sent(expected_id)
        if expected_id:
            self._sent_ids.append(expected_id)
        self._is_head_request = is_head
        self._transport.write(data)

    def abort(self) -> None:
        """Close at once, without calling the callback."""
        self._callback = None
        self._release_memory()
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close an idle connection."""
        self._callback = None
        if self._transport is not None:
            self._transport.close()

    def end_reuse(self) -> None:
        """Let no further request go over this connection."""
        self._must_close = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set its user timeout."""
        self._transport = cast(asyncio.Transport, transport)
        set_user_timeout(transport)

    def data_received(self, data: bytes) -> None:
        """Parse received data."""
        if self._callback is None:
            # Data that answers no request makes the connection unusable.
            self._must_close = True
            self.close()
            return
        if not self._count_received(len(data)):
            self._fail(Failure.INVALID)
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._must_close = True
            if self._answer is None:
                self._fail(Failure.INVALID)
        if self._has_merged_heads or self._is_head_too_large():
            self._fail(Failure.INVALID)
        self._deliver()

    def eof_received(self) -> bool:
        """Finish an answer whose body ends with the connection."""
        if self._headers_done and self._is_unframed():
            self._must_close = True
            self._finish_message()
            if self._has_merged_heads:
                self._fail(Failure.INVALID)
            self._deliver()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request that awaits its answer."""
        self._transport = None
        self._release_memory()
        self._on_closed(self)
        callback, self._callback = self._callback, None
        if callback is not None:
            callback(Failure.BROKEN)

    def on_message_begin(self) -> None:
        """Reset the state of the parsed answer."""
        if self._answer is not None:
            # The server sent a second answer to one request.
            self._must_close = True
        self._in_message = True
        self._headers_done = False
        self._headers = {}
        self._header_lines = []
        self._dropped_parts = []
        self._body = []

    def on_status(self, part: bytes) -> None:
        """Add a part of the phrase of the status line."""
        self._dropped_parts.append(part)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers after a chunked body are not forwarded."""
        if self._headers_done:
            return
        lower = name.lower()
        self._headers[lower] = value
        if lower not in self._dropped_headers:
            self._header_lines.append(b'%b: %b\r\n' % (name, value))
        else:
            self._dropped_parts.append(b'\n' + value)

    def on_headers_complete(self) -> None:
        """Finish the answer to a HEAD request, which has no body."""
        self._headers_done = True
        if self._is_head_request and self._parser.get_status_code() >= 200:
            self._must_close = True
            self._finish_message()

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Finish an answer."""
        self._finish_message()

    def _has_not_sent(self, request_id: bytes) -> bool:
        """Return whether a request has an id that no earlier one had."""
        return bool(request_id) and request_id not in self._sent_ids

    def _is_unframed(self) -> bool:
        headers = self._headers
        return (
            self._in_message
            and b'content-length' not in headers
            and b'transfer-encoding' not in headers
        )

    def _finish_message(self) -> None:
        if not self._in_message:
            return
        self._in_message = False
        status = self._parser.get_status_code()
        if status < 200 or self._answer is not None:
            return
        header_lines = b''.join(self._header_lines)
        text = header_lines + b''.join(self._dropped_parts)
        if _PROTOCOL in text and _find_status_line(text):
            self._has_merged_heads = True
            return
        self._answer_count += 1
        headers = self._headers
        echoed = headers.get(self._id_header, b'')
        if self._answers_other_request(status, echoed):
            # A late answer to an earlier request; the expected one may
            # follow.
            self._must_close = True
            return
        is_attributed = self._answer_count == 1 or (
            bool(echoed) and self._is_new_id
        )
        # The request's own answer may follow one that is not certainly it.
        may_be_followed = bool(self._id_header) and not is_attributed
        if may_be_followed or not self._parser.should_keep_alive():
            self._must_close = True
        self._read_keep_alive(headers)
        body = self._body
        self._answer = HttpResponse(
            status,
            status_line(status) + header_lines,
            headers,
            body[0] if len(body) == 1 else b''.join(body),
            is_attributed=is_attributed,
        )

    def _answers_other_request(self, status: int, echoed: bytes) -> bool:
        """Return whether an answer belongs to another request.

        A target that refuses a request may omit the id. The answer to a
        request without an id has none.
        """
        if echoed:
            return echoed != self._expected_id
        return bool(self._expected_id) and status < 300

    def _deliver(self) -> None:
        """Deliver the answer once all received data is parsed.

        Otherwise the next request could be sent on this connection while an
        extra answer in the same segment is still unparsed.
        """
        answer, callback = self._answer, self._callback
        if answer is None or callback is None:
            return
        self._answer = None
        self._callback = None
        self._release_memory()
        self.idle_since = time.monotonic()
        callback(answer)

    def _read_keep_alive(self, headers: dict[bytes, bytes]) -> None:
        value = headers.get(b'keep-alive')
        if value is None:
            return
        for part in value.split(b','):
            name, _, seconds = part.strip().partition(b'=')
            if name == b'timeout' and seconds.isdigit():
                self.keep_alive_s = float(seconds)

    def _count_received(self, size: int) -> bool:
        """Count received data; return whether the answer may go on."""
        self._received_bytes += size
        is_within_budget = self._budget.take(size)
        return is_within_budget and self._received_bytes <= MAX_ANSWER_BYTES

    def _is_head_too_large(self) -> bool:
        """Return whether all received data has brought no whole head."""
        is_in_head = not (self._in_message and self._headers_done)
        return (
            is_in_head
            and self._answer is None
            and self._received_bytes > MAX_HEAD_BYTES
        )

    def _release_memory(self) -> None:
        """Drop what was received of an answer."""
        self._budget.give_back(self._received_bytes)
        self._received_bytes = 0
        self._body = []
        self._header_lines = []
        self._dropped_parts = []

    def _fail(self, failure: Failure) -> None:
        callback, self._callback = self._callback, None
        self._must_close = True
        self._release_memory()
        if self._transport is not None:
            self._transport.abort()
        if callback is not None:
            callback(failure)


async def connect(
    ip: str,
    port: int,
    on_closed: Callable[[HttpClientConnection], None],
    *,
    timeout_s: float,
    dropped_headers: frozenset[bytes] = frozenset(),
    id_header: bytes = b'',
    budget: ReceiveBudget | None = None,
) -> HttpClientConnection:
    """Open a connection.

    Raises:
        OSError: The connection failed or did not open in time.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout_s):
        _, connection = await loop.create_connection(
            lambda: HttpClientConnection(
                on_closed,
                dropped_headers=dropped_headers,
                id_header=id_header,
                budget=budget,
            ),
            ip,
            port,
        )
    return connection
