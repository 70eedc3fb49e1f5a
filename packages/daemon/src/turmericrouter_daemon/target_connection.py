"""HTTP connections to the local target.

The gate writes requests itself and reads answers with aiohttp's response
parser; a client session costs several times as much per call.
"""

import asyncio
import contextlib
import functools
import re
from typing import Any

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import HttpResponseParser
from aiohttp.http_exceptions import HttpProcessingError
import msgspec

from turmericrouter_core.errors import AnswerInvalidError
from turmericrouter_core.errors import AnswerTooLargeError
from turmericrouter_core.errors import RequestInvalidError
from turmericrouter_core.errors import TargetBrokenError
from turmericrouter_core.errors import TargetError

# Latin-1 maps each byte to one character, so header bytes are unchanged.
HEADER_ENCODING = 'latin-1'
_READ_BUFFER_BYTES = 65_536
_HEAD_END = b'\r\n\r\n'
_MAX_HEAD_BYTES = 65_536
_FIRST_FINAL_STATUS = 200
# Answers name no request. A refusal that the target writes once more would
# tell the next request of the connection that it has not run.
_REFUSAL_STATUS = 503
_BODYLESS_STATUSES = frozenset({204, 304})
# Start of an answer, with its status. In the phrase or a header of an answer
# it shows that the target stopped there and began the next answer. A proxy may
# name itself by protocol and address: "Via: HTTP/1.1 192.0.2.7".
_find_status_line = re.compile(rb'HTTP/1\.[01] [1-9][0-9][0-9](?!\S)').search
_TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_is_path = re.compile(r'/[^\x00-\x20\x7f]*|\*').fullmatch


class TargetRequest(msgspec.Struct, frozen=True):
    """Request to the target.

    Args:
        method: HTTP method.
        path: Path with query.
        headers: Name and value pairs, without length and connection.
        body: Complete body.
        idempotent: Whether it may be sent again on another connection if
            the target had closed the first one.
    """

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    idempotent: bool = False


