"""Tests that responses to callers equal those of aiohttp."""

import asyncio
from unittest import mock

from aiohttp import HttpVersion10
from aiohttp import HttpVersion11
from aiohttp import web
from aiohttp.http_writer import StreamWriter
from aiohttp.test_utils import make_mocked_request
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from turmericrouter_core.verdict import Reason
from turmericrouter_core.verdict import Verdict
from turmericrouter_daemon import problem
from turmericrouter_daemon.call import Answer
from turmericrouter_daemon.call import refuse
from turmericrouter_daemon.problem import AnswerResponse
from turmericrouter_daemon.problem import to_response

REQUEST_ID = '0' * 32
NAMES = [
    'Content-Type',
    'content-length',
    'Transfer-Encoding',
    'connection',
    'Date',
    'Server',
    'Set-Cookie',
    'X-Plain',
    'Retry-After',
    'turmeric-verdict',
    'Turmeric-Request-Id',
]
VALUES = st.text(st.characters(min_codepoint=33, max_codepoint=126))
SERVED = st.builds(
    Answer,
    st.just(Verdict.RAN),
    st.sampled_from([Reason.SERVED, Reason.REPLAYED]),
    st.sampled_from([200, 201, 204, 299, 304, 404, 500]),
    st.lists(st.tuples(st.sampled_from(NAMES), VALUES), max_size=6).map(tuple),
    st.binary(max_size=20),
    st.none() | st.floats(0, 40),
)
REFUSED = st.builds(
    refuse,
    st.sampled_from([Reason.NO_ROOM, Reason.KEY_MISSING]),
    st.sampled_from(Verdict),
    retry_after_s=st.none() | st.floats(0, 40),
)


async def _written(
    response: AnswerResponse | web.Response, method: str, version: object
) -> tuple[bytes, bool | None]:
    """Return the bytes of a response and whether to keep the connection."""
    loop = asyncio.get_running_loop()
    protocol = mock.Mock(_paused=False)
    protocol.transport.is_closing.return_value = False
    written = bytearray()
    protocol.transport.write.side_effect = written.extend
    protocol.transport.writelines.side_effect = lambda parts: written.extend(
        b''.join(parts)
    )
    request = make_mocked_request(
        method, '/', version=version, writer=StreamWriter(protocol, loop)
    )
    await response.prepare(request)
    await response.write_eof()
    return bytes(written), response.keep_alive


def _parts(data: bytes) -> tuple[bytes, list[tuple[bytes, bytes]], bytes]:
    head, _, body = data.partition(b'\r\n\r\n')
    status, *lines = head.split(b'\r\n')
    fields = [line.partition(b': ') for line in lines]
    return status, sorted((f[0].lower(), f[2]) for f in fields), body


@given(
    SERVED | REFUSED,
    st.sampled_from(['GET', 'POST', 'HEAD']),
    st.sampled_from([HttpVersion10, HttpVersion11]),
    st.booleans(),
)
@settings(derandomize=True, max_examples=300, deadline=None)
def test_response_is_that_of_aiohttp(
    answer: Answer, method: str, version: object, close: bool
) -> None:
    """Guards against a head that frames the body wrongly or lacks a field."""

    async def check() -> None:
        with (
            mock.patch.object(
                problem, 'rfc822_formatted_time', return_value='now'
            ),
            mock.patch(
                'aiohttp.web_response.rfc822_formatted_time',
                return_value='now',
            ),
        ):
            full = problem._aiohttp_response(answer, REQUEST_ID)
            own = to_response(answer, REQUEST_ID)
            if close:
                full.force_close()
                own.force_close()
            wanted, wanted_open = await _written(full, method, version)
            got, is_open = await _written(own, method, version)
        assert _parts(got) == _parts(wanted)
        assert is_open == wanted_open

    asyncio.run(check())


def test_header_bytes_of_the_target_pass_unchanged() -> None:
    """Guards against header bytes beyond ASCII that are encoded twice."""
    answer = Answer(Verdict.RAN, Reason.SERVED, 200, (('X-Name', 'é'),))
    response = to_response(answer, REQUEST_ID)
    data, _ = asyncio.run(_written(response, 'GET', HttpVersion11))
    assert b'X-Name: \xe9\r\n' in data


def test_header_of_two_lines_is_not_written() -> None:
    """Guards against a value that would add a field to the response."""
    answer = Answer(Verdict.RAN, Reason.SERVED, 200, (('X-A', 'b\r\nc: d'),))
    response = to_response(answer, REQUEST_ID)
    with pytest.raises(ValueError, match='line'):
        asyncio.run(_written(response, 'GET', HttpVersion11))
