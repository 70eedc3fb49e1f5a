"""A server whose bytes go on until the caller closes costs bounded memory.

Bytes that are no answer may come without end, in a head or a body.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import os
import pathlib

import pytest

from scripted_target import start_server
from turmericrouter_dataplane import http_client
from turmericrouter_dataplane.http_client import Failure
from turmericrouter_dataplane.http_client import HttpClientConnection
from turmericrouter_dataplane.http_client import HttpResponse
from turmericrouter_dataplane.receive_budget import ReceiveBudget

REQUEST = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
CONNECTIONS = 50
BUDGET_BYTES = 32 * 1024 * 1024
# Allowed beside the buffered answers: parsers, sockets and the test's server.
OTHER_MEMORY_BYTES = 32 * 1024 * 1024
TIMEOUT_S = 60.0
_FILL = b'x' * 65_536
_OK = b'HTTP/1.1 200 OK\r\nX-Id: own\r\n'

# What the server sends once, and then without end.
ENDLESS = {
    'no-protocol': (b'', _FILL),
    'status-line': (b'HTTP/1.1 200 ', _FILL),
    'header-line': (_OK + b'X-Long: ', _FILL),
    'header-lines': (_OK, b'X-Line: 1\r\n' * 4096),
    'interim': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 2048),
    'other-ids': (
        b'',
        b'HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 0\r\n\r\n' * 512,
    ),
    'body-to-close': (_OK + b'\r\n', _FILL),
    'body-announced': (_OK + b'Content-Length: 99999999999\r\n\r\n', _FILL),
    'chunks': (
        _OK + b'Transfer-Encoding: chunked\r\n\r\n',
        b'10000\r\n' + _FILL + b'\r\n',
    ),
    'chunk-extension': (
        _OK + b'Transfer-Encoding: chunked\r\n\r\n1;',
        _FILL,
    ),
    'trailers': (
        _OK + b'Transfer-Encoding: chunked\r\n\r\n0\r\n',
        b'X-Line: 1\r\n' * 4096,
    ),
}


def _resident_bytes() -> int:
    pages = pathlib.Path('/proc/self/statm').read_text().split()[1]
    return int(pages) * os.sysconf('SC_PAGE_SIZE')


async def _serve_endless(
    head: bytes, rest: bytes, reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:  # fmt: skip
    with contextlib.suppress(OSError):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(head)
        while True:
            writer.write(rest)
            await writer.drain()


async def _with_server(
    head: bytes, rest: bytes, check: Callable[[int], Awaitable[None]]
) -> None:
    server = await start_server(lambda r, w: _serve_endless(head, rest, r, w))
    async with asyncio.timeout(TIMEOUT_S):
        await check(server.sockets[0].getsockname()[1])
    server.close()


async def _request(
    port: int, budget: ReceiveBudget
) -> tuple[HttpResponse | Failure, HttpClientConnection]:
    connection = await http_client.connect(
        '127.0.0.1',
        port,
        lambda _: None,
        timeout_s=5.0,
        id_header=b'x-id',
        budget=budget,
    )
    future: asyncio.Future[HttpResponse | Failure] = (
        asyncio.get_running_loop().create_future()
    )
    connection.send(REQUEST, future.set_result, expected_id=b'own')
    return await future, connection


@pytest.mark.parametrize('kind', ENDLESS)
def test_endless_answer_fails_and_its_memory_is_bounded(kind: str) -> None:
    """Guards against a target that fills the memory of its daemon."""

    async def check(port: int) -> None:
        budget = ReceiveBudget(BUDGET_BYTES)
        before = _resident_bytes()
        peak = before

        async def watch() -> None:
            nonlocal peak
            while True:
                peak = max(peak, _resident_bytes())
                await asyncio.sleep(0.005)

        watcher = asyncio.create_task(watch())
        results = await asyncio.gather(
            *(_request(port, budget) for _ in range(CONNECTIONS))
        )
        watcher.cancel()
        assert {result for result, _ in results} <= {
            Failure.INVALID,
            Failure.BROKEN,
        }
        assert peak - before <= BUDGET_BYTES + OTHER_MEMORY_BYTES
        for _, connection in results:
            connection.abort()
        await asyncio.sleep(0.05)
        assert budget.used_bytes == 0

    asyncio.run(_with_server(*ENDLESS[kind], check))


def test_whole_answer_returns_what_it_took_of_the_budget() -> None:
    """Guards against a budget that is used up by answers long delivered."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(_OK + b'Content-Length: 1000000\r\n\r\n' + bytes(10**6))
        await reader.read()

    async def work() -> None:
        server = await start_server(serve)
        port = server.sockets[0].getsockname()[1]
        budget = ReceiveBudget(2_000_000)
        for _ in range(5):
            result, connection = await _request(port, budget)
            assert isinstance(result, HttpResponse)
            assert len(result.body) == 10**6
            connection.close()
        assert budget.used_bytes == 0
        server.close()

    asyncio.run(work())
