"""The store returns from a copy some seconds old, with real daemons.

What the operator wrote is written again; the daemons write again what they
wrote. Calls in progress go on, so that no failed call gives the return away.
"""

import asyncio
from collections.abc import Callable
import json
import pathlib

from platform_fleet import make_config
from platform_fleet import run_fleet

# A confirmed configuration is in force within this time.
_APPLY_S = 4.0
_RISEN = 'log_era_risen'


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
