"""Guards against a load generator whose retries are new requests."""

import asyncio
import pathlib
import random
import time

from turmericrouter_core.config import Fleet as FleetRecord
from turmericrouter_core.config import Key
from turmericrouter_core.config import Route
from turmericrouter_core.config import Workspace
from turmericrouter_core.identity import OperationId
from turmericrouter_standins.fleet import Fleet
from turmericrouter_standins.fleet import key_scope
from turmericrouter_standins.host import ServiceSpec
from turmericrouter_standins.load import Attempt
from turmericrouter_standins.load import Flow
from turmericrouter_standins.load import send_attempt

KEY = 'key-of-the-load-test'


async def _attempt(
    fleet: Fleet, flow: Flow, number: int, operation: str, rng: random.Random
) -> Attempt:
    result, _ = await send_attempt(
        fleet.session, flow, 0, number, b'x', operation, rng
    )
    return result


async def _check_retry(directory: pathlib.Path) -> None:
    services = [ServiceSpec('works')]
    async with Fleet(directory, ['north'], services) as fleet:
        await fleet.publish(
            {
                'fleet': FleetRecord(domains=('north',)),
                'workspace/east': Workspace(rate_per_s=1000, burst=1000),
                key_scope(KEY): Key('east'),
                'route/status': Route('works', '/status'),
                'route/book': Route('works', '/book', idempotent=False),
            }
        )
        await fleet.wait_until_served('/status', key=KEY)
        await fleet.wait_for_rosters()
        flow = Flow(
            'east/book',
            '/book/1',
            phases=(),
            entries=(fleet.hosts[0].entry_url,),
            key=KEY,
            method='POST',
        )
        rng = random.Random(1)
        results = []
        async with asyncio.timeout(30):
            while not results or not results[0].is_served:
                # The idempotency store of a new home daemon refuses operation
                # ids that were minted before its start.
                operation = OperationId.mint(time.time(), 0, rng).text
                results = [
                    await _attempt(fleet, flow, number, operation, rng)
                    for number in range(2)
                ]
        started = [e for e in fleet.ledger(fleet.hosts[0]) if e.operation]
    # A retry that differs from the first attempt would be refused as a
    # conflict, and the load would not test retries at all.
    assert results[1].is_served
    assert results[1].reason != 'operation-conflict'
    assert [e.tag for e in started if e.operation == operation] == [
        results[0].tag
    ]


def test_retry_of_an_operation_is_the_same_request(
    tmp_path: pathlib.Path,
) -> None:
    asyncio.run(_check_retry(tmp_path))
