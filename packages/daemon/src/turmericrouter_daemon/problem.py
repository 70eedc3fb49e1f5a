"""Headers and problem bodies (RFC 9457) of answers to callers."""

import http
import math
from typing import Any

from aiohttp import web
import msgspec

from turmericrouter_daemon.call import Answer

VERDICT_HEADER = 'Turmeric-Verdict'
REASON_HEADER = 'Turmeric-Reason'
REQUEST_ID_HEADER = 'Turmeric-Request-Id'
_PROBLEM_TYPE = 'application/problem+json'
# The response writer sets these itself.
_OWN_HEADERS = frozenset(
    {'content-length', 'transfer-encoding', 'connection', 'keep-alive'}
)


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
    """Return a refusal as bytes, for a request that has no whole head.

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


def to_response(answer: Answer, request_id: str) -> web.Response:
    """Return the HTTP response of an answer."""
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
            elif lower not in _OWN_HEADERS:
                response.headers.add(name, value)
    response.headers[VERDICT_HEADER] = answer.verdict
    response.headers[REQUEST_ID_HEADER] = request_id
    if answer.retry_after_s is not None:
        seconds = max(1, math.ceil(answer.retry_after_s))
        response.headers['Retry-After'] = str(seconds)
    return response
