"""Replacement of a holder that dies.

A holder is a daemon that keeps quota slices (parts of a workspace's quota)
and, as the home of operations, the record of those that were started. The
roster lists the holders of a failure domain.
"""

import asyncio
from collections.abc import Sequence
import datetime
import pathlib
import random
import time

from system_fleet import configuration
from system_fleet import KEY
from system_fleet import logged_events
from system_fleet import STEP_TIMEOUT_S
from system_fleet import wait_until
from turmericrouter_core.config import Key
from turmericrouter_core.config import Route
from turmericrouter_core.config import Workspace
from turmericrouter_core.identity import OperationId
from turmericrouter_core.roster import holder_of
from turmericrouter_standins.fleet import Fleet
from turmericrouter_standins.fleet import key_scope
from turmericrouter_standins.host import Host
from turmericrouter_standins.host import Reply
from turmericrouter_standins.host import ServiceSpec

TAKEOVER_AFTER_S = 3.0
SETTINGS = {
    'quota': {
        'holders_per_domain': 2,
        'takeover_after_s': TAKEOVER_AFTER_S,
        'fence_after_s': 1.0,
        'max_pause_s': 0.5,
    },
    'membership': {'suspicion_s': 1.0},
}
SMALL_KEY = 'key-of-small'
RATE_PER_S = 20.0
BURST = 7.0
# A burst this small is not split: one holder keeps the only slice.
SLICE = 'small/0'
VALUES = configuration(
    ['north'],
    status=Route('works', '/status'),
    deposit=Route('works', '/deposit', idempotent=False),
) | {
    'workspace/small': Workspace(rate_per_s=RATE_PER_S, burst=BURST),
    key_scope(SMALL_KEY): Key('small'),
}


def _logged_holders(host: Host) -> tuple[str, ...]:
    changes = logged_events(host, 'roster_changed')
    return tuple(changes[-1]['holders'].split(',')) if changes else ()


def _mint_operation_id(home: str, holders: Sequence[str]) -> str:
    """Return a new operation id whose home daemon is `home`."""
    rng = random.Random()
    while True:
        text = OperationId.mint(time.time(), 0, rng).text
        if holder_of(text, holders) == home:
            return text


async def _deposit(fleet: Fleet, entry: Host, text: str) -> Reply:
    return await fleet.call(
        entry,
        '/deposit',
        key=KEY,
        method='POST',
        body=b'1',
        headers={'Idempotency-Key': text},
    )


async def _run_new_deposit(
    fleet: Fleet, entry: Host, home: str, holders: Sequence[str]
) -> str:
    """Send new operations to a home daemon until one runs; return its id."""
    deadline = time.monotonic() + STEP_TIMEOUT_S
    while True:
        text = _mint_operation_id(home, holders)
        reply = await _deposit(fleet, entry, text)
        if reply.verdict == 'ran':
            return text
        assert time.monotonic() < deadline, reply.reason
        await asyncio.sleep(0.1)


async def _wait_quota(fleet: Fleet, entry: Host, status: int) -> Reply:
    deadline = time.monotonic() + STEP_TIMEOUT_S
    while True:
        reply = await fleet.call(entry, '/status/1', key=SMALL_KEY)
        if reply.status == status:
            return reply
        assert time.monotonic() < deadline, (reply.status, reply.reason)
        await asyncio.sleep(0.1)


def _count_runs(fleet: Fleet, text: str) -> int:
    return sum(
        entry.operation == text
        for host in fleet.hosts
        for entry in fleet.ledger(host)
    )


def _timestamp_s(fields: dict[str, str]) -> float:
    text = fields['timestamp'].replace('Z', '+00:00')
    return datetime.datetime.fromisoformat(text).timestamp()


def _check_takeover_delay(proposer: Host, dead: str) -> None:
    """Check that the new roster came `TAKEOVER_AFTER_S` after the death.

    The proposer is the daemon that proposes the new roster.
    """
    died = [
        fields
        for fields in logged_events(proposer, 'directory_changed')
        if fields['member'] == dead and fields['mark'] == 'DEAD'
    ]
    changed = logged_events(proposer, 'roster_changed')[-1]
    assert _timestamp_s(changed) - _timestamp_s(died[-1]) >= TAKEOVER_AFTER_S


async def _check(directory: pathlib.Path) -> None:
    services = [ServiceSpec('works', targets_per_domain=3)]
    async with Fleet(
        directory, ['north'], services, settings=SETTINGS
    ) as fleet:
        await fleet.publish(VALUES)
        await fleet.wait_until_served('/status/1', key=KEY)
        await wait_until(
            lambda: all(
                len(_logged_holders(host)) == 2
                and _logged_holders(host) == _logged_holders(fleet.hosts[0])
                for host in fleet.hosts
            ),
            'no roster of two',
        )
        before = _logged_holders(fleet.hosts[0])
        dead = holder_of(SLICE, before)
        killed = next(h for h in fleet.hosts if h.address == dead)
        survivors = [host for host in fleet.hosts if host is not killed]
        entry = survivors[0]
        old_id = await _run_new_deposit(fleet, entry, dead, before)
        await _wait_quota(fleet, entry, 200)

        killed.daemon.kill()
        reply = await _deposit(fleet, entry, _mint_operation_id(dead, before))
        assert (reply.status, reply.verdict) == (503, 'may-have-run')
        reply = await _wait_quota(fleet, entry, 503)
        assert (reply.verdict, reply.reason) == (
            'not-run',
            'quota-unreachable',
        )

        expected = {host.address for host in survivors}
        await wait_until(
            lambda: all(
                set(_logged_holders(host)) == expected for host in survivors
            ),
            'the dead holder was not replaced',
        )
        _check_takeover_delay(min(survivors, key=lambda h: h.address), dead)
        after = _logged_holders(entry)
        await _wait_quota(fleet, entry, 200)
        for home in after:
            new_id = await _run_new_deposit(fleet, entry, home, after)
            assert _count_runs(fleet, new_id) == 1
        # The new home has no record of what the dead one started.
        reply = await _deposit(fleet, entry, old_id)
        assert (reply.status, reply.verdict) == (409, 'may-have-run')
        assert reply.reason == 'operation-unknown'
        assert _count_runs(fleet, old_id) == 1


def test_dead_holder_is_replaced(tmp_path: pathlib.Path) -> None:
    """Guards against quota slices and operations without a live holder.

    It also guards against a new holder that runs an old operation again,
    or that takes over before the old one was dead for `takeover_after_s`.
    """
    asyncio.run(_check(tmp_path))
