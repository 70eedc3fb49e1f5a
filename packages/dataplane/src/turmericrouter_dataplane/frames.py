"""Frames of the request path and their codec."""

from collections.abc import Iterator
import struct

import msgspec

from turmericrouter_core.errors import FrameTooLargeError
from turmericrouter_core.errors import ProtocolError
from turmericrouter_core.verdict import Reason
from turmericrouter_core.verdict import Verdict
from turmericrouter_dataplane.policy.config_order import UNKNOWN_DIGEST
from turmericrouter_dataplane.policy.log_era import UNKNOWN_ERA
from turmericrouter_dataplane.policy.rate_limit import NO_RATE_LIMIT
from turmericrouter_dataplane.settings import Address

_LENGTH = struct.Struct('>I')
# Fits the largest body that a configuration may allow and its head.
MAX_FRAME_BYTES = 80 * 1024 * 1024
# Largest values of a record's fields; see `TargetState` for the last one.
_MAX_SLOTS = 2**31 - 1
_MAX_STARTED_AT_MS = 2**53 - 1
_MAX_TARGET_STATE = 2

# Revision of the frames. A daemon closes a link on a frame that it does not
# know, so newer frames go only to peers that report at least their revision.
PROTOCOL_REVISION = 3
HANDOVER_REVISION = 1
SUSPICION_REVISION = 2
RATE_LIMIT_REVISION = 3


class HostRecord(msgspec.Struct, frozen=True, array_like=True):
    """Record of a host in the directory.

    Args:
        name: Unique name of the host.
        address: `IP:PORT` of its peer listener.
        domain: Failure domain.
        service: Service of its target.
        target_id: Id of the target's present start, empty if unknown.
        slots: Requests that the target runs at once.
        state: `TargetState` value.
        started_at_ms: Start of the target in milliseconds, by its clock.
        target_address: `IP:PORT` of the target on its host.
    """

    name: str
    address: str
    domain: str
    service: str
    target_id: str = ''
    slots: int = 0
    state: int = 0
    started_at_ms: int = 0
    target_address: str = ''


