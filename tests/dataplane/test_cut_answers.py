"""Guards against an answer that ends early and looks complete.

A caller would get a success with an empty or short body.
"""

import asyncio
import random
from typing import Any
from unittest import mock

import pytest

from dataplane_values import make_route
from dataplane_values import NAMES
from scripted_target import make_answer
from scripted_target import reset
from scripted_target import start_server
from turmericrouter_core.verdict import Reason
from turmericrouter_core.verdict import Verdict
from turmericrouter_dataplane.call import Call
from turmericrouter_dataplane.decision_log import DecisionLog
from turmericrouter_dataplane.frames import Dispatch
from turmericrouter_dataplane.frames import Outcome
from turmericrouter_dataplane.gate import Gate
from turmericrouter_dataplane.http_client import Failure
from turmericrouter_dataplane.http_client import HttpClientConnection
from turmericrouter_dataplane.http_client import HttpResponse
from turmericrouter_dataplane.local_target import LocalTarget
from turmericrouter_dataplane.metrics import Metrics
from turmericrouter_dataplane.policy.target_chooser import TargetState
from turmericrouter_dataplane.refusals import Refusals
from turmericrouter_dataplane.settings import Address
from turmericrouter_dataplane.timers import TimerService

Result = HttpResponse | Failure

_OK = b'HTTP/1.1 200 OK\r\nX-Id: own\r\nX-Sign: s\r\n'
_LENGTH = _OK + b'Content-Length: 12\r\nX-Last: 1\r\n\r\nhello world!'
_TO_END = _OK + b'Connection: close\r\n\r\n'

_LATE = b'HTTP/1.1 503 X\r\nX-Id: other\r\nContent-Length: 4\r\n\r\nbusy'

# Whole answers whose every proper prefix is incomplete.
FRAMED = {
    'length': _LENGTH,
    'length-last': _OK + b'Content-Length: 12\r\n\r\nhello world!',
    'length-lower-case': _LENGTH.replace(b'Content-Length', b'content-length'),
    'no-body': _OK + b'Content-Length: 0\r\n\r\n',
    'chunked': (
        _OK + b'Transfer-Encoding: chunked\r\n\r\n'
        b'5\r\nhello\r\n7;x=1\r\n world!\r\n0\r\n\r\n'
    ),
    'chunked-trailer': (
        _OK + b'Transfer-Encoding: gzip, chunked\r\n\r\n'
        b'5\r\nhello\r\n0\r\nX-Trailer: 1\r\n\r\n'
    ),
    'http-1.0': _LENGTH.replace(b'HTTP/1.1', b'HTTP/1.0'),
    '204': b'HTTP/1.1 204 No Content\r\nX-Id: own\r\nX-Last: 1\r\n\r\n',
    '304': b'HTTP/1.1 304 X\r\nX-Id: own\r\nContent-Length: 12\r\n\r\n',
    '500': _LENGTH.replace(b'200 OK', b'500 Failed'),
    'after-100': b'HTTP/1.1 100 Continue\r\n\r\n' + _LENGTH,
    'after-103': b'HTTP/1.1 103 X\r\nX-Id: own\r\n\r\n' + _LENGTH,
    'after-late': _LENGTH.replace(b'own', b'other') + _LENGTH,
}
# Heads of answers that end with their connection.
UNFRAMED = {
    'close': _TO_END,
    'keep-alive': _OK + b'Connection: keep-alive\r\n\r\n',
    'http-1.0': _TO_END.replace(b'HTTP/1.1', b'HTTP/1.0'),
    'after-100': b'HTTP/1.1 100 Continue\r\n\r\n' + _TO_END,
}


