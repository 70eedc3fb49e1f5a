"""The entry: serves callers over HTTP."""

import asyncio

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import RawRequestMessage
from aiohttp.streams import StreamReader
from aiohttp.web_exceptions import HTTPRequestEntityTooLarge

from turmericrouter_core.config import key_digest
from turmericrouter_core.config import KeylessRule
from turmericrouter_core.config import StaleRule
from turmericrouter_core.identity import hash_bucket
from turmericrouter_core.identity import new_request_id
from turmericrouter_core.identity import OperationId
from turmericrouter_core.routing import NamedRoute
from turmericrouter_core.verdict import Reason
from turmericrouter_daemon.call import Answer
from turmericrouter_daemon.call import Call
from turmericrouter_daemon.call import Headers
from turmericrouter_daemon.call import refuse
from turmericrouter_daemon.config_sync import ConfigSync
from turmericrouter_daemon.dispatch import Dispatcher
from turmericrouter_daemon.problem import to_response
from turmericrouter_daemon.runtime import Runtime
from turmericrouter_daemon.target import HEADER_ENCODING
from turmericrouter_daemon.tls import TlsContexts

_BEARER = 'bearer '
_OWN_PREFIX = 'turmeric-'
_DROPPED_HEADERS = frozenset(
    {
        'authorization',
        'connection',
        'content-length',
        'expect',
        'host',
        'idempotency-key',
        'keep-alive',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)


def forwarded_headers(request: web.BaseRequest) -> Headers:
    """Return the headers that go to the target.

    The caller's key, hop-by-hop headers and the system's own headers stay
    here.
    """
    pairs = (
        (name.decode(HEADER_ENCODING), value.decode(HEADER_ENCODING))
        for name, value in request.raw_headers
    )
    return tuple(
        (name, value)
        for name, value in pairs
        if (lower := name.lower()) not in _DROPPED_HEADERS
        and not lower.startswith(_OWN_PREFIX)
    )


class Entry:
    """Listener for callers.

    Args:
        runtime: Services of the process.
        config: Configuration in force.
        dispatcher: Serves authorised requests.
        tls: TLS contexts.
    """

    def __init__(
        self,
        runtime: Runtime,
        config: ConfigSync,
        dispatcher: Dispatcher,
        tls: TlsContexts,
    ) -> None:
        self._runtime = runtime
        self._config = config
        self._dispatcher = dispatcher
        self._tls = tls
        self._server: asyncio.Server | None = None
        self._web_server: web.Server | None = None
        self._in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._stopping = False

    async def start(self) -> None:
        """Open the listener."""
        settings = self._runtime.settings
        self._web_server = web.Server(
            self._handle,
            access_log=None,
            handler_cancellation=True,
            request_factory=self._make_request,
            max_line_size=settings.entry.max_line_bytes,
            max_field_size=settings.entry.max_field_bytes,
            auto_decompress=False,
        )
        self._server = await asyncio.get_running_loop().create_server(
            self._web_server,
            settings.host.ip,
            settings.host.entry_port,
            ssl=self._tls.entry,
            reuse_address=True,
        )

    def leave(self) -> None:
        """Refuse new requests from now on."""
        self._stopping = True

    async def drained(self) -> None:
        """Wait until no request is in flight."""
        await self._idle.wait()

    async def stop(self, timeout_s: float = 1.0) -> None:
        """Close the listener, and all connections once answers are sent."""
        if self._server is not None:
            self._server.close()
        if self._web_server is not None:
            # Idle connections would be waited for until the timeout.
            self._web_server.pre_shutdown()
            await self._web_server.shutdown(timeout_s)

    def _make_request(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        protocol: web.RequestHandler,
        writer: AbstractStreamWriter,
        task: 'asyncio.Task[None]',
    ) -> web.BaseRequest:
        return web.BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            asyncio.get_running_loop(),
            client_max_size=self._runtime.settings.entry.max_body_bytes,
        )

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        request_id = new_request_id(self._runtime.rng)
        self._in_flight += 1
        self._idle.clear()
        try:
            answer = await self._answer(request, request_id)
        finally:
            self._in_flight -= 1
            if not self._in_flight:
                self._idle.set()
        response = to_response(answer, request_id)
        if self._stopping:
            response.force_close()
        if answer.is_refusal:
            self._log_refusal(request, request_id, answer)
        return response

    async def _answer(
        self, request: web.BaseRequest, request_id: str
    ) -> Answer:
        if self._stopping:
            return refuse(Reason.DAEMON_STOPPING, retry_after_s=1.0)
        try:
            body = await request.read()
        except HTTPRequestEntityTooLarge:
            return refuse(Reason.BODY_TOO_LARGE)
        made = self._authorise(request, request_id, body)
        if isinstance(made, Answer):
            return made
        return await self._dispatcher.serve(made)

    def _authorise(
        self, request: web.BaseRequest, request_id: str, body: bytes
    ) -> Call | Answer:
        named = self._config.routes.find(request.method, request.raw_path)
        if named is None:
            return refuse(Reason.ROUTE_UNKNOWN)
        route = named.route
        if self._config.is_stale and route.stale_rule is StaleRule.REFUSE:
            return refuse(Reason.CONFIG_STALE, retry_after_s=1.0)
        digest, workspace = '', ''
        if not route.open_to_all:
            checked = self._check_key(request)
            if isinstance(checked, Answer):
                return checked
            digest, workspace = checked
        operation = self._operation(request, named)
        if isinstance(operation, Answer):
            return operation
        return Call(
            request_id=request_id,
            method=request.method,
            path=request.raw_path,
            headers=forwarded_headers(request),
            body=body,
            named_route=named,
            workspace=workspace,
            key_digest=digest,
            importance=route.importance,
            bucket=hash_bucket(request_id),
            deadline=self._deadline(request, named),
            retries_left=self._runtime.settings.overload.max_retries,
            operation=operation,
        )

    def _check_key(self, request: web.BaseRequest) -> tuple[str, str] | Answer:
        header = request.headers.get('Authorization', '')
        if not header.lower().startswith(_BEARER):
            return refuse(Reason.KEY_MISSING)
        digest = key_digest(header[len(_BEARER) :].strip())
        key = self._config.state.key(digest)
        if key is None:
            return refuse(Reason.KEY_UNKNOWN)
        if key.withdrawn:
            return refuse(Reason.KEY_WITHDRAWN)
        if self._config.state.workspace(key.workspace) is None:
            return refuse(Reason.WORKSPACE_UNKNOWN)
        return digest, key.workspace

    def _operation(
        self, request: web.BaseRequest, named: NamedRoute
    ) -> OperationId | None | Answer:
        if named.route.idempotent:
            return None
        text = request.headers.get('Idempotency-Key', '').strip('" ')
        if not text:
            if named.route.without_key is KeylessRule.RUN_ONCE:
                return None
            return refuse(Reason.OPERATION_ID_MISSING)
        try:
            return OperationId.parse(text)
        except ValueError:
            return refuse(
                Reason.OPERATION_ID_INVALID,
                detail='Idempotency-Key must be a UUIDv7',
            )

    def _deadline(self, request: web.BaseRequest, named: NamedRoute) -> float:
        limit_ms = min(
            named.route.timeout_ms,
            self._runtime.settings.entry.max_timeout_ms,
        )
        asked = request.headers.get('Turmeric-Timeout-Ms', '')
        if asked.isdecimal():
            limit_ms = min(limit_ms, int(asked))
        return self._runtime.clock.monotonic() + limit_ms / 1000

    def _log_refusal(
        self, request: web.BaseRequest, request_id: str, answer: Answer
    ) -> None:
        self._runtime.metrics.incr(f'entry.refused.{answer.reason}')
        self._runtime.decisions.record(
            'request_refused',
            request_id=request_id,
            method=request.method,
            path=request.path,
            verdict=answer.verdict,
            reason=answer.reason,
        )
