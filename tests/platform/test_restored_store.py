"""The store returns from a copy some seconds old, with real daemons.

What the operator wrote is written again; the daemons write again what they
wrote. Calls in progress go on, so that no failed call gives the return away.
"""

import asyncio
from collections.abc import Callable
import json
import pathlib
import signal

import aiohttp

from platform_fleet import Fleet
from platform_fleet import Host
from platform_fleet import make_config
from platform_fleet import run_fleet
from turmericrouter_core.rendezvous import rank_by_hash
from turmericrouter_dataplane.config_feed import LONG_POLL_S
from turmericrouter_dataplane.links import MAX_RECONNECT_S

# A confirmed configuration is in force within this time.
_APPLY_S = 4.0
# Without the directory, a restarted daemon waits until its peers dial it.
_APPLY_WITHOUT_DIRECTORY_S = 8.0
_QUIET_AFTER_S = LONG_POLL_S + 4.0
# By then the peers of a host that is down wait for the longest time.
_LONG_DOWN_S = 3 * MAX_RECONNECT_S
_RISEN = 'log_era_risen'
_HOSTS = 'keyed.turmeric-hosts'


def _renamed_routes() -> dict[str, list[object]]:
    routes = json.loads(json.dumps(make_config()['routes']))
    routes['rows'][0][2] = '/renamed/'
    return dict(routes)


async def _until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(10.0):
        while not condition():
            await asyncio.sleep(0.05)


