"""A holder that dies is replaced, in its quota slices and operations."""

import asyncio
from collections.abc import Sequence
import datetime
import pathlib
import random
import time

from system_fleet import configuration
from system_fleet import KEY
from system_fleet import logged
from system_fleet import PATIENCE_S
from system_fleet import wait_until
from turmericrouter_core.config import Key
from turmericrouter_core.config import Route
from turmericrouter_core.config import Workspace
from turmericrouter_core.identity import OperationId
from turmericrouter_core.roster import holder_of
from turmericrouter_standins.fleet import digest_scope
from turmericrouter_standins.fleet import Fleet
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
# So small a burst makes one slice, which one holder has.
SLICE = 'small/0'
VALUES = configuration(
    ['north'],
    status=Route('works', '/status'),
    deposit=Route('works', '/deposit', idempotent=False),
) | {
    'workspace/small': Workspace(rate_per_s=RATE_PER_S, burst=BURST),
    digest_scope(SMALL_KEY): Key('small'),
}


def _holders(host: Host) -> tuple[str, ...]:
    changes = logged(host, 'roster_changed')
    return tuple(changes[-1]['holders'].split(',')) if changes else ()


def _mint(home: str, holders: Sequence[str]) -> str:
    """Return a new id that has a given home."""
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
    """Send new operations of a home until one runs; return its id."""
    deadline = time.monotonic() + PATIENCE_S
    while True:
        text = _mint(home, holders)
        reply = await _deposit(fleet, entry, text)
        if reply.verdict == 'ran':
            return text
        assert time.monotonic() < deadline, reply.reason
        await asyncio.sleep(0.1)


async def _wait_quota(fleet: Fleet, entry: Host, status: int) -> Reply:
    deadline = time.monotonic() + PATIENCE_S
    while True:
        reply = await fleet.call(entry, '/status/1', key=SMALL_KEY)
        if reply.status == status:
            return reply
        assert time.monotonic() < deadline, (reply.status, reply.reason)
        await asyncio.sleep(0.1)


def _runs(fleet: Fleet, text: str) -> int:
    return sum(
        entry.operation == text
        for host in fleet.hosts
        for entry in fleet.ledger(host)
    )


def _seconds(fields: dict[str, str]) -> float:
    text = fields['timestamp'].replace('Z', '+00:00')
    return datetime.datetime.fromisoformat(text).timestamp()


def _check_delay(proposer: Host, dead: str) -> None:
    """Check that the proposer waited from the death to the change."""
    died = [
        fields
        for fields in logged(proposer, 'directory_changed')
        if fields['member'] == dead and fields['mark'] == 'DEAD'
    ]
    changed = logged(proposer, 'roster_changed')[-1]
    assert _seconds(changed) - _seconds(died[-1]) >= TAKEOVER_AFTER_S


async def _check(directory: pathlib.Path) -> None:
    services = [ServiceSpec('works', per_domain=3)]
    async with Fleet(
        directory, ['north'], services, settings=SETTINGS
    ) as fleet:
        await fleet.publish(VALUES)
        await fleet.wait_served('/status/1', key=KEY)
        await wait_until(
            lambda: all(
                len(_holders(host)) == 2
                and _holders(host) == _holders(fleet.hosts[0])
                for host in fleet.hosts
            ),
            'no roster of two',
        )
        before = _holders(fleet.hosts[0])
        dead = holder_of(SLICE, before)
        victim = next(h for h in fleet.hosts if h.address == dead)
        others = [host for host in fleet.hosts if host is not victim]
        entry = others[0]
        old = await _run_new_deposit(fleet, entry, dead, before)
        await _wait_quota(fleet, entry, 200)

        victim.daemon.kill()
        reply = await _deposit(fleet, entry, _mint(dead, before))
        assert (reply.status, reply.verdict) == (503, 'may-have-run')
        reply = await _wait_quota(fleet, entry, 503)
        assert (reply.verdict, reply.reason) == (
            'not-run',
            'quota-unreachable',
        )

        wanted = {host.address for host in others}
        await wait_until(
            lambda: all(set(_holders(host)) == wanted for host in others),
            'the dead holder was not replaced',
        )
        _check_delay(min(others, key=lambda h: h.address), dead)
        after = _holders(entry)
        await _wait_quota(fleet, entry, 200)
        for home in after:
            new = await _run_new_deposit(fleet, entry, home, after)
            assert _runs(fleet, new) == 1
        # The successor knows nothing of what the dead home has started.
        reply = await _deposit(fleet, entry, old)
        assert (reply.status, reply.verdict) == (409, 'may-have-run')
        assert reply.reason == 'operation-unknown'
        assert _runs(fleet, old) == 1


def test_dead_holder_is_replaced(tmp_path: pathlib.Path) -> None:
    """Guards against slices and homes that are lost with their holder.

    It also guards against a successor that runs an old id once more, or
    that starts before the holder has been dead for the set time.
    """
    asyncio.run(_check(tmp_path))
