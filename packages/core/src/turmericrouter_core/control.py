"""Records of the control stream, which is internal to the daemons."""

import msgspec

from turmericrouter_core.errors import ConfigError
from turmericrouter_core.messages import DirectoryEntry


class Announcement(msgspec.Struct, frozen=True, tag='announcement'):
    """Record of a started daemon, by which its peers discover it."""

    entry: DirectoryEntry


class RosterChange(msgspec.Struct, frozen=True, tag='roster'):
    """Change of the holders of a failure domain.

    The roster of a domain lists its holders, the daemons that hold quota
    slices and idempotency stores. Its epoch is the log offset of the last
    change.

    Args:
        domain: Failure domain.
        base_epoch: Epoch of the roster that the change is based on; the
            change is ignored if another change was logged before it.
        holders: Addresses of the new holders.
        released: Former holders that stopped acting before the change was
            appended; their successors start without a waiting time.
    """

    domain: str
    base_epoch: int
    holders: tuple[str, ...]
    released: tuple[str, ...] = ()


class ControlSnapshot(msgspec.Struct, frozen=True, tag='control-snapshot'):
    """All rosters as of an offset, since older records expire from the log.

    Args:
        offset: Last offset that the rosters include.
        rosters: (epoch, holders) by failure domain.
    """

    offset: int
    rosters: dict[str, tuple[int, tuple[str, ...]]]


ControlRecord = Announcement | RosterChange | ControlSnapshot

_decoder: msgspec.msgpack.Decoder[
    Announcement | RosterChange | ControlSnapshot
] = msgspec.msgpack.Decoder(Announcement | RosterChange | ControlSnapshot)


def encode_control(record: ControlRecord) -> bytes:
    """Return the log payload of a record."""
    return msgspec.msgpack.encode(record)


def decode_control(payload: bytes) -> ControlRecord:
    """Decode the log payload of a record.

    Raises:
        ConfigError: The payload is not a control record.
    """
    try:
        return _decoder.decode(payload)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ConfigError(f'not a control record: {error}') from error


def control_snapshot_offset(payload: bytes) -> int | None:
    """Return the offset of a snapshot, or None for any other payload."""
    try:
        record = decode_control(payload)
    except ConfigError:
        return None
    return record.offset if isinstance(record, ControlSnapshot) else None
