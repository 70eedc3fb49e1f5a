"""Membership changes of daemons, as the other daemons record them."""

import asyncio
import functools
import pathlib
import signal
import time

from system_fleet import configuration
from system_fleet import design_fleet
from system_fleet import DOMAINS
from system_fleet import KEY
from system_fleet import logged_events
from system_fleet import STEP_TIMEOUT_S
from system_fleet import wait_until
from turmericrouter_core.config import Route
from turmericrouter_standins.fleet import Fleet
from turmericrouter_standins.host import Host

VALUES = configuration(DOMAINS, plots=Route('design', '/plots'))
MEMBERSHIP_SETTINGS = {'secret': 'shared-by-the-fleet'}


def _changes(host: Host, member: Host) -> list[dict[str, str]]:
    """Return the directory changes of a member that a host has logged."""
    return [
        fields
        for fields in logged_events(host, 'directory_changed')
        if fields['member'] == member.address
    ]


def _last_change_has(host: Host, member: Host, field: str, value: str) -> bool:
    changes = _changes(host, member)
    return bool(changes) and changes[-1][field] == value


async def _wait_recorded(
    fleet: Fleet, member: Host, field: str, value: str
) -> None:
    """Wait until all other running daemons record a value for a member."""
    for host in fleet.hosts:
        if host is not member and host.daemon.is_running:
            await wait_until(
                functools.partial(
                    _last_change_has, host, member, field, value
                ),
                (host.name, member.name, field, value),
            )


async def _wait_ready(fleet: Fleet) -> None:
    """Wait until entries serve and daemons have recorded all targets."""
    await fleet.publish(VALUES)
    await fleet.wait_until_served('/plots', key=KEY)
    for host in fleet.hosts:
        await _wait_recorded(fleet, host, 'state', 'SERVING')


async def _check_kill(directory: pathlib.Path) -> None:
    async with design_fleet(
        directory, membership=MEMBERSHIP_SETTINGS
    ) as fleet:
        await _wait_ready(fleet)
        killed = fleet.hosts[0]
        killed.daemon.kill()
        await _wait_recorded(fleet, killed, 'mark', 'DEAD')
        killed.daemon.start()
        await fleet.wait_for(killed.entry_url)
        await _wait_recorded(fleet, killed, 'mark', 'ALIVE')
        await _wait_recorded(fleet, killed, 'state', 'SERVING')
        for host in fleet.hosts[1:]:
            for other in fleet.hosts[1:]:
                marks = {c['mark'] for c in _changes(host, other)}
                assert 'DEAD' not in marks


async def _check_pause(directory: pathlib.Path) -> None:
    async with design_fleet(
        directory, membership=MEMBERSHIP_SETTINGS
    ) as fleet:
        await _wait_ready(fleet)
        paused = fleet.hosts[0]
        paused.daemon.send_signal(signal.SIGSTOP)
        await _wait_recorded(fleet, paused, 'mark', 'DEAD')
        paused.daemon.send_signal(signal.SIGCONT)
        await _wait_recorded(fleet, paused, 'mark', 'ALIVE')
        for other in fleet.hosts[1:]:
            marks = {change['mark'] for change in _changes(paused, other)}
            assert 'DEAD' not in marks


async def _check_stop(directory: pathlib.Path) -> None:
    async with design_fleet(
        directory, membership=MEMBERSHIP_SETTINGS
    ) as fleet:
        await _wait_ready(fleet)
        stopped = fleet.hosts[0]
        stopped.daemon.send_signal(signal.SIGTERM)
        await stopped.daemon.wait(STEP_TIMEOUT_S)
        await _wait_recorded(fleet, stopped, 'mark', 'DEAD')
        peer = fleet.hosts[1]
        states = [
            (change['state'], change['mark'])
            for change in _changes(peer, stopped)
        ]
        # The daemon announces its stop, so no peer has to suspect it first.
        assert ('LEAVING', 'ALIVE') in states
        assert states[-1] == ('LEAVING', 'DEAD')


async def _check_leave(directory: pathlib.Path) -> None:
    async with design_fleet(
        directory, membership=MEMBERSHIP_SETTINGS
    ) as fleet:
        await _wait_ready(fleet)
        leaving = fleet.hosts[0]
        # Sequential calls may all go to the fastest target.
        while not fleet.ledger(leaving):
            await asyncio.gather(
                *(fleet.call(leaving, '/plots', key=KEY) for _ in range(8))
            )
        async with fleet.session.put(
            f'{leaving.target_url}/_leave'
        ) as response:
            left_at = (await response.json())['left_at']
        refused = 0
        while time.time() < left_at + 6.0:
            for host in fleet.hosts:
                reply = await fleet.call(host, '/plots', key=KEY)
                refused += reply.status != 200
        entries = fleet.ledger(leaving)
        assert entries
        late = [entry for entry in entries if entry.at > left_at + 3.0]
        assert late == []
        assert refused == 0
        await _wait_recorded(fleet, leaving, 'state', 'LEAVING')


def test_killed_daemon_is_marked_dead_and_rejoins(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against an undetected death, restart or false suspicion."""
    asyncio.run(_check_kill(tmp_path))


def test_paused_daemon_rejoins_and_marks_no_peer_dead(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a resumed daemon that marks its peers as dead.

    A paused process receives no heartbeats, so all peers seem overdue to it.
    """
    asyncio.run(_check_pause(tmp_path))


def test_stopped_daemon_announces_that_it_leaves(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a planned stop that peers detect only by timeout."""
    asyncio.run(_check_stop(tmp_path))


def test_leaving_target_gets_no_request_after_3_s(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against late requests to a target that has left."""
    asyncio.run(_check_leave(tmp_path))
