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

SERVICE = 'turmericrouter.Admin'
DEFAULT_TIMEOUT_S = 3.0

_R = TypeVar('_R', bound=msgspec.Struct)


class AdminError(TurmericError):
    """A daemon's admin interface cannot be reached or refused a call."""


class Nothing(msgspec.Struct, frozen=True):
    """Request without fields."""


class StatusReply(msgspec.Struct, frozen=True):
    """State of a daemon.

    Args:
        address: `IP:PORT` of its peer listener.
        domain: Failure domain.
        incarnation: Start time in milliseconds since the Unix epoch.
        config_offset: Offset of the configuration in force.
        log_age_s: Seconds since the log is known to have been read, -1 if
            it never was.
        stale: Whether newer configuration may exist.
        refused_routes: Routes that are refused because of that.
        target: Name of the local target, empty before its announcement.
        service: Service of the local target.
        target_state: `joining`, `serving`, `leaving` or `retired`.
        in_flight: Requests at the local target.
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
    """Asks for the decisions on a request."""

    request_id: str


class DecisionRow(msgspec.Struct, frozen=True):
    """One decision with the pairs of its log line."""

    event: str
    fields: dict[str, str]


class ExplainReply(msgspec.Struct, frozen=True):
    """Decisions on a request, oldest first."""

    decisions: tuple[DecisionRow, ...]


class QuotaRow(msgspec.Struct, frozen=True):
    """Quota of a workspace as one daemon knows it.

    Args:
        workspace: Name of the workspace.
        rate_per_s: Rate over the whole fleet.
        burst: Burst over the whole fleet.
        slices_held: Slices that this daemon holds.
        tokens_held: Tokens in these slices now.
        tokens_pooled: Tokens that this daemon's entry has drawn.
    """

    workspace: str
    rate_per_s: float
    burst: float
    slices_held: int = 0
    tokens_held: float = 0.0
    tokens_pooled: float = 0.0


class QuotaReply(msgspec.Struct, frozen=True):
    """Quota of all workspaces."""

    rows: tuple[QuotaRow, ...]


class TargetRow(msgspec.Struct, frozen=True):
    """A directory entry.

    Args:
        address: `IP:PORT` of the daemon's peer listener.
        domain: Failure domain.
        service: Service of the target.
        target: Name of the target.
        state: `joining`, `serving`, `leaving` or `retired`.
        mark: `alive`, `suspect` or `dead`.
        slots: Announced slots.
        connections: Announced connections.
        incarnation: Start time of the daemon in milliseconds.
        version: Version of the entry.
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
class Method:
    """A method of the interface."""

    name: str
    request: type[msgspec.Struct]
    reply: type[msgspec.Struct]

    @property
    def path(self) -> str:
        """Return the gRPC path."""
        return f'/{SERVICE}/{self.name}'


STATUS = Method('Status', Nothing, StatusReply)
EXPLAIN = Method('Explain', ExplainRequest, ExplainReply)
QUOTA = Method('Quota', Nothing, QuotaReply)
TARGETS = Method('Targets', Nothing, TargetsReply)


def encode(message: msgspec.Struct) -> bytes:
    """Return a message's bytes."""
    return msgspec.msgpack.encode(message)


def decoder(kind: type[msgspec.Struct]) -> Callable[[bytes], msgspec.Struct]:
    """Return the function that reads messages of a type."""
    return cast(Any, msgspec.msgpack.Decoder(kind)).decode  # type: ignore[no-any-return]


@dataclasses.dataclass(frozen=True, slots=True)
class AdminTls:
    """Files of the operators' side of mutual TLS.

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
        """Return gRPC credentials.

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
    """Calls the admin interface of one daemon.

    Args:
        address: `IP:PORT` of the admin listener.
        tls: Files of mutual TLS, none for plain TCP.
        timeout_s: Seconds to wait for an answer.
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
        """Close the connection."""
        await self._channel.close()

    async def status(self) -> StatusReply:
        """Return the daemon's state.

        Raises:
            AdminError: The daemon cannot be reached.
        """
        return await self._call(STATUS, Nothing(), StatusReply)

    async def explain(self, request_id: str) -> ExplainReply:
        """Return the daemon's decisions on a request.

        Raises:
            AdminError: The daemon cannot be reached.
        """
        request = ExplainRequest(request_id)
        return await self._call(EXPLAIN, request, ExplainReply)

    async def quota(self) -> QuotaReply:
        """Return what the daemon knows of workspaces' quota.

        Raises:
            AdminError: The daemon cannot be reached.
        """
        return await self._call(QUOTA, Nothing(), QuotaReply)

    async def targets(self) -> TargetsReply:
        """Return the daemon's directory.

        Raises:
            AdminError: The daemon cannot be reached.
        """
        return await self._call(TARGETS, Nothing(), TargetsReply)

    async def _call(
        self, method: Method, request: msgspec.Struct, kind: type[_R]
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
