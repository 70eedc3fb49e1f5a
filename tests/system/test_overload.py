"""Goodput of critical requests during a surge, and recovery after it."""

import asyncio
import collections
import pathlib

from turmericrouter_core.config import Fleet as FleetRecord
from turmericrouter_core.config import Key
from turmericrouter_core.config import Route
from turmericrouter_core.config import Value
from turmericrouter_core.config import Workspace
from turmericrouter_core.verdict import Importance
from turmericrouter_standins.fleet import Fleet
from turmericrouter_standins.fleet import key_scope
from turmericrouter_standins.host import Reply
from turmericrouter_standins.host import ServiceSpec

KEY = 'secret-key-of-east-wing'
VALUES: dict[str, Value | None] = {
    'fleet': FleetRecord(domains=('north',)),
    'workspace/east': Workspace(rate_per_s=100_000, burst=100_000),
    key_scope(KEY): Key('east'),
    'route/booking': Route(
        'works', '/booking', importance=Importance.CRITICAL, timeout_ms=2000
    ),
    'route/catalogue': Route(
        'works', '/catalogue', importance=Importance.LOW, timeout_ms=2000
    ),
}
# 4 slots of 100 ms serve 40 requests/s. The surge offers 400 requests/s, of
# which 20 are critical: half of the capacity.
SLOTS = 4
WORK_MS = 100
PERIOD_S = 0.05
CRITICAL_PER_PERIOD = 1
LOW_PER_PERIOD = 19
SURGE_PERIODS = 60


class Surge:
    """Open-loop load: requests start on schedule regardless of replies."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._host = fleet.hosts[0]
        self.replies: dict[str, list[Reply]] = collections.defaultdict(list)

    async def run(self) -> None:
        async with asyncio.TaskGroup() as group:
            for _ in range(SURGE_PERIODS):
                for _ in range(CRITICAL_PER_PERIOD):
                    group.create_task(self._call('booking'))
                for _ in range(LOW_PER_PERIOD):
                    group.create_task(self._call('catalogue'))
                await asyncio.sleep(PERIOD_S)

    async def _call(self, kind: str) -> None:
        self.replies[kind].append(
            await self._fleet.call(self._host, f'/{kind}/1', key=KEY)
        )

    def served_fraction(self, kind: str) -> float:
        replies = self.replies[kind]
        return sum(r.status == 200 for r in replies) / len(replies)


def _count(replies: list[Reply]) -> dict[tuple[int, str, str], int]:
    return collections.Counter(
        (reply.status, reply.verdict, reply.reason) for reply in replies
    )


async def _check_surge(directory: pathlib.Path) -> None:
    fleet = Fleet(
        directory,
        ['north'],
        [ServiceSpec('works', slots=SLOTS, work_ms=WORK_MS)],
        settings={'overload': {'cold_start_s': 0.1}},
    )
    async with fleet:
        await fleet.publish(VALUES)
        await fleet.wait_until_served('/booking/1', key=KEY)
        before = len(fleet.ledger(fleet.hosts[0]))
        surge = Surge(fleet)
        await surge.run()
        booking = surge.replies['booking']
        catalogue = surge.replies['catalogue']
        counts = f'{_count(booking)} {_count(catalogue)}'
        assert surge.served_fraction('booking') >= 0.9, counts
        assert surge.served_fraction('catalogue') <= 0.2, counts
        for reply in booking + catalogue:
            assert reply.status == 200 or reply.verdict == 'not-run', counts
            assert reply.status == 200 or 'Retry-After' in reply.headers
        _check_not_run(fleet, before, booking + catalogue)
        await _check_recovered(fleet)


def _check_not_run(fleet: Fleet, before: int, replies: list[Reply]) -> None:
    """Check that the served requests ran once each and no others ran."""
    entries = fleet.ledger(fleet.hosts[0])[before:]
    ran = {entry.request_id for entry in entries}
    served = {
        reply.headers['Turmeric-Request-Id']
        for reply in replies
        if reply.status == 200
    }
    assert ran == served
    assert len(entries) == len(served)


async def _check_recovered(fleet: Fleet) -> None:
    """Check that all requests within the capacity are served again."""
    host = fleet.hosts[0]
    # Without overload the admission level is back at its maximum in 1.6 s.
    await asyncio.sleep(2.0)
    for _ in range(20):
        for kind in ('catalogue', 'booking'):
            reply = await fleet.call(host, f'/{kind}/1', key=KEY)
            assert reply.status == 200, reply.reason


def test_surge_sheds_low_and_serves_critical(tmp_path: pathlib.Path) -> None:
    """Guards against lookups that starve bookings, or lasting refusals."""
    asyncio.run(_check_surge(tmp_path))
