"""Measures load balancing over targets of uneven speed.

One entry without a target of its own routes open-loop calls to four targets,
one of which is several times slower than the others. Run it with `python -m`.
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
from turmericrouter_standins.fleet import Fleet
from turmericrouter_standins.fleet import key_scope
from turmericrouter_standins.host import Host
from turmericrouter_standins.host import ServiceSpec

_KEY = 'uneven-key'
_WORK_MS = 20.0
_SLOTS = 8
_TARGETS = 4
_VALUES: dict[str, Value | None] = {
    'fleet': FleetRecord(domains=('north',)),
    'workspace/east': Workspace(rate_per_s=100_000, burst=100_000),
    key_scope(_KEY): Key('east'),
    'route/works': Route('works', '/works', timeout_ms=2000),
}


async def _call(
    fleet: Fleet, entry: Host, latencies_s: list[float]
) -> tuple[str, str]:
    started_at = time.perf_counter()
    reply = await fleet.call(entry, '/works/1', key=_KEY)
    if reply.status != 200:
        return 'refused', reply.reason
    latencies_s.append(time.perf_counter() - started_at)
    return 'served', reply.json()['target']


async def _run_load(fleet: Fleet, options: argparse.Namespace) -> None:
    entry = fleet.host('spare-north-0')
    slow_host = fleet.host('works-north-0')
    async with fleet.session.put(
        f'{slow_host.target_url}/_speed', data=str(options.slower)
    ):
        pass
    rng = random.Random(options.seed)
    latencies_s: list[float] = []
    tasks: list[asyncio.Task[tuple[str, str]]] = []
    start_at = due_at = time.perf_counter()
    while due_at < start_at + options.seconds:
        due_at += rng.expovariate(options.rate)
        await asyncio.sleep(max(0.0, due_at - time.perf_counter()))
        tasks.append(asyncio.create_task(_call(fleet, entry, latencies_s)))
    outcomes = collections.Counter(await asyncio.gather(*tasks))
    latencies_s.sort()
    for (kind, name), count in sorted(outcomes.items()):
        print(f'{kind} {name} {count}')
    for fraction in (0.5, 0.9, 0.99):
        value_ms = latencies_s[int(fraction * len(latencies_s))] * 1000
        print(f'p{fraction * 100:.0f} {value_ms:.1f} ms')


async def _run(options: argparse.Namespace) -> None:
    services = [
        ServiceSpec(
            'works',
            targets_per_domain=_TARGETS,
            slots=_SLOTS,
            work_ms=_WORK_MS,
        ),
        ServiceSpec('spare'),
    ]
    settings = {'log': {'decisions': False}}
    with tempfile.TemporaryDirectory() as directory:
        async with Fleet(
            pathlib.Path(directory), ['north'], services, settings=settings
        ) as fleet:
            await fleet.publish(_VALUES)
            await fleet.wait_until_served('/works/1', key=_KEY)
            await _run_load(fleet, options)


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
