"""Guards against requests that end others, hold memory or wait for ever."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import re

import pytest
import uvloop

from turmericrouter_dataplane import http_server
from turmericrouter_dataplane.fleet_config import CallerLimits
from turmericrouter_dataplane.http_server import HttpRequest
from turmericrouter_dataplane.http_server import HttpServer

_GET = b'GET /%d HTTP/1.1\r\nHost: h\r\n\r\n'
_POST = b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n'


class _Handler:
    """Keeps requests until the test answers them."""

    def __init__(self) -> None:
        self.requests: list[HttpRequest] = []
        self.abandoned: list[HttpRequest] = []

    def handle(self, request: HttpRequest) -> None:
        self.requests.append(request)

    def abandon(self, request: HttpRequest) -> None:
        self.abandoned.append(request)

    def answer(self, request: HttpRequest) -> None:
        head = b'HTTP/1.1 200 OK\r\nX-Target: %b\r\n' % request.target
        request.connection.respond(request, head, b'')


class _Fixture:
    """A server and one connection to it."""

    def __init__(
        self,
        server: HttpServer,
        handler: _Handler,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.server = server
        self.handler = handler
        self.reader = reader
        self.writer = writer

    async def send(self, data: bytes) -> None:
        """Send bytes and let the server read them."""
        self.writer.write(data)
        await asyncio.sleep(0.05)


def play(scenario: Callable[[_Fixture], Awaitable[None]]) -> None:
    """Run a scenario on the loop of the daemon and on that of asyncio."""

    async def work() -> None:
        handler = _Handler()
        server = HttpServer(handler)
        await server.start('127.0.0.1', 0)
        assert server._server is not None
        port = server._server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        async with asyncio.timeout(10.0):
            await scenario(_Fixture(server, handler, reader, writer))
        writer.close()
        server.stop_listening()

    for loop_factory in (uvloop.new_event_loop, None):
        with asyncio.Runner(loop_factory=loop_factory) as runner:
            runner.run(work())


def test_malformed_pipelined_request_leaves_the_ones_before_it() -> None:
    """Guards against an answer that is lost to a later request."""

    async def scenario(fixture: _Fixture) -> None:
        await fixture.send(_GET % 1 + _GET % 2 + b'\x00 nonsense\r\n\r\n')
        assert not fixture.handler.abandoned
        fixture.handler.answer(fixture.handler.requests[0])
        fixture.handler.answer(fixture.handler.requests[1])
        received = await fixture.reader.read()
        assert b'X-Target: /1' in received
        assert b'X-Target: /2' in received
        assert received.count(b'HTTP/1.1 ') == 2

    play(scenario)


def test_stop_answers_each_request_that_was_read() -> None:
    """Guards against pipelined requests that a stop drops."""

    async def scenario(fixture: _Fixture) -> None:
        await fixture.send(_GET % 1 + _GET % 2 + _GET % 3)
        fixture.server.is_leaving = True
        for number in range(3):
            fixture.handler.answer(fixture.handler.requests[number])
        received = await fixture.reader.read()
        targets = re.findall(rb'X-Target: /(.)', received)
        assert targets == [b'1', b'2', b'3']
        assert received.count(b'Connection: close') == 1
        assert b'Connection: close' in received.split(b'X-Target: /3')[1]

    play(scenario)


def test_requests_before_too_many_pipelined_ones_are_answered() -> None:
    """Guards against a limit of pipelined requests that ends earlier ones."""

    async def scenario(fixture: _Fixture) -> None:
        await fixture.send(b''.join(_GET % number for number in range(100)))
        await fixture.send(b''.join(_GET % number for number in range(100)))
        assert not fixture.handler.abandoned
        taken = 1 + http_server._MAX_PIPELINED_REQUESTS
        for number in range(taken):
            fixture.handler.answer(fixture.handler.requests[number])
        received = await fixture.reader.read()
        targets = re.findall(rb'X-Target: /(\d+)', received)
        assert targets == [b'%d' % number for number in range(taken)]
        assert received.count(b'Connection: close') == 1
        assert len(fixture.handler.requests) == taken

    play(scenario)


def test_stop_refuses_requests_that_were_read_in_part() -> None:
    """Guards against a closed connection that leaves its caller in doubt."""

    async def scenario(fixture: _Fixture) -> None:
        await fixture.send(_POST + b'\r\n012')
        fixture.server.refuse_unfinished()
        await fixture.send(b'3456789')
        received = await fixture.reader.read()
        assert received.startswith(b'HTTP/1.1 503 ')
        assert received.count(b'HTTP/1.1 ') == 1
        assert not fixture.handler.requests

    play(scenario)


def test_refusing_a_part_of_a_request_leaves_the_one_before_it() -> None:
    """Guards against a stop that answers in the place of a target."""

    async def scenario(fixture: _Fixture) -> None:
        await fixture.send(_GET % 1 + _POST + b'\r\n012')
        fixture.server.refuse_unfinished()
        fixture.handler.answer(fixture.handler.requests[0])
        received = await fixture.reader.read()
        assert received.startswith(b'HTTP/1.1 200 ')
        assert b'Connection: close' in received
        assert received.count(b'HTTP/1.1 ') == 1

    play(scenario)


def test_body_that_stops_midway_is_refused() -> None:
    """Guards against connections that hold a part of a body for ever."""

    async def scenario(fixture: _Fixture) -> None:
        fixture.server.limits = CallerLimits(idle_timeout_s=0.1)
        await fixture.send(_POST + b'\r\n12345')
        await asyncio.sleep(0.15)
        fixture.server.close_slow()
        received = await fixture.reader.read()
        assert received.startswith(b'HTTP/1.1 408 ')
        assert not fixture.handler.requests

    play(scenario)


def test_slow_body_that_goes_on_is_read() -> None:
    """Guards against a limit on slow callers that do send."""

    async def scenario(fixture: _Fixture) -> None:
        fixture.server.limits = CallerLimits(idle_timeout_s=0.2)
        await fixture.send(_POST + b'\r\n')
        for _ in range(10):
            await fixture.send(b'x')
            fixture.server.close_slow()
        assert fixture.handler.requests[0].body == b'x' * 10

    play(scenario)


def test_request_is_served_longer_than_a_body_may_pause() -> None:
    """Guards against a body limit that counts the time of the target."""

    async def scenario(fixture: _Fixture) -> None:
        fixture.server.limits = CallerLimits(idle_timeout_s=0.05)
        await fixture.send(_POST + b'\r\n0123456789')
        await asyncio.sleep(0.1)
        fixture.server.close_slow()
        fixture.handler.answer(fixture.handler.requests[0])
        line = await fixture.reader.readline()
        assert line.startswith(b'HTTP/1.1 200 ')

    play(scenario)


def test_only_a_known_expectation_is_continued() -> None:
    """Guards against an interim answer that the caller does not expect."""

    async def scenario(fixture: _Fixture) -> None:
        await fixture.send(_POST + b'Expect: something-else\r\n\r\n0123456789')
        fixture.handler.answer(fixture.handler.requests[0])
        line = await fixture.reader.readline()
        assert line.startswith(b'HTTP/1.1 200 ')
        await fixture.reader.readuntil(b'\r\n\r\n')
        await fixture.send(_POST + b'Expect: 100-Continue\r\n\r\n')
        line = await fixture.reader.readline()
        assert line.startswith(b'HTTP/1.1 100 ')

    play(scenario)


def test_refusal_is_read_by_a_caller_that_is_still_sending() -> None:
    """Guards against a reset that destroys the answer to a large body."""

    async def scenario(fixture: _Fixture) -> None:
        fixture.server.limits = CallerLimits(max_body_bytes=5)
        await fixture.send(_POST + b'\r\n012345')
        for _ in range(10):
            await fixture.send(b'6')
        received = await fixture.reader.read()
        assert received.startswith(b'HTTP/1.1 413 ')
        assert received.count(b'HTTP/1.1 ') == 1

    play(scenario)


def test_last_answer_is_read_by_a_caller_that_is_still_sending() -> None:
    """Guards against a reset that destroys the last answer of a stop."""

    async def scenario(fixture: _Fixture) -> None:
        await fixture.send(_GET % 1)
        fixture.server.is_leaving = True
        request = fixture.handler.requests[0]
        head = b'HTTP/1.1 200 OK\r\n'
        request.connection.respond(request, head, b'x' * 8_000_000)
        await fixture.send(_GET % 2)
        await fixture.send(_GET % 3)
        received = await fixture.reader.read()
        assert received.endswith(b'x' * 8_000_000)
        assert len(fixture.handler.requests) == 1, 'a late request was taken'

    play(scenario)


def test_callers_that_never_close_are_not_waited_for_long(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against closed connections that callers keep for ever."""
    monkeypatch.setattr(http_server, '_LINGER_S', 0.1)

    async def scenario(fixture: _Fixture) -> None:
        await fixture.send(_GET % 1)
        fixture.server.is_leaving = True
        fixture.handler.answer(fixture.handler.requests[0])
        fixture.server.close_idle(0.0)
        fixture.server.close_lingering()
        await asyncio.sleep(0.15)
        assert fixture.server.connections, 'closed before the caller'
        fixture.server.close_lingering()
        await asyncio.sleep(0.05)
        assert not fixture.server.connections
        assert not fixture.server.lingering

    play(scenario)


@pytest.mark.parametrize(
    'name', ['_MAX_DISCARDED_BYTES', '_MAX_LINGERING_CONNECTIONS']
)
def test_bytes_and_number_of_closed_connections_are_bounded(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against callers that make the server read without end."""
    monkeypatch.setattr(http_server, name, 1)

    async def scenario(fixture: _Fixture) -> None:
        await fixture.send(b'\x00 nonsense\r\n\r\n')
        first = next(iter(fixture.server.connections))
        assert first.is_open
        assert fixture.server.lingering
        if name == '_MAX_DISCARDED_BYTES':
            await fixture.send(b'12')
        else:
            port = fixture.writer.get_extra_info('peername')[1]
            _, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(b'\x00 nonsense\r\n\r\n')
            await asyncio.sleep(0.05)
            writer.close()
        await asyncio.sleep(0.05)
        assert not first.is_open
        assert first not in fixture.server.lingering

    play(scenario)