class _Exchange:
    """One request on a connection without a socket.

    Args:
        method: Method of the request.
        is_used: Whether the connection has carried a whole answer before.
    """

    def __init__(self, method: str = 'GET', *, is_used: bool = False) -> None:
        self.results: list[Result] = []
        self.connection = HttpClientConnection(
            lambda _: None, id_header=b'x-id'
        )
        transport: Any = mock.Mock()
        transport.is_closing.return_value = False
        transport.get_write_buffer_size.return_value = 0
        self.connection.connection_made(transport)
        if is_used:
            self.connection.send(b'', lambda _: None, expected_id=b'first')
            self.connection.data_received(_LENGTH.replace(b'own', b'first'))
            assert self.connection.is_reusable
        self.connection.send(
            b'',
            self.results.append,
            expected_id=b'own',
            is_head=method == 'HEAD',
        )

    def receive(self, data: bytes, *, segment_size: int = 0) -> None:
        size = segment_size or max(1, len(data))
        for start in range(0, len(data), size):
            self.connection.data_received(data[start : start + size])

    def end(self, *, is_reset: bool) -> None:
        """End the connection as asyncio reports it."""
        if is_reset:
            self.connection.connection_lost(ConnectionResetError())
        else:
            self.connection.eof_received()
            self.connection.connection_lost(None)


@pytest.mark.parametrize('is_used', [False, True])
@pytest.mark.parametrize('segment_size', [0, 1, 7])
@pytest.mark.parametrize('is_reset', [False, True])
@pytest.mark.parametrize('kind', FRAMED)
def test_no_prefix_of_an_answer_is_delivered(
    kind: str, is_reset: bool, segment_size: int, is_used: bool
) -> None:
    """Guards against a head or body that is cut at any of its bytes."""
    data = FRAMED[kind]
    for size in range(len(data)):
        exchange = _Exchange(is_used=is_used)
        exchange.receive(data[:size], segment_size=segment_size)
        assert not exchange.results, data[:size]
        exchange.end(is_reset=is_reset)
        assert exchange.results == [Failure.BROKEN], data[:size]
    exchange = _Exchange(is_used=is_used)
    exchange.receive(data, segment_size=segment_size)
    assert isinstance(exchange.results[0], HttpResponse)


@pytest.mark.parametrize('is_reset', [False, True])
@pytest.mark.parametrize('kind', FRAMED)
def test_no_prefix_of_a_head_answers_a_head_request(
    kind: str, is_reset: bool
) -> None:
    """Guards against a cut head of an answer that has no body."""
    data = FRAMED[kind]
    head = data[: data.rindex(b'X-Id: own')]
    head += data[len(head) :].partition(b'\r\n\r\n')[0] + b'\r\n\r\n'
    for size in range(len(head)):
        exchange = _Exchange('HEAD')
        exchange.receive(head[:size])
        exchange.end(is_reset=is_reset)
        assert exchange.results == [Failure.BROKEN], head[:size]


@pytest.mark.parametrize('segment_size', [0, 1])
@pytest.mark.parametrize('kind', UNFRAMED)
def test_answer_that_ends_with_its_connection_has_its_whole_head(
    kind: str, segment_size: int
) -> None:
    """Guards against a cut head that is taken for one without a length."""
    head = UNFRAMED[kind]
    for size in range(len(head)):
        exchange = _Exchange()
        exchange.receive(head[:size], segment_size=segment_size)
        exchange.end(is_reset=False)
        assert exchange.results == [Failure.BROKEN], head[:size]
    for body in (b'', b'hello'):
        exchange = _Exchange()
        exchange.receive(head + body, segment_size=segment_size)
        assert not exchange.results
        exchange.end(is_reset=False)
        (result,) = exchange.results
        assert isinstance(result, HttpResponse)
        assert result.body == body
        assert not exchange.connection.is_reusable


@pytest.mark.parametrize('kind', UNFRAMED)
def test_answer_without_a_length_that_is_reset_is_not_complete(
    kind: str,
) -> None:
    """Guards against a reset that counts as the end of a body."""
    for body in (b'', b'hello'):
        exchange = _Exchange()
        exchange.receive(UNFRAMED[kind] + body)
        exchange.end(is_reset=True)
        assert exchange.results == [Failure.BROKEN]


