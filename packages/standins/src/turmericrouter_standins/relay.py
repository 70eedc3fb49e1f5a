"""TCP relay that delays and cuts the links between failure domains.

The relay listens on the peer address of each host and forwards to the port
that the daemon has bound. It reads the failure domain of the caller from the
`Hello` message at the start of a connection. Routes to the log service have
a listener for each failure domain, so the listener determines the source.
`PUT /rules` on the control port sets delays and cuts at run time.
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
_MAX_HELLO_BYTES = 4096


class RelayRoute(msgspec.Struct, frozen=True):
    """A listener and the address to which it forwards.

    Args:
        listen_ip: Address of the listener.
        listen_port: Port of the listener.
        forward_ip: Address to forward to.
        forward_port: Port to forward to.
        source: Failure domain of callers; empty to read it from `Hello`.
        destination: Failure domain of the receiver, or `platform` for the
            log service.
    """

    listen_ip: str
    listen_port: int
    forward_ip: str
    forward_port: int
    source: str
    destination: str


class LinkRules(msgspec.Struct, frozen=True):
    """Delays and cuts of links between failure domains.

    Args:
        delay_ms: One-way delay between different failure domains.
        cuts: Pairs of failure domains (or `platform`) that cannot reach
            each other; data is held back until the cut is removed.
    """

    delay_ms: float = 0.0
    cuts: tuple[tuple[str, str], ...] = ()


class _ActiveRules:
    """The current rules and an event for their next change."""

    def __init__(self) -> None:
        self.rules = LinkRules()
        self._changed = asyncio.Event()

    def set(self, rules: LinkRules) -> None:
        self.rules = rules
        self._changed.set()
        self._changed = asyncio.Event()

    def is_cut(self, first: str, second: str) -> bool:
        cuts = self.rules.cuts
        return (first, second) in cuts or (second, first) in cuts

    async def wait_until_connected(self, first: str, second: str) -> None:
        while self.is_cut(first, second):
            await self._changed.wait()

    def delay_s(self, first: str, second: str) -> float:
        return 0.0 if first == second else self.rules.delay_ms / 1000


class Relay:
    """Forwards the connections of a fleet.

    Args:
        routes: Listeners and their destinations.
    """

    def __init__(self, routes: list[RelayRoute]) -> None:
        self._routes = routes
        self._rules = _ActiveRules()

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
        rules = msgspec.json.decode(await request.read(), type=LinkRules)
        self._rules.set(rules)
        return web.json_response({})

    async def _get_rules(self, request: web.Request) -> web.Response:
        return web.json_response(msgspec.to_builtins(self._rules.rules))

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
            await self._rules.wait_until_connected(source, route.destination)
            onward_reader, onward_writer = await asyncio.open_connection(
                route.forward_ip, route.forward_port
            )
            onward_writer.write(first)
            await self._copy_both_ways(
                (source, route.destination),
                (reader, writer),
                (onward_reader, onward_writer),
            )
        writer.close()

    async def _copy_both_ways(
        self,
        link: tuple[str, str],
        caller: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        receiver: tuple[asyncio.StreamReader, asyncio.StreamWriter],
    ) -> None:
        tasks = [
            asyncio.create_task(self._copy(link, caller[0], receiver[1])),
            asyncio.create_task(self._copy(link, receiver[0], caller[1])),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            caller[1].close()
            receiver[1].close()

    async def _copy(
        self,
        link: tuple[str, str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        loop = asyncio.get_running_loop()
        chunks: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
        write_task = asyncio.create_task(
            self._write_delayed(link, chunks, writer)
        )
        try:
            while data := await reader.read(_CHUNK_BYTES):
                due_at = loop.time() + self._rules.delay_s(*link)
                chunks.put_nowait((due_at, data))
            chunks.put_nowait((0.0, b''))
            await write_task
        except OSError:
            return
        finally:
            write_task.cancel()

    async def _write_delayed(
        self,
        link: tuple[str, str],
        chunks: asyncio.Queue[tuple[float, bytes]],
        writer: asyncio.StreamWriter,
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_at, data = await chunks.get()
            if not data:
                return
            wait_s = due_at - loop.time()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            await self._rules.wait_until_connected(*link)
            writer.write(data)
            await writer.drain()


async def _read_hello(reader: asyncio.StreamReader) -> tuple[bytes, str]:
    """Return the bytes received and the failure domain named in `Hello`.

    Raises:
        OSError: The connection ended before `Hello`.
    """
    decoder = FrameDecoder(max_frame_bytes=_MAX_HELLO_BYTES)
    received = b''
    while data := await reader.read(_MAX_HELLO_BYTES):
        received += data
        for _, message in decoder.feed(data):
            if isinstance(message, Hello):
                return received, message.domain
    raise OSError('connection ended before a Hello message')


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
