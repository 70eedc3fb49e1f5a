"""Tests connections to the target with mixed, truncated, late answers."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import socket
import struct

import pytest

from turmericrouter_core.errors import AnswerInvalidError
from turmericrouter_core.errors import AnswerTooLargeError
from turmericrouter_core.errors import RequestInvalidError
from turmericrouter_core.errors import TargetBrokenError
from turmericrouter_core.errors import TargetError
from turmericrouter_core.errors import TargetStaleError
from turmericrouter_core.errors import TargetUnreachableError
from turmericrouter_daemon.target_connection import serialize
from turmericrouter_daemon.target_connection import TargetRequest
from turmericrouter_daemon.target_pool import TargetPool
from turmericrouter_standins.scripted_target import Script
from turmericrouter_standins.scripted_target import ScriptedRequest
from turmericrouter_standins.scripted_target import ScriptedTarget

HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n'
ANSWER = HEAD + b'first'
REFUSAL = b'HTTP/1.1 503 X\r\nTurmeric-Not-Run: 1\r\nContent-Length: 0\r\n\r\n'
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'


def _request(
    path: str = '/a', method: str = 'GET', *, idempotent: bool = False
) -> TargetRequest:
    return TargetRequest(method, path, (('X-A', 'b'),), b'in', idempotent)


def _with_pool(
    script: Script,
    check: Callable[[ScriptedTarget, TargetPool], Awaitable[None]],
) -> None:
    async def run() -> None:
        async with ScriptedTarget(script) as target:
            pool = TargetPool(
                '127.0.0.1',
                target.port,
                connect_timeout_s=5.0,
                max_answer_bytes=400_000,
            )
            async with asyncio.timeout(20):
                await check(target, pool)
            pool.close()

    asyncio.run(run())


LARGE = b'x' * 400_000
WHOLE = [
    ([HEAD.replace(b'5', b'400000'), LARGE], LARGE, True),
    ([bytes([byte]) for byte in ANSWER], b'first', True),
    ([HEAD[:20], HEAD[20:] + b'fi', b'rst'], b'first', True),
    ([CHUNKED + b'5\r\nfirst\r\n0\r\n\r\n'], b'first', True),
    ([b'HTTP/1.1 204 X\r\n\r\n'], b'', True),
    ([b'HTTP/1.1 100 X\r\n\r\n' + ANSWER], b'first', False),
    ([CHUNKED + b'5\r\nfirst\r\n0\r\n\r\nHTTP/1.1 2'], b'first', False),
]


@pytest.mark.parametrize(('parts', 'body', 'reused'), WHOLE)
def test_whole_answer_and_no_byte_of_another(
    parts: list[bytes], body: bytes, reused: bool
) -> None:
    """Fails if an answer is truncated or its bytes reach the next request."""

    async def script(request: ScriptedRequest) -> None:
        if request.number == 1:
            await request.send(*parts)
        else:
            await request.answer(b'second')

    async def check(target: ScriptedTarget, pool: TargetPool) -> None:
        assert (await pool.send(_request())).body == body
        assert (await pool.send(_request())).body == b'second'
        assert target.connections == (1 if reused else 2)

    _with_pool(script, check)


def test_late_bytes_of_an_idle_connection_are_not_an_answer() -> None:
    """Fails if bytes that come between two requests answer the second."""
    answered, sent = asyncio.Event(), asyncio.Event()

    async def script(request: ScriptedRequest) -> None:
        await request.answer(b'own %d' % request.number)
        if request.number == 1:
            await answered.wait()
            await request.send(ANSWER)
            sent.set()

    async def check(target: ScriptedTarget, pool: TargetPool) -> None:
        assert (await pool.send(_request())).body == b'own 1'
        answered.set()
        await sent.wait()
        assert (await pool.send(_request())).body == b'own 2'

    _with_pool(script, check)


@pytest.mark.parametrize('idempotent', [True, False])
def test_late_refusal_does_not_answer_the_next_request(
    idempotent: bool,
) -> None:
    """Fails if a refusal written once more tells a request "not run"."""
    writers: list[asyncio.StreamWriter] = []

    async def script(request: ScriptedRequest) -> None:
        writers.append(request.writer)
        if request.writer is writers[0]:
            await request.send(REFUSAL)
        else:
            await request.answer(b'own')

    async def check(target: ScriptedTarget, pool: TargetPool) -> None:
        assert (await pool.send(_request())).status == 503
        answer = await pool.send(_request(idempotent=idempotent))
        assert (answer.status, answer.body) == (200, b'own')

    _with_pool(script, check)


FAULTS = [
    ([], TargetBrokenError),
    ([HEAD[:20]], TargetBrokenError),
    ([HEAD + b'firs'], TargetBrokenError),
    ([CHUNKED + b'5\r\nfir'], TargetBrokenError),
    ([b'SSH-2.0-x\r\n\r\n'], AnswerInvalidError),
    ([CHUNKED + b'5\r\nfirst', b'xxxxx\r\n'], AnswerInvalidError),
    ([HEAD.replace(b'5', b'-5') + b'first'], AnswerInvalidError),
    ([ANSWER + b'late'], AnswerInvalidError),
    ([ANSWER + ANSWER], AnswerInvalidError),
    ([ANSWER + b'HTTP/1.1 20'], AnswerInvalidError),
    ([HEAD.replace(b'5', b'400001'), b'x' * 400_001], AnswerTooLargeError),
]


@pytest.mark.parametrize(('parts', 'error'), FAULTS)
def test_answer_that_is_not_whole_is_an_error(
    parts: list[bytes], error: type[TargetError]
) -> None:
    """Fails if a cut, wrong or oversized answer counts as an answer."""

    async def script(request: ScriptedRequest) -> None:
        await request.send(*parts)
        if error is not TargetBrokenError:
            await request.wait_closed()
        request.writer.close()

    async def check(target: ScriptedTarget, pool: TargetPool) -> None:
        with pytest.raises(error) as caught:
            await pool.send(_request(idempotent=True))
        assert caught.type is error
        assert len(target.requests) == 1
        assert pool.open_connections == 0

    _with_pool(script, check)


@pytest.mark.parametrize('idempotent', [True, False])
def test_connection_closed_at_reuse(idempotent: bool) -> None:
    """Fails on a resent non-idempotent request or a false crash report."""

    async def script(request: ScriptedRequest) -> None:
        if request.number == 2:
            request.close()
        else:
            await request.answer()

    async def check(target: ScriptedTarget, pool: TargetPool) -> None:
        await pool.send(_request())
        if idempotent:
            await pool.send(_request(idempotent=True))
        else:
            with pytest.raises(TargetStaleError):
                await pool.send(_request())
        assert len(target.requests) == (3 if idempotent else 2)
        assert pool.crash_epoch == 0

    _with_pool(script, check)


def test_crash_breaks_reused_connections_too() -> None:
    """Fails if a request on a reused connection hides a crash."""

    async def script(request: ScriptedRequest) -> None:
        if request.path == '/crash':
            target.stop()
        else:
            await request.answer()

    target = ScriptedTarget(script)

    async def run() -> None:
        await target.__aenter__()
        pool = TargetPool(
            '127.0.0.1',
            target.port,
            connect_timeout_s=5.0,
            max_answer_bytes=1000,
        )
        await pool.send(_request())
        with pytest.raises(TargetBrokenError):
            await pool.send(_request('/crash', idempotent=True))
        with pytest.raises(TargetUnreachableError):
            await pool.send(_request())
        await target.__aenter__()
        await pool.send(_request())
        assert pool.crash_epoch == 1
        pool.close()
        target.stop()

    asyncio.run(run())


TO_END = b'HTTP/1.1 200 OK\r\nX-Last: 1\r\n\r\n'
CHUNKED_ANSWER = CHUNKED + b'5\r\nfirst\r\n0\r\n\r\n'


def _end(request: ScriptedRequest, *, is_reset: bool) -> None:
    if is_reset:
        sock = request.writer.get_extra_info('socket')
        linger = struct.pack('ii', 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        request.close()
    else:
        request.writer.close()


@pytest.mark.parametrize('is_reset', [False, True])
@pytest.mark.parametrize('whole', [ANSWER, CHUNKED_ANSWER])
def test_no_prefix_of_an_answer_is_complete(
    whole: bytes, is_reset: bool
) -> None:
    """Fails if a head or body cut at any byte counts as an answer."""
    sizes = range(len(whole))

    async def script(request: ScriptedRequest) -> None:
        await request.send(whole[: sizes[request.number - 1]])
        _end(request, is_reset=is_reset)

    async def check(target: ScriptedTarget, pool: TargetPool) -> None:
        for _ in sizes:
            with pytest.raises(TargetBrokenError):
                await pool.send(_request())

    _with_pool(script, check)


def test_no_prefix_of_a_head_without_a_length_is_complete() -> None:
    """Fails if a cut head counts as one of an answer without a length."""
    sizes = range(len(TO_END))

    async def script(request: ScriptedRequest) -> None:
        await request.send(TO_END[: sizes[request.number - 1]])
        request.writer.close()

    async def check(target: ScriptedTarget, pool: TargetPool) -> None:
        for _ in sizes:
            with pytest.raises(TargetBrokenError):
                await pool.send(_request())

    _with_pool(script, check)


def test_cut_answer_does_not_merge_with_the_next_one() -> None:
    """Fails if a body counts under the status of another answer.

    The second answer begins in the phrase or a header of the first one.
    """
    cut = b'HTTP/1.1 200 Done\r\nX-A: b\r\nX-Last: 1\r\n'
    own = ANSWER.replace(b'200 OK', b'500 Failed')

    async def script(request: ScriptedRequest) -> None:
        await request.send(cut[: request.number] + own)

    async def check(target: ScriptedTarget, pool: TargetPool) -> None:
        for _ in cut:
            with pytest.raises(AnswerInvalidError):
                await pool.send(_request())
        assert target.connections == len(cut)

    _with_pool(script, check)


def test_proxy_that_names_its_address_is_no_second_answer() -> None:
    """Fails if an address in a header counts as a status."""
    via = b'\r\nVia: HTTP/1.1 192.0.2.7:80\r\n'
    answer = ANSWER.replace(b'\r\n', via, 1)

    async def script(request: ScriptedRequest) -> None:
        await request.send(answer)

    async def check(target: ScriptedTarget, pool: TargetPool) -> None:
        assert (await pool.send(_request())).status == 200

    _with_pool(script, check)


@pytest.mark.parametrize('is_reset', [False, True])
def test_answer_without_a_length_ends_with_its_connection(
    is_reset: bool,
) -> None:
    """Fails if a reset counts as the end of a body without a length."""

    async def script(request: ScriptedRequest) -> None:
        await request.send(TO_END + b'first')
        await asyncio.sleep(0.05)
        _end(request, is_reset=is_reset)

    async def check(target: ScriptedTarget, pool: TargetPool) -> None:
        if is_reset:
            with pytest.raises(TargetBrokenError):
                await pool.send(_request())
        else:
            assert (await pool.send(_request())).body == b'first'

    _with_pool(script, check)


@pytest.mark.parametrize(
    ('method', 'path', 'header'),
    [
        ('GE T', '/', ('A', 'b')),
        ('', '/', ('A', 'b')),
        ('GET', '/a b', ('A', 'b')),
        ('GET', '/a\r\nX: y', ('A', 'b')),
        ('GET', 'a', ('A', 'b')),
        ('GET', '/', ('A: x', 'b')),
        ('GET', '/', ('', 'b')),
        ('GET', '/', ('A', 'b\r\nC: d')),
        ('GET', '/', ('A', 'b\0')),
        ('GET', '/', ('A', '\u20ac')),
    ],
)
def test_smuggled_bytes_are_refused(
    method: str, path: str, header: tuple[str, str]
) -> None:
    """Fails if a caller can write a second request or header."""
    with pytest.raises(RequestInvalidError):
        serialize(TargetRequest(method, path, (header,), b''), 'h')
