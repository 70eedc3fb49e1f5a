"""Measures the choice of targets of uneven speed. Run it with `python -m`.

One entry without a target of its own serves open-loop calls by four
targets, one of which takes several times as long as the others.
"""

import argparse
import asyncio
import collections
import pathlib
import random
import tempfile
import time

from turmericrouter_core.config import Fleet as FleetRecord
from turmericrouter_core.config import Key
from turmericrouter_core.config import Route
from turmericrouter_core.config import Value
from turmericrouter_core.config import Workspace
from turmericrouter_standins.fleet import digest_scope
from turmericrouter_standins.fleet import Fleet
from turmericrouter_standins.host import Host
from turmericrouter_standins.host import ServiceSpec

_KEY = 'uneven-key'
_WORK_MS = 20.0
_SLOTS = 8
_TARGETS = 4
_VALUES: dict[str, Value | None] = {
    'fleet': FleetRecord(domains=('north',)),
    'workspace/east': Workspace(rate_per_s=100_000, burst=100_000),
    digest_scope(_KEY): Key('east'),
    'route/works': Route('works', '/works', timeout_ms=2000),
}


async def _call(
    fleet: Fleet, entry: Host, times_s: list[float]
) -> tuple[str, str]:
    started_at = time.perf_counter()
    reply = await fleet.call(entry, '/works/1', key=_KEY)
    if reply.status != 200:
        return 'refused', reply.reason
    times_s.append(time.perf_counter() - started_at)
    return 'served', reply.json()['target']


async def _load(fleet: Fleet, options: argparse.Namespace) -> None:
    entry = fleet.host('spare-north-0')
    slow = fleet.host('works-north-0')
    async with fleet.session.put(
        f'{slow.target_url}/_speed', data=str(options.slower)
    ):
        pass
    rng = random.Random(options.seed)
    times_s: list[float] = []
    tasks: list[asyncio.Task[tuple[str, str]]] = []
    start_at = due_at = time.perf_counter()
    while due_at < start_at + options.seconds:
        due_at += rng.expovariate(options.rate)
        await asyncio.sleep(max(0.0, due_at - time.perf_counter()))
        tasks.append(asyncio.create_task(_call(fleet, entry, times_s)))
    ends = collections.Counter(await asyncio.gather(*tasks))
    times_s.sort()
    for (kind, name), count in sorted(ends.items()):
        print(f'{kind} {name} {count}')
    for share in (0.5, 0.9, 0.99):
        value_ms = times_s[int(share * len(times_s))] * 1000
        print(f'p{share * 100:.0f} {value_ms:.1f} ms')


async def _run(options: argparse.Namespace) -> None:
    services = [
        ServiceSpec(
            'works', per_domain=_TARGETS, slots=_SLOTS, work_ms=_WORK_MS
        ),
        ServiceSpec('spare'),
    ]
    settings = {'log': {'decisions': False}}
    with tempfile.TemporaryDirectory() as directory:
        async with Fleet(
            pathlib.Path(directory), ['north'], services, settings=settings
        ) as fleet:
            await fleet.publish(_VALUES)
            await fleet.wait_served('/works/1', key=_KEY)
            await _load(fleet, options)


def main() -> None:
    """Run the measurement and print it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--rate', type=float, default=300.0)
    parser.add_argument('--slower', type=float, default=8.0)
    parser.add_argument('--seconds', type=float, default=8.0)
    parser.add_argument('--seed', type=int, default=1)
    asyncio.run(_run(parser.parse_args()))


if __name__ == '__main__':
    main()
