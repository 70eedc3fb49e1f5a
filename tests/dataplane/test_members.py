"""Guards against reachable hosts that are treated as unreachable."""

import asyncio
import random
from typing import Any

import pytest

from dataplane_values import make_config
from dataplane_values import make_record
from dataplane_values import NAMES
from turmericrouter_dataplane.config_feed import ConfigFeed
from turmericrouter_dataplane.decision_log import DecisionLog
from turmericrouter_dataplane.era_watch import EraWatch
from turmericrouter_dataplane.frames import ConfigCopy
from turmericrouter_dataplane.frames import Heartbeat
from turmericrouter_dataplane.frames import HostRecord
from turmericrouter_dataplane.frames import Introduction
from turmericrouter_dataplane.frames import Status
from turmericrouter_dataplane.frames import Suspicion
from turmericrouter_dataplane.gate import Gate
from turmericrouter_dataplane.links import Link
from turmericrouter_dataplane.links import LinkServer
from turmericrouter_dataplane.members import Members
from turmericrouter_dataplane.policy.config_order import ConfigIdentity
from turmericrouter_dataplane.policy.crash_records import CrashRecords
from turmericrouter_dataplane.policy.log_era import LogEra
from turmericrouter_dataplane.policy.retry_budget import RetryBudget
from turmericrouter_dataplane.policy.target_chooser import TargetChooser
from turmericrouter_dataplane.policy.workspace_quota import WorkspaceQuota
from turmericrouter_dataplane.timers import TimerService


class _Config:
    """Stub of the configuration in force."""

    version = 1
    document = b''
    applied_at = 0.0
    is_connected = True
    identity = ConfigIdentity(1, 0, 0)


def make_members(
    name: str, config: Any = None
) -> tuple[Members, TargetChooser]:
    chooser = TargetChooser(name, 'north', random.Random(1))
    log = DecisionLog(name)
    config = config or _Config()
    timers = TimerService(lambda name, error: None)
    members = Members(
        make_record(name),
        gate=Gate(NAMES, timers, log, lambda digest, target: None),
        chooser=chooser,
        quota=WorkspaceQuota(name, random.Random(1)),
        budget=RetryBudget(ratio=0.2, slack=10),
        crash_records=CrashRecords(),
        config=config,
        era_watch=EraWatch(LogEra(), log),
        log=log,
    )
    return members, chooser


async def _until(condition: Any) -> None:
    async with asyncio.timeout(5.0):
        while not condition():
            await asyncio.sleep(0.01)


def test_late_close_of_an_old_connection_hides_no_newer_link() -> None:
    """A slow connect timed out after the next one had succeeded."""

    async def work() -> None:
        far, _ = make_members('far')
        server = LinkServer(far)
        await server.start('127.0.0.1', 0)
        assert server._server is not None
        port = server._server.sockets[0].getsockname()[1]
        members, chooser = make_members('own')
        record = make_record('far')
        members.add(
            type(record)('far', f'127.0.0.1:{port}', 'north', 'design')
        )
        view = chooser.views['far']
        await _until(lambda: view.is_linked)
        loop = asyncio.get_running_loop()
        _, old = await loop.create_connection(
            lambda: Link(members, 'far'), '127.0.0.1', port
        )
        old.abort()
        await old.closed
        assert view.is_linked
        link = members.link_of('far')
        assert link is not None
        link.abort()
        await link.closed
        assert not view.is_linked
        members.stop()
        server.finish()

    asyncio.run(work())


def test_starting_host_has_few_bootstrap_peers() -> None:
    """Each of 83 peers sent the whole configuration to a host that started."""

    async def work() -> None:
        names = [f'host-{number}' for number in range(20)]
        bootstrap_peers = 0
        for name in names[1:]:
            members, chooser = make_members(name)
            for other in names:
                chooser.update(make_record(other)).is_linked = True
            bootstrap_peers += members._sharing.is_bootstrap_peer(names[0])
        assert 2 <= bootstrap_peers <= 4

    asyncio.run(work())


def test_timeout_of_one_link_probes_its_domain() -> None:
    """Idle links to a partitioned domain timed out seconds later."""

    async def work() -> None:
        members, chooser = make_members('own')
        probed: list[str] = []

        class FakeLink:
            is_open = True
            timed_out = True

            def __init__(self, peer: str) -> None:
                self.peer = peer

            def probe(self, now: float) -> None:
                probed.append(self.peer)

        links: dict[str, Any] = {}
        for name, domain in (
            ('a', 'south'),
            ('b', 'south'),
            ('c', 'west'),
        ):
            chooser.update(make_record(name, domain=domain))
            links[name] = FakeLink(name)
        members._pool._links = {n: links[n] for n in 'bc'}
        members.link_closed(links['a'])
        assert probed == ['b']

    asyncio.run(work())


