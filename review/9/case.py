"""A request crashes each upstream that begins to run it.

The upstreams are back after some seconds, each under the id that it had. The
request comes again from its client, with the same path, caller and body.
"""

import asyncio
import pathlib
import sys
import time

from fleet import Fleet
from fleet import HAS_TROUBLE
from fleet import make_config
from fleet import make_route
from fleet import run_case
from fleet import STABLE_WINDOW_S
from upstream import Upstream

KEY = 'key-of-ward'
POISON = '/read/crash-9'
BACK_AFTER_S = 2.5
AGAIN_S = 1.0
PLAY_S = 45.0
# "More than three retries, sent by machines in touch later than
# `stable_window_s` after it has crashed the third."
MOST = 3
MACHINES = [
    ('node-1', 'north', 'design'),
    ('node-2', 'south', 'design'),
    ('node-3', 'north', 'works'),
    ('node-4', 'south', 'works'),
]


async def play(fleet: Fleet) -> bool:
    """Play the case; return whether the rule was broken."""
    fleet.publish(
        make_config(
            3,
            [make_route('read', 'idempotent', 'works', timeout_s=1.5)],
            ['design', 'works'],
            [['ward', [KEY], 1, 0, 0]],
        )
    )
    await fleet.start(MACHINES)
    await asyncio.sleep(4.0)
    entries = fleet.machines[:2]
    # When an upstream began to run it, and the id of the client's request.
    crashes: list[tuple[float, str]] = []
    tasks: set[asyncio.Task[None]] = set()

    async def come_back(upstream: Upstream) -> None:
        await asyncio.sleep(BACK_AFTER_S)
        if not HAS_TROUBLE:
            # Each start mostly has a new id.
            upstream.instance = f'{upstream.instance}x'
        await upstream.start()
        fleet.record.note(f'{upstream.instance}: is back')

    def watch(upstream: Upstream) -> None:
        def crash(path: str, request_id: str) -> bool:
            if path != POISON:
                return False
            crashes.append((time.monotonic(), request_id))
            fleet.record.note(f'{upstream.instance}: runs {path}, crashes')
            upstream.stop()
            tasks.add(asyncio.create_task(come_back(upstream)))
            return True

        upstream.on_run = crash

    for machine in fleet.machines[2:]:
        watch(machine.upstream)
    end = time.monotonic() + PLAY_S
    number = 0
    while time.monotonic() < end:
        entry = entries[number % 2]
        number += 1
        await asyncio.gather(
            fleet.send(entry, 'GET', POISON, KEY),
            fleet.send(entry, 'GET', '/read/work-20', KEY),
            asyncio.sleep(AGAIN_S),
        )
    third_at = crashes[2][0] if len(crashes) > 2 else end
    late = [id_ for at, id_ in crashes if at > third_at + STABLE_WINDOW_S]
    # A client sends it with a new id each time.
    retries = len(set(late))
    result = (
        f'{number} times sent, {len(crashes)} crashes; later than '
        f'{STABLE_WINDOW_S:g} s after the third crash it reached upstreams '
        f'{len(late)} times, in {retries} retries of its client'
    )
    fleet.record.note(result)
    print(result)
    return retries > MOST


if __name__ == '__main__':
    sys.exit(run_case(pathlib.Path(__file__).parent, play))
