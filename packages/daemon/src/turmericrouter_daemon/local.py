"""Loopback listener for the local target: announcements, nested calls."""

import asyncio

from aiohttp import web
import msgspec

from turmericrouter_core.context import RequestContext
from turmericrouter_core.directory import MemberState
from turmericrouter_core.verdict import Reason
from turmericrouter_daemon.call import Answer
from turmericrouter_daemon.call import Call
from turmericrouter_daemon.call import refuse
from turmericrouter_daemon.config_sync import ConfigSync
from turmericrouter_daemon.directory_sync import DirectorySync
from turmericrouter_daemon.dispatch import Dispatcher
from turmericrouter_daemon.entry import forwarded_headers
from turmericrouter_daemon.gate import CONTEXT_HEADER
from turmericrouter_daemon.gate import Gate
from turmericrouter_daemon.problem import to_response
from turmericrouter_daemon.runtime import Runtime

ANNOUNCEMENT_PATH = '/turmeric/target'


class TargetAnnouncement(msgspec.Struct, frozen=True):
    """What the local target says of itself, repeated as a heartbeat.

    Args:
        name: Name of the target, unique in the fleet.
        service: Service that it serves.
        address: `IP:PORT` where it listens.
        slots: Requests it runs at once, 0 if unknown.
        connections: Connections it accepts, 0 if unknown.
        leaving: It takes no new work.
        load: Reported load, a hint only.
        instance: Differs after each start of the target, if given.
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
        config: Configuration in force.
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
        self._config = config
        self._gate = gate
        self._directory = directory
        self._dispatcher = dispatcher
        self._server: asyncio.Server | None = None
        self._web_server: web.Server | None = None
        self._announced: TargetAnnouncement | None = None

    async def start(self) -> None:
        """Open the listener."""
        self._web_server = web.Server(
            self._handle, access_log=None, handler_cancellation=True
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
            # Idle connections would be waited for until the timeout.
            self._web_server.pre_shutdown()
            await self._web_server.shutdown(1.0)

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        if request.path == ANNOUNCEMENT_PATH and request.method == 'PUT':
            return await self._announce(request)
        context = self._gate.contexts.find(
            request.headers.get(CONTEXT_HEADER, '')
        )
        if context is None:
            return to_response(refuse(Reason.CONTEXT_UNKNOWN), '')
        answer = await self._nested(request, context)
        return to_response(answer, context.request_id)

    async def _announce(self, request: web.BaseRequest) -> web.Response:
        try:
            announcement = msgspec.json.decode(
                await request.read(), type=TargetAnnouncement
            )
        except msgspec.MsgspecError as error:
            return to_response(refuse(Reason.MALFORMED, detail=str(error)), '')
        ip, _, port = announcement.address.rpartition(':')
        self._gate.set_target(
            announcement.name,
            ip,
            int(port),
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

    async def _nested(
        self, request: web.BaseRequest, context: RequestContext
    ) -> Answer:
        named = self._config.routes.find(request.method, request.raw_path)
        if named is None:
            return refuse(Reason.ROUTE_UNKNOWN)
        if context.depth + 1 > self._runtime.settings.overload.max_depth:
            return refuse(Reason.DEPTH_EXCEEDED)
        body = await request.read()
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
            retries_left=context.retries_left,
            parent=context,
        )
        return await self._dispatcher.serve(call)
