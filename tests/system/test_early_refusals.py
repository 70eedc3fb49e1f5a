"""Verdicts of refusals before an entry contacts an operation's home.

The home is the daemon that keeps the record of the started operation.
"""

import asyncio
import pathlib
import random
import time

from turmericrouter_core.config import Fleet as FleetRecord
from turmericrouter_core.config import Key
from turmericrouter_core.config import Route
from turmericrouter_core.config import Value
from turmericrouter_core.config import Workspace
from turmericrouter_core.identity import OperationId
from turmericrouter_standins.fleet import Fleet
from turmericrouter_standins.fleet import key_scope
from turmericrouter_standins.host import ServiceSpec

KEY = 'secret-key-of-treasury'
MAX_BODY_BYTES = 1000
VALUES: dict[str, Value | None] = {
    'fleet': FleetRecord(domains=('north',)),
    'workspace/ward': Workspace(rate_per_s=1000, burst=1000),
    key_scope(KEY): Key('ward'),
    'route/status': Route('works', '/status'),
    'route/deposit': Route('works', '/deposit', idempotent=False),
}


async def _check(directory: pathlib.Path) -> None:
    settings = {'entry': {'max_body_bytes': MAX_BODY_BYTES}}
    services = [ServiceSpec('works')]
    async with Fleet(
        directory, ['north'], services, settings=settings
    ) as fleet:
        await fleet.publish(VALUES)
        await fleet.wait_until_served('/status', key=KEY)
        operation_id = OperationId.mint(time.time(), 0, random.Random(1)).text
        # Only with an operation id may an earlier attempt have run.
        for path, headers, expected in (
            (
                '/deposit',
                {'Idempotency-Key': operation_id},
                (413, 'may-have-run'),
            ),
            ('/deposit', {}, (400, 'not-run')),
            ('/status', {'Idempotency-Key': operation_id}, (413, 'not-run')),
        ):
            reply = await fleet.call(
                fleet.hosts[0],
                path,
                key=KEY,
                method='POST',
                body=b'x' * (MAX_BODY_BYTES + 1),
                headers=headers,
            )
            assert (reply.status, reply.verdict) == expected, path


def test_refused_resend_does_not_claim_that_it_never_ran(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against the verdict not-run for an operation that ran."""
    asyncio.run(_check(tmp_path))