@pytest.mark.parametrize(
    'framing',
    [
        b'Content-Length: 5\r\nTransfer-Encoding: chunked\r\n',
        b'Transfer-Encoding: chunked\r\nContent-Length: 5\r\n',
        b'Content-Length: 5\r\nContent-Length: 12\r\n',
        b'Content-Length: 5\r\nContent-Length: 5\r\n',
        b'Content-Length: 5, 12\r\n',
        b'Content-Length:\r\n',
        b'Content-Length: -5\r\n',
        b'Content-Length: +5\r\n',
        b'Content-Length: 0x5\r\n',
        b'Content-Length: 5.0\r\n',
        b'Content-Length: 5\t2\r\n',
        b'Content-Length: 5\x0b\r\n',
        b'Content-Length : 5\r\n',
        b'Content-Length: 99999999999999999999\r\n',
        b'Content-Length: 5\r\n 2\r\n',
        b'Content-Le\r\n',
        b'Transfer-Encoding: gzip\r\n',
        b'Transfer-Encoding: chunked, gzip\r\n',
        b'Transfer-Encoding: identity\r\n',
        b'Transfer-Encoding: xchunked\r\n',
        b'Transfer-Encoding: "chunked"\r\n',
        b'Transfer-Encoding : chunked\r\n',
        b'Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n',
    ],
)
def test_answer_of_unclear_length_is_a_failure(framing: bytes) -> None:
    """Guards against a body that ends where only one of two lengths says."""
    exchange = _Exchange()
    exchange.receive(_OK + framing + b'\r\n' + b'hello world!')
    exchange.end(is_reset=False)
    assert len(exchange.results) == 1
    assert isinstance(exchange.results[0], Failure)


@pytest.mark.parametrize(
    'size',
    [b'', b'+5', b'-5', b'0x5', b'5 ', b'5.', b'f' * 17, b'1' + b'0' * 16],
)
def test_chunk_of_unclear_size_is_a_failure(size: bytes) -> None:
    """Guards against a chunk whose size is read as a smaller one."""
    exchange = _Exchange()
    head = _OK + b'Transfer-Encoding: chunked\r\n\r\n'
    exchange.receive(head + size + b'\r\nhello\r\n0\r\n\r\n')
    exchange.end(is_reset=False)
    assert len(exchange.results) == 1
    assert isinstance(exchange.results[0], Failure)


@pytest.mark.parametrize(
    'line',
    [b'HTTP/1.1', b'HTTP/1.1 ', b'HTTP/1.1 2', b'HTTP/1.1 20', b'HTTP/1. 200'],
)
@pytest.mark.parametrize('is_reset', [False, True])
def test_cut_status_line_before_a_whole_head_is_a_failure(
    line: bytes, is_reset: bool
) -> None:
    """Guards against a code that is taken from its first digits."""
    exchange = _Exchange()
    exchange.receive(line + _LENGTH.removeprefix(b'HTTP/1.1 200 OK'))
    exchange.end(is_reset=is_reset)
    assert len(exchange.results) == 1
    assert isinstance(exchange.results[0], Failure)


@pytest.mark.parametrize('timing', ['together', 'idle', 'next-request'])
@pytest.mark.parametrize('status', [b'204', b'304'])
def test_body_of_an_answer_without_one_answers_no_request(
    status: bytes, timing: str
) -> None:
    """Guards against a body that is read as the next answer."""
    head = _LENGTH.removesuffix(b'hello world!').replace(b'200', status)
    exchange = _Exchange()
    if timing == 'together':
        exchange.receive(head + b'hello world!')
    else:
        exchange.receive(head)
    (result,) = exchange.results
    assert isinstance(result, HttpResponse)
    assert result.body == b''
    if timing == 'idle':
        exchange.receive(b'hello world!')
    if timing == 'next-request':
        results: list[Result] = []
        exchange.connection.send(b'', results.append, expected_id=b'next')
        exchange.receive(b'hello world!')
        assert results == [Failure.INVALID]
    assert not exchange.connection.is_reusable


@pytest.mark.parametrize('data', [_LENGTH, FRAMED['chunked']])
def test_body_of_an_answer_to_head_spoils_the_connection(data: bytes) -> None:
    """Guards against a body that is read as the next answer."""
    for segment_size in (0, 1):
        exchange = _Exchange('HEAD')
        exchange.receive(data, segment_size=segment_size)
        (result,) = exchange.results
        assert isinstance(result, HttpResponse)
        assert (result.status, result.body) == (200, b'')
        assert not exchange.connection.is_reusable