class Status(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Whole state of a host, sent first on a link and when it changes.

    Args:
        host: The host and its target.
        config_version: Version in force; -1 for none.
        running: Requests at the target.
        waiting: Requests that wait at the gate.
        limit: Requests that the gate lets run at once.
        is_leaving: Whether the daemon is about to stop.
        protocol: Revision of the frames that the daemon can read.
        reads_log: Whether the daemon's last read of the log succeeded.
        log_era: Newest era of the log that the daemon knows of; -1 for none.
        config_era: Newest era of the log that held the configuration in force;
            -1 if unknown.
        config_digest: Digest of the configuration in force; 0 if unknown.
        is_serving: Whether the daemon serves callers; false while it starts.
    """

    host: HostRecord
    config_version: int
    running: int = 0
    waiting: int = 0
    limit: int = 0
    is_leaving: bool = False
    protocol: int = 0
    reads_log: bool = True
    log_era: int = UNKNOWN_ERA
    config_era: int = UNKNOWN_ERA
    config_digest: int = UNKNOWN_DIGEST
    is_serving: bool = True


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Load and configuration version of a host, sent periodically.

    Args:
        config_version: Version in force; -1 for none.
        running: Requests at the target.
        waiting: Requests that wait at the gate.
        is_watched: Whether the receiver shall report the sender's silence.
        log_era: Newest era of the log that the sender knows of; -1 for none.
        config_era: As in `Status`.
        config_digest: As in `Status`.
    """

    config_version: int
    running: int
    waiting: int
    is_watched: bool = False
    log_era: int = UNKNOWN_ERA
    config_era: int = UNKNOWN_ERA
    config_digest: int = UNKNOWN_DIGEST


class Dispatch(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A request for the target of the receiving host.

    Args:
        correlation: Names the request on its link.
        target_id: The target that is meant; empty for any.
        rank: Importance, 0 first.
        is_idempotent: Whether the request may be stopped while it runs.
        remaining_ms: Time until the answer is due.
        max_queue_wait_ms: Longest time it may wait for a slot.
        head: Method, path and headers without the ones of the gate.
        body: Whole body.
        request_id: Id that the target echoes.
        digest: Names the request in crash reports.
    """

    correlation: int
    target_id: str
    rank: int
    is_idempotent: bool
    remaining_ms: int
    max_queue_wait_ms: int
    head: bytes
    body: bytes
    request_id: bytes
    digest: int


class Outcome(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Result of a dispatched request, and the load of the gate.

    Args:
        correlation: Names the request on its link.
        verdict: Whether it may have run.
        reason: Why it ended.
        status: Status of the target's answer, 0 if there is none.
        head: Status line and headers of the target's answer.
        body: Body of the target's answer.
        running: Requests at the target.
        waiting: Requests that wait at the gate.
        limit: Requests that the gate lets run at once.
        was_sent: Whether the request reached the target, even if the
            target did not run it.
        peak_load: Highest load at the gates of the request and its nested
            calls, as requests divided by the limit of the gate.
        rate_limit: Requests a second that the target takes from all hosts
            together; -1 if it has named no limit.
        wait_ms: Time until the rate limit lets such a request through, if it
            was refused for that.
    """

    correlation: int
    verdict: Verdict
    reason: Reason
    status: int = 0
    head: bytes = b''
    body: bytes = b''
    running: int = 0
    waiting: int = 0
    limit: int = 0
    was_sent: bool = False
    peak_load: float = 0.0
    rate_limit: float = NO_RATE_LIMIT
    wait_ms: int = 0


class Cancel(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The caller of a request has disconnected or its deadline expired."""

    correlation: int


class ConfigCopy(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """A configuration as the operator published it.

    Args:
        version: Its version.
        document: The document.
        era: Newest era of the log that held it; -1 if unknown.
    """

    version: int
    document: bytes
    era: int = UNKNOWN_ERA


class Probe(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Checks whether a silent link still works."""

    is_reply: bool


class CrashReport(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """A target broke off a request and could not be reached after that."""

    digest: int
    target_id: str


class TokenRequest(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Asks the owner of a workspace for a token.

    Args:
        correlation: Names the request among those of its sender.
        workspace: Workspace of the token.
        prefetch: Further tokens to prefetch, which the sender can use soon.
    """

    correlation: int
    workspace: str
    prefetch: int


class TokenGrant(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Answer of the owner of a workspace.

    Args:
        correlation: The one of the request.
        tokens: Tokens for the sender, none if the limit is reached.
        wait_ms: Time until a token is available if there is none.
        is_owner: Whether the sender owns the workspace in its own view.
    """

    correlation: int
    tokens: int
    wait_ms: int
    is_owner: bool = True


class TokenHandover(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """Sent by a host to the one that owns a workspace in its place.

    Args:
        workspace: Name of the workspace.
        tokens: Tokens left in the sender's bucket.
    """

    workspace: str
    tokens: float


class Suspicion(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """A host has fallen silent; the receivers probe their links to it.

    Args:
        host: Name of the silent host.
    """

    host: str


class RateLimitReport(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """Rate limit that the receiver's target had named before it restarted.

    Args:
        target_id: Id of the target's start.
        started_at_ms: Start of the target, as in `HostRecord`.
        rate_per_s: Requests a second.
    """

    target_id: str
    started_at_ms: int
    rate_per_s: float


class Introduction(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Known hosts of the sender, for a host that has just started."""

    hosts: list[HostRecord]


Frame = (
    Status
    | Dispatch
    | Outcome
    | Cancel
    | ConfigCopy
    | Probe
    | CrashReport
    | Introduction
    | Heartbeat
    | TokenRequest
    | TokenGrant
    | TokenHandover
    | Suspicion
    | RateLimitReport
)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Frame] = msgspec.msgpack.Decoder(Frame)
_record_decoder = msgspec.msgpack.Decoder(HostRecord)


def encode_frame(frame: Frame) -> bytes:
    """Return a frame with its length."""
    payload = _encoder.encode(frame)
    return _LENGTH.pack(len(payload)) + payload


def encode_record(record: HostRecord) -> bytes:
    """Return a directory record as it is kept in the log."""
    return _encoder.encode(record)


def decode_record(value: bytes) -> HostRecord:
    """Read a directory record.

    Raises:
        ProtocolError: The value is not such a record.
    """
    try:
        record = _record_decoder.decode(value)
        _check_record(record)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise ProtocolError(f'directory record: {error}') from error
    return record


def _check_record(record: HostRecord) -> None:
    """Check the fields of a record that another writer may have written.

    Raises:
        ValueError: A field has a value that names no host to use.
    """
    Address.parse(record.address)
    if record.target_address:
        Address.parse(record.target_address)
    if not record.name:
        raise ValueError('the name is empty')
    if not 0 <= record.slots <= _MAX_SLOTS:
        raise ValueError(f'{record.slots} slots')
    if not 0 <= record.state <= _MAX_TARGET_STATE:
        raise ValueError(f'unknown state {record.state}')
    if not 0 <= record.started_at_ms <= _MAX_STARTED_AT_MS:
        raise ValueError(f'start at {record.started_at_ms} ms')


class FrameReader:
    """Splits a byte stream into frames."""

    def __init__(self) -> None:
        self._buffer = b''

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Yield each frame that is complete.

        Raises:
            ProtocolError: The stream cannot be read on; drop the link.
        """
        if self._buffer:
            data = self._buffer + data
        view = memoryview(data)
        start, end = 0, len(data)
        while end - start >= 4:
            (length,) = _LENGTH.unpack_from(data, start)
            if length > MAX_FRAME_BYTES:
                raise FrameTooLargeError(f'frame of {length} bytes')
            stop = start + 4 + length
            if stop > end:
                break
            try:
                frame = _decoder.decode(view[start + 4 : stop])
            except (msgspec.MsgspecError, RecursionError) as error:
                raise ProtocolError(f'frame: {error}') from error
            start = stop
            yield frame
        self._buffer = data[start:] if start else data
