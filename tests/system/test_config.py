"""Distribution of configuration, with and without the log service."""

import asyncio
import contextlib
import pathlib
import time

import aiohttp

from system_fleet import configuration
from system_fleet import design_fleet
from system_fleet import DOMAINS
from system_fleet import KEY
from system_fleet import STEP_TIMEOUT_S
from turmericrouter_core.config import Key
from turmericrouter_core.config import Retirement
from turmericrouter_core.config import Route
from turmericrouter_core.config import StaleRule
from turmericrouter_standins.fleet import Fleet
from turmericrouter_standins.fleet import key_scope
from turmericrouter_standins.host import Host

OTHER_KEY = 'key-of-west'
VALUES = configuration(
    DOMAINS,
    plots=Route('design', '/plots', timeout_ms=2000),
    strict=Route('design', '/strict', on_stale=StaleRule.REFUSE),
) | {key_scope(OTHER_KEY): Key('east')}


async def _wait_for_status(
    fleet: Fleet, host: Host, path: str, key: str, status: int
):
    """Call an entry until it replies with a status; return that reply."""
    deadline = time.monotonic() + STEP_TIMEOUT_S
    while True:
        with contextlib.suppress(aiohttp.ClientError):
            reply = await fleet.call(host, path, key=key)
            if reply.status == status:
                return reply
        assert time.monotonic() < deadline, f'{host.name} {path} {status}'
        await asyncio.sleep(0.05)


async def _restart(fleet: Fleet, host: Host) -> None:
    host.daemon.kill()
    host.daemon.start()
    await fleet.wait_for(host.entry_url)


def _set_bootstrap_peers(fleet: Fleet) -> None:
    """Set all hosts as bootstrap peers, so that none needs the log."""
    peers = ', '.join(f'"{host.address}"' for host in fleet.hosts)
    for host in fleet.hosts:
        path = fleet.directory / f'{host.name}.toml'
        text = path.read_text()
        path.write_text(text.replace('[host]', f'[host]\npeers = [{peers}]'))


async def _check_publications(directory: pathlib.Path) -> None:
    async with design_fleet(directory) as fleet:
        await fleet.publish(VALUES)
        await fleet.wait_until_served('/plots', key=KEY)
        await fleet.publish({'route/late': Route('design', '/late')})
        await fleet.wait_until_served('/late', key=KEY)
        # At each entry one connection stays open while the key is withdrawn.
        async with contextlib.AsyncExitStack() as stack:
            sessions = []
            for host in fleet.hosts:
                session = await stack.enter_async_context(
                    aiohttp.ClientSession(
                        connector=aiohttp.TCPConnector(limit=1)
                    )
                )
                sessions.append((session, host.entry_url + '/plots'))
            for session, url in sessions:
                assert await _get_status(session, url) == 200
            await fleet.publish({key_scope(KEY): Key('east', withdrawn=True)})
            deadline = time.monotonic() + STEP_TIMEOUT_S
            for session, url in sessions:
                while await _get_status(session, url) != 401:
                    assert time.monotonic() < deadline
                    await asyncio.sleep(0.05)
            for _ in range(20):
                for session, url in sessions:
                    assert await _get_status(session, url) == 401
        await fleet.wait_until_served('/plots', key=OTHER_KEY)


async def _get_status(session: aiohttp.ClientSession, url: str) -> int:
    headers = {'Authorization': f'Bearer {KEY}'}
    async with session.get(url, headers=headers) as response:
        await response.read()
        return response.status


async def _check_log_down(directory: pathlib.Path) -> None:
    fleet = design_fleet(directory, config={'stale_after_s': 3.0})
    _set_bootstrap_peers(fleet)
    async with fleet:
        await fleet.publish(VALUES)
        await fleet.wait_until_served('/plots', key=KEY)
        await fleet.publish({key_scope(KEY): Key('east', withdrawn=True)})
        for host in fleet.hosts:
            await _wait_for_status(fleet, host, '/plots', KEY, 401)
        await fleet.set_log_faults(down=True)
        restarted = fleet.hosts[0]
        await _restart(fleet, restarted)
        await _wait_for_status(fleet, restarted, '/plots', OTHER_KEY, 200)
        reply = await _wait_for_status(fleet, restarted, '/plots', KEY, 401)
        assert reply.reason == 'key-withdrawn'
        for host in fleet.hosts:
            reply = await _wait_for_status(
                fleet, host, '/strict', OTHER_KEY, 503
            )
            assert reply.reason == 'config-stale'
        await fleet.set_log_faults(down=False)
        await fleet.publish({'route/late': Route('design', '/late')})
        await fleet.wait_until_served('/late', key=OTHER_KEY)
        await fleet.wait_until_served('/strict', key=OTHER_KEY)
        # Slow answers of the log only delay publications.
        await fleet.set_log_faults(delay_ms=1500)
        await _restart(fleet, restarted)
        await fleet.publish({'route/slow': Route('design', '/slow')})
        await fleet.wait_until_served('/slow', key=OTHER_KEY)