@pytest.mark.parametrize('segment_size', [0, 1])
def test_late_answers_between_interim_ones_are_skipped(
    segment_size: int,
) -> None:
    """Guards against a copy that counts as the end of an interim answer."""
    exchange = _Exchange(is_used=True)
    interim = b'HTTP/1.1 100 Continue\r\n\r\n'
    own_interim = b'HTTP/1.1 103 X\r\nX-Id: own\r\n\r\n'
    data = interim + _LATE + own_interim + _LATE + interim + _LENGTH
    exchange.receive(data, segment_size=segment_size)
    (result,) = exchange.results
    assert isinstance(result, HttpResponse)
    assert (result.status, result.body) == (200, b'hello world!')
    assert result.is_attributed
    assert not exchange.connection.is_reusable


@pytest.mark.parametrize('request_id', [b'next', b'first'])
def test_copy_right_after_the_hand_over_is_not_certainly_the_own(
    request_id: bytes,
) -> None:
    """Guards against a copy read in the turn that sends the next request."""
    results: list[Result] = []
    exchange = _Exchange()
    connection = exchange.connection

    def send_next(result: Result) -> None:
        connection.send(b'', results.append, expected_id=request_id)

    connection.abort()
    connection.send(b'', send_next, expected_id=b'first')
    refusal = b'HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n'
    if request_id == b'first':
        refusal = refusal.replace(b'X\r\n', b'X\r\nX-Id: first\r\n')
    exchange.receive(refusal)
    assert not results
    exchange.receive(refusal)
    (result,) = results
    assert isinstance(result, HttpResponse)
    assert not result.is_attributed
    assert not connection.is_reusable


def _run_cut(data: bytes, *, is_reset: bool, is_idempotent: bool) -> Outcome:
    """Run a request at a target that sends these bytes and then closes."""

    async def work() -> Outcome:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(data)
            await writer.drain()
            if is_reset:
                reset(writer)
            writer.close()

        server = await start_server(serve)
        address = Address(*server.sockets[0].getsockname()[:2])
        timers = TimerService(lambda name, error: None)
        gate = Gate(
            NAMES, timers, DecisionLog('host'), lambda digest, target: None
        )
        gate.set_target(
            LocalTarget('t-1', 'design', address, 4, TargetState.SERVING)
        )
        outcome: asyncio.Future[Outcome] = (
            asyncio.get_running_loop().create_future()
        )
        frame = Dispatch(
            1, '', 1, is_idempotent, 2000, 0, b'GET / HTTP/1.1\r\n', b'',
            b'own', 0,
        )  # fmt: skip
        gate.submit(frame, outcome.set_result)
        async with asyncio.timeout(5.0):
            result = await outcome
        gate.stop()
        server.close()
        return result

    return asyncio.run(work())


_WHOLE = make_answer(200, b'own', body=b'hello')


@pytest.mark.parametrize('is_idempotent', [False, True])
@pytest.mark.parametrize('is_reset', [False, True])
@pytest.mark.parametrize(
    'size',
    [0, 5, 17, _WHOLE.index(b'X-Id'), len(_WHOLE) - 7, len(_WHOLE) - 1],
)
def test_caller_of_a_cut_answer_gets_502(
    size: int, is_reset: bool, is_idempotent: bool
) -> None:
    """Guards against a success, or "not run", for an answer cut short."""
    outcome = _run_cut(
        _WHOLE[:size], is_reset=is_reset, is_idempotent=is_idempotent
    )
    assert outcome.verdict is Verdict.MAY_HAVE_RUN
    assert outcome.reason is Reason.TARGET_CRASHED
    assert (outcome.status, outcome.head, outcome.body) == (0, b'', b'')
    request = mock.Mock()
    call = Call(
        request,
        make_route(),
        workspace='',
        request_id=b'own',
        arrived_at=0.0,
        expires_at=1.0,
    )
    call.may_have_run = True
    log = DecisionLog('host')
    Refusals(log, Metrics(), random.Random(1)).refuse(
        call, outcome.reason, 0.5
    )
    head = request.connection.respond.call_args.args[1]
    assert head.startswith(b'HTTP/1.1 502 ')


