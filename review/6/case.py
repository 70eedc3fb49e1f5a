"""A split route changes while requests of clients wait for a token.

One machine freezes for 3 s. The operator, who knows nothing of it, writes a
version that takes a split route together again.
"""

import asyncio
import pathlib
import signal
import sys
import time

from fleet import Fleet
from fleet import HAS_TROUBLE
from fleet import make_config
from fleet import make_route
from fleet import run_case
from wire import Reply

FREEZE_S = 3.0
TIMEOUT_S = 1.5
# Requests of each tenant a second, and how long they are sent.
PER_S = 40.0
SEND_S = 6.0
FREEZE_AT_S = 2.0
CHANGE_AT_S = 2.4
# "Eight or more of them, and over a quarter, have no final answer from
# machines in touch 0.5 s after it."
ANSWER_SLACK_S = 0.5
LEAST = 8
TENANTS = [f'ward-{number}' for number in range(1, 9)]
MACHINES = [
    ('node-1', 'north', 'design'),
    ('node-2', 'south', 'design'),
    ('node-3', 'north', 'works'),
    ('node-4', 'south', 'works'),
]


def _config(version: int, service: str | list[tuple[str, int]]) -> dict:
    return make_config(
        version,
        [make_route('read', 'idempotent', service, timeout_s=TIMEOUT_S)],
        ['design', 'works'],
        [[name, [f'key-of-{name}'], 1, 215, 215] for name in TENANTS],
    )


async def play(fleet: Fleet) -> bool:
    """Play the case; return whether the rule was broken."""
    fleet.publish(_config(3, [('design', 90), ('works', 10)]))
    await fleet.start(MACHINES)
    await asyncio.sleep(5.0)
    frozen = fleet.machines[3]
    # Machines that stay in touch take the requests.
    entries = fleet.machines[:2]
    sent: list[asyncio.Task[tuple[str, Reply]]] = []
    started_at = time.monotonic()

    async def send_all(tenant: str, number: int) -> None:
        count = int(PER_S * SEND_S)
        for index in range(count):
            due = started_at + (index + number / len(TENANTS)) / PER_S
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            sent.append(
                asyncio.create_task(
                    fleet.send(
                        entries[index % len(entries)],
                        'GET',
                        '/read/work-50',
                        f'key-of-{tenant}',
                        deadline_s=4.0,
                    )
                )
            )

    async def disturb() -> None:
        await asyncio.sleep(FREEZE_AT_S)
        if HAS_TROUBLE:
            frozen.send_signal(signal.SIGSTOP)
        await asyncio.sleep(CHANGE_AT_S - FREEZE_AT_S)
        fleet.publish(_config(7, 'design'))
        await asyncio.sleep(FREEZE_AT_S + FREEZE_S - CHANGE_AT_S)
        if HAS_TROUBLE:
            frozen.send_signal(signal.SIGCONT)

    await asyncio.gather(
        disturb(), *(send_all(t, n) for n, t in enumerate(TENANTS))
    )
    replies = [reply for _, reply in await asyncio.gather(*sent)]
    long = [reply for reply in replies if reply.took_s > TIMEOUT_S]
    late = [r for r in long if r.took_s > TIMEOUT_S + ANSWER_SLACK_S]
    never = sum(reply.status == 0 for reply in late)
    result = (
        f'{len(replies)} requests, '
        f'{sum(reply.status == 200 for reply in replies)} served, '
        f'{len(long)} lasted longer than timeout_s, {len(late)} of them had '
        f'no answer {ANSWER_SLACK_S} s after it, {never} never had one'
    )
    fleet.record.note(result)
    print(result)
    return len(late) >= LEAST and 4 * len(late) > len(long)


if __name__ == '__main__':
    sys.exit(run_case(pathlib.Path(__file__).parent, play))
