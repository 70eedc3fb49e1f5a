"""Guards against headers that leak to targets or get lost on the way."""

from typing import Any

from dataplane_values import NAMES
from turmericrouter_dataplane.http_server import HttpRequest
from turmericrouter_dataplane.request_head import RequestHeads

CONNECTION: Any = None


def build(
    *headers: tuple[bytes, bytes], workspace: str = 'east', body: bytes = b''
) -> list[bytes]:
    request = HttpRequest(
        CONNECTION,
        b'GET',
        b'/a?b',
        [(name.lower(), name, value) for name, value in headers],
        body,
        has_body=bool(body),
        close=False,
    )
    head = RequestHeads(NAMES, 'design').build(request, workspace)
    return head.split(b'\r\n')[:-1]


def test_key_and_forged_headers_are_left_out() -> None:
    assert build(
        (b'Host', b'h'),
        (b'AUTHORIZATION', b'Bearer key'),
        (b'x-workspace', b'forged'),
        (b'X-CALLER', b'forged'),
        (b'X-Target', b'forged'),
        (b'X-Left', b'9'),
        (b'X-Id', b'7'),
    ) == [
        b'GET /a?b HTTP/1.1',
        b'Host: h',
        b'X-Id: 7',
        b'X-Caller: design',
        b'X-Workspace: east',
    ]


def test_headers_of_the_connection_stay_behind() -> None:
    assert build(
        (b'Connection', b'keep-alive, X-Mine'),
        (b'X-Mine', b'1'),
        (b'Keep-Alive', b'timeout=5'),
        (b'X-Other', b'2'),
        workspace='',
    ) == [b'GET /a?b HTTP/1.1', b'X-Other: 2', b'X-Caller: design']


def test_length_of_a_body_is_the_own_one() -> None:
    lines = build((b'Transfer-Encoding', b'chunked'), body=b'abc')
    assert lines[-1] == b'Content-Length: 3'
    assert b'Transfer-Encoding: chunked' not in lines