_REFUSAL = (
    b'HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nDate: now\r\nX-Id: other\r\n'
    b'Content-Length: 4\r\nX-Last: 1\r\n\r\nbusy'
)
_REPLIES = {
    'served': _LENGTH,
    'served-without-a-phrase': _LENGTH.replace(b'200 OK', b'200'),
    'failed': _LENGTH.replace(b'200 OK', b'500 Failed'),
    'http-1.0': FRAMED['http-1.0'],
    'chunked': FRAMED['chunked'],
    '204': FRAMED['204'],
}


@pytest.mark.parametrize('is_used', [False, True])
@pytest.mark.parametrize('segment_size', [0, 1, 7])
@pytest.mark.parametrize('kind', _REPLIES)
def test_cut_answer_does_not_merge_with_the_next_one(
    kind: str, segment_size: int, is_used: bool
) -> None:
    """Guards against the status of one answer with the id of another.

    The status line of the second answer ends the phrase or a header of the
    first one, which is cut there.
    """
    reply = _REPLIES[kind]
    status = int(reply[9:12])
    for cut in (_REFUSAL, _LENGTH.replace(b'own', b'other')):
        for size in range(1, len(cut)):
            exchange = _Exchange(is_used=is_used)
            exchange.receive(cut[:size] + reply, segment_size=segment_size)
            if not exchange.results:
                exchange.end(is_reset=False)
            (result,) = exchange.results
            assert isinstance(result, Failure) or result.status == status
            if isinstance(result, HttpResponse):
                assert b'X-Not-Run' not in result.head
                assert not exchange.connection.is_reusable


@pytest.mark.parametrize('name', [b'Keep-Alive', b'X-A'])
def test_second_head_without_a_phrase_is_noticed(name: bytes) -> None:
    """Guards against a status that runs into what is parsed after it."""
    cut = b'HTTP/1.1 503 X\r\n%b: ' % name
    own = _LENGTH.replace(b'200 OK', b'200')
    assert own.startswith(b'HTTP/1.1 200\r\n')
    exchange = _Exchange()
    exchange.receive(cut + own.replace(b'X-Last: 1', b'Keep-Alive: timeout=5'))
    assert exchange.results == [Failure.INVALID]


@pytest.mark.parametrize(
    'value', [b'1.1 proxy', b'HTTP/1.1 proxy', b'HTTP/1.1 192.0.2.7:80']
)
def test_header_that_names_the_protocol_is_no_second_head(
    value: bytes,
) -> None:
    """Guards against the distrust of answers that passed a proxy."""
    exchange = _Exchange()
    exchange.receive(_LENGTH.replace(b'X-Last: 1', b'Via: ' + value))
    (result,) = exchange.results
    assert isinstance(result, HttpResponse)
    assert exchange.connection.is_reusable


@pytest.mark.parametrize('size', range(1, len(_LATE)))
def test_late_refusal_in_pieces_answers_no_request(size: int) -> None:
    """Guards against a copy whose parts come apart from each other.

    The first part comes with the answer before, on the idle connection, or
    after the request was sent.
    """
    exchange = _Exchange()
    exchange.receive(_LENGTH + _LATE[:size])
    assert not exchange.connection.is_reusable
    exchange = _Exchange()
    exchange.receive(_LENGTH)
    exchange.receive(_LATE[:size])
    assert not exchange.connection.is_reusable
    exchange = _Exchange(is_used=True)
    exchange.receive(_LATE[:size])
    exchange.receive(_LATE[size:] + b'\r\n')
    assert not exchange.results
    exchange.receive(_LENGTH)
    (result,) = exchange.results
    assert isinstance(result, HttpResponse)
    assert (result.status, result.body) == (200, b'hello world!')
    assert not exchange.connection.is_reusable
