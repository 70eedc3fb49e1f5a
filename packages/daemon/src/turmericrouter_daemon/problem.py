"""HTTP responses to callers, with problem bodies (RFC 9457)."""

from collections.abc import Iterator
import http
import math
from typing import Any

from aiohttp import HttpVersion11
from aiohttp import web
from aiohttp.helpers import rfc822_formatted_time
from aiohttp.http import SERVER_SOFTWARE
import msgspec

from turmericrouter_daemon.call import Answer
from turmericrouter_daemon.target_connection import HEADER_ENCODING

VERDICT_HEADER = 'Turmeric-Verdict'
REASON_HEADER = 'Turmeric-Reason'
REQUEST_ID_HEADER = 'Turmeric-Request-Id'
_PROBLEM_TYPE = 'application/problem+json'
_PHRASES = {status.value: status.phrase for status in http.HTTPStatus}
_DEFAULT_TYPE = 'application/octet-stream'
_FIRST_FINAL_STATUS = 200
_BODYLESS_STATUSES = frozenset({204, 304})
_BODYLESS_METHODS = frozenset({'HEAD', 'CONNECT'})
# The response writer sets these itself.
_WRITER_HEADERS = frozenset(
    {'content-length', 'transfer-encoding', 'connection', 'keep-alive'}
)
_REPLACED_HEADERS = _WRITER_HEADERS | {
    VERDICT_HEADER.lower(),
    REQUEST_ID_HEADER.lower(),
}


def _problem_body(answer: Answer, request_id: str) -> bytes:
    problem: dict[str, Any] = {
        'type': f'urn:turmericrouter:reason:{answer.reason}',
        'title': answer.reason.replace('-', ' '),
        'status': answer.status,
        'verdict': answer.verdict,
        'reason': answer.reason,
        'request_id': request_id,
    }
    if answer.detail:
        problem['detail'] = answer.detail
    return msgspec.json.encode(problem)


def raw_response(answer: Answer, request_id: str) -> bytes:
    """Return a refusal as bytes, for a request without a complete head.

    The connection must be closed after it.
    """
    body = _problem_body(answer, request_id)
    lines = (
        f'HTTP/1.1 {answer.status} {http.HTTPStatus(answer.status).phrase}',
        f'Content-Type: {_PROBLEM_TYPE}',
        f'Content-Length: {len(body)}',
        f'{REASON_HEADER}: {answer.reason}',
        f'{VERDICT_HEADER}: {answer.verdict}',
        f'{REQUEST_ID_HEADER}: {request_id}',
        'Connection: close',
    )
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


def to_response(answer: Answer, request_id: str) -> 'AnswerResponse':
    """Return the HTTP response of an answer."""
    return AnswerResponse(answer, request_id)


class AnswerResponse:
    """Response that aiohttp's request handler writes.

    The head and the body are serialized and written in one step. A
    `web.Response` costs several times as much; it is used only for rare
    cases with special rules: HTTP/1.0 and responses without a body.

    Args:
        answer: Answer of the request.
        request_id: Id of the request.
    """

    __slots__ = (
        '_answer',
        '_delegate',
        '_request_id',
        '_writer',
        'keep_alive',
    )

    def __init__(self, answer: Answer, request_id: str) -> None:
        self._answer = answer
        self._request_id = request_id
        self._delegate: web.Response | None = None
        self._writer: Any = None
        self.keep_alive: bool | None = None

    def force_close(self) -> None:
        """Close the connection after this response."""
        self.keep_alive = False

    async def prepare(self, request: web.BaseRequest) -> None:
        """Write the response, or only its head in the special cases."""
        status = self._answer.status
        if (
            request.version != HttpVersion11
            or request.method in _BODYLESS_METHODS
            or status < _FIRST_FINAL_STATUS
            or status in _BODYLESS_STATUSES
        ):
            await self._prepare_aiohttp_response(request)
            return
        if self.keep_alive is None:
            self.keep_alive = request.keep_alive
        self._writer = request.writer
        await self._writer.write(
            _serialize_response(
                self._answer, self._request_id, keep_alive=self.keep_alive
            ),
            drain=False,
        )

    async def write_eof(self) -> None:
        """Write the rest and wait until the write buffer has room."""
        if self._delegate is not None:
            await self._delegate.write_eof()
        else:
            await self._writer.drain()

    async def _prepare_aiohttp_response(
        self, request: web.BaseRequest
    ) -> None:
        self._delegate = full = _aiohttp_response(
            self._answer, self._request_id
        )
        if self.keep_alive is False:
            full.force_close()
        await full.prepare(request)
        self.keep_alive = full.keep_alive


Response = AnswerResponse | web.Response


def _serialize_response(
    answer: Answer, request_id: str, *, keep_alive: bool
) -> bytes:
    body = answer.body
    if answer.is_refusal:
        body = _problem_body(answer, request_id)
    lines = [
        f'HTTP/1.1 {answer.status} {_PHRASES.get(answer.status, "")}',
        *_header_fields(answer, len(body)),
        f'{VERDICT_HEADER}: {answer.verdict}',
        f'{REQUEST_ID_HEADER}: {request_id}',
    ]
    if answer.retry_after_s is not None:
        lines.append(f'Retry-After: {_retry_after(answer.retry_after_s)}')
    if not keep_alive:
        lines.append('Connection: close')
    head = '\r\n'.join(lines)
    if not len(lines) - 1 == head.count('\r') == head.count('\n'):
        raise ValueError('response header contains a line break')
    return head.encode(HEADER_ENCODING) + b'\r\n\r\n' + body


def _header_fields(answer: Answer, length: int) -> Iterator[str]:
    """Yield the header fields, except those added to every response."""
    content_type = _DEFAULT_TYPE if length else None
    has_date = has_server = False
    if answer.is_refusal:
        content_type = _PROBLEM_TYPE
        yield f'{REASON_HEADER}: {answer.reason}'
    else:
        for name, value in answer.headers:
            lower = name.lower()
            if lower == 'content-type':
                content_type = value
            elif lower not in _REPLACED_HEADERS and (
                lower != 'retry-after' or answer.retry_after_s is None
            ):
                yield f'{name}: {value}'
                if lower == 'date':
                    has_date = True
                elif lower == 'server':
                    has_server = True
    if content_type is not None:
        yield f'Content-Type: {content_type}'
    yield f'Content-Length: {length}'
    if not has_date:
        yield f'Date: {rfc822_formatted_time()}'
    if not has_server:
        yield f'Server: {SERVER_SOFTWARE}'


def _aiohttp_response(answer: Answer, request_id: str) -> web.Response:
    if answer.is_refusal:
        response = web.Response(
            status=answer.status,
            body=_problem_body(answer, request_id),
            content_type=_PROBLEM_TYPE,
        )
        response.headers[REASON_HEADER] = answer.reason
    else:
        response = web.Response(status=answer.status, body=answer.body)
        for name, value in answer.headers:
            lower = name.lower()
            if lower == 'content-type':
                response.headers[name] = value
            elif lower not in _WRITER_HEADERS:
                response.headers.add(name, value)
    response.headers[VERDICT_HEADER] = answer.verdict
    response.headers[REQUEST_ID_HEADER] = request_id
    if answer.retry_after_s is not None:
        response.headers['Retry-After'] = _retry_after(answer.retry_after_s)
    return response


def _retry_after(wait_s: float) -> str:
    return str(max(1, math.ceil(wait_s)))