def test_change_below_the_readers_offset_is_in_force(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a confirmed change that the log readers skip.

    Their reads are answered across the return, once the log has grown past
    their offset again.
    """

    async def work() -> None:
        async with run_fleet(tmp_path) as fleet:
            copy = fleet.store.copy()
            for _ in range(2):
                fleet.store.put('keyed.op', 'foreign', b'value')
            await asyncio.sleep(0.3)
            fleet.store.restore(copy)
            fleet.publish(make_config(version=2, routes=_renamed_routes()))
            for _ in range(3):
                fleet.store.put('keyed.op', 'foreign', b'value')
            async with asyncio.timeout(_APPLY_S):
                for host in fleet.hosts:
                    await fleet.wait_for_status(host, '/renamed/1')
            await _until(lambda: bool(fleet.hosts[0].log_lines(_RISEN)))

    asyncio.run(work())


def test_change_during_reads_that_are_not_answered_is_in_force(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against readers that wait at an offset of before the return.

    Their reads outlive the return, and the log stays below their offset.
    """

    async def work() -> None:
        services = ('design', 'works', 'design')
        async with run_fleet(tmp_path, services) as fleet:
            # By then no other call of a daemon is due for a while.
            await asyncio.sleep(_QUIET_AFTER_S)
            copy = fleet.store.copy()
            # All reads begin again at once after this.
            for _ in range(2):
                fleet.store.put('keyed.op', 'foreign', b'value')
            await asyncio.sleep(0.1)
            fleet.store.restore(copy)
            fleet.publish(make_config(version=2, routes=_renamed_routes()))
            async with asyncio.timeout(_APPLY_S):
                for host in fleet.hosts:
                    await fleet.wait_for_status(host, '/renamed/1')

    asyncio.run(work())


def _stored_hosts(fleet: Fleet) -> dict[str, bytes]:
    return dict(fleet.store.records.get(_HOSTS, []))


def _restore_noticed(fleet: Fleet, copy: dict[str, int]) -> None:
    """Return to a copy; the operator's next record shows the new era."""
    published = fleet.store.records['keyed.op'][copy['keyed.op'] :]
    fleet.store.restore(copy)
    for key, value in published:
        fleet.store.put('keyed.op', key, value)
    fleet.store.put('keyed.op', 'foreign', b'value')


async def _depart_after_copy(fleet: Fleet, leaving: Host) -> dict[str, int]:
    """Copy the store, and wait until it holds the departure of a target.

    Returns:
        The copy, which has the records of all hosts but not the departure.
    """
    await _until(lambda: len(_stored_hosts(fleet)) == len(fleet.hosts))
    await asyncio.sleep(0.5)
    copy = fleet.store.copy()
    leaving.upstream.stop_announcing()
    await leaving.upstream.depart()
    await _until(lambda: fleet.store.copy()[_HOSTS] > copy[_HOSTS])
    return copy


async def _restart_all(hosts: list[Host]) -> None:
    for host in hosts:
        host.send_signal(signal.SIGKILL)
    for host in hosts:
        await host.wait_for_exit()
        host.launch()


def test_departure_outlives_the_return_and_a_restart(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a left target that the older copy brings back.

    The copy has the record of before its departure. After the return all
    daemons restart at once, so no peer remembers the departure.
    """

    async def work() -> None:
        services = ('design', 'works', 'works')
        async with run_fleet(tmp_path, services) as fleet:
            entry, leaving = fleet.hosts[0], fleet.hosts[1]
            copy = await _depart_after_copy(fleet, leaving)
            departed = _stored_hosts(fleet)[leaving.name]
            _restore_noticed(fleet, copy)
            await _until(
                lambda: _stored_hosts(fleet)[leaving.name] == departed
            )
            runs = len(leaving.upstream.runs)
            await _restart_all(fleet.hosts)
            for host in fleet.hosts:
                await fleet.wait_for_status(host, '/read/1')
            await fleet.wait_for_status(entry, '/open/1')
            for number in range(10):
                await fleet.request(entry, f'/open/{number}')
                await fleet.request(leaving, f'/open/{number}')
            assert len(leaving.upstream.runs) == runs

    asyncio.run(work())


def test_departure_that_the_copy_lacks_is_learned_from_peers(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a left target that a restarted daemon serves with.

    The daemon is down at the return, so it cannot write its record again;
    the copy has the record of before the departure.
    """

    async def work() -> None:
        services = ('design', 'works', 'works')
        async with run_fleet(tmp_path, services) as fleet:
            entry, leaving = fleet.hosts[0], fleet.hosts[1]
            copy = await _depart_after_copy(fleet, leaving)
            await asyncio.sleep(0.3)
            runs = len(leaving.upstream.runs)
            leaving.send_signal(signal.SIGKILL)
            await leaving.wait_for_exit()
            _restore_noticed(fleet, copy)
            leaving.launch()
            async with asyncio.timeout(_APPLY_S):
                while True:
                    try:
                        answer = await fleet.request(leaving, '/open/1')
                        await fleet.request(entry, '/open/2')
                        if answer[0] == 200:
                            break
                    except aiohttp.ClientError:
                        pass
                    await asyncio.sleep(0.002)
            for number in range(50):
                await fleet.request(entry, f'/open/{number}')
                await fleet.request(leaving, f'/open/{number}')
            assert len(leaving.upstream.runs) == runs

    asyncio.run(work())


def test_no_host_stays_unknown_after_the_return(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a host that the store lost and nobody learns of.

    The copy has no record of any host. Two hosts of four read the log, the
    others hear of its return from them. Another host starts after the return
    and must know all, and be known.
    """

    async def work() -> None:
        services = ('design', 'works', 'design', 'works')
        async with run_fleet(tmp_path, services) as fleet:
            await _until(lambda: len(_stored_hosts(fleet)) == 4)
            # By then hosts without the duty to read have ended the reads of
            # their start, and make no call by themselves for a while.
            await asyncio.sleep(_QUIET_AFTER_S)
            copy = fleet.store.copy() | {_HOSTS: 0}
            _restore_noticed(fleet, copy)
            await _until(lambda: len(_stored_hosts(fleet)) == 4)
            await _until(
                lambda: all(host.log_lines(_RISEN) for host in fleet.hosts)
            )
            sources = [host.log_lines(_RISEN)[0] for host in fleet.hosts]
            assert sum("source='peer'" in line for line in sources) >= 2
            late = Host('host-late', 'works', fleet.store.port, tmp_path)
            fleet.hosts.append(late)
            late.launch()
            await late.upstream.start()
            for host in fleet.hosts:
                await fleet.wait_for_targets(host)

    asyncio.run(work())


async def _restart_on_older_copy(
    folder: pathlib.Path,
    *,
    apply_s: float = _APPLY_S,
    down_s: float = 0.0,
    busy_topics: frozenset[str] = frozenset(),
) -> set[int]:
    """Withdraw a key, and restart a host on a copy of before.

    The version that withdrew the key is lost until the operator writes it
    again; the other hosts have it in force.

    Args:
        folder: Where settings and output are kept.
        apply_s: Time after its start in which the host refuses the key.
        down_s: How long the host is down.
        busy_topics: Topics that the store refuses calls to.

    Returns:
        The statuses of requests with the key until it is refused.
    """
    services = ('design', 'works', 'design')
    async with run_fleet(folder, services) as fleet:
        restarted = fleet.hosts[0]
        copy = fleet.store.copy()
        document = make_config(version=2)
        document['tenants']['rows'][0][1] = ['another']
        fleet.publish(document)
        for host in fleet.hosts:
            await fleet.wait_for_status(host, '/read/1', 401)
        await asyncio.sleep(0.6)
        restarted.send_signal(signal.SIGKILL)
        await restarted.wait_for_exit()
        await asyncio.sleep(down_s)
        fleet.store.restore(copy)
        fleet.store.busy_topics = busy_topics
        restarted.launch()
        statuses = set()
        async with asyncio.timeout(apply_s):
            while 401 not in statuses:
                try:
                    answer = await fleet.request(restarted, '/read/1')
                    statuses.add(answer[0])
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(0.002)
        answer = await fleet.request(restarted, '/read/1', key='another')
        assert answer[0] == 200
        return statuses


def test_restart_after_the_return_accepts_no_withdrawn_key(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a start that serves the configuration of the copy."""
    work = _restart_on_older_copy(tmp_path)
    assert asyncio.run(work) <= {401, 503}


def test_restart_without_the_directory_accepts_no_withdrawn_key(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a start that serves before it knows any peer.

    After a longer outage of the host its peers dial it only every two
    seconds.
    """
    work = _restart_on_older_copy(
        tmp_path,
        apply_s=_APPLY_WITHOUT_DIRECTORY_S,
        down_s=_LONG_DOWN_S,
        busy_topics=frozenset({_HOSTS}),
    )
    assert asyncio.run(work) <= {401, 503}


def test_version_given_out_again_replaces_the_lost_document(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against hosts that keep a document that the store has lost.

    Another publisher gives the lost version to another document. One host of
    three does not read the log, and gets it from the readers.
    """

    async def work() -> None:
        services = ('design', 'works', 'design')
        async with run_fleet(tmp_path, services) as fleet:
            copy = fleet.store.copy()
            fleet.publish(make_config(version=2))
            async with asyncio.timeout(_APPLY_S):
                for host in fleet.hosts:
                    while await fleet.gauge(host, 'config_version') < 2:
                        await asyncio.sleep(0.05)
            fleet.store.restore(copy)
            fleet.publish(make_config(version=2, routes=_renamed_routes()))
            fleet.store.put('keyed.op', 'foreign', b'value')
            async with asyncio.timeout(_APPLY_S):
                for host in fleet.hosts:
                    await fleet.wait_for_status(host, '/renamed/1')

    asyncio.run(work())


def test_hosts_take_over_from_readers_that_end_with_the_return(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against hosts that wait for copies of readers that are gone.

    The hosts that remain have not followed the log. They must learn of the
    return, serve a change and write their records again.
    """

    async def work() -> None:
        services = ('design', 'works', 'design', 'works')
        async with run_fleet(tmp_path, services) as fleet:
            await _until(lambda: len(_stored_hosts(fleet)) == 4)
            await asyncio.sleep(_QUIET_AFTER_S)
            names = [host.name for host in fleet.hosts]
            readers = rank_by_hash('north', names)[:2]
            remaining = [h for h in fleet.hosts if h.name not in readers]
            copy = fleet.store.copy() | {_HOSTS: 0}
            for host in fleet.hosts:
                if host.name in readers:
                    host.kill()
            fleet.store.restore(copy)
            fleet.publish(make_config(version=2, routes=_renamed_routes()))
            async with asyncio.timeout(_APPLY_S):
                for host in remaining:
                    await fleet.wait_for_status(host, '/renamed/1')
            await _until(lambda: len(_stored_hosts(fleet)) == 2)

    asyncio.run(work())
