"""Entries of another writer: deeply nested, too large, or out of range.

They name nothing to use. Whoever reads them goes on, and the others hold.
"""

import asyncio
import base64
from collections.abc import Callable
import json
import pathlib
from typing import Any

import msgspec
import pytest

from platform_documents import ANNOUNCEMENT
from platform_documents import make_announcement_request
from platform_fleet import Fleet
from platform_fleet import make_config
from standin_store import StandinStore
from test_whole_path import run_scenario
from turmericrouter_core.errors import ConfigError
from turmericrouter_core.errors import LogServiceError
from turmericrouter_core.errors import ProtocolError
from turmericrouter_dataplane import frames
from turmericrouter_dataplane.announcements import InvalidAnnouncement
from turmericrouter_dataplane.log_service import KeyedRecord
from turmericrouter_dataplane.log_service import Stream
from turmericrouter_dataplane.settings import Address
from turmericrouter_platform.announcement import decode_announcement
from turmericrouter_platform.configuration import decode_config
from turmericrouter_platform.log_store import LogStore

_DEPTH = 5000
_NESTED_JSON = b'[' * _DEPTH + b']' * _DEPTH
# An array with a nested one as its only item, that many times.
_NESTED_MSGPACK = b'\x91' * _DEPTH + b'\x90'
_TOO_LARGE = [2**63, 2**70, -(2**70), 1e300]
_HOSTS_TOPIC = 'keyed.turmeric-hosts'


def _announcement(**changes: Any) -> bytes:
    return json.dumps(ANNOUNCEMENT | changes).encode()


def _record(**changes: Any) -> bytes:
    fields: dict[str, Any] = {
        'name': 'odd',
        'address': '127.0.0.1:9',
        'domain': 'north',
        'service': 'design',
        'target_id': 'i-odd',
        'slots': 5,
        'state': 1,
        'started_at_ms': 7,
        'target_address': '127.0.0.1:9',
    }
    return msgspec.msgpack.encode(list((fields | changes).values()))


def _nested_record() -> bytes:
    plain = _record()
    # The first byte is the number of fields; one more follows.
    return bytes([plain[0] + 1]) + plain[1:] + _NESTED_MSGPACK


def _nested_config() -> bytes:
    plain = json.dumps(make_config(version=9)).encode()
    return plain[:-1] + b',"other":' + _NESTED_JSON + b'}'


_NESTED_ANNOUNCEMENT = _announcement().replace(b'"v1"', _NESTED_JSON)


@pytest.mark.parametrize(
    'port', ['70000', '65536', '-1', '0', '', '+80', ' 80', '8_0', '٣']
)
def test_port_out_of_range_is_no_address(port: str) -> None:
    """Guards against a connection to a port that does not exist."""
    with pytest.raises(ValueError, match='port'):
        Address.parse(f'127.0.0.1:{port}')


def test_ports_in_range_are_read() -> None:
    for port in (1, 8080, 65535):
        assert Address.parse(f'127.0.0.1:{port}').port == port


@pytest.mark.parametrize(
    'body',
    [
        _NESTED_JSON,
        _NESTED_ANNOUNCEMENT,
        _announcement(address='127.0.0.1:70000'),
        _announcement(address='127.0.0.1:-1'),
        *(_announcement(slots=value) for value in _TOO_LARGE),
        *(_announcement(sequence=value) for value in _TOO_LARGE),
        *(_announcement(born=value) for value in _TOO_LARGE),
    ],
)
def test_odd_announcement_is_refused(body: bytes) -> None:
    """Guards against an announcement that ends its reader, or the record.

    A record with a larger number cannot be written, nor a status with it.
    """
    decoded = decode_announcement(make_announcement_request(body))
    assert isinstance(decoded, InvalidAnnouncement)


@pytest.mark.parametrize(
    'document',
    [
        _NESTED_JSON,
        _nested_config(),
        *(json.dumps(make_config(version=v)).encode() for v in _TOO_LARGE),
    ],
)
def test_odd_configuration_is_refused(document: bytes) -> None:
    """Guards against a configuration that ends the reader of the log."""
    with pytest.raises(ConfigError):
        decode_config(document)


@pytest.mark.parametrize(
    'value',
    [
        _nested_record(),
        _NESTED_MSGPACK,
        _record(address='127.0.0.1:70000'),
        _record(address='127.0.0.1:-1'),
        _record(address='nowhere'),
        _record(target_address='127.0.0.1:70000'),
        _record(name=''),
        _record(slots=-5),
        _record(slots=2**63),
        _record(state=9),
        _record(started_at_ms=2**63),
    ],
)
def test_odd_host_record_is_refused(value: bytes) -> None:
    """Guards against a record that ends the reader, or names an odd host."""
    with pytest.raises(ProtocolError):
        frames.decode_record(value)


def test_record_of_a_host_without_a_target_is_read() -> None:
    """Guards against a check that refuses hosts that have just started."""
    record = frames.HostRecord('h', '127.0.0.1:9', 'north', 'design')
    assert frames.decode_record(frames.encode_record(record)) == record


@pytest.mark.parametrize('payload', [_NESTED_MSGPACK, _nested_record()])
def test_nested_frame_is_refused(payload: bytes) -> None:
    """Guards against a frame that ends more than its link."""
    reader = frames.FrameReader()
    data = len(payload).to_bytes(4, 'big') + payload
    with pytest.raises(ProtocolError):
        list(reader.feed(data))


@pytest.mark.parametrize('call', ['newest', 'append'])
def test_nested_answer_of_the_log_is_a_failed_call(call: str) -> None:
    """Guards against an answer of the store that ends its caller."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n'
        writer.write(head % len(_NESTED_JSON) + _NESTED_JSON)
        await writer.drain()
        writer.close()

    async def work() -> None:
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        store = LogStore(Address('127.0.0.1', port))
        with pytest.raises(LogServiceError):
            if call == 'newest':
                await store.read_newest(Stream.HOSTS)
            else:
                await store.append(Stream.HOSTS, KeyedRecord('h', b'v'))
        server.close()

    asyncio.run(work())


def test_daemons_go_on_beside_odd_entries(tmp_path: pathlib.Path) -> None:
    """Guards against readers that end again and again, or stop following."""

    def put_odd_entries(store: StandinStore) -> None:
        odd: dict[str, Callable[[], bytes]] = {
            'nested': _nested_record,
            'port': lambda: _record(address='127.0.0.1:70000'),
            'large': lambda: _record(started_at_ms=2**63),
            'bytes': lambda: base64.b64decode(b'/////w=='),
        }
        for name, make in odd.items():
            store.put(_HOSTS_TOPIC, name, make())
        store.put('keyed.op', 'config', _nested_config())
        store.put('keyed.op', 'other', _NESTED_JSON)

    async def scenario(fleet: Fleet) -> None:
        entry, other = fleet.hosts
        put_odd_entries(fleet.store)
        for host in fleet.hosts:
            status = await host.upstream.announce_raw(_NESTED_ANNOUNCEMENT)
            assert status == 400
        entry.kill()
        entry.launch()
        fleet.publish(make_config(version=2))
        put_odd_entries(fleet.store)
        fleet.publish(make_config(version=3))
        for host in fleet.hosts:
            await fleet.wait_for_status(host, '/read/1')
            await fleet.wait_for_status(host, '/open/1')
            assert await fleet.gauge(host, 'config_version') == 3
            assert not host.log_lines('task_failed')
            assert not host.log_lines('timer_failed')
        assert other.process is not None
        assert other.process.poll() is None

    run_scenario(tmp_path, scenario)
