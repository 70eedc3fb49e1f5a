"""Replication of both streams between daemons without a network."""

import asyncio
import base64
import dataclasses
import random
from typing import Any

import msgspec

from turmericrouter_client.log_service import LogPage
from turmericrouter_client.log_service import StoredRecord
from turmericrouter_core.config import CONTROL_STREAM
from turmericrouter_core.control import ControlRecord
from turmericrouter_core.control import encode_control
from turmericrouter_core.control import RosterChange
from turmericrouter_core.directory import Directory
from turmericrouter_core.messages import ConfigPull
from turmericrouter_core.messages import ConfigPush
from turmericrouter_core.messages import Hello
from turmericrouter_core.messages import LogRecord
from turmericrouter_core.messages import Message
from turmericrouter_core.roster import Roster
from turmericrouter_daemon.config_sync import ConfigSync
from turmericrouter_daemon.decisions import DecisionLog
from turmericrouter_daemon.gossip import Gossip
from turmericrouter_daemon.logs import open_log
from turmericrouter_daemon.metrics import NullMetrics
from turmericrouter_daemon.runtime import Runtime
from turmericrouter_daemon.settings import Settings

SENDER = Hello(1, '127.0.0.9:2', 'north', 1)


@dataclasses.dataclass
class Clock:
    now: float = 1000.0

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now


class Timers:
    def every(self, *_: Any, **__: Any) -> 'Timers':
        return self

    after = every

    def cancel(self) -> None:
        return


class Peers:
    """Answers requests by the handler of another daemon."""

    def __init__(self) -> None:
        self.other: ConfigSync | None = None

    async def request(
        self, address: str, message: Message, kind: type, *, timeout_s: float
    ) -> Message:
        assert self.other is not None
        assert isinstance(message, ConfigPull)
        return self.other.handle_pull(message, SENDER)


def _copy(clock: Clock, peers: Peers | None = None) -> ConfigSync:
    settings = msgspec.convert(
        {
            'host': {
                'ip': '127.0.0.1',
                'domain': 'north',
                'entry_port': 1,
                'peer_port': 2,
                'local_port': 3,
                'admin_port': 4,
                'peers': ['127.0.0.9:2'],
            },
            'platform': {'log_url': 'http://127.0.0.1:1'},
        },
        Settings,
    )
    log = open_log(settings.log, host='h', domain='north')
    runtime = Runtime(
        settings,
        clock,
        Timers(),
        random.Random(1),
        log,
        DecisionLog(log),
        NullMetrics(),
        1,
    )
    gossip = Gossip(runtime, Directory(), peers or Peers())  # type: ignore
    return ConfigSync(runtime, None, gossip)  # type: ignore[arg-type]


def _record(offset: int, change: RosterChange) -> LogRecord:
    return LogRecord(CONTROL_STREAM, offset, encode_control(change))


CHANGES = [
    RosterChange('north', -1, ('a', 'b')),
    RosterChange('north', -1, ('c',)),
    RosterChange('south', -1, ('d',)),
    RosterChange('north', 0, ('a',)),
]
RECORDS = [_record(offset, change) for offset, change in enumerate(CHANGES)]


def _push(copy: ConfigSync, *records: LogRecord) -> None:
    copy.handle_push(ConfigPush(records), SENDER)


def test_control_records_apply_in_offset_order_and_once() -> None:
    """Guards against reordered or repeated pushes that apply as received."""
    copy = _copy(Clock())
    received: list[tuple[int, ControlRecord]] = []
    copy.on_control(lambda offset, record: received.append((offset, record)))
    _push(copy, RECORDS[3], RECORDS[1])
    assert received == []
    _push(copy, RECORDS[0], RECORDS[1])
    _push(copy, RECORDS[2], RECORDS[0])
    assert received == list(enumerate(CHANGES))
    assert copy.rosters.roster('north') == Roster(3, ('a',))
    assert copy.rosters.roster('south') == Roster(2, ('d',))


def test_copy_applies_rosters_from_records_of_a_peer() -> None:
    """Guards against records that a pull or a push loses."""
    peers = Peers()
    source, follower = _copy(Clock()), _copy(Clock(), peers)
    peers.other = source
    _push(source, *RECORDS[:2])
    asyncio.run(follower.pull())
    assert follower.rosters.snapshot() == source.rosters.snapshot()
    _push(follower, RECORDS[3])
    _push(source, *RECORDS[2:])
    asyncio.run(follower.pull())
    assert follower.rosters.snapshot() == source.rosters.snapshot()


def test_rosters_outlive_their_records_by_a_snapshot() -> None:
    """Guards against rosters that are lost when their records expire."""
    first, second, peers = _copy(Clock()), _copy(Clock()), Peers()
    _push(first, *RECORDS)
    payload = base64.b64encode(first.encoded_snapshot(CONTROL_STREAM))
    expired = LogPage(4, 4, (StoredRecord(4, payload.decode()),))
    second.apply_page(CONTROL_STREAM, -1, expired, push=False)
    assert second.rosters.snapshot() == first.rosters.snapshot()
    # This copy has no older records either, so it sends its snapshot.
    peers.other = second
    third = _copy(Clock(), peers)
    notifications: list[int] = []
    third.on_rosters(lambda: notifications.append(1))
    asyncio.run(third.pull())
    assert third.rosters.snapshot() == first.rosters.snapshot()
    assert notifications == [1]


def test_log_age_counts_only_for_a_copy_with_the_same_records() -> None:
    """Guards against an age from a peer that has records missing here."""
    clock = Clock()
    copy = _copy(clock)
    assert copy.is_stale
    copy.handle_log_age(100, copy.state.offset + 1)
    assert copy.is_stale
    copy.handle_log_age(-1, copy.state.offset)
    assert copy.is_stale
    copy.handle_log_age(100, copy.state.offset)
    assert not copy.is_stale
    clock.now += 9.8
    assert not copy.is_stale
    copy.handle_log_age(20_000, copy.state.offset)
    assert not copy.is_stale
    clock.now += 0.2
    assert copy.is_stale
