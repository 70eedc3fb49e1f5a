"""HTTP server connections; malformed requests get a problem body."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import functools
import secrets
from typing import Any
from typing import cast

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_exceptions import LineTooLong
from aiohttp.streams import StreamReader
from aiohttp.web_exceptions import HTTPRequestEntityTooLarge
from aiohttp.web_protocol import RequestPayloadError

from turmericrouter_core.identity import REQUEST_ID_BITS
from turmericrouter_core.verdict import Reason
from turmericrouter_core.verdict import Verdict
from turmericrouter_daemon.call import Answer
from turmericrouter_daemon.call import refuse
from turmericrouter_daemon.logs import Log
from turmericrouter_daemon.problem import AnswerResponse
from turmericrouter_daemon.problem import raw_response
from turmericrouter_daemon.problem import Response
from turmericrouter_daemon.problem import to_response

_LINGERING_TIME_S = 2.0
_REQUEST_ID_BYTES = REQUEST_ID_BITS // 8


def source_location(error: BaseException) -> str:
    """Return `FILE:LINE` of the code that raised an error."""
    trace = error.__traceback__
    if trace is None:
        return ''
    while trace.tb_next is not None:
        trace = trace.tb_next
    path = trace.tb_frame.f_code.co_filename
    return f'{path.rpartition("/")[2]}:{trace.tb_lineno}'


def log_failure(log: Log, error: BaseException, request_id: str) -> None:
    """Log an unexpected error without its text.

    The text of an error may quote header values, including the key of a
    caller.
    """
    log.error(
        'request_failed',
        request_id=request_id,
        error=type(error).__name__,
        at=source_location(error),
    )


class CallerProtocol(web.RequestHandler):
    """Connection of a caller.

    Args:
        server: Server that the connection belongs to.
        log: Logger.
        **options: Arguments of aiohttp's handler.
    """

    __slots__ = ('_log', '_current_body', '_head_is_partial')

    def __init__(self, server: web.Server, log: Log, **options: Any) -> None:
        super().__init__(server, **options)
        self._log = log
        self._current_body: StreamReader | None = None
        self._head_is_partial = False

    def data_received(self, data: bytes) -> None:
        """Feed the parser and record whether a head is incomplete."""
        if not data:
            # aiohttp feeds empty data when it resumes reading after a pause.
            super().data_received(data)
            return
        request_count = self._request_count
        in_body = self._in_body()
        super().data_received(data)
        if self._request_count != request_count and self._messages:
            self._current_body = self._messages[-1][1]
            self._head_is_partial = False
        else:
            self._head_is_partial = not in_body

    def eof_received(self) -> bool | None:  # type: ignore[override]
        """Answer a request that ends early before the connection closes.

        A caller that sends a complete request and then closes its sending
        side counts as disconnected.
        """
        if self.transport is None or self.ssl_context is not None:
            return None
        if self._in_body():
            assert self._current_body is not None
            self._current_body.set_exception(
                RequestPayloadError('the connection ended inside the body')
            )
            # No more data can arrive, so the reader must not wait for it.
            self._current_body.feed_eof()
            return True
        if self._head_is_partial:
            answer = refuse(Reason.MALFORMED, detail='request head is cut off')
            request_id = self._log_unreadable(answer, None)
            self.transport.write(raw_response(answer, request_id))
        return None

    def handle_error(  # type: ignore[override]
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> AnswerResponse:
        """Return the response of a request that could not be handled."""
        answer = _answer_for_error(exc)
        if answer.reason is Reason.INTERNAL_ERROR and exc is not None:
            request_id = secrets.token_hex(_REQUEST_ID_BYTES)
            log_failure(self._log, exc, request_id)
        else:
            request_id = self._log_unreadable(answer, exc)
        if request.writer.output_size > 0:
            raise ConnectionError('a response has been started')
        response = to_response(answer, request_id)
        response.force_close()
        return response

    def log_exception(self, *args: Any, **kw: Any) -> None:
        """Log one line instead of a traceback."""
        error = kw.get('exc_info')
        if isinstance(error, BaseException):
            log_failure(self._log, error, '')
        else:
            self._log.error('connection_failed')

    def _in_body(self) -> bool:
        body = self._current_body
        return body is not None and not body.is_eof()

    def _log_unreadable(
        self, answer: Answer, error: BaseException | None
    ) -> str:
        """Log a request without a complete head and return an id for it."""
        request_id = secrets.token_hex(_REQUEST_ID_BYTES)
        self._log.info(
            'request_unreadable',
            request_id=request_id,
            reason=answer.reason,
            error=type(error).__name__ if error else '',
        )
        return request_id


def _answer_for_error(error: BaseException | None) -> Answer:
    if isinstance(error, LineTooLong):
        return refuse(Reason.HEADERS_TOO_LARGE)
    if isinstance(error, HttpProcessingError):
        return refuse(Reason.MALFORMED)
    return refuse(Reason.INTERNAL_ERROR, Verdict.MAY_HAVE_RUN)


class CallerServer(web.Server):
    """Server that creates a `CallerProtocol` for each connection.

    Args:
        handler: Handles a request.
        log: Logger.
        max_body_bytes: Maximum length of a request body.
        **options: Arguments of `CallerProtocol`.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[Response]],
        log: Log,
        *,
        max_body_bytes: int,
        **options: Any,
    ) -> None:
        super().__init__(
            # `AnswerResponse` has all attributes that aiohttp uses.
            cast(Any, handler),
            request_factory=functools.partial(
                web.BaseRequest,
                loop=asyncio.get_running_loop(),
                client_max_size=max_body_bytes,
            ),
            handler_cancellation=True,
        )
        self._log = log
        self._options = {
            'access_log': None,
            'auto_decompress': False,
            'lingering_time': _LINGERING_TIME_S,
            **options,
        }

    def __call__(self) -> web.RequestHandler:
        """Return the protocol of a new connection."""
        return CallerProtocol(
            self, self._log, loop=self._loop, **self._options
        )


async def read_body(
    request: web.BaseRequest, max_bytes: int
) -> bytes | Answer:
    """Return the complete body, or why it cannot be read."""
    if not request.can_read_body:
        return b''
    if (request.content_length or 0) > max_bytes:
        return refuse(Reason.BODY_TOO_LARGE)
    if request.headers.get('Expect', '').lower() == '100-continue':
        await request.writer.write(b'HTTP/1.1 100 Continue\r\n\r\n')
        request.writer.output_size = 0
    try:
        if request.content.is_eof():
            # The body has been received; `read` would collect it in a loop
            # through a buffer and copy it twice.
            body = request.content.read_nowait()
            if len(body) > max_bytes:
                return refuse(Reason.BODY_TOO_LARGE)
            return body
        return await request.read()
    except HTTPRequestEntityTooLarge:
        return refuse(Reason.BODY_TOO_LARGE)
    except HttpProcessingError:
        return refuse(Reason.MALFORMED)
    except RequestPayloadError:
        return refuse(Reason.BODY_TRUNCATED)