class TargetAnswer(msgspec.Struct, frozen=True):
    """Complete answer of the target."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@functools.lru_cache(maxsize=4096)
def _is_token(text: str) -> bool:
    return _TOKEN.fullmatch(text) is not None


def serialize(request: TargetRequest, host: str) -> bytes:
    """Return the bytes of a request for the connection.

    Raises:
        RequestInvalidError: The method, the path or a header is invalid.
    """
    headers = request.headers
    fields = ''.join([f'{name}: {value}\r\n' for name, value in headers])
    if (
        not _is_token(request.method)
        or not _is_path(request.path)
        or not all(_is_token(name) for name, _ in headers)
        # One search over all fields costs less than one per field.
        or not len(headers) == fields.count('\r') == fields.count('\n')
        or '\0' in fields
    ):
        raise RequestInvalidError(
            'method, path or a header contains invalid characters'
        )
    try:
        path = request.path.encode('utf-8', 'surrogateescape')
        encoded = fields.encode(HEADER_ENCODING)
    except UnicodeEncodeError as error:
        raise RequestInvalidError(
            'path or a header cannot be encoded'
        ) from error
    return b'%s %s HTTP/1.1\r\nHost: %s\r\n%sContent-Length: %d\r\n\r\n%s' % (
        request.method.encode(),
        path,
        host.encode(),
        encoded,
        len(request.body),
        request.body,
    )


def _contains_status_line(message: Any) -> bool:
    values = [value for _, value in message.raw_headers]
    values.append(message.reason.encode(HEADER_ENCODING, 'replace'))
    return _find_status_line(b'\n'.join(values)) is not None


class TargetConnection(BaseProtocol):
    """One connection, used for one request at a time."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._parser: Any = None
        self._head: asyncio.Future[Any] | None = None
        self._payload: Any = None
        self._error: TargetError | None = None
        # Bytes are kept up to the end of the head and then only counted: an
        # answer must end exactly where its length says, or its remaining
        # bytes would be read as the next answer.
        self._head_bytes = b''
        self._head_length = 0
        self._received = 0
        self._last_bytes = b''
        self._has_interim_answer = False
        self.reusable = False
        self.used = False
        self.idle_since = 0.0

    @property
    def is_open(self) -> bool:
        """Return whether the connection is open."""
        return self.transport is not None

    @property
    def has_received_bytes(self) -> bool:
        """Return whether any byte of the current answer was received."""
        return self._received > 0

    def data_received(self, data: bytes) -> None:
        """Feed the parser."""
        if self._parser is None:
            # Unsolicited bytes: the connection cannot be reused.
            if data:
                self.close()
            return
        if data:
            self._count_received(data)
        elif self._payload is not None and self._payload.is_eof():
            # The base class feeds empty data when it resumes reading.
            return
        try:
            messages, _, _ = self._parser.feed_data(data)
        except HttpProcessingError as error:
            self._fail(AnswerInvalidError(f'invalid answer: {error}'))
            return
        for message, payload in messages:
            if message.code < _FIRST_FINAL_STATUS:
                self._has_interim_answer = True
            elif self._head and not self._head.done():
                self._payload = payload
                self._head.set_result((message, payload))

    def eof_received(self) -> None:
        """Complete an answer that ends with the connection."""
        if self._parser is not None:
            with contextlib.suppress(HttpProcessingError):
                self._parser.feed_eof()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail an answer that is not complete."""
        super().connection_lost(exc)
        self._fail(TargetBrokenError('the connection was lost'))

    def close(self) -> None:
        """Close the connection immediately."""
        self.reusable = False
        if self.transport is not None:
            self.transport.abort()

    async def exchange(
        self, data: bytes, method: str, max_answer_bytes: int
    ) -> TargetAnswer:
        """Send a request and read the complete answer.

        Raises:
            TargetBrokenError: The answer is missing or incomplete.
            AnswerInvalidError: The answer is not valid HTTP.
            AnswerTooLargeError: The answer is too long.
        """
        if self.transport is None:
            raise TargetBrokenError('the connection is closed')
        self._begin(method)
        self.transport.write(data)
        assert self._head is not None
        message, payload = await self._head
        if _contains_status_line(message):
            raise AnswerInvalidError('another answer begins in the head')
        body = await self._read(payload, max_answer_bytes)
        self._parser = self._head = self._payload = None
        self.used = True
        excess = self._excess_bytes(message, method)
        if excess:
            # Either the length or the body is wrong; which one is unknown.
            raise AnswerInvalidError('bytes beyond the end of the answer')
        self.reusable = (
            not message.should_close
            and self.is_open
            and excess == 0
            and message.code != _REFUSAL_STATUS
        )
        headers = tuple(
            [
                (name.decode(HEADER_ENCODING), value.decode(HEADER_ENCODING))
                for name, value in message.raw_headers
            ]
        )
        return TargetAnswer(message.code, headers, body)

    def _begin(self, method: str) -> None:
        self.reusable = False
        self._error = None
        self._received = 0
        self._head_length = 0
        self._head_bytes = b''
        self._last_bytes = b''
        self._has_interim_answer = False
        self._head = self._loop.create_future()
        self._parser = HttpResponseParser(
            self,
            self._loop,
            _READ_BUFFER_BYTES,
            response_with_body=method != 'HEAD',
            # Without a length the body ends with the connection.
            read_until_eof=True,
            auto_decompress=False,
        )

    def _count_received(self, data: bytes) -> None:
        self._received += len(data)
        self._last_bytes = data[-len(_HEAD_END) :]
        if self._head_length or len(self._head_bytes) > _MAX_HEAD_BYTES:
            return
        if self._head_bytes:
            data = self._head_bytes + data
        end = data.find(_HEAD_END)
        if end < 0:
            self._head_bytes = data
        else:
            self._head_length = end + len(_HEAD_END)

    def _excess_bytes(self, message: Any, method: str) -> int | None:
        """Return the number of excess bytes, or None if it is unknown."""
        if self._has_interim_answer or not self._head_length:
            return None
        rest = self._received - self._head_length
        if method == 'HEAD' or message.code in _BODYLESS_STATUSES:
            return rest
        if message.chunked:
            return 0 if self._last_bytes == _HEAD_END else None
        length = message.headers.get('Content-Length', '')
        return rest - int(length) if length.isdecimal() else None

    async def _read(self, payload: Any, limit: int) -> bytes:
        chunks: list[bytes] = []
        size = 0
        while not payload.at_eof():
            try:
                chunk = await payload.readany()
            except Exception as error:
                if self._error is not None:
                    raise self._error from error
                kind = (
                    AnswerInvalidError if self.is_open else TargetBrokenError
                )
                raise kind(repr(error)) from error
            size += len(chunk)
            if size > limit:
                raise AnswerTooLargeError(f'answer of over {limit} bytes')
            chunks.append(chunk)
        return b''.join(chunks)

    def _fail(self, error: TargetError) -> None:
        if self._error is None:
            self._error = error
        if self._head is not None and not self._head.done():
            self._head.set_exception(self._error)
            # Marks the exception as retrieved, as the waiting task may have
            # been cancelled.
            self._head.exception()
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(self._error)
        self.close()
