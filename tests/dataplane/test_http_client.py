"""Guards against answers that reach another request, and half answers."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from unittest import mock

import pytest

import scripted_target
from turmericrouter_dataplane import http_client
from turmericrouter_dataplane.http_client import Failure
from turmericrouter_dataplane.http_client import HttpClientConnection
from turmericrouter_dataplane.http_client import HttpResponse

REQUEST = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
Result = HttpResponse | Failure


def answer(request_id: bytes, body: bytes = b'ok') -> bytes:
    return b'HTTP/1.1 200 OK\r\nX-Id: %b\r\nContent-Length: %d\r\n\r\n%b' % (
        request_id,
        len(body),
        body,
    )


async def exchange(
    *parts: bytes, reset: bool = False, close: bool = False
) -> tuple[Result, HttpClientConnection]:
    """Send a request with id `own` to a server that sends these parts."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0.02)
        if reset:
            scripted_target.reset(writer)
        elif not close:
            await reader.read()

    server = await scripted_target.start_server(serve)
    port = server.sockets[0].getsockname()[1]
    connection = await http_client.connect(
        '127.0.0.1', port, lambda _: None, timeout_s=2.0, id_header=b'x-id'
    )
    future: asyncio.Future[Result] = asyncio.get_running_loop().create_future()
    connection.send(REQUEST, future.set_result, expected_id=b'own')
    result = await asyncio.wait_for(future, 5.0)
    server.close()
    return result, connection


def run(work: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(work())  # type: ignore[arg-type]


async def expect_body(body: bytes, *parts: bytes, close: bool = False) -> bool:
    """Check the body, and return whether the connection may be reused."""
    result, connection = await exchange(*parts, close=close)
    assert isinstance(result, HttpResponse)
    assert result.body == body
    is_reusable = connection.is_reusable
    connection.abort()
    return is_reusable


def test_whole_answer_leaves_the_connection_usable() -> None:
    assert asyncio.run(expect_body(b'ok', answer(b'own')))


def test_late_answer_of_another_request_is_skipped() -> None:
    parts = answer(b'other', b'no'), answer(b'own')
    assert not asyncio.run(expect_body(b'ok', *parts))


def test_answer_without_an_id_is_no_answer_to_the_request() -> None:
    stray = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno'
    assert not asyncio.run(expect_body(b'ok', stray, answer(b'own')))


def test_refusal_without_an_id_is_taken_at_once() -> None:
    async def work() -> None:
        refusal = b'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n'
        result, connection = await exchange(refusal)
        assert isinstance(result, HttpResponse)
        assert result.status == 503
        connection.abort()

    run(work)


def test_surplus_answer_in_the_same_segment_spoils_the_connection() -> None:
    parts = answer(b'own') + answer(b'own', b'no')
    assert not asyncio.run(expect_body(b'ok', parts))


def test_surplus_bytes_in_the_same_segment_spoil_the_connection() -> None:
    assert not asyncio.run(expect_body(b'ok', answer(b'own') + b'junk'))


def test_surplus_answer_never_goes_to_the_next_request() -> None:
    """The callback of the first answer sends the next request at once."""

    async def work() -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(answer(b'own') + answer(b'own', b'no'))
            await asyncio.sleep(0.2)
            writer.close()

        server = await scripted_target.start_server(serve)
        port = server.sockets[0].getsockname()[1]
        connection = await http_client.connect(
            '127.0.0.1', port, lambda _: None, timeout_s=2.0, id_header=b'x-id'
        )
        reusable: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )

        def first(result: Result) -> None:
            reusable.set_result(connection.is_reusable)

        connection.send(REQUEST, first, expected_id=b'own')
        assert not await asyncio.wait_for(reusable, 5.0)
        connection.abort()
        server.close()

    run(work)


def test_answer_that_ends_with_its_connection_is_whole() -> None:
    head = b'HTTP/1.1 200 OK\r\nX-Id: own\r\n\r\n'
    assert not asyncio.run(expect_body(b'body', head, b'body', close=True))


@pytest.mark.parametrize(
    ('parts', 'reset', 'close', 'failure'),
    [
        ((b'HTTP/1.1 200 OK\r\nX-Id: own\r\n\r\n', b'bo'), True, False,
         Failure.BROKEN),
        ((answer(b'own', b'0123456789')[:-4],), False, True, Failure.BROKEN),
        ((b'\x00\x01 what is this\r\n\r\n',), False, False, Failure.INVALID),
        ((b'',), False, True, Failure.BROKEN),
    ],
)  # fmt: skip
def test_answer_that_breaks_off_is_a_failure(
    parts: tuple[bytes, ...], reset: bool, close: bool, failure: Failure
) -> None:
    async def work() -> None:
        result, connection = await exchange(*parts, reset=reset, close=close)
        assert result is failure
        connection.abort()

    run(work)


def test_bytes_without_a_request_close_the_connection() -> None:
    async def work() -> None:
        result, connection = await exchange(answer(b'own'), b'surplus')
        assert isinstance(result, HttpResponse)
        for _ in range(100):
            if not connection.is_open:
                break
            await asyncio.sleep(0.02)
        assert not connection.is_reusable

    run(work)


def test_chunked_body_is_joined() -> None:
    head = (
        b'HTTP/1.1 200 OK\r\nX-Id: own\r\nTransfer-Encoding: chunked\r\n\r\n'
    )
    parts = head, b'3\r\nabc\r\n', b'2\r\nde\r\n0\r\n\r\n'
    assert asyncio.run(expect_body(b'abcde', *parts))


def test_large_answer_whose_head_arrives_in_two_parts_is_read() -> None:
    """Guards against a limit on heads that counts the body beside it."""

    async def work() -> None:
        results: list[Result] = []
        connection = HttpClientConnection(lambda _: None, id_header=b'x-id')
        transport: Any = mock.Mock()
        transport.is_closing.return_value = False
        transport.get_write_buffer_size.return_value = 0
        connection.connection_made(transport)
        connection.send(REQUEST, results.append, expected_id=b'own')
        body = bytes(http_client.MAX_HEAD_BYTES)
        data = answer(b'own', body)
        connection.data_received(data[:5])
        connection.data_received(data[5:])
        assert isinstance(results[0], HttpResponse)
        assert results[0].body == body

    asyncio.run(work())


def test_refusal_after_a_skipped_answer_is_not_certainly_the_own() -> None:
    """Guards against a first request whose second answer is believed.

    An answer without an id is certain only as the first of its connection.
    """

    async def work() -> None:
        late = b'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n'
        result, connection = await exchange(answer(b'other') + late)
        assert isinstance(result, HttpResponse)
        assert not result.is_attributed
        assert not connection.is_reusable
        connection.abort()

    run(work)


def test_refusal_after_an_interim_answer_is_certainly_the_own() -> None:
    """Guards against interim answers that count as answers."""

    async def work() -> None:
        interim = b'HTTP/1.1 100 Continue\r\n\r\n'
        refusal = b'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n'
        result, connection = await exchange(interim + refusal)
        assert isinstance(result, HttpResponse)
        assert result.is_attributed
        connection.abort()

    run(work)
