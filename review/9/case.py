"""A request crashes each upstream that begins to run it, and comes again.

It is blocked after the third crash. Then machines are stopped and started
again in turn, as planned; each upstream starts with a new id every time.
"""

import asyncio
import pathlib
import signal
import sys
import time

from fleet import CannotRun
from fleet import Fleet
from fleet import HAS_TROUBLE
from fleet import Machine
from fleet import make_config
from fleet import make_route
from fleet import RESTART_DELAY_S
from fleet import run_case
from fleet import STABLE_WINDOW_S
from upstream import Upstream

KEY = 'key-of-ward'
POISON = '/read/crash-9'
BACK_AFTER_S = 2.5
AGAIN_S = 1.0
# How often the request comes at a machine, before and after the stop.
COMES_FIRST = 8
COMES_AGAIN = 5
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
    # When an upstream began to run it, its id, and the id of the request.
    crashes: list[tuple[float, str, str]] = []
    tasks: set[asyncio.Task[None]] = set()

    async def come_back(upstream: Upstream) -> None:
        await asyncio.sleep(BACK_AFTER_S)
        upstream.instance = f'{upstream.instance}x'
        await upstream.start()
        fleet.record.note(f'{upstream.instance}: is back')

    def watch(upstream: Upstream) -> None:
        def crash(path: str, request_id: str) -> bool:
            if path != POISON:
                return False
            crashes.append((time.monotonic(), upstream.instance, request_id))
            fleet.record.note(f'{upstream.instance}: runs {path}, crashes')
            upstream.stop()
            tasks.add(asyncio.create_task(come_back(upstream)))
            return True

        upstream.on_run = crash

    for machine in fleet.machines[2:]:
        watch(machine.upstream)
    await _come(fleet, fleet.machines[0], COMES_FIRST)
    if len({instance for _, instance, _ in crashes}) < 3:
        raise CannotRun('fewer than three upstreams have crashed')
    third_at = crashes[2][0]
    for machine in fleet.machines[:3]:
        if HAS_TROUBLE:
            await _restart(machine)
        # From then on the machine is in touch.
        await asyncio.sleep(STABLE_WINDOW_S + 0.5)
        await _come(fleet, machine, COMES_AGAIN)
    late = [id_ for at, _, id_ in crashes if at > third_at + STABLE_WINDOW_S]
    # A client sends it with a new id each time.
    retries = len(set(late))
    result = (
        f'{len(crashes)} upstreams crashed; later than '
        f'{STABLE_WINDOW_S:g} s after the third crash it reached upstreams '
        f'{len(late)} times, in {retries} retries of its client'
    )
    fleet.record.note(result)
    print(result)
    return retries > MOST


async def _come(fleet: Fleet, machine: Machine, count: int) -> None:
    """Send the request once a second at a machine."""
    for _ in range(count):
        await asyncio.gather(
            fleet.send(machine, 'GET', POISON, KEY), asyncio.sleep(AGAIN_S)
        )


async def _restart(machine: Machine) -> None:
    """Stop a daemon as planned, and start it again."""
    machine.send_signal(signal.SIGTERM)
    await machine.wait_for_end(6.0)
    await asyncio.sleep(RESTART_DELAY_S)
    machine.launch()
    end = time.monotonic() + 10.0
    while not await machine.is_ready():
        if time.monotonic() > end:
            raise CannotRun(f'{machine.name} does not get ready')
        await asyncio.sleep(0.1)


if __name__ == '__main__':
    sys.exit(run_case(pathlib.Path(__file__).parent, play))
