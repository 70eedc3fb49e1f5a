"""A loopback proxy in front of a daemon's peer listener."""

import asyncio
import contextlib

from turmericrouter_core.errors import ProtocolError
from turmericrouter_dataplane.frames import FrameReader
from turmericrouter_dataplane.frames import Status


class PeerProxy:
    """Forwards links to a daemon, and cuts those of some machines.

    A link tells the name of the machine that opened it in its first frame.
    While a cut lasts, no new link is accepted; links that stay up need none.

    Args:
        port: Port that it listens on.
        target_port: Port that it forwards to.
    """

    def __init__(self, port: int, target_port: int) -> None:
        self._port = port
        self._target_port = target_port
        self._server: asyncio.Server | None = None
        # Both ends of each link, and the machine that opened it.
        self._links: dict[
            tuple[asyncio.StreamWriter, asyncio.StreamWriter], str
        ] = {}

    @property
    def sources(self) -> set[str]:
        """Return the machines that have a link."""
        return set(self._links.values())

    async def start(self) -> None:
        """Accept links."""
        self._server = await asyncio.start_server(
            self._accept, '127.0.0.1', self._port
        )

    def cut(self, machines: set[str]) -> None:
        """Reset the links of some machines, and refuse new ones."""
        assert self._server is not None
        self._server.close()
        for ends, source in list(self._links.items()):
            if source in machines:
                for end in ends:
                    end.transport.abort()

    def stop(self) -> None:
        """Close the listener and all links."""
        if self._server is not None:
            self._server.close()
        for ends in list(self._links):
            for end in ends:
                end.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(
                '127.0.0.1', self._target_port
            )
        except OSError:
            writer.transport.abort()
            return
        ends = (writer, far_writer)
        self._links[ends] = ''
        pumps = [
            asyncio.create_task(self._pump(reader, far_writer, ends)),
            asyncio.create_task(self._pump(far_reader, writer, None)),
        ]
        await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        del self._links[ends]
        for pump in pumps:
            pump.cancel()
        for end in ends:
            end.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        ends: tuple[asyncio.StreamWriter, asyncio.StreamWriter] | None,
    ) -> None:
        frames = FrameReader() if ends else None
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                if frames is not None and ends is not None:
                    try:
                        for frame in frames.feed(data):
                            if isinstance(frame, Status):
                                self._links[ends] = frame.host.name
                                frames = None
                                break
                    except ProtocolError:
                        frames = None
                writer.write(data)
                await writer.drain()
