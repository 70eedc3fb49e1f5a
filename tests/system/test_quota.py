"""Enforcement of a workspace's rate and burst over all entries."""

import asyncio
import pathlib
import time

from turmericrouter_core.config import Fleet as FleetRecord
from turmericrouter_core.config import Key
from turmericrouter_core.config import Route
from turmericrouter_core.config import Value
from turmericrouter_core.config import Workspace
from turmericrouter_standins.fleet import Fleet
from turmericrouter_standins.fleet import key_scope
from turmericrouter_standins.host import Host
from turmericrouter_standins.host import ServiceSpec

KEY = 'secret-key-of-gallery'
CALM_KEY = 'secret-key-of-mapping'
DOMAINS = ('north', 'south')
RATE_PER_S = 60.0
BURST = 60.0
LOAD_S = 6.0
OVERLOAD_FACTOR = 10
VALUES: dict[str, Value | None] = {
    'fleet': FleetRecord(domains=DOMAINS),
    'workspace/loud': Workspace(rate_per_s=RATE_PER_S, burst=BURST),
    'workspace/calm': Workspace(rate_per_s=500, burst=500),
    key_scope(KEY): Key('loud'),
    key_scope(CALM_KEY): Key('calm'),
    'route/gallery': Route('gallery', '/gallery'),
}


def max_excess(times: list[float], rate: float, burst: float) -> float:
    """Return by how much any time window exceeds rate * length + burst."""
    times = sorted(times)
    worst = float('-inf')
    # For each end time, find the largest (count - rate * length).
    lowest = float('inf')
    for index, at in enumerate(times):
        lowest = min(lowest, index - rate * at)
        worst = max(worst, index + 1 - rate * at - lowest)
    return worst - burst


def _arrival_times(fleet: Fleet, workspace: str) -> list[float]:
    return [
        entry.at
        for host in fleet.hosts
        for entry in fleet.ledger(host)
        if entry.workspace == workspace
    ]


async def _flood(fleet: Fleet, entries: list[Host]) -> None:
    """Send `OVERLOAD_FACTOR` times the rate through the given entries."""
    started_at = time.monotonic()
    tasks = []
    sent = 0
    while (elapsed_s := time.monotonic() - started_at) < LOAD_S:
        while sent < elapsed_s * RATE_PER_S * OVERLOAD_FACTOR:
            host = entries[sent % len(entries)]
            tasks.append(
                asyncio.create_task(fleet.call(host, '/gallery', key=KEY))
            )
            sent += 1
        await asyncio.sleep(0.005)
    replies = await asyncio.gather(*tasks)
    assert {r.status for r in replies} == {200, 429}
    refused = [r for r in replies if r.status == 429]
    assert all(r.verdict == 'not-run' for r in refused)
    assert all('Retry-After' in r.headers for r in refused)


async def _check(directory: pathlib.Path, *, skewed: bool) -> None:
    spec = ServiceSpec('gallery', targets_per_domain=2, slots=64)
    async with Fleet(directory, DOMAINS, [spec]) as fleet:
        await fleet.publish(VALUES)
        await fleet.wait_until_served('/gallery', key=CALM_KEY)
        await fleet.wait_until_served('/gallery', key=KEY)
        before = len(_arrival_times(fleet, 'loud'))
        entries = fleet.hosts_in_domain('north') if skewed else fleet.hosts
        calm = asyncio.create_task(_call_within_rate(fleet))
        await _flood(fleet, entries)
        calm.cancel()
        arrivals = _arrival_times(fleet, 'loud')
        calm_refused = await asyncio.gather(calm, return_exceptions=True)
    assert isinstance(calm_refused[0], asyncio.CancelledError)
    excess = max_excess(arrivals, RATE_PER_S, BURST)
    share = (len(arrivals) - before) / (RATE_PER_S * LOAD_S)
    print(f'skewed {skewed}: excess {excess:.1f}, share {share:.2f}')
    assert excess <= 0
    assert share > 0.8


async def _call_within_rate(fleet: Fleet) -> None:
    """Call well within another workspace's rate; all must be served."""
    count = 0
    while True:
        host = fleet.hosts[count % len(fleet.hosts)]
        reply = await fleet.call(host, '/gallery', key=CALM_KEY)
        assert reply.status == 200, reply.reason
        count += 1
        await asyncio.sleep(0.02)


def test_flood_through_all_entries_stays_within_the_quota(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against entries that together admit more than the quota."""
    asyncio.run(_check(tmp_path, skewed=False))


def test_flood_through_one_domain_gets_the_whole_rate(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against quota left unused when demand is uneven."""
    asyncio.run(_check(tmp_path, skewed=True))
