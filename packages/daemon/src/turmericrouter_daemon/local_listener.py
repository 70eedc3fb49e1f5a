"""Loopback listener for the local target: announcements, nested calls."""

import asyncio
import dataclasses

from aiohttp import web
import msgspec

from turmericrouter_core.context import call_digest
from turmericrouter_core.context import RequestContext
from turmericrouter_core.directory import MemberState
from turmericrouter_core.identity import HostAddress
from turmericrouter_core.verdict import Reason
from turmericrouter_core.verdict import Verdict
from turmericrouter_daemon.authorisation import Authorisation
from turmericrouter_daemon.authorisation import find_operation
from turmericrouter_daemon.authorisation import forwarded_headers
from turmericrouter_daemon.call import Answer
from turmericrouter_daemon.call import Call
from turmericrouter_daemon.call import refuse
from turmericrouter_daemon.caller_protocol import CallerServer
from turmericrouter_daemon.caller_protocol import log_failure
from turmericrouter_daemon.caller_protocol import read_body
from turmericrouter_daemon.config_sync import ConfigSync
from turmericrouter_daemon.directory_sync import DirectorySync
from turmericrouter_daemon.dispatch import Dispatcher
from turmericrouter_daemon.gate import CONTEXT_HEADER
from turmericrouter_daemon.gate import Gate
from turmericrouter_daemon.problem import Response
from turmericrouter_daemon.problem import to_response
from turmericrouter_daemon.runtime import Runtime

ANNOUNCEMENT_PATH = '/turmeric/target'


class TargetAnnouncement(msgspec.Struct, frozen=True):
    """Announcement of the local target, repeated as a heartbeat.

    Args:
        name: Name of the target, unique in the fleet.
        service: Service that it serves.
        address: `IP:PORT` where it listens.
        slots: Requests it runs at once, 0 if unknown.
        connections: Connections it accepts, 0 if unknown.
        leaving: Whether it accepts no new requests.
        load: Reported load, a hint only.
        instance: Id that changes with each start of the target, or empty.
    """

    name: str
    service: str
    address: str
    slots: int = 0
    connections: int = 0
    leaving: bool = False
    load: float = 0.0
    instance: str = ''


