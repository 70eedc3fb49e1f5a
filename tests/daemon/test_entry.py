"""Tests the answers of the entry when the daemon fails or stops."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random
import socket
from types import SimpleNamespace
from typing import Any
from unittest import mock

from turmericrouter_core.config import Route
from turmericrouter_core.routing import NamedRoute
from turmericrouter_core.verdict import Reason
from turmericrouter_core.verdict import Verdict
from turmericrouter_daemon.call import Answer
from turmericrouter_daemon.call import Call
from turmericrouter_daemon.call import refuse
from turmericrouter_daemon.entry import Entry
from turmericrouter_daemon.settings import HostSettings
from turmericrouter_daemon.settings import PlatformSettings
from turmericrouter_daemon.settings import Settings
from turmericrouter_daemon.timers import SystemClock

IP = '127.0.0.1'
SECRET = 'text-of-the-error'
SERVED = Answer(Verdict.RAN, Reason.SERVED, 200, body=b'done')
ROUTE = Route('works', '/works', open_to_all=True)
DEPOSIT = Route('works', '/deposit', open_to_all=True, idempotent=False)
OPERATION = 'Idempotency-Key: 0190aa00-0000-7000-8000-000000000000\r\n'


class _Dispatcher:
    """Dispatcher that fails, waits or answers, depending on the path."""

    def __init__(self) -> None:
        self.started = asyncio.Event()
        self.opened = asyncio.Event()

    async def serve(self, call: Call) -> Answer:
        if call.path == '/works/fail':
            raise RuntimeError(SECRET)
        if call.path == '/works/hold':
            self.started.set()
            await self.opened.wait()
        if call.path == '/works/late':
            return refuse(Reason.DEADLINE_EXPIRED)
        return SERVED


class _Connection:
    """One connection of a caller."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.headers: dict[str, str] = {}

    def send(self, path: str, headers: str = '') -> None:
        head = f'GET {path} HTTP/1.1\r\nHost: x\r\n{headers}\r\n'
        self.writer.write(head.encode())

    async def receive(self) -> tuple[int, str, str, bytes]:
        """Return status, verdict, reason and body."""
        head = await self.reader.readuntil(b'\r\n\r\n')
        first, *lines = head.decode().strip().split('\r\n')
        self.headers = headers = {
            name.lower(): value
            for name, _, value in (line.partition(': ') for line in lines)
        }
        body = await self.reader.readexactly(int(headers['content-length']))
        return (
            int(first.split()[1]),
            headers['turmeric-verdict'],
            headers.get('turmeric-reason', ''),
            body,
        )


Check = Callable[[Entry, _Dispatcher, _Connection, Any], Awaitable[None]]


def _run(check: Check) -> None:
    async def run() -> None:
        with socket.create_server((IP, 0)) as probe:
            port = probe.getsockname()[1]
        runtime: Any = mock.Mock(
            settings=Settings(
                HostSettings(IP, 'north', port, 2, 3, 4),
                PlatformSettings('http://127.0.0.1:1'),
            ),
            clock=SystemClock(),
            rng=random.Random(1),
        )
        routes = mock.Mock()
        routes.find = lambda method, path: NamedRoute(
            'works', DEPOSIT if path.startswith('/deposit') else ROUTE
        )
        config: Any = SimpleNamespace(routes=routes, is_stale=False)
        dispatcher = _Dispatcher()
        tls: Any = SimpleNamespace(entry=None)
        entry = Entry(runtime, config, dispatcher, tls)  # type: ignore[arg-type]
        await entry.start()
        streams = await asyncio.open_connection(IP, port)
        try:
            async with asyncio.timeout(20):
                connection = _Connection(*streams)
                await check(entry, dispatcher, connection, runtime.log)
        finally:
            streams[1].close()
            await entry.stop()

    asyncio.run(run())


def test_internal_error_is_reported_and_affects_no_other_request() -> None:
    """Guards against a lost answer, a false not-run and leaked error text."""

    async def check(
        entry: Entry, dispatcher: _Dispatcher, caller: _Connection, log: Any
    ) -> None:
        caller.send('/works/fail')
        status, verdict, reason, body = await caller.receive()
        assert (status, verdict) == (500, 'may-have-run')
        assert reason == 'internal-error'
        assert b'"reason":"internal-error"' in body
        assert SECRET.encode() not in body
        # The text of an error may quote a caller's key.
        assert log.error.call_args.kwargs['error'] == 'RuntimeError'
        assert SECRET not in str(log.mock_calls)
        caller.send('/works/1')
        assert await caller.receive() == (200, 'ran', '', b'done')
        await entry.wait_until_drained()

    _run(check)


def test_request_that_expires_in_a_queue_gets_retry_after() -> None:
    """Guards against callers that resend at once to an overloaded target."""

    async def check(
        entry: Entry, dispatcher: _Dispatcher, caller: _Connection, log: Any
    ) -> None:
        caller.send('/works/late')
        refused = await caller.receive()
        assert refused[:3] == (504, 'not-run', 'deadline-expired')
        assert int(caller.headers['retry-after']) >= 1

    _run(check)


def test_stopping_daemon_refuses_and_closes_the_connection() -> None:
    """Guards against callers that stay connected to a stopping daemon."""

    async def check(
        entry: Entry, dispatcher: _Dispatcher, caller: _Connection, log: Any
    ) -> None:
        caller.send('/works/1')
        assert await caller.receive() == (200, 'ran', '', b'done')
        entry.start_draining()
        caller.send('/works/2')
        refused = await caller.receive()
        assert refused[:3] == (503, 'not-run', 'daemon-stopping')
        assert await caller.reader.read() == b''

    _run(check)


def test_stopping_daemon_claims_nothing_about_earlier_attempts() -> None:
    """Guards against not-run when the home daemon was not queried."""

    async def check(
        entry: Entry, dispatcher: _Dispatcher, caller: _Connection, log: Any
    ) -> None:
        entry.start_draining()
        caller.send('/deposit/1', OPERATION)
        refused = await caller.receive()
        assert refused[:3] == (503, 'may-have-run', 'daemon-stopping')
        assert await caller.reader.read() == b''

    _run(check)


def test_request_in_flight_at_the_stop_gets_its_answer_first() -> None:
    """Guards against a connection that is closed before its answer."""

    async def check(
        entry: Entry, dispatcher: _Dispatcher, caller: _Connection, log: Any
    ) -> None:
        caller.send('/works/hold')
        await dispatcher.started.wait()
        entry.start_draining()
        dispatcher.opened.set()
        assert await caller.receive() == (200, 'ran', '', b'done')
        assert await caller.reader.read() == b''
        await entry.wait_until_drained()

    _run(check)
