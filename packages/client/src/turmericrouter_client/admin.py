"""Admin interface of a daemon: its methods, messages and client.

The methods are gRPC unary calls whose messages are msgpack-encoded
`msgspec` structs; there is no generated code.
"""

from collections.abc import Callable
import dataclasses
import pathlib
from typing import Any
from typing import cast
from typing import TypeVar

import grpc
import grpc.aio
import msgspec

from turmericrouter_core.errors import SettingsError
from turmericrouter_core.errors import TurmericError

ADMIN_SERVICE = 'turmericrouter.Admin'
DEFAULT_TIMEOUT_S = 3.0

_R = TypeVar('_R', bound=msgspec.Struct)


class AdminError(TurmericError):
    """A daemon's admin interface cannot be reached or refused a call."""


class Empty(msgspec.Struct, frozen=True):
    """Request without fields."""


class StatusReply(msgspec.Struct, frozen=True):
    """State of a daemon.

    The gate is the daemon's admission control in front of its local target.

    Args:
        address: `IP:PORT` of the peer listener.
        domain: Failure domain.
        incarnation: Start time in milliseconds since the Unix epoch.
        config_offset: Log offset of the configuration in force.
        log_age_s: Seconds since the last known read of the log, by this
            daemon or as reported by others; -1 if there was none.
        stale: Whether newer configuration may exist.
        refused_routes: Routes that are refused while `stale` is set.
        target: Name of the local target, empty before its announcement.
        service: Service of the local target.
        target_state: `joining`, `serving`, `leaving` or `retired`.
        in_flight: Requests in flight at the local target.
        queued: Requests waiting at the gate.
        limit: Concurrency limit of the gate.
        members: Number of directory entries by state.
    """

    address: str
    domain: str
    incarnation: int
    config_offset: int
    log_age_s: float
    stale: bool
    refused_routes: tuple[str, ...]
    target: str
    service: str
    target_state: str
    in_flight: int
    queued: int
    limit: int
    members: dict[str, int]


class ExplainRequest(msgspec.Struct, frozen=True):
    """Request for the decisions that a daemon made on a caller's request."""

    request_id: str


class DecisionRow(msgspec.Struct, frozen=True):
    """A decision with the key-value pairs of its log line."""

    event: str
    fields: dict[str, str]


class ExplainReply(msgspec.Struct, frozen=True):
    """Decisions on a request, oldest first."""

    decisions: tuple[DecisionRow, ...]


class QuotaRow(msgspec.Struct, frozen=True):
    """Quota of a workspace as seen by one daemon.

    A quota is divided into slices: token buckets that each have one daemon
    as holder. The entry, where callers connect, requests tokens from holders.

    Args:
        workspace: Name of the workspace.
        rate_per_s: Requests per second over the whole fleet.
        burst: Burst in requests over the whole fleet.
        slices_held: Number of slices that this daemon holds.
        tokens_held: Tokens currently in these slices.
        tokens_pooled: Tokens that this daemon's entry has obtained from
            holders.
    """

    workspace: str
    rate_per_s: float
    burst: float
    slices_held: int = 0
    tokens_held: float = 0.0
    tokens_pooled: float = 0.0


class QuotaReply(msgspec.Struct, frozen=True):
    """Quota of all workspaces as seen by one daemon."""

    rows: tuple[QuotaRow, ...]


class TargetRow(msgspec.Struct, frozen=True):
    """A directory entry.

    Args:
        address: `IP:PORT` of the daemon's peer listener.
        domain: Failure domain.
        service: Service of the target.
        target: Name of the target.
        state: `joining`, `serving`, `leaving` or `retired`.
        mark: Health of the member: `alive`, `suspect` or `dead`.
        slots: Number of slots that the target announced.
        connections: Number of connections that the target announced.
        incarnation: Start time of the daemon in milliseconds since the Unix
            epoch.
        version: Version of the entry within the incarnation.
    """

    address: str
    domain: str
    service: str
    target: str
    state: str
    mark: str
    slots: int
    connections: int
    incarnation: int
    version: int


