"""Admin listener: state, decisions, quota and directory for operators.

grpc takes several megabytes of memory, so this module is only imported
when `host.admin_port` is set.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import pathlib
from typing import Any
from typing import Protocol

import grpc
import grpc.aio
import msgspec

from turmericrouter_client.admin import ADMIN_SERVICE
from turmericrouter_client.admin import AdminMethod
from turmericrouter_client.admin import DecisionRow
from turmericrouter_client.admin import decoder
from turmericrouter_client.admin import Empty
from turmericrouter_client.admin import encode
from turmericrouter_client.admin import EXPLAIN_METHOD
from turmericrouter_client.admin import ExplainReply
from turmericrouter_client.admin import ExplainRequest
from turmericrouter_client.admin import QUOTA_METHOD
from turmericrouter_client.admin import QuotaReply
from turmericrouter_client.admin import QuotaRow
from turmericrouter_client.admin import STATUS_METHOD
from turmericrouter_client.admin import StatusReply
from turmericrouter_client.admin import TargetRow
from turmericrouter_client.admin import TARGETS_METHOD
from turmericrouter_client.admin import TargetsReply
from turmericrouter_core.config import Route
from turmericrouter_core.config import StaleRule
from turmericrouter_core.directory import MemberHealth
from turmericrouter_core.directory import MemberState
from turmericrouter_core.errors import SettingsError
from turmericrouter_core.messages import DirectoryEntry
from turmericrouter_daemon.config_sync import ConfigSync
from turmericrouter_daemon.directory_sync import DirectorySync
from turmericrouter_daemon.gate import Gate
from turmericrouter_daemon.quota_service import QuotaUsage
from turmericrouter_daemon.runtime import Runtime

_STOP_GRACE_S = 1.0
_RETIRED_STATE = 'retired'

Handler = Callable[[Any], msgspec.Struct]


class QuotaView(Protocol):
    """Quota state of this daemon."""

    def usage(self) -> Sequence[QuotaUsage]:
        """Return the quota use of each workspace."""


class AdminHandlers:
    """Implements the methods of the admin interface.

    Args:
        runtime: Services of the process.
        config: Configuration in force.
        directory: Directory of all daemons.
        gate: Admission gate of the local target.
        quota: Quota state of this daemon.
    """

    def __init__(
        self,
        runtime: Runtime,
        config: ConfigSync,
        directory: DirectorySync,
        gate: Gate,
        quota: QuotaView,
    ) -> None:
        self._runtime = runtime
        self._config = config
        self._directory = directory
        self._gate = gate
        self._quota = quota

    def status(self, _: Empty) -> StatusReply:
        """Return the state of this daemon."""
        own = self._directory.own
        load = self._gate.load
        age_s = self._config.log_age_s
        return StatusReply(
            address=own.address,
            domain=own.domain,
            incarnation=own.incarnation,
            config_offset=self._config.state.offset,
            log_age_s=-1.0 if age_s == float('inf') else age_s,
            stale=self._config.is_stale,
            refused_routes=self._refused_routes(),
            target=own.target,
            service=own.service,
            target_state=self._state_name(own),
            in_flight=load.in_flight,
            queued=load.queued,
            limit=load.limit,
            members=self._count_members(),
        )

    def explain(self, request: ExplainRequest) -> ExplainReply:
        """Return the recorded decisions on a request."""
        decisions = self._runtime.decisions.explain(request.request_id)
        return ExplainReply(
            tuple(
                DecisionRow(
                    event, {name: str(value) for name, value in fields.items()}
                )
                for event, fields in decisions
            )
        )

    def quota(self, _: Empty) -> QuotaReply:
        """Return the quota state of each workspace."""
        rows = (
            QuotaRow(**dataclasses.asdict(use)) for use in self._quota.usage()
        )
        return QuotaReply(tuple(rows))

    def targets(self, _: Empty) -> TargetsReply:
        """Return all entries of the directory."""
        return TargetsReply(
            tuple(
                self._make_target_row(entry)
                for entry in self._directory.directory
            )
        )

    def _refused_routes(self) -> tuple[str, ...]:
        if not self._config.is_stale:
            return ()
        return tuple(
            name
            for name, route in self._config.state.values_of_kind('route')
            if isinstance(route, Route)
            and route.stale_rule is StaleRule.REFUSE
        )

    def _count_members(self) -> dict[str, int]:
        counts: dict[str, int] = {}
        for entry in self._directory.directory:
            dead = entry.mark == MemberHealth.DEAD
            name = 'dead' if dead else self._state_name(entry)
            counts[name] = counts.get(name, 0) + 1
        return counts

    def _state_name(self, entry: DirectoryEntry) -> str:
        if entry.target and self._config.state.is_retired(entry.target):
            return _RETIRED_STATE
        return MemberState(entry.state).name.lower()

    def _make_target_row(self, entry: DirectoryEntry) -> TargetRow:
        return TargetRow(
            entry.address,
            entry.domain,
            entry.service,
            entry.target,
            self._state_name(entry),
            MemberHealth(entry.mark).name.lower(),
            entry.slots,
            entry.connections,
            entry.incarnation,
            entry.version,
        )


class AdminServer:
    """gRPC listener for operators on `host.admin_port`.

    If the peer TLS files are set, it requires mutual TLS with certificates
    that the fleet CA has signed.

    Args:
        runtime: Services of the process.
        handlers: Implementation of the methods.
    """

    def __init__(self, runtime: Runtime, handlers: AdminHandlers) -> None:
        self._runtime = runtime
        self._handlers = handlers
        self._server: grpc.aio.Server | None = None

    async def start(self) -> None:
        """Open the listener.

        Raises:
            SettingsError: The port is taken, or a TLS file is not readable.
        """
        host = self._runtime.settings.host
        address = f'{host.ip}:{host.admin_port}'
        # By default, grpc lets two processes listen on the same port.
        server = grpc.aio.server(options=[('grpc.so_reuseport', 0)])
        handlers = self._handlers
        generic_handler = grpc.method_handlers_generic_handler(
            ADMIN_SERVICE,
            {
                STATUS_METHOD.name: _make_method_handler(
                    STATUS_METHOD, handlers.status
                ),
                EXPLAIN_METHOD.name: _make_method_handler(
                    EXPLAIN_METHOD, handlers.explain
                ),
                QUOTA_METHOD.name: _make_method_handler(
                    QUOTA_METHOD, handlers.quota
                ),
                TARGETS_METHOD.name: _make_method_handler(
                    TARGETS_METHOD, handlers.targets
                ),
            },
        )
        server.add_generic_rpc_handlers((generic_handler,))
        try:
            if self._runtime.settings.tls.peer_certificate:
                server.add_secure_port(address, self._make_credentials())
            else:
                server.add_insecure_port(address)
        except (OSError, RuntimeError) as error:
            raise SettingsError(
                f'host.admin_port: cannot listen on {address}: {error}'
            ) from error
        await server.start()
        self._server = server

    async def stop(self) -> None:
        """Close the listener."""
        if self._server is not None:
            await self._server.stop(_STOP_GRACE_S)

    def _make_credentials(self) -> grpc.ServerCredentials:
        initial = self._read_tls_files()

        def fetch_config() -> grpc.ServerCertificateConfiguration | None:
            try:
                return self._read_tls_files()
            except OSError as error:
                # Called for each connection; with None, grpc keeps the
                # credentials that were read last.
                self._runtime.log.error(
                    'admin_tls_read_failed', error=str(error)
                )
                return None

        return grpc.dynamic_ssl_server_credentials(
            initial, fetch_config, require_client_authentication=True
        )

    def _read_tls_files(self) -> grpc.ServerCertificateConfiguration:
        tls = self._runtime.settings.tls
        pair = (
            pathlib.Path(tls.peer_key).read_bytes(),
            pathlib.Path(tls.peer_certificate).read_bytes(),
        )
        return grpc.ssl_server_certificate_configuration(
            [pair], pathlib.Path(tls.fleet_ca).read_bytes()
        )


def _make_method_handler(
    method: AdminMethod, handler: Handler
) -> grpc.RpcMethodHandler:
    async def answer(
        request: msgspec.Struct, context: grpc.aio.ServicerContext[Any, Any]
    ) -> msgspec.Struct:
        return handler(request)

    wrapped: Callable[..., Awaitable[msgspec.Struct]] = answer
    return grpc.unary_unary_rpc_method_handler(
        wrapped,
        request_deserializer=decoder(method.request),
        response_serializer=encode,
    )
