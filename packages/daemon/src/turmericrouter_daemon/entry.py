"""The entry: the listener that accepts requests of callers over HTTP."""

import asyncio
import dataclasses

from aiohttp import web
import msgspec

from turmericrouter_core.identity import new_request_id
from turmericrouter_core.identity import OperationId
from turmericrouter_core.retries import CallerBackoff
from turmericrouter_core.routing import NamedRoute
from turmericrouter_core.verdict import Importance
from turmericrouter_core.verdict import Reason
from turmericrouter_core.verdict import Verdict
from turmericrouter_daemon.authorisation import Authorisation
from turmericrouter_daemon.authorisation import Grant
from turmericrouter_daemon.call import Answer
from turmericrouter_daemon.call import refuse
from turmericrouter_daemon.caller_protocol import CallerServer
from turmericrouter_daemon.caller_protocol import log_failure
from turmericrouter_daemon.caller_protocol import read_body
from turmericrouter_daemon.config_sync import ConfigSync
from turmericrouter_daemon.dispatch import Dispatcher
from turmericrouter_daemon.problem import AnswerResponse
from turmericrouter_daemon.problem import to_response
from turmericrouter_daemon.runtime import Runtime
from turmericrouter_daemon.tls import TlsContexts

OPERATIONS_PATH = '/turmeric/operations'
HEALTH_PATH = '/turmeric/health'
_BUILTIN_PATH_PREFIX = '/turmeric/'
_JSON_HEADERS = (('Content-Type', 'application/json'),)
# Fraction of `entry.max_in_flight` up to which requests of an importance are
# admitted, so that less important requests are refused first.
_IN_FLIGHT_FRACTION = {
    Importance.CRITICAL: 1.0,
    Importance.HIGH: 0.95,
    Importance.NORMAL: 0.9,
    Importance.LOW: 0.8,
}
# 504 is included: a deadline that expires before the request starts also
# indicates overload.
_BACKOFF_STATUSES = frozenset({429, 503, 504})
# Requests refused for these reasons are never dispatched, so no attempt with
# the same operation id can have run.
_NEVER_RAN_REASONS = frozenset(
    {
        Reason.MALFORMED,
        Reason.ROUTE_UNKNOWN,
        Reason.KEY_MISSING,
        Reason.OPERATION_ID_MISSING,
        Reason.OPERATION_ID_INVALID,
    }
)