def test_host_whose_address_is_reused_is_removed() -> None:
    """Requests for it were sent to the other host, which refused them all."""

    async def work() -> None:
        members, chooser = make_members('own')
        gone = HostRecord('gone', '127.0.0.1:9', 'north', 'design', 'old', 10)
        new = HostRecord('new', '127.0.0.1:9', 'north', 'works', 'id', 10)
        members.add(gone)
        link: Any = Link(members)
        members.handle(link, Status(new, 1))
        assert set(chooser.views) == {'own', 'new'}
        # The log still contains its record.
        members.add(gone)
        assert set(chooser.views) == {'own', 'new'}
        # The host uses its address again.
        members.handle(link, Status(gone, 1))
        assert set(chooser.views) == {'own', 'gone'}
        members.stop()

    asyncio.run(work())


def test_suspicion_probes_the_link_and_removes_nobody() -> None:
    """Guards against a wrong suspicion that costs a host its traffic."""

    async def work() -> None:
        members, chooser = make_members('own')
        probed: list[str] = []

        class FakeLink:
            is_open = True

            def __init__(self, peer: str) -> None:
                self.peer = peer

            def probe(self, now: float) -> None:
                probed.append(self.peer)

        chooser.update(make_record('far')).is_linked = True
        link: Any = FakeLink('far')
        members._pool._links = {'far': link}
        for host in ('far', 'unknown', 'own'):
            members.handle(link, Suspicion(host))
        assert probed == ['far']
        assert chooser.views['far'].is_linked

    asyncio.run(work())


class _RecordingLink:
    """Link that keeps the frames sent on it."""

    is_open = True

    def __init__(self, peer: str = '') -> None:
        self.peer = peer
        self.sent: list[object] = []

    def send(self, frame: object) -> None:
        self.sent.append(frame)

    def probe(self, now: float) -> None:
        """Answer at once."""


def test_rise_of_the_era_is_learned_from_a_peer() -> None:
    """Guards against a host that never hears that its record is lost."""

    async def work() -> None:
        members, _ = make_members('own')
        rises: list[bool] = []
        members._era_watch.on_rise = rises.append
        link: Any = _RecordingLink()
        far = make_record('far')
        members.handle(link, Status(far, 1))
        members.handle(link, Status(far, 1, log_era=1))
        assert not rises
        members.handle(link, Heartbeat(1, 0, 0, log_era=2))
        members.handle(link, Heartbeat(1, 0, 0, log_era=1))
        members.handle(link, Heartbeat(1, 0, 0))
        assert rises == [False]
        members.stop()

    asyncio.run(work())


def test_starting_host_learns_of_hosts_that_the_log_lost() -> None:
    """Guards against hosts that start just after a return and stay unknown."""

    async def work() -> None:
        members, _ = make_members('own')
        members.add(make_record('lost'))
        members._era_watch.observe_log(1)
        known: Any = _RecordingLink()
        members.handle(known, Status(make_record('known'), 1))
        introductions = [f for f in known.sent if isinstance(f, Introduction)]
        assert not introductions
        members._era_watch.observe_log(2)
        again: Any = _RecordingLink()
        members.handle(again, Status(make_record('known'), 1))
        (introduction,) = [
            f for f in again.sent if isinstance(f, Introduction)
        ]
        names = {record.name for record in introduction.hosts}
        assert names == {'own', 'lost', 'known'}
        members.stop()

    asyncio.run(work())


def _make_feed(document: bytes, era: int) -> ConfigFeed:
    unused: Any = None
    feed = ConfigFeed(
        unused,
        LogEra(),
        lambda document: make_config(version=int(document.split()[0])),
        lambda config: None,
        DecisionLog('feed'),
        random.Random(1),
    )
    feed.offer(document, 'log', era)
    # Copies are sent only some time after a change.
    feed.applied_at = 0.0
    return feed


