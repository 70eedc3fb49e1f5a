"""Each decoder reads any bytes without an error of another kind.

Bytes at random, and valid messages in which one field has another value.
"""

import copy
import json
from typing import Any

from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import msgspec
import pytest

from platform_documents import ANNOUNCEMENT
from platform_documents import make_announcement_request
from turmericrouter_core.errors import ConfigError
from turmericrouter_core.errors import LogServiceError
from turmericrouter_core.errors import ProtocolError
from turmericrouter_core.errors import SettingsError
from turmericrouter_core.verdict import Reason
from turmericrouter_core.verdict import Verdict
from turmericrouter_dataplane import frames
from turmericrouter_platform import node_file
from turmericrouter_platform.announcement import decode_announcement
from turmericrouter_platform.configuration import decode_config
from turmericrouter_platform.log_store import decode_records

FUZZ = settings(max_examples=300, deadline=None, derandomize=True)
VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**70), 2**70),
    st.floats(),
    st.text(max_size=8),
    st.lists(st.integers(0, 9), max_size=3),
    st.dictionaries(st.text(max_size=3), st.integers(0, 9), max_size=2),
)
CONFIG: dict[str, Any] = {
    'version': 7,
    'routes': {
        'columns': ['name', 'hostname', 'path_prefix', 'route_type',
                    'timeout_s', 'target_latency_s', 'priority',
                    'max_attempts', 'weighted_services'],
        'rows': [['r', 'h', '/a/', 'idempotent', 1, 1, 0, 2,
                  [{'service': 's', 'weight': 1}]]],
    },
    'services': {'columns': ['name'], 'rows': [['s']]},
    'limits': {'max_header_bytes': 100, 'idle_timeout_s': 15},
    'tenants': {
        'columns': ['name', 'api_keys', 'priority', 'rate_per_s', 'burst'],
        'rows': [['east', ['k'], 1, 215, 200]],
    },
}  # fmt: skip
SETTINGS: dict[str, Any] = {
    'node_name': 'h1',
    'zone': 'north',
    'service': 'design',
    'ip': '10.0.0.1',
    'internal_ports': [7000, 7015],
    'app_addr': '10.0.0.1:8547',
    'bounds': ['grace_s=6', 'retry_slack=49'],
    'listen': {'inbound': '10.0.0.1:1', 'outbound': '10.0.0.1:2',
               'ready': '10.0.0.1:3', 'control': '10.0.0.1:4'},
    'platform': {'address': '10.9.0.1:8545'},
}  # fmt: skip
RECORD = frames.HostRecord('h', '10.0.0.1:1', 'north', 'design')
FRAMES: tuple[frames.Frame, ...] = (
    frames.Status(RECORD, 3),
    frames.Heartbeat(3, 1, 2, True),
    frames.Dispatch(1, 't', 1, True, 9, 9, b'GET', b'', b'i', 7),
    frames.Outcome(1, Verdict.RAN, Reason.SERVED, 200),
    frames.Cancel(1),
    frames.ConfigCopy(3, b'{}'),
    frames.Probe(True),
    frames.CrashReport(7, 't'),
    frames.Introduction([RECORD]),
    frames.TokenRequest(1, 'east', 2),
    frames.TokenGrant(1, 2, 3, False),
    frames.TokenHandover('east', 1.5),
    frames.Suspicion('h'),
    frames.RateLimitReport('t', 7, 30.5),
)


def _paths(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Return the paths of all fields of a document."""
    items: Any = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    paths = [path] if path else []
    for key, inner in items:
        paths += _paths(inner, (*path, key))
    return paths


def _changed(document: Any, path: tuple[Any, ...], value: Any) -> Any:
    """Return a copy of a document with another value at a path."""
    result = copy.deepcopy(document)
    inner = result
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = value
    return result


def _announce(body: bytes) -> None:
    decode_announcement(make_announcement_request(body))


def _configure(document: bytes) -> None:
    try:
        decode_config(document)
    except ConfigError:
        return


def _read_frames(data: bytes) -> None:
    try:
        list(frames.FrameReader().feed(data))
    except ProtocolError:
        return


def _read_settings(document: dict[str, Any]) -> None:
    try:
        node_file.decode_settings(document)
    except SettingsError:
        return


@FUZZ
@given(data=st.binary(max_size=64))
@example(data=b'\xff' * 16)
def test_any_bytes_are_read_or_refused(data: bytes) -> None:
    """Guards against bytes that end the work of a whole listener."""
    _announce(data)
    _configure(data)
    _read_frames(len(data).to_bytes(4, 'big') + data)
    _read_frames(data)
    for read, error in (
        (frames.decode_record, ProtocolError),
        (decode_records, LogServiceError),
    ):
        try:
            read(data)
        except error:
            continue


@FUZZ
@given(path=st.sampled_from(_paths(ANNOUNCEMENT)), value=VALUES)
def test_announcement_with_another_field(
    path: tuple[Any, ...], value: Any
) -> None:
    """Guards against a target's announcement that ends its daemon."""
    _announce(json.dumps(_changed(ANNOUNCEMENT, path, value)).encode())


@FUZZ
@given(path=st.sampled_from(_paths(CONFIG)), value=VALUES)
def test_configuration_with_another_field(
    path: tuple[Any, ...], value: Any
) -> None:
    """Guards against a configuration that ends the reader of the log."""
    _configure(json.dumps(_changed(CONFIG, path, value)).encode())


@FUZZ
@given(path=st.sampled_from(_paths(SETTINGS)), value=VALUES)
def test_settings_with_another_field(
    path: tuple[Any, ...], value: Any
) -> None:
    """Guards against a reload that ends the daemon."""
    _read_settings(_changed(SETTINGS, path, value))


@pytest.mark.parametrize(
    'frame', FRAMES, ids=[type(frame).__name__ for frame in FRAMES]
)
@settings(max_examples=100, deadline=None, derandomize=True)
@given(data=st.data())
def test_frame_with_another_field(
    frame: frames.Frame, data: st.DataObject
) -> None:
    """Guards against a peer's frame that ends more than its link."""
    fields = msgspec.msgpack.decode(msgspec.msgpack.encode(frame))
    path = data.draw(st.sampled_from(_paths(fields)))
    value = data.draw(VALUES.filter(_fits_msgpack))
    payload = msgspec.msgpack.encode(_changed(fields, path, value))
    _read_frames(len(payload).to_bytes(4, 'big') + payload)


def _fits_msgpack(value: Any) -> bool:
    try:
        msgspec.msgpack.encode(value)
    except OverflowError:
        return False
    return True
