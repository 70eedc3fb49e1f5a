"""Guards against a start that serves, or withholds, the wrong version."""

from collections.abc import Callable
import dataclasses
from typing import Any

from dataplane_values import make_config
from recording_log import RecordingLog
from turmericrouter_dataplane.fleet_config import FleetConfig
from turmericrouter_dataplane.start_guard import StartGuard
from turmericrouter_dataplane.timers import Deadline


class _Members:
    """Peers that a test sets; keeps the hosts that got a status."""

    def __init__(self) -> None:
        self.linked: list[str] = []
        self.statuses: list[str] = []

    @property
    def peers(self) -> int:
        return len(self.linked)

    @property
    def links_open(self) -> int:
        return len(self.linked)

    def linked_peers(self) -> list[str]:
        return self.linked

    def send_status(self, host: str) -> None:
        self.statuses.append(host)


@dataclasses.dataclass
class _Feed:
    """Configuration known to this host."""

    version: int = -1


class _Timers:
    """Timer service whose time a test sets."""

    def __init__(self) -> None:
        self._now = 100.0
        self._deadline = Deadline(None)

    @property
    def is_calling(self) -> bool:
        return self._deadline.callback is not None

    def now(self) -> float:
        return self._now

    def every(
        self, period_s: float, callback: Callable[[], None], *, name: str
    ) -> Deadline:
        self._deadline = Deadline(callback)
        return self._deadline

    def advance(self, seconds: float) -> None:
        """Let time pass, and call back once unless that was cancelled."""
        self._now += seconds
        if self._deadline.callback is not None:
            self._deadline.callback()


class _Fixture:
    """A daemon that starts beside the peers `a` and `b`."""

    def __init__(self) -> None:
        self.members = _Members()
        self.feed = _Feed()
        self.log = RecordingLog()
        self.in_force: list[FleetConfig] = []
        self.timers = _Timers()
        timers: Any = self.timers
        members: Any = self.members
        feed: Any = self.feed
        log: Any = self.log
        self.guard = StartGuard(
            members=members,
            config=feed,
            put_in_force=self.in_force.append,
            timers=timers,
            log=log,
        )
        self.members.linked = ['a', 'b']
        self.guard.record_directory()
        self.guard.start()

    def learn(self, version: int) -> FleetConfig:
        """Learn a version as the feed of the configuration does."""
        config = make_config(version=version)
        self.feed.version = version
        self.guard.apply(config)
        return config

    def answer(self, version: int) -> None:
        """Let both peers report a version."""
        for host in self.members.linked:
            self.guard.record_version(host, version, True)


def test_configuration_is_held_back_until_peers_have_answered() -> None:
    """Guards against withdrawn keys of an older copy of the log."""
    fixture = _Fixture()
    config = fixture.learn(4)
    fixture.timers.advance(0.5)
    fixture.timers.advance(0.4)
    assert not fixture.guard.may_serve
    assert not fixture.in_force
    fixture.answer(4)
    fixture.timers.advance(0.02)
    assert fixture.guard.may_serve
    assert fixture.in_force == [config]


def test_newer_version_of_a_peer_is_put_in_force_first() -> None:
    """Guards against a start that serves what a peer knows to be old."""
    fixture = _Fixture()
    fixture.learn(4)
    fixture.answer(7)
    fixture.timers.advance(0.5)
    fixture.timers.advance(2.0)
    assert not fixture.in_force
    newer = fixture.learn(7)
    fixture.timers.advance(0.02)
    assert fixture.in_force == [newer]


def test_only_peers_with_a_newer_version_get_another_status() -> None:
    """Guards against a peer that sends its version late, or to no end."""
    fixture = _Fixture()
    fixture.learn(4)
    fixture.guard.record_version('a', 7, True)
    fixture.guard.record_version('b', 4, True)
    assert fixture.members.statuses == ['a']
    fixture.learn(7)
    fixture.guard.record_version('b', 7, True)
    fixture.timers.advance(0.02)
    assert fixture.guard.may_serve
    fixture.guard.record_version('b', 9, True)
    assert fixture.members.statuses == ['a']


def test_later_configurations_are_put_in_force_at_once() -> None:
    """Guards against a running daemon that waits for peers again."""
    fixture = _Fixture()
    first = fixture.learn(4)
    fixture.answer(4)
    fixture.timers.advance(0.02)
    fixture.guard.record_version('a', 9, True)
    second = fixture.learn(5)
    assert fixture.in_force == [first, second]


def test_check_ends_once_with_a_line() -> None:
    """Guards against a check that goes on beside the service."""
    fixture = _Fixture()
    fixture.learn(4)
    fixture.answer(4)
    assert fixture.timers.is_calling
    fixture.timers.advance(0.25)
    assert not fixture.timers.is_calling
    fixture.learn(5)
    fixture.timers.advance(0.02)
    assert fixture.log.events == [
        (
            'start_checked',
            {
                'version': 4,
                'newest': 4,
                'peers': 2,
                'links': 2,
                'waited_ms': 250,
            },
        )
    ]
