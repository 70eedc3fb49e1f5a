"""Stand-in for a target whose answers a test scripts byte by byte.

It runs in the process of the test. A script is a coroutine function that
receives each request and writes arbitrary bytes to the connection.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

_HEAD_END = b'\r\n\r\n'


@dataclasses.dataclass(frozen=True, slots=True)
class ScriptedRequest:
    """A received request with the streams of its connection.

    Args:
        path: Path with query.
        headers: Values by lower-case name.
        number: Number of the request over all connections, from 1.
        reader: Stream of the data after the request.
        writer: Stream of the answer.
    """

    path: str
    headers: dict[str, str]
    number: int
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def send(self, *parts: bytes) -> None:
        """Send parts, each in a separate TCP segment where possible."""
        for part in parts:
            self.writer.write(part)
            await self.writer.drain()
            await asyncio.sleep(0)

    async def answer(self, body: bytes = b'', status: int = 200) -> None:
        """Send a complete, well-formed answer."""
        head = f'HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n'
        await self.send(head.encode() + body)

    async def wait_closed(self) -> None:
        """Wait until the peer closes the connection."""
        while await self.reader.read(4096):
            continue

    def close(self) -> None:
        """Abort the connection without sending buffered data."""
        self.writer.transport.abort()


Script = Callable[[ScriptedRequest], Awaitable[None]]


class ScriptedTarget:
    """Server that runs a script on a free loopback port.

    Args:
        script: Coroutine function that handles each request.
    """

    def __init__(self, script: Script) -> None:
        self._script = script
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.requests: list[ScriptedRequest] = []
        self.connections = 0
        self.max_open_connections = 0
        self.port = 0

    async def __aenter__(self) -> 'ScriptedTarget':
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_: object) -> None:
        self.stop()

    def stop(self) -> None:
        """Stop listening and abort all connections, as a crash does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self._writers.add(writer)
        self.max_open_connections = max(
            self.max_open_connections, len(self._writers)
        )
        try:
            while not writer.is_closing():
                request = await self._read(reader, writer)
                self.requests.append(request)
                await self._script(request)
        except (asyncio.CancelledError, EOFError, ConnectionError):
            # The peer closed the connection, or the test ended.
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _read(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> ScriptedRequest:
        head = (await reader.readuntil(_HEAD_END)).decode('latin-1')
        first, *lines = head.strip().split('\r\n')
        headers = {
            name.lower(): value
            for name, _, value in (line.partition(': ') for line in lines)
        }
        await reader.readexactly(int(headers['content-length']))
        return ScriptedRequest(
            first.split(' ')[1],
            headers,
            len(self.requests) + 1,
            reader,
            writer,
        )