async def _start_linked(
    feeds: dict[str, ConfigFeed],
) -> tuple[list[Members], list[LinkServer]]:
    """Start hosts with these configurations, each linked to all others."""
    hosts = {name: make_members(name, feed)[0] for name, feed in feeds.items()}
    servers = []
    addresses = {}
    for name, members in hosts.items():
        server = LinkServer(members)
        await server.start('127.0.0.1', 0)
        assert server._server is not None
        port = server._server.sockets[0].getsockname()[1]
        addresses[name] = f'127.0.0.1:{port}'
        servers.append(server)
    records = [
        HostRecord(name, address, 'north', 'design')
        for name, address in addresses.items()
    ]
    for record in records:
        hosts[record.name].update_own_record(record)
        for members in hosts.values():
            members.add(record)
    return list(hosts.values()), servers


@pytest.mark.parametrize(
    ('document', 'era', 'expected'),
    [
        (b'5 lost', 0, b'5'),
        (b'5', 0, b'5'),
        (b'5 later', 2, b'5 later'),
        (b'4', 0, b'5'),
    ],
)
def test_host_that_missed_a_copy_gets_the_document(
    document: bytes, era: int, expected: bytes
) -> None:
    """Guards against a host that keeps a document that the log has lost.

    The log gave its version out again, for the document that the others got.
    A copy crosses the link only if the documents differ.
    """

    async def work() -> None:
        feeds = {'own': _make_feed(b'5', 1), 'far': _make_feed(document, era)}
        hosts, servers = await _start_linked(feeds)
        copies: list[ConfigCopy] = []
        for members in hosts:
            handle = members._handle_config

            def count(
                link: Link, frame: ConfigCopy, handle: Any = handle
            ) -> None:
                copies.append(frame)
                handle(link, frame)

            members._handlers[ConfigCopy] = count
        await _until(lambda: all(members.links_open for members in hosts))
        for _ in range(20):
            for members in hosts:
                members._heartbeat_sent_at = 0.0
                members.send_heartbeat()
            await asyncio.sleep(0.01)
        assert {feed.document for feed in feeds.values()} == {expected}
        assert bool(copies) is (document != b'5')
        for members in hosts:
            members.stop()
        for server in servers:
            server.finish()

    asyncio.run(work())


def test_domain_that_restarts_gets_the_newest_configuration() -> None:
    """Guards against bootstrap peers that are out of date themselves.

    A whole failure domain has read an older copy of the log. The few hosts
    that are chosen to help each of them may all be of that domain.
    """

    async def work() -> None:
        restarted = [f'south-{number}' for number in range(12)]
        up_to_date = [f'north-{number}' for number in range(3)]
        records = {
            name: HostRecord(
                name, f'127.0.0.1:{number}', name.partition('-')[0], 'design'
            )
            for number, name in enumerate(restarted + up_to_date, start=1)
        }
        senders: dict[str, list[str]] = {name: [] for name in restarted}
        for name in up_to_date:
            members, chooser = make_members(name, _make_feed(b'5', 0))
            for record in records.values():
                chooser.update(record).is_linked = True
            links: dict[str, Any] = {
                other: _RecordingLink(other) for other in restarted
            }
            pool: Any = members._pool
            pool._links = links
            pool.connect = lambda peer, address: None
            # The second time, all versions are known.
            for _ in range(2):
                for other, link in links.items():
                    members.handle(link, Status(records[other], 4))
            for other, link in links.items():
                if any(isinstance(frame, ConfigCopy) for frame in link.sent):
                    senders[other].append(name)
        assert all(senders.values()), senders
        # Others do not send the same configuration once more.
        assert sum(map(len, senders.values())) < 3 * len(restarted)

    asyncio.run(work())


def test_peer_tells_whether_it_serves() -> None:
    """Guards against a start on the word of a peer that starts too."""

    async def work() -> None:
        feeds = {'own': _make_feed(b'5', 0), 'far': _make_feed(b'5', 0)}
        (own, far), servers = await _start_linked(feeds)
        reports: list[tuple[str, int, bool]] = []
        own.on_peer_version = lambda *report: reports.append(report)
        far.is_serving = lambda: False
        await _until(lambda: reports)
        assert set(reports) == {('far', 5, False)}
        # A heartbeat does not tell it.
        far.send_heartbeat()
        far.is_serving = lambda: True
        await _until(lambda: far.links_open)
        far.broadcast_status()
        await _until(lambda: ('far', 5, True) in reports)
        for members in (own, far):
            members.stop()
        for server in servers:
            server.finish()

    asyncio.run(work())