class TargetsReply(msgspec.Struct, frozen=True):
    """All directory entries."""

    rows: tuple[TargetRow, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AdminMethod:
    """A unary method of the admin interface."""

    name: str
    request: type[msgspec.Struct]
    reply: type[msgspec.Struct]

    @property
    def path(self) -> str:
        """Return the method's gRPC path."""
        return f'/{ADMIN_SERVICE}/{self.name}'


STATUS_METHOD = AdminMethod('Status', Empty, StatusReply)
EXPLAIN_METHOD = AdminMethod('Explain', ExplainRequest, ExplainReply)
QUOTA_METHOD = AdminMethod('Quota', Empty, QuotaReply)
TARGETS_METHOD = AdminMethod('Targets', Empty, TargetsReply)


def encode(message: msgspec.Struct) -> bytes:
    """Encode a message in msgpack."""
    return msgspec.msgpack.encode(message)


def decoder(kind: type[msgspec.Struct]) -> Callable[[bytes], msgspec.Struct]:
    """Return a function that decodes messages of a type from msgpack."""
    return cast(Any, msgspec.msgpack.Decoder(kind)).decode  # type: ignore[no-any-return]


@dataclasses.dataclass(frozen=True, slots=True)
class AdminTls:
    """Client-side files of mutual TLS.

    Args:
        certificate: PEM file of a certificate that the fleet CA signed.
        key: PEM file of its private key.
        fleet_ca: PEM file of the fleet CA.
        server_name: Name that daemons' certificates carry; empty if they
            carry their IP addresses.
    """

    certificate: str
    key: str
    fleet_ca: str
    server_name: str = ''

    def credentials(self) -> grpc.ChannelCredentials:
        """Return gRPC channel credentials made from the files.

        Raises:
            SettingsError: A file cannot be read.
        """
        try:
            return grpc.ssl_channel_credentials(
                pathlib.Path(self.fleet_ca).read_bytes(),
                pathlib.Path(self.key).read_bytes(),
                pathlib.Path(self.certificate).read_bytes(),
            )
        except OSError as error:
            raise SettingsError(f'tls: {error}') from error


class AdminClient:
    """Client of the admin interface of one daemon.

    Args:
        address: `IP:PORT` of the admin listener.
        tls: Files of mutual TLS, `None` for plain TCP.
        timeout_s: Timeout of a call in seconds.
    """

    def __init__(
        self,
        address: str,
        *,
        tls: AdminTls | None = None,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> None:
        self.address = address
        self._timeout_s = timeout_s
        options: list[tuple[str, Any]] = [('grpc.enable_http_proxy', 0)]
        if tls is None:
            self._channel = grpc.aio.insecure_channel(address, options)
            return
        if tls.server_name:
            name = tls.server_name
            options.append(('grpc.ssl_target_name_override', name))
        self._channel = grpc.aio.secure_channel(
            address, tls.credentials(), options
        )

    async def __aenter__(self) -> 'AdminClient':
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    async def close(self) -> None:
        """Close the gRPC channel."""
        await self._channel.close()

    async def status(self) -> StatusReply:
        """Return the daemon's state.

        Raises:
            AdminError: The daemon cannot be reached.
        """
        return await self._call(STATUS_METHOD, Empty(), StatusReply)

    async def explain(self, request_id: str) -> ExplainReply:
        """Return the daemon's decisions on a request.

        Args:
            request_id: Identifier of the request.

        Raises:
            AdminError: The daemon cannot be reached.
        """
        request = ExplainRequest(request_id)
        return await self._call(EXPLAIN_METHOD, request, ExplainReply)

    async def quota(self) -> QuotaReply:
        """Return the daemon's view of workspace quotas.

        Raises:
            AdminError: The daemon cannot be reached.
        """
        return await self._call(QUOTA_METHOD, Empty(), QuotaReply)

    async def targets(self) -> TargetsReply:
        """Return the daemon's directory.

        Raises:
            AdminError: The daemon cannot be reached.
        """
        return await self._call(TARGETS_METHOD, Empty(), TargetsReply)

    async def _call(
        self, method: AdminMethod, request: msgspec.Struct, kind: type[_R]
    ) -> _R:
        call = self._channel.unary_unary(
            method.path,
            request_serializer=encode,
            response_deserializer=decoder(method.reply),
        )
        try:
            reply = await call(request, timeout=self._timeout_s)
        except grpc.aio.AioRpcError as error:
            detail = error.details() or error.code().name
            raise AdminError(f'{self.address}: {detail}') from error
        return cast(_R, reply)
