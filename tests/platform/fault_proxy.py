"""Loopback proxies that delay, hold back, cut and reset connections."""

import asyncio
from collections.abc import Callable
import contextlib

from turmericrouter_core.errors import ProtocolError
from turmericrouter_dataplane.frames import FrameReader
from turmericrouter_dataplane.frames import Status

_CHUNK_BYTES = 65_536


class FaultProxy:
    """Forwards one port to another, with faults that callers switch on.

    Args:
        port: Port that it listens on, 0 for any.
        target_port: Port that it forwards to.
        is_cut: Returns whether connections from a host are cut; their bytes
            are held back in both directions.
    """

    def __init__(
        self,
        port: int,
        target_port: int,
        is_cut: Callable[[str], bool] = lambda source: False,
    ) -> None:
        self._port = port
        self._target_port = target_port
        self._is_cut = is_cut
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.delay_s = 0.0
        # Whether bytes to, and bytes from, the target port are held back.
        self.holds_inbound = False
        self.holds_outbound = False
        # Connections that were accepted earlier carry nothing any more.
        self._silent_before = 0
        self._accepted = 0

    @property
    def port(self) -> int:
        """Return the port that it listens on."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    async def start(self) -> None:
        """Start to accept connections."""
        self._server = await asyncio.start_server(
            self._accept, '127.0.0.1', self._port
        )

    def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def silence(self) -> None:
        """Let open connections go silent for good; new ones work."""
        self._silent_before = self._accepted

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            far = await asyncio.open_connection('127.0.0.1', self._target_port)
        except OSError:
            writer.transport.abort()
            return
        self._accepted += 1
        source = _SourceHost(self._accepted)
        pumps = [
            asyncio.create_task(self._pump(reader, far[1], source, True)),
            asyncio.create_task(self._pump(far[0], writer, source, False)),
        ]
        self._writers |= {writer, far[1]}
        self._tasks.update(pumps)
        await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        for each in (writer, far[1]):
            self._writers.discard(each)
            each.transport.abort()
        for pump in pumps:
            pump.cancel()
            self._tasks.discard(pump)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        source: '_SourceHost',
        is_inbound: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(_CHUNK_BYTES):
                if is_inbound:
                    source.feed(data)
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                while self._is_held(source, is_inbound):
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()

    def _is_held(self, source: '_SourceHost', is_inbound: bool) -> bool:
        is_held = self.holds_inbound if is_inbound else self.holds_outbound
        is_silent = source.number <= self._silent_before
        return is_held or is_silent or self._is_cut(source.host)


class _SourceHost:
    """Finds the host that opened a connection from its first frame.

    Args:
        number: Number of the connection at its proxy, from 1.
    """

    def __init__(self, number: int) -> None:
        self.number = number
        self.host = ''
        self._reader: FrameReader | None = FrameReader()

    def feed(self, data: bytes) -> None:
        """Read bytes of the connection until the first frame is complete."""
        if self._reader is None:
            return
        try:
            for frame in self._reader.feed(data):
                if isinstance(frame, Status):
                    self.host = frame.host.name
                self._reader = None
                return
        except ProtocolError:
            # Not a link between daemons.
            self._reader = None
