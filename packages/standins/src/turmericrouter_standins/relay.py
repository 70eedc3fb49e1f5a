"""TCP relay that delays and cuts the links between failure domains.

A relay listens on the peer address of each host and forwards to the port
that the daemon has bound. It learns the failure domain of a connection from
the `Hello` message at its start. A second kind of route forwards to the log
service; its source is known from the address that was connected to.
`PUT /rules` on the control port sets delays and cuts while it runs.
"""

import argparse
import asyncio
import contextlib
import functools
import pathlib

from aiohttp import web
import msgspec

from turmericrouter_core.codec import FrameDecoder
from turmericrouter_core.messages import Hello

PLATFORM = 'platform'
_CHUNK_BYTES = 65_536
_HELLO_LIMIT_BYTES = 4096


class RelayRoute(msgspec.Struct, frozen=True):
    """A listener and where it forwards to.

    Args:
        listen_ip: Address of the listener.
        listen_port: Port of the listener.
        forward_ip: Address to forward to.
        forward_port: Port to forward to.
        source: Failure domain of callers; empty to read it from `Hello`.
        destination: Failure domain of the receiver, or `platform`.
    """

    listen_ip: str
    listen_port: int
    forward_ip: str
    forward_port: int
    source: str
    destination: str


class Rules(msgspec.Struct, frozen=True):
    """Delays and cuts.

    Args:
        delay_ms: One-way delay between different failure domains.
        cuts: Pairs of failure domains (or `platform`) that cannot reach
            each other; data waits until the cut is healed.
    """

    delay_ms: float = 0.0
    cuts: tuple[tuple[str, str], ...] = ()


class _Switch:
    """Rules in force and a signal when they change."""

    def __init__(self) -> None:
        self.rules = Rules()
        self._changed = asyncio.Event()

    def set(self, rules: Rules) -> None:
        self.rules = rules
        self._changed.set()
        self._changed = asyncio.Event()

    def is_cut(self, first: str, second: str) -> bool:
        cuts = self.rules.cuts
        return (first, second) in cuts or (second, first) in cuts

    async def passable(self, first: str, second: str) -> None:
        while self.is_cut(first, second):
            await self._changed.wait()

    def delay_s(self, first: str, second: str) -> float:
        return 0.0 if first == second else self.rules.delay_ms / 1000


class Relay:
    """Forwards the connections of a fleet.

    Args:
        routes: Listeners.
    """

    def __init__(self, routes: list[RelayRoute]) -> None:
        self._routes = routes
        self._switch = _Switch()

    async def start(self) -> None:
        """Open all listeners."""
        for route in self._routes:
            await asyncio.start_server(
                functools.partial(self._forward, route),
                route.listen_ip,
                route.listen_port,
                limit=_CHUNK_BYTES,
            )

    def application(self) -> web.Application:
        """Return the HTTP application of the control port."""
        app = web.Application()
        app.router.add_put('/rules', self._set_rules)
        app.router.add_get('/rules', self._get_rules)
        return app

    async def _set_rules(self, request: web.Request) -> web.Response:
        rules = msgspec.json.decode(await request.read(), type=Rules)
        self._switch.set(rules)
        return web.json_response({})

    async def _get_rules(self, request: web.Request) -> web.Response:
        return web.json_response(msgspec.to_builtins(self._switch.rules))

    async def _forward(
        self,
        route: RelayRoute,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            first, source = b'', route.source
            if not source:
                first, source = await _read_hello(reader)
            await self._switch.passable(source, route.destination)
            onward_reader, onward_writer = await asyncio.open_connection(
                route.forward_ip, route.forward_port
            )
            onward_writer.write(first)
            await self._pump_both(
                (source, route.destination),
                (reader, writer),
                (onward_reader, onward_writer),
            )
        writer.close()

    async def _pump_both(
        self,
        ends: tuple[str, str],
        near: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        far: tuple[asyncio.StreamReader, asyncio.StreamWriter],
    ) -> None:
        tasks = [
            asyncio.create_task(self._pump(ends, near[0], far[1])),
            asyncio.create_task(self._pump(ends, far[0], near[1])),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            near[1].close()
            far[1].close()

    async def _pump(
        self,
        ends: tuple[str, str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        loop = asyncio.get_running_loop()
        chunks: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
        delivery = asyncio.create_task(self._deliver(ends, chunks, writer))
        try:
            while data := await reader.read(_CHUNK_BYTES):
                due = loop.time() + self._switch.delay_s(*ends)
                chunks.put_nowait((due, data))
            chunks.put_nowait((0.0, b''))
            await delivery
        except OSError:
            return
        finally:
            delivery.cancel()

    async def _deliver(
        self,
        ends: tuple[str, str],
        chunks: asyncio.Queue[tuple[float, bytes]],
        writer: asyncio.StreamWriter,
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due, data = await chunks.get()
            if not data:
                return
            wait_s = due - loop.time()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            await self._switch.passable(*ends)
            writer.write(data)
            await writer.drain()


async def _read_hello(reader: asyncio.StreamReader) -> tuple[bytes, str]:
    """Return the bytes up to the first message, and its failure domain."""
    decoder = FrameDecoder(max_frame_bytes=_HELLO_LIMIT_BYTES)
    received = b''
    while data := await reader.read(_HELLO_LIMIT_BYTES):
        received += data
        for _, message in decoder.feed(data):
            if isinstance(message, Hello):
                return received, message.domain
    raise OSError('the connection ended before Hello')


async def _serve(options: argparse.Namespace) -> None:
    routes = msgspec.json.decode(
        options.routes.read_bytes(), type=list[RelayRoute]
    )
    relay = Relay(routes)
    await relay.start()
    runner = web.AppRunner(relay.application())
    await runner.setup()
    await web.TCPSite(runner, options.host, options.port).start()
    await asyncio.Event().wait()


def main() -> None:
    """Forward until interrupted."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--routes', type=pathlib.Path, required=True)
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(_serve(parser.parse_args()))


if __name__ == '__main__':
    main()
