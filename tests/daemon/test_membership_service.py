"""Datagrams of the failure detection: signature, age and size."""

import random

import msgspec
import pytest

from turmericrouter_core.directory import Directory
from turmericrouter_core.errors import ProtocolError
from turmericrouter_core.errors import SettingsError
from turmericrouter_core.membership import Membership
from turmericrouter_core.membership import MembershipLimits
from turmericrouter_core.membership import SendDatagram
from turmericrouter_core.messages import DirectoryEntry
from turmericrouter_core.messages import Ping
from turmericrouter_daemon.membership_service import check_secret
from turmericrouter_daemon.membership_service import DatagramCodec
from turmericrouter_daemon.membership_service import MAX_DATAGRAM_BYTES
from turmericrouter_daemon.settings import Settings

NOW_S = 1_800_000_000.0
PING = Ping(7, '10.0.0.1:8002', ())


def _settings(ip: str, secret: str) -> Settings:
    host = {
        'ip': ip,
        'domain': 'north',
        'entry_port': 1,
        'peer_port': 2,
        'local_port': 3,
        'admin_port': 4,
    }
    return msgspec.convert(
        {
            'host': host,
            'platform': {'log_url': 'http://127.0.0.1:1'},
            'membership': {'secret': secret},
        },
        Settings,
    )


def test_datagram_is_read_within_the_skew_bound_only() -> None:
    """Guards against replayed datagrams that are accepted."""
    codec = DatagramCodec('secret', 500)
    data = codec.encode(PING, NOW_S)
    assert codec.decode(data, NOW_S + 0.4) == PING
    assert codec.decode(data, NOW_S - 0.4) == PING
    for wall_s in (NOW_S + 0.6, NOW_S - 0.6):
        with pytest.raises(ProtocolError):
            codec.decode(data, wall_s)


def test_forged_or_damaged_datagram_is_refused() -> None:
    """Guards against datagrams with a wrong key, length or byte."""
    codec = DatagramCodec('secret', 500)
    data = codec.encode(PING, NOW_S)
    forged = [DatagramCodec('other', 500).encode(PING, NOW_S), b'', data[:40]]
    for index in range(len(data)):
        damaged = bytearray(data)
        damaged[index] ^= 1
        forged.append(bytes(damaged))
    for datagram in forged:
        with pytest.raises(ProtocolError):
            codec.decode(datagram, NOW_S)


def test_datagrams_with_many_updates_fit_the_bound() -> None:
    """Guards against datagrams that exceed the limit with long names."""
    directory = Directory()
    entries = [
        DirectoryEntry(
            f'10.20.30.{index}:65535',
            'a-rather-long-domain-name',
            1_800_000_000_000,
            1000 + index,
            1,
            'a-service-with-a-long-name',
            f'a-target-with-a-rather-long-name-{index}',
            10_000,
            10_000,
        )
        for index in range(50)
    ]
    directory.merge(entries)
    membership = Membership(
        directory,
        entries[0].address,
        entries[0].domain,
        MembershipLimits(),
        random.Random(1),
    )
    membership.enqueue(entries)
    codec = DatagramCodec('secret', 500)
    carried = set()
    for second in range(30):
        for action in membership.tick(float(second)):
            assert isinstance(action, SendDatagram)
            message = msgspec.structs.replace(
                action.message, log_age_ms=10**9, config_offset=10**15
            )
            data = codec.encode(message, NOW_S)
            assert len(data) <= MAX_DATAGRAM_BYTES
            carried |= set(message.updates)
    assert len(carried) == 50


def test_secret_is_required_beyond_loopback() -> None:
    """Guards against unauthenticated datagrams on a network."""
    check_secret(_settings('127.0.0.1', ''))
    check_secret(_settings('10.0.0.1', 'secret'))
    with pytest.raises(SettingsError, match='membership.secret'):
        check_secret(_settings('10.0.0.1', ''))
