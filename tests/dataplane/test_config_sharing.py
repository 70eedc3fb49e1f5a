"""Guards against hosts that a confirmed configuration does not reach."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Iterable
import contextlib
import random
import time
from typing import Any

from dataplane_values import make_config
from test_members import make_members
from turmericrouter_dataplane.config_feed import ConfigFeed
from turmericrouter_dataplane.decision_log import DecisionLog
from turmericrouter_dataplane.fleet_config import FleetConfig
from turmericrouter_dataplane.frames import HostRecord
from turmericrouter_dataplane.links import LinkServer
from turmericrouter_dataplane.members import Members
from turmericrouter_dataplane.policy.log_era import LogEra

# A confirmed configuration is in force within this time (`config_apply_s`).
_APPLY_S = 2.0


class _Host:
    """A host without a log, whose timers the test runs."""

    def __init__(self, name: str, domain: str) -> None:
        unused: Any = None
        self.name = name
        self.domain = domain
        self.feed = ConfigFeed(
            unused,
            LogEra(),
            lambda document: make_config(version=int(document)),
            self._apply,
            DecisionLog(name),
            random.Random(1),
        )
        self.members: Members = make_members(name, self.feed)[0]
        self.server = LinkServer(self.members)

    def _apply(self, config: FleetConfig) -> None:
        self.members.handle_config_applied()

    async def start(self) -> HostRecord:
        await self.server.start('127.0.0.1', 0)
        assert self.server._server is not None
        port = self.server._server.sockets[0].getsockname()[1]
        record = HostRecord(
            self.name, f'127.0.0.1:{port}', self.domain, 'design'
        )
        self.members.update_own_record(record)
        return record

    def publish(self, version: int) -> None:
        """Handle a new version that this host has read from the log."""
        self.feed.offer(str(version).encode(), 'log', 0)
        self.members.copy_config()

    async def run_timers(self) -> None:
        """Check the links, and send a heartbeat each second."""
        next_heartbeat_at = time.monotonic() + 1.0
        while True:
            await asyncio.sleep(0.2)
            self.members.check_links()
            if time.monotonic() >= next_heartbeat_at:
                next_heartbeat_at += 1.0
                self.members.send_heartbeat()


class _SilentTransport:
    """Transport of a connection that carries nothing any more."""

    def __init__(self, transport: Any) -> None:
        self._transport = transport

    def write(self, data: bytes) -> None:
        """Lose the data; no error shows it."""

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)


def _silence(source: _Host, target: _Host) -> None:
    link: Any = source.members.link_of(target.name)
    link._transport = _SilentTransport(link._transport)


@contextlib.asynccontextmanager
async def _run_hosts(domains: Iterable[str]) -> AsyncIterator[list[_Host]]:
    """Run hosts, each in a domain, that are linked and have version 1."""
    hosts = [
        _Host(f'host-{number}', domain)
        for number, domain in enumerate(domains)
    ]
    records = [await host.start() for host in hosts]
    for host in hosts:
        host.feed.offer(b'1', 'log', 0)
        for record in records:
            host.members.add(record)
    async with asyncio.timeout(5.0):
        while any(
            host.members.links_open < len(hosts) - 1
            or len(host.members._peer_names) < len(hosts) - 1
            for host in hosts
        ):
            await asyncio.sleep(0.01)
    for host in hosts:
        host.members.send_heartbeat()
    timers = [asyncio.create_task(host.run_timers()) for host in hosts]
    await asyncio.sleep(0.1)
    try:
        yield hosts
    finally:
        for timer in timers:
            timer.cancel()
        for host in hosts:
            host.members.stop()
            host.server.finish()


async def _time_until(hosts: Iterable[_Host], version: int) -> float:
    """Return the seconds until all hosts have a version."""
    began_at = time.monotonic()
    async with asyncio.timeout(10.0):
        while any(host.feed.version < version for host in hosts):
            await asyncio.sleep(0.01)
    return time.monotonic() - began_at


def test_copy_lost_on_a_silent_link_is_sent_again() -> None:
    """Guards against a change that only one host knows and sends once.

    The connection has gone silent without an error, and no call is in flight
    on it.
    """

    async def work() -> None:
        async with _run_hosts(['north', 'north']) as hosts:
            reader, other = hosts
            _silence(reader, other)
            reader.publish(2)
            assert await _time_until(hosts, 2) < _APPLY_S

    asyncio.run(work())


def test_watchers_help_a_host_that_does_not_confirm() -> None:
    """Guards against a lagging host that is helped after its next heartbeat.

    A heartbeat that was sent just before the change tells nothing, and the
    next one comes a second later.
    """

    async def work() -> None:
        async with _run_hosts(['north', 'north', 'south']) as hosts:
            reader, lagging, _ = hosts
            _silence(reader, lagging)
            for host in hosts:
                host.members._heartbeat_sent_at = time.monotonic() + 60.0
                host.members.send_heartbeat = lambda: None  # type: ignore[method-assign]
            reader.publish(2)
            assert await _time_until(hosts, 2) < _APPLY_S

    asyncio.run(work())


def test_change_reaches_a_domain_without_a_reader() -> None:
    """Guards against a domain whose readers have lost the log unnoticed."""

    async def work() -> None:
        async with _run_hosts(['north', 'south', 'south', 'south']) as hosts:
            hosts[0].publish(2)
            assert await _time_until(hosts, 2) < _APPLY_S

    asyncio.run(work())


def test_confirmed_configuration_is_sent_once() -> None:
    """Guards against copies to hosts that have the configuration already."""

    async def work() -> None:
        async with _run_hosts(['north'] * 4) as hosts:
            offers: list[str] = []
            for host in hosts:
                offer = host.feed.offer

                def count(
                    *args: Any, offer: Any = offer, name: str = host.name
                ) -> None:
                    offers.append(name)
                    offer(*args)

                host.feed.offer = count  # type: ignore[method-assign]
            hosts[0].publish(2)
            await _time_until(hosts, 2)
            await asyncio.sleep(1.5)
            assert sorted(offers) == sorted(host.name for host in hosts)

    asyncio.run(work())
