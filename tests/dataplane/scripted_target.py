"""A target on the loopback address that writes what a test tells it to.

Unlike the scripted target of the stand-ins, it takes requests without a
length, and a script answers by the number of the request on its connection.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import socket
import struct

from dataplane_values import NAMES

# Returns what the target writes on the n-th request of a connection, counted
# from 1, given the request's id.
AnswerScript = Callable[[int, bytes], bytes]

# Serves one connection.
ConnectionHandler = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


def make_answer(
    status: int,
    request_id: bytes = b'',
    *,
    body: bytes = b'',
    is_not_run: bool = False,
) -> bytes:
    """Return an answer; without an id it has no id header."""
    head = b'HTTP/1.1 %d X\r\nContent-Length: %d\r\n' % (status, len(body))
    if request_id:
        head += b'%b: %b\r\n' % (NAMES.request_id, request_id)
    if is_not_run:
        head += b'%b: 1\r\n' % NAMES.not_run
    elif status < 300:
        head += b'%b: s\r\n' % NAMES.signature
    return head + b'\r\n' + body


def find_request_id(head: bytes) -> bytes:
    """Return the id of a request, empty if it has none."""
    for line in head.split(b'\r\n'):
        name, _, value = line.partition(b':')
        if name.lower() == NAMES.request_id.lower():
            return value.strip()
    return b''


async def start_server(handle: ConnectionHandler) -> asyncio.Server:
    """Start a server on a free port of the loopback address.

    A connection is closed when its handler ends, also by an error or as the
    event loop ends. A writer that is left open closes only when it is
    collected, which fails if its loop has been closed by then.

    Args:
        handle: Called for each connection.
    """

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await handle(reader, writer)
        finally:
            writer.close()

    return await asyncio.start_server(serve, '127.0.0.1', 0)


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    sock = writer.get_extra_info('socket')
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    writer.transport.abort()


class ScriptedTarget:
    """Serves requests without a body as its script says."""

    def __init__(self, script: AnswerScript) -> None:
        self._script = script
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None] | None] = set()
        self.port = 0
        self.connection_count = 0
        self.request_ids: list[bytes] = []

    async def __aenter__(self) -> 'ScriptedTarget':
        self._server = await start_server(self._serve)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_: object) -> None:
        assert self._server is not None
        self._server.close()
        async with asyncio.timeout(5.0):
            while self._tasks:
                await asyncio.sleep(0.005)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        self.connection_count += 1
        number = 0
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                number += 1
                request_id = find_request_id(head)
                self.request_ids.append(request_id)
                writer.write(self._script(number, request_id))
        self._tasks.discard(task)
