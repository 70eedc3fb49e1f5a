"""Guards against links that close between daemons of two releases."""

import msgspec

from dataplane_values import make_record
from turmericrouter_dataplane.frames import ConfigCopy
from turmericrouter_dataplane.frames import encode_frame
from turmericrouter_dataplane.frames import Frame
from turmericrouter_dataplane.frames import FrameReader
from turmericrouter_dataplane.frames import Heartbeat
from turmericrouter_dataplane.frames import HostRecord
from turmericrouter_dataplane.frames import Status
from turmericrouter_dataplane.policy.config_order import UNKNOWN_DIGEST


class _OldStatus(msgspec.Struct, array_like=True, tag=1):
    host: HostRecord
    config_version: int
    running: int = 0
    waiting: int = 0
    limit: int = 0
    is_leaving: bool = False
    protocol: int = 0
    reads_log: bool = True


class _StatusWithEra(_OldStatus, tag=1):
    log_era: int = -1


class _OldHeartbeat(msgspec.Struct, array_like=True, tag=11):
    config_version: int
    running: int
    waiting: int
    is_watched: bool = False


class _HeartbeatWithEra(_OldHeartbeat, tag=11):
    log_era: int = -1


class _OldConfigCopy(msgspec.Struct, array_like=True, tag=5):
    version: int
    document: bytes


# The daemons that report no digest of their configuration.
_FrameWithEra = _StatusWithEra | _HeartbeatWithEra
_OldFrame = _OldStatus | _OldHeartbeat | _OldConfigCopy


def _read(frame: _OldFrame | _FrameWithEra) -> Frame:
    payload = msgspec.msgpack.encode(frame)
    data = len(payload).to_bytes(4, 'big') + payload
    (read,) = FrameReader().feed(data)
    return read


def test_frames_without_an_era_are_read() -> None:
    """Guards against an era that an older daemon would have to send."""
    record = make_record('far')
    assert _read(_OldStatus(record, 3)) == Status(record, 3, log_era=-1)
    assert _read(_OldHeartbeat(3, 1, 2)) == Heartbeat(3, 1, 2, log_era=-1)
    assert _read(_OldConfigCopy(3, b'x')) == ConfigCopy(3, b'x', -1)


def test_older_daemons_read_frames_with_an_era() -> None:
    """Guards against a field that closes the link at an older daemon."""
    decoder = msgspec.msgpack.Decoder(_OldFrame)
    record = make_record('far')
    for frame, expected in (
        (Status(record, 3, log_era=2), _OldStatus(record, 3)),
        (Heartbeat(3, 1, 2, True, 2), _OldHeartbeat(3, 1, 2, True)),
        (ConfigCopy(3, b'x', 2), _OldConfigCopy(3, b'x')),
    ):
        assert decoder.decode(encode_frame(frame)[4:]) == expected


def test_frames_without_a_digest_are_read() -> None:
    """Guards against a digest that an older daemon would have to send."""
    record = make_record('far')
    status = Status(record, 3, log_era=2, config_digest=UNKNOWN_DIGEST)
    assert _read(_StatusWithEra(record, 3, log_era=2)) == status
    heartbeat = Heartbeat(3, 1, 2, log_era=2, config_digest=UNKNOWN_DIGEST)
    assert _read(_HeartbeatWithEra(3, 1, 2, log_era=2)) == heartbeat


def test_older_daemons_read_frames_with_a_digest() -> None:
    """Guards against a field that closes the link at an older daemon."""
    decoder = msgspec.msgpack.Decoder(_FrameWithEra)
    record = make_record('far')
    for frame, expected in (
        (Status(record, 3, 1, 2, 4, False, 2, True, 5, 1, 9),
         _StatusWithEra(record, 3, 1, 2, 4, False, 2, True, 5)),
        (Heartbeat(3, 1, 2, True, 5, 1, 9),
         _HeartbeatWithEra(3, 1, 2, True, 5)),
    ):  # fmt: skip
        assert decoder.decode(encode_frame(frame)[4:]) == expected
