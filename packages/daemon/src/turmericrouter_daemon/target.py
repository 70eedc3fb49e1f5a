"""HTTP connections to the local target.

The gate writes requests itself and reads answers with aiohttp's response
parser on a small pool of kept-alive connections; a client session costs
several times as much per call.
"""

import asyncio
import contextlib
import dataclasses
from typing import Any

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import HttpResponseParser
from aiohttp.http_exceptions import HttpProcessingError

from turmericrouter_core.errors import AnswerTooLargeError
from turmericrouter_core.errors import TargetBrokenError
from turmericrouter_core.errors import TargetUnreachableError

# Header bytes pass through unchanged, whatever they mean.
HEADER_ENCODING = 'latin-1'
_READ_BUFFER_BYTES = 65_536
_IDLE_LIMIT_S = 10.0
_UNSAFE = ('\r', '\n', '\0')


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRequest:
    """A request as it goes to the target.

    Args:
        method: HTTP method.
        path: Path with query.
        headers: Name and value pairs, without length and connection.
        body: Whole body.
    """

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class TargetAnswer:
    """Whole answer of the target."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


def _serialize(request: TargetRequest, host: str) -> bytes:
    lines = [f'{request.method} {request.path} HTTP/1.1', f'Host: {host}']
    lines += [f'{name}: {value}' for name, value in request.headers]
    lines.append(f'Content-Length: {len(request.body)}')
    for line in lines:
        if any(character in line for character in _UNSAFE):
            raise TargetUnreachableError('a header holds a line break')
    head = '\r\n'.join(lines) + '\r\n\r\n'
    return head.encode(HEADER_ENCODING) + request.body


class _Connection(BaseProtocol):
    """One connection, used for one request at a time."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._parser: Any = None
        self._head: asyncio.Future[Any] | None = None
        self._payload: Any = None
        self._received = False
        self.reusable = False
        self.idle_since = 0.0

    @property
    def is_open(self) -> bool:
        """Return whether the connection stands."""
        return self.transport is not None

    @property
    def received_any(self) -> bool:
        """Return whether any byte of the current answer has come."""
        return self._received

    def data_received(self, data: bytes) -> None:
        """Feed the parser."""
        if self._parser is None:
            # Bytes without a request: the connection cannot be trusted.
            self.close()
            return
        self._received = True
        try:
            messages, _, _ = self._parser.feed_data(data)
        except HttpProcessingError as error:
            self._break(f'invalid answer: {error}')
            return
        for message, payload in messages:
            if message.code >= 200 and self._head and not self._head.done():
                self._payload = payload
                self._head.set_result((message, payload))

    def connection_lost(self, exc: BaseException | None) -> None:
        """End an answer that is read to the end of the connection."""
        super().connection_lost(exc)
        if self._parser is not None:
            with contextlib.suppress(HttpProcessingError):
                self._parser.feed_eof()
        self._break('the connection was lost')

    def close(self) -> None:
        """Close at once."""
        self.reusable = False
        if self.transport is not None:
            self.transport.abort()

    async def exchange(
        self, data: bytes, method: str, max_answer_bytes: int
    ) -> TargetAnswer:
        """Send a request and read the whole answer.

        Raises:
            TargetBrokenError: The answer is missing or not whole.
            AnswerTooLargeError: The answer is too long.
        """
        if self.transport is None:
            raise TargetBrokenError('the connection is closed')
        self.reusable = False
        self._received = False
        self._head = self._loop.create_future()
        self._parser = HttpResponseParser(
            self,
            self._loop,
            _READ_BUFFER_BYTES,
            response_with_body=method != 'HEAD',
            auto_decompress=False,
        )
        self.transport.write(data)
        message, payload = await self._head
        body = await self._read(payload, max_answer_bytes)
        self._parser = self._head = self._payload = None
        self.reusable = not message.should_close and self.is_open
        headers = tuple(
            (name.decode(HEADER_ENCODING), value.decode(HEADER_ENCODING))
            for name, value in message.raw_headers
        )
        return TargetAnswer(message.code, headers, body)

    async def _read(self, payload: Any, limit: int) -> bytes:
        chunks: list[bytes] = []
        size = 0
        while not payload.at_eof():
            try:
                chunk = await payload.readany()
            except Exception as error:
                raise TargetBrokenError(repr(error)) from error
            size += len(chunk)
            if size > limit:
                raise AnswerTooLargeError(f'answer of over {limit} bytes')
            chunks.append(chunk)
        return b''.join(chunks)

    def _break(self, text: str) -> None:
        error = TargetBrokenError(text)
        if self._head is not None and not self._head.done():
            self._head.set_exception(error)
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(error)
        self.close()


class TargetPool:
    """Kept-alive connections to one target.

    Args:
        ip: IP address of the target.
        port: TCP port of the target.
        connect_timeout_s: Seconds to open a connection.
        max_answer_bytes: Longest answer body.
    """

    def __init__(
        self,
        ip: str,
        port: int,
        *,
        connect_timeout_s: float,
        max_answer_bytes: int,
    ) -> None:
        self._ip = ip
        self._port = port
        self._connect_timeout_s = connect_timeout_s
        self._max_answer_bytes = max_answer_bytes
        self._idle: list[_Connection] = []
        self._open = 0

    @property
    def open_connections(self) -> int:
        """Return the connections that stand, idle ones included."""
        return self._open + len(self._idle)

    async def send(self, request: TargetRequest) -> TargetAnswer:
        """Send a request and return the whole answer.

        Raises:
            TargetUnreachableError: Nothing was sent.
            TargetBrokenError: The request may have run.
            AnswerTooLargeError: The request ran; its answer is too long.
        """
        data = _serialize(request, f'{self._ip}:{self._port}')
        connection = await self._acquire()
        self._open += 1
        try:
            return await connection.exchange(
                data, request.method, self._max_answer_bytes
            )
        finally:
            self._open -= 1
            self._release(connection)

    def close(self) -> None:
        """Close idle connections."""
        while self._idle:
            self._idle.pop().close()

    async def _acquire(self) -> _Connection:
        loop = asyncio.get_running_loop()
        while self._idle:
            connection = self._idle.pop()
            fresh = loop.time() - connection.idle_since < _IDLE_LIMIT_S
            if connection.is_open and connection.reusable and fresh:
                return connection
            connection.close()
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, connection = await loop.create_connection(
                    lambda: _Connection(loop), self._ip, self._port
                )
        except (OSError, TimeoutError) as error:
            raise TargetUnreachableError(repr(error)) from error
        return connection

    def _release(self, connection: _Connection) -> None:
        if connection.reusable and connection.is_open:
            connection.idle_since = asyncio.get_running_loop().time()
            self._idle.append(connection)
        else:
            connection.close()
