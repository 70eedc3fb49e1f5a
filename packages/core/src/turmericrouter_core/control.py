"""Records of the control stream, which the daemons keep for themselves."""

import msgspec

from turmericrouter_core.errors import ConfigError
from turmericrouter_core.messages import DirectoryEntry


class Announcement(msgspec.Struct, frozen=True, tag='announcement'):
    """A daemon has started; peers find it by this record."""

    entry: DirectoryEntry


class RosterChange(msgspec.Struct, frozen=True, tag='roster'):
    """New holders of a failure domain.

    Args:
        domain: Failure domain.
        base_epoch: Epoch that the change was made from; the change is
            ignored if another one came first.
        holders: Addresses that hold quota slices and operations.
        released: Former holders that stopped acting before the change was
            appended; whoever takes over from them need not wait.
    """

    domain: str
    base_epoch: int
    holders: tuple[str, ...]
    released: tuple[str, ...] = ()


class ControlSnapshot(msgspec.Struct, frozen=True, tag='control-snapshot'):
    """All rosters as of an offset, because older records expire.

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
    """Return a record's payload in the log."""
    return msgspec.msgpack.encode(record)


def decode_control(payload: bytes) -> ControlRecord:
    """Read a record's payload.

    Raises:
        ConfigError: The payload is not a control record.
    """
    try:
        return _decoder.decode(payload)
    except msgspec.MsgspecError as error:
        raise ConfigError(f'not a control record: {error}') from error


def control_snapshot_offset(payload: bytes) -> int | None:
    """Return the offset that a snapshot restores to, none for others."""
    try:
        record = decode_control(payload)
    except ConfigError:
        return None
    return record.offset if isinstance(record, ControlSnapshot) else None
