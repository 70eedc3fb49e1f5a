"""Messages between daemons.

Every message is a frozen `msgspec.Struct` encoded as a msgpack array. The
frame header contains the code of the message type, so arrays need no tag.
"""

from collections.abc import Callable
from typing import TypeVar

import msgspec

from turmericrouter_core.verdict import Importance
from turmericrouter_core.verdict import Reason
from turmericrouter_core.verdict import Verdict

PROTOCOL_VERSION = 1


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Base of all messages between daemons."""


_M = TypeVar('_M', bound=type[Message])
TYPE_OF_CODE: dict[int, type[Message]] = {}
CODE_OF_TYPE: dict[type[Message], int] = {}


def _code(code: int) -> Callable[[_M], _M]:
    """Register a message type under its frame type code."""

    def register(kind: _M) -> _M:
        if code in TYPE_OF_CODE:
            raise ValueError(f'message code {code} is already registered')
        TYPE_OF_CODE[code] = kind
        CODE_OF_TYPE[kind] = code
        return kind

    return register


@_code(1)
class Hello(Message, frozen=True):
    """First message on a link, in both directions.

    Args:
        version: Protocol version of the sender.
        address: `IP:PORT` of the sender's peer listener.
        domain: Failure domain of the sender.
        incarnation: Start time of the sender in milliseconds.
    """

    version: int
    address: str
    domain: str
    incarnation: int


@_code(2)
class FailureReply(Message, frozen=True):
    """Reply to a request that the peer could not handle."""

    detail: str


@_code(3)
class EmptyReply(Message, frozen=True):
    """Reply without content."""


@_code(10)
class Dispatch(Message, frozen=True):
    """A request for the target behind the receiving gate.

    Args:
        request_id: Id of the top-level request, 32 hexadecimal digits.
        target: Name of the chosen target.
        workspace: Workspace of the caller, empty on a route open to all.
        route: Name of the route.
        method: HTTP method.
        path: Path with query.
        headers: Name and value pairs, without the caller's key.
        body: Complete request body.
        importance: Importance of the route.
        bucket: Shedding bucket of the request id, 0 to 127.
        timeout_ms: Milliseconds left until the deadline.
        depth: 0 for a top-level request.
        retries_left: Retry allowance that nested calls may spend.
        key_digest: SHA-256 digest of the caller's key, empty without a key.
            The gate checks it again before a waiting request is started.
        operation_id: Id of a non-idempotent request, else empty.
    """

    request_id: str
    target: str
    workspace: str
    route: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    importance: Importance
    bucket: int
    timeout_ms: int
    depth: int
    retries_left: int
    key_digest: str = ''
    operation_id: str = ''


class AdmissionLevel(msgspec.Struct, frozen=True, array_like=True):
    """Admission level of a gate.

    A request passes if its (importance, bucket) is below the level.
    """

    importance: int = len(Importance)
    bucket: int = 0


class GateLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of a gate, sent with every `Outcome`.

    Args:
        level: Requests at or above this level are refused.
        in_flight: Number of requests at the target.
        queued: Number of requests waiting at the gate.
        limit: Current concurrency limit.
    """

    level: AdmissionLevel
    in_flight: int
    queued: int
    limit: int


@_code(11)
class Outcome(Message, frozen=True):
    """Reply to `Dispatch`.

    Args:
        verdict: Whether the request may have run.
        reason: Reason of a refusal, or `served`.
        status: HTTP status of the target, 0 without an answer.
        headers: Headers of the target's answer.
        body: Complete body of the target's answer.
        load: Load of the gate.
        retries_used: Retry allowance spent by nested calls of the request.
        retry_after_ms: Milliseconds to wait before another attempt.
        service_ms: Time at the target in milliseconds.
    """

    verdict: Verdict
    reason: Reason
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    load: GateLoad
    retries_used: int = 0
    retry_after_ms: int = 0
    service_ms: float = 0.0


@_code(12)
class Cancel(Message, frozen=True):
    """Cancel the request with this frame's correlation id; no reply."""


@_code(20)
class RequestTokens(Message, frozen=True):
    """Token request to the holder of a quota slice.

    Args:
        workspace: Workspace whose quota is requested.
        slice_index: Index of the slice that the receiver holds.
        count: Number of tokens requested.
        epoch: Roster epoch of the sender for the receiver's domain.
    """

    workspace: str
    slice_index: int
    count: int
    epoch: int


@_code(21)
class TokensGranted(Message, frozen=True):
    """Reply to `RequestTokens`.

    Args:
        count: Number of tokens granted.
        lifetime_ms: Milliseconds until the tokens expire, counted from the
            time the request was sent.
        retry_after_ms: Milliseconds until the next token if none was
            granted.
        fenced: Whether the receiver of the request does not currently hold
            the slice.
        grant_id: Id of the grant at this holder, used to return tokens.
    """

    count: int
    lifetime_ms: int
    retry_after_ms: int = 0
    fenced: bool = False
    grant_id: int = 0


@_code(22)
class ReturnTokens(Message, frozen=True):
    """Return unspent tokens of one grant to the holder; no reply."""

    workspace: str
    slice_index: int
    grant_id: int
    count: int


@_code(30)
class BeginOperation(Message, frozen=True):
    """Ask the home daemon of an operation whether it may start.

    Args:
        workspace: Workspace of the caller.
        operation_id: Canonical text of the id.
        body_digest: Digest of route, path and body.
        epoch: Roster epoch of the sender for the home domain.
    """

    workspace: str
    operation_id: str
    body_digest: bytes
    epoch: int


class StoredAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Answer of a finished operation, replayed to repeated requests."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@_code(31)
class OperationStatus(Message, frozen=True):
    """Reply to `BeginOperation`.

    Args:
        state: One of the values of `operation.OperationState`.
        reason: Reason of a refusal, else `served`.
        nonce: Single-use value of this start, 0 if not started.
        answer: Stored answer of a finished operation.
    """

    state: str
    reason: Reason
    nonce: int = 0
    answer: StoredAnswer | None = None


@_code(32)
class FinishOperation(Message, frozen=True):
    """Store the answer of a started operation. Reply: `EmptyReply`.

    An answer too long to be stored is omitted.
    """

    workspace: str
    operation_id: str
    nonce: int
    answer: StoredAnswer | None


@_code(33)
class AbortOperation(Message, frozen=True):
    """Remove a started operation that certainly did not run; no reply."""

    workspace: str
    operation_id: str
    nonce: int


class LogRecord(msgspec.Struct, frozen=True, array_like=True):
    """A record of a log stream with its offset."""

    stream: str
    offset: int
    payload: bytes


@_code(40)
class ConfigPull(Message, frozen=True):
    """Ask a peer for records newer than the sender's replicas.

    Args:
        config_offset: Last offset applied to the sender's configuration.
        control_offset: Last offset applied to the sender's roster state.
        log_age_ms: Milliseconds since the last known read of the log
            service, by the sender or a daemon whose report it received; -1
            if never.
    """

    config_offset: int
    control_offset: int
    log_age_ms: int


@_code(41)
class ConfigDelta(Message, frozen=True):
    """Reply to `ConfigPull`.

    Args:
        records: Records newer than the offsets of the pull, in order.
        snapshot: Encoded configuration state if the records are no longer
            retained, else empty.
        control_snapshot: Encoded roster state if the records are no longer
            retained, else empty.
        log_age_ms: As in `ConfigPull`, for the replying daemon.
    """

    records: tuple[LogRecord, ...]
    snapshot: bytes
    control_snapshot: bytes
    log_age_ms: int


@_code(42)
class ConfigPush(Message, frozen=True):
    """New log records, forwarded by daemons that lacked them; no reply."""

    records: tuple[LogRecord, ...]


class DirectoryEntry(msgspec.Struct, frozen=True, array_like=True):
    """A daemon and its target, owned by that daemon.

    Args:
        address: `IP:PORT` of the peer listener; identifies the host.
        domain: Failure domain.
        incarnation: Start time of the daemon in milliseconds.
        version: Number of changes by the owner in this incarnation.
        state: One of the values of `directory.MemberState`.
        service: Service of the target, empty before its announcement.
        target: Name of the target.
        slots: Number of requests the target runs concurrently, 0 if unknown.
        connections: Number of connections the target accepts, 0 if unknown.
        mark: A value of `directory.MemberHealth`, set by other daemons.
    """

    address: str
    domain: str
    incarnation: int
    version: int
    state: int
    service: str = ''
    target: str = ''
    slots: int = 0
    connections: int = 0
    mark: int = 0


@_code(50)
class DirectoryPull(Message, frozen=True):
    """Ask a peer for directory entries that differ.

    Args:
        digests: Digest per bucket of the sender's directory.
    """

    digests: tuple[int, ...]


@_code(51)
class DirectoryDelta(Message, frozen=True):
    """Reply to `DirectoryPull`.

    Args:
        entries: Entries of the buckets that differ.
        digests: Digest per bucket of the replying daemon's directory.
    """

    entries: tuple[DirectoryEntry, ...]
    digests: tuple[int, ...]


@_code(52)
class DirectoryPush(Message, frozen=True):
    """New directory entries; no reply."""

    entries: tuple[DirectoryEntry, ...]


class CrashRecord(msgspec.Struct, frozen=True, array_like=True):
    """Crash record: a target crashed while a request was in flight there.

    Args:
        digest: Keyed digest of the request.
        crash_id: Identifies the crash: target name and connection epoch.
        age_ms: Milliseconds since the crash.
        cleared: Whether the request has succeeded since, which voids its
            crash records.
    """

    digest: bytes
    crash_id: str
    age_ms: int
    cleared: bool = False


@_code(60)
class CrashRecords(Message, frozen=True):
    """New crash records, forwarded by daemons that lacked them; no reply."""

    records: tuple[CrashRecord, ...]


@_code(70)
class Ping(Message, frozen=True):
    """Membership probe over UDP.

    Args:
        sequence: Sequence number that the acknowledgement repeats.
        sender: `IP:PORT` of the sender's peer listener.
        updates: Piggybacked directory entries.
        log_age_ms: As in `ConfigPull`, -1 if never.
        config_offset: Configuration offset to which the age applies.
    """

    sequence: int
    sender: str
    updates: tuple[DirectoryEntry, ...]
    log_age_ms: int = -1
    config_offset: int = -1


@_code(71)
class Ack(Message, frozen=True):
    """Reply to `Ping` or `PingRequest`."""

    sequence: int
    sender: str
    updates: tuple[DirectoryEntry, ...]
    log_age_ms: int = -1
    config_offset: int = -1


@_code(72)
class PingRequest(Message, frozen=True):
    """Ask a member to probe another one on the sender's behalf."""

    sequence: int
    sender: str
    probed: str
    updates: tuple[DirectoryEntry, ...]


@_code(23)
class RosterQuery(Message, frozen=True):
    """Ask a peer for the roster epoch of a failure domain."""

    domain: str


@_code(24)
class RosterEpoch(Message, frozen=True):
    """Reply to `RosterQuery`; the epoch is -1 without a roster."""

    epoch: int