async def _check_partition(directory: pathlib.Path) -> None:
    fleet = design_fleet(directory, links=True, config={'stale_after_s': 4.0})
    async with fleet:
        await fleet.publish(VALUES)
        await fleet.wait_until_served('/strict', key=KEY)
        # A domain needs the log to choose its first quota holders.
        await fleet.wait_for_rosters()
        north, south = (fleet.hosts_in_domain(name) for name in DOMAINS)
        await fleet.set_link_rules(cuts=[('south', 'platform')])
        await fleet.publish({'route/late': Route('design', '/late')})
        for host in south:
            await _wait_for_status(fleet, host, '/late', KEY, 200)
        # The age of the last log read is also received from the other domain.
        until = time.monotonic() + 8.0
        while time.monotonic() < until:
            for host in south:
                reply = await fleet.call(host, '/strict', key=KEY)
                assert reply.status == 200, reply.reason
            await asyncio.sleep(0.2)
        await fleet.set_link_rules(
            cuts=[('south', 'platform'), ('south', 'north')]
        )
        await fleet.publish({key_scope(KEY): Key('east', withdrawn=True)})
        for host in north:
            await _wait_for_status(fleet, host, '/plots', KEY, 401)
        for host in south:
            reply = await _wait_for_status(fleet, host, '/strict', KEY, 503)
            assert reply.reason == 'config-stale'
            # A request may time out if it is routed to a target behind the
            # partition, but stale configuration alone must not refuse it.
            await _wait_for_status(fleet, host, '/plots', KEY, 200)
        await fleet.set_link_rules()
        for host in south:
            await _wait_for_status(fleet, host, '/plots', KEY, 401)
            await _wait_for_status(fleet, host, '/strict', OTHER_KEY, 200)


async def _check_retention(directory: pathlib.Path) -> None:
    fleet = design_fleet(directory, platform={'retention_s': 4.0})
    late_host = fleet.hosts[-1]
    async with fleet:
        late_host.daemon.kill()
        await fleet.set_log_faults(retention_s=4.0)
        await fleet.publish(VALUES)
        others = fleet.hosts[:-1]
        await fleet.wait_until_served('/plots', key=KEY, hosts=others)
        # The log has removed the record of the publication by then.
        await asyncio.sleep(10.0)
        late_host.daemon.start()
        await fleet.wait_for(late_host.entry_url)
        await _wait_for_status(fleet, late_host, '/plots', KEY, 200)
        # With no other daemon left, the log is the only source.
        for host in others:
            host.daemon.kill()
        await _restart(fleet, late_host)
        await _wait_for_status(fleet, late_host, '/plots', KEY, 200)


async def _check_retired(directory: pathlib.Path) -> None:
    async with design_fleet(directory) as fleet:
        await fleet.publish(VALUES)
        await fleet.wait_until_served('/plots', key=KEY)
        retired = fleet.hosts[0]
        # Without a request before, the checks below would prove nothing.
        async with asyncio.timeout(STEP_TIMEOUT_S):
            while not fleet.ledger(retired):
                await fleet.call(retired, '/plots', key=KEY)
        published_at = time.time()
        await fleet.publish({f'retirement/{retired.name}': Retirement()})
        while time.time() < published_at + 6.0:
            for host in fleet.hosts:
                await fleet.call(host, '/plots', key=KEY)
        entries = fleet.ledger(retired)
        assert entries
        late = [entry for entry in entries if entry.at > published_at + 3.0]
        assert late == []


def test_publication_and_withdrawal_reach_every_entry(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against an open connection that accepts a withdrawn key."""
    asyncio.run(_check_publications(tmp_path))


def test_daemon_gets_configuration_from_peers_while_log_is_down(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a withdrawn key that is valid after a restart."""
    asyncio.run(_check_log_down(tmp_path))


def test_partitioned_domain_gets_configuration_from_peers_or_is_stale(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against undetected stale configuration in a partition."""
    asyncio.run(_check_partition(tmp_path))


def test_daemon_that_starts_after_records_expired_has_configuration(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against configuration lost when the log expires records."""
    asyncio.run(_check_retention(tmp_path))


def test_retired_target_gets_no_request_after_3_s(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against requests to a target that operators retired."""
    asyncio.run(_check_retired(tmp_path))