class LocalListener:
    """HTTP listener that only the local target can reach.

    Args:
        runtime: Services of the process.
        config: Current configuration.
        gate: Gate of the local target.
        directory: Owner of this daemon's entry.
        dispatcher: Serves nested calls.
    """

    def __init__(
        self,
        runtime: Runtime,
        config: ConfigSync,
        gate: Gate,
        directory: DirectorySync,
        dispatcher: Dispatcher,
    ) -> None:
        self._runtime = runtime
        self._authorisation = Authorisation(runtime, config)
        self._gate = gate
        self._directory = directory
        self._dispatcher = dispatcher
        self._max_body_bytes = runtime.settings.entry.max_body_bytes
        self._server: asyncio.Server | None = None
        self._web_server: CallerServer | None = None
        # Nested calls in flight by context id.
        self._nested_calls: dict[str, set[asyncio.Task[Answer]]] = {}
        gate.contexts.on_close(self._cancel_nested)
        self._announced: TargetAnnouncement | None = None

    async def start(self) -> None:
        """Open the listener."""
        self._web_server = CallerServer(
            self._handle,
            self._runtime.log,
            max_body_bytes=self._max_body_bytes,
        )
        host = self._runtime.settings.host
        self._server = await asyncio.get_running_loop().create_server(
            self._web_server,
            host.local_ip,
            host.local_port,
            reuse_address=True,
        )

    async def stop(self) -> None:
        """Close the listener."""
        if self._server is not None:
            self._server.close()
        if self._web_server is not None:
            # Closes idle connections; shutdown would wait for them until the
            # timeout.
            self._web_server.pre_shutdown()
            await self._web_server.shutdown(1.0)

    async def _handle(self, request: web.BaseRequest) -> Response:
        if request.path == ANNOUNCEMENT_PATH and request.method == 'PUT':
            return await self._announce(request)
        context = self._gate.contexts.find(
            request.headers.get(CONTEXT_HEADER, '')
        )
        if context is None:
            return to_response(refuse(Reason.CONTEXT_UNKNOWN), '')
        try:
            answer = await self._handle_nested(request, context)
        except Exception as error:
            log_failure(self._runtime.log, error, context.request_id)
            answer = refuse(Reason.INTERNAL_ERROR, Verdict.MAY_HAVE_RUN)
        if answer.is_refusal:
            self._log_refusal(request, context, answer)
        return to_response(answer, context.request_id)

    async def _announce(self, request: web.BaseRequest) -> Response:
        body = await read_body(request, self._max_body_bytes)
        if isinstance(body, Answer):
            return to_response(body, '')
        try:
            announcement = msgspec.json.decode(body, type=TargetAnnouncement)
            address = HostAddress.parse(announcement.address)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            return to_response(refuse(Reason.MALFORMED, detail=str(error)), '')
        self._gate.set_target(
            announcement.name,
            address.ip,
            address.port,
            slots=announcement.slots,
            connections=announcement.connections,
            leaving=announcement.leaving,
            instance=announcement.instance,
        )
        self._announced = announcement
        leaving = announcement.leaving
        await self._directory.update(
            MemberState.LEAVING if leaving else MemberState.SERVING,
            service=announcement.service,
            target=announcement.name,
            slots=announcement.slots,
            connections=announcement.connections,
        )
        return web.Response(status=204)

    async def _handle_nested(
        self, request: web.BaseRequest, context: RequestContext
    ) -> Answer:
        named = self._authorisation.find_route(request)
        if isinstance(named, Answer):
            return named
        refused = self._check(context)
        if refused is not None:
            return refused
        operation = find_operation(request, named)
        if isinstance(operation, Answer):
            return operation
        body = await read_body(request, self._max_body_bytes)
        if isinstance(body, Answer):
            return body
        call = Call(
            request_id=context.request_id,
            method=request.method,
            path=request.raw_path,
            headers=forwarded_headers(request),
            body=body,
            named_route=named,
            workspace=context.workspace,
            key_digest=context.key_digest,
            importance=context.importance,
            bucket=context.bucket,
            deadline=context.deadline,
            depth=context.depth + 1,
            operation=operation,
            parent=context,
        )
        return await self._serve(call, context)

    def _check(self, context: RequestContext) -> Answer | None:
        if context.depth + 1 > self._runtime.settings.overload.max_depth:
            return refuse(Reason.DEPTH_EXCEEDED)
        if not context.key_digest:
            return None
        reason = self._authorisation.key_refusal(context.key_digest)
        return refuse(reason) if reason is not None else None

    async def _serve(self, call: Call, context: RequestContext) -> Answer:
        start = context.start_nested_call(
            call_digest(call.method, call.path, call.body),
            may_run_again=call.named_route.route.idempotent
            or call.operation is not None,
        )
        if start.reason is not Reason.SERVED:
            return refuse(start.reason, start.verdict)
        call = dataclasses.replace(call, retries_left=start.allowance)
        verdict, used = Verdict.MAY_HAVE_RUN, start.allowance
        try:
            answer = await self._run_nested(call, context.context_id)
            verdict, used = answer.verdict, answer.retries_used
        finally:
            context.finish_nested_call(start, verdict, used)
        return answer

    async def _run_nested(self, call: Call, context_id: str) -> Answer:
        """Serve a nested call in a task that is cancelled with its parent."""
        if self._gate.contexts.find(context_id) is None:
            return refuse(Reason.CONTEXT_UNKNOWN)
        task = asyncio.get_running_loop().create_task(
            self._dispatcher.serve(call)
        )
        nested_calls = self._nested_calls.setdefault(context_id, set())
        nested_calls.add(task)
        try:
            return await task
        except asyncio.CancelledError:
            if context_id in self._nested_calls:
                # The target disconnected; the parent request continues.
                raise
            return refuse(
                Reason.CANCELLED,
                Verdict.MAY_HAVE_RUN,
                retries_used=call.retries_left,
            )
        finally:
            nested_calls.discard(task)
            if not nested_calls:
                self._nested_calls.pop(context_id, None)

    def _cancel_nested(self, context: RequestContext) -> None:
        for task in self._nested_calls.pop(context.context_id, ()):
            task.cancel()

    def _log_refusal(
        self, request: web.BaseRequest, context: RequestContext, answer: Answer
    ) -> None:
        self._runtime.metrics.incr(f'nested.refused.{answer.reason}')
        self._runtime.decisions.record(
            'nested_refused',
            request_id=context.request_id,
            method=request.method,
            path=request.path,
            verdict=answer.verdict,
            reason=answer.reason,
        )