class Entry:
    """HTTP listener for callers.

    Args:
        runtime: Services of the process.
        config: Current configuration.
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
        self._authorisation = Authorisation(runtime, config)
        self._dispatcher = dispatcher
        self._backoff = CallerBackoff()
        self._tls = tls
        self._server: asyncio.Server | None = None
        self._web_server: CallerServer | None = None
        self._in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._stopping = False

    async def start(self) -> None:
        """Open the listener."""
        settings = self._runtime.settings
        self._web_server = CallerServer(
            self._handle,
            self._runtime.log,
            max_body_bytes=settings.entry.max_body_bytes,
            keepalive_timeout=settings.entry.idle_timeout_s,
            max_line_size=settings.entry.max_line_bytes,
            max_field_size=settings.entry.max_field_bytes,
        )
        self._server = await asyncio.get_running_loop().create_server(
            self._web_server,
            settings.host.ip,
            settings.host.entry_port,
            ssl=self._tls.entry,
            reuse_address=True,
        )

    def start_draining(self) -> None:
        """Start to refuse new requests."""
        self._stopping = True

    async def wait_until_drained(self) -> None:
        """Wait until no request is in flight."""
        await self._idle.wait()

    async def stop(self, timeout_s: float = 1.0) -> None:
        """Close the listener, and each connection once its answer is sent."""
        if self._server is not None:
            self._server.close()
        if self._web_server is not None:
            # Closes idle connections; shutdown would wait for them until the
            # timeout.
            self._web_server.pre_shutdown()
            await self._web_server.shutdown(timeout_s)

    async def _handle(self, request: web.BaseRequest) -> AnswerResponse:
        request_id = new_request_id(self._runtime.rng)
        self._in_flight += 1
        self._idle.clear()
        try:
            answer = await self._answer(request, request_id)
        except Exception as error:
            log_failure(self._runtime.log, error, request_id)
            answer = refuse(Reason.INTERNAL_ERROR, Verdict.MAY_HAVE_RUN)
        finally:
            self._in_flight -= 1
            if not self._in_flight:
                self._idle.set()
        if answer.is_refusal:
            self._log_refusal(request, request_id, answer)
        response = to_response(answer, request_id)
        if self._stopping or _must_close(request):
            response.force_close()
        return response

    async def _answer(
        self, request: web.BaseRequest, request_id: str
    ) -> Answer:
        if request.raw_path.startswith(_BUILTIN_PATH_PREFIX):
            return self._answer_builtin(request)
        named = self._authorisation.find_route(request)
        if isinstance(named, Answer):
            return named
        grant = self._admit(request, named)
        if isinstance(grant, Answer):
            return self._refuse_early(request, named, grant)
        arrived_at = self._runtime.clock.monotonic()
        body = await self._read_body(request, grant)
        if isinstance(body, Answer):
            return self._refuse_early(request, named, body)
        call = self._authorisation.make_call(
            request,
            named,
            grant,
            request_id=request_id,
            arrived_at=arrived_at,
            body=body,
        )
        answer = await self._dispatcher.serve(call)
        caller = grant.key_digest or request.remote
        if not answer.is_refusal:
            self._backoff.record_answer(caller)
            return answer
        return self._with_backoff(answer, caller)

    def _admit(
        self, request: web.BaseRequest, named: NamedRoute
    ) -> Grant | Answer:
        if self._stopping:
            return refuse(Reason.DAEMON_STOPPING)
        grant = self._authorisation.check(request, named)
        if isinstance(grant, Answer):
            return grant
        limit = self._runtime.settings.entry.max_in_flight
        if (
            self._in_flight
            > limit * _IN_FLIGHT_FRACTION[named.route.importance]
        ):
            return refuse(Reason.NO_ROOM)
        return grant

    async def _read_body(
        self, request: web.BaseRequest, grant: Grant
    ) -> bytes | Answer:
        limits = self._runtime.settings.entry
        if request.content.is_eof():
            return await read_body(request, limits.max_body_bytes)
        try:
            async with asyncio.timeout(limits.read_timeout_s):
                body = await read_body(request, limits.max_body_bytes)
        except TimeoutError:
            return refuse(Reason.BODY_TRUNCATED, detail='body is too slow')
        # The key may have been withdrawn while the body was read.
        reason = None
        if grant.key_digest:
            reason = self._authorisation.key_refusal(grant.key_digest)
        return body if reason is None else refuse(reason)

    def _refuse_early(
        self, request: web.BaseRequest, named: NamedRoute, answer: Answer
    ) -> Answer:
        """Complete a refusal made before the idempotency store was queried.

        Only the store records whether an operation has run before, so the
        refusal of a resent operation must not claim that it has not.
        """
        if (
            not named.route.idempotent
            and answer.reason not in _NEVER_RAN_REASONS
            and 'Idempotency-Key' in request.headers
        ):
            answer = dataclasses.replace(answer, verdict=Verdict.MAY_HAVE_RUN)
        return self._with_backoff(answer, request.remote)

    def _with_backoff(self, answer: Answer, caller: str | None) -> Answer:
        if answer.status not in _BACKOFF_STATUSES:
            return answer
        wait_s = self._backoff.record_refusal(
            caller,
            self._runtime.clock.monotonic(),
            self._runtime.rng.random(),
            min_retry_after_s=answer.retry_after_s or 0.0,
        )
        return dataclasses.replace(answer, retry_after_s=wait_s)

    def _answer_builtin(self, request: web.BaseRequest) -> Answer:
        path, method = request.raw_path, request.method
        if path == HEALTH_PATH and method == 'GET':
            return self._health()
        if path == OPERATIONS_PATH and method == 'POST':
            return self._mint_operation()
        return refuse(Reason.ROUTE_UNKNOWN)

    def _health(self) -> Answer:
        status = {
            'status': 'stopping' if self._stopping else 'serving',
            'config_offset': self._config.state.offset,
            'config_stale': self._config.is_stale,
            'in_flight': self._in_flight - 1,
        }
        return Answer(
            Verdict.RAN,
            Reason.SERVED,
            503 if self._stopping else 200,
            _JSON_HEADERS,
            msgspec.json.encode(status),
        )

    def _mint_operation(self) -> Answer:
        if self._stopping:
            return refuse(Reason.DAEMON_STOPPING, retry_after_s=1.0)
        domains = self._config.state.fleet.domains
        domain = self._runtime.settings.host.domain
        if domain not in domains:
            return refuse(
                Reason.CONFIG_STALE,
                retry_after_s=1.0,
                detail='the fleet record does not name this failure domain',
            )
        operation = OperationId.mint(
            self._runtime.clock.wall(),
            domains.index(domain),
            self._runtime.rng,
        )
        body = msgspec.json.encode({'operation_id': operation.text})
        return Answer(Verdict.RAN, Reason.SERVED, 201, _JSON_HEADERS, body)

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


def _must_close(request: web.BaseRequest) -> bool:
    """Return whether the connection cannot carry another request."""
    content = request.content
    if not content.is_eof() or content.exception() is not None:
        return True
    return 'Upgrade' in request.headers
