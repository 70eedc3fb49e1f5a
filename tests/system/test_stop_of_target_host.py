"""Stop of a daemon whose target runs a request from another daemon."""

import asyncio
import pathlib
import signal

from turmericrouter_core.config import Route
from turmericrouter_core.config import Value
from turmericrouter_standins.fleet import Fleet
from turmericrouter_standins.host import ServiceSpec

VALUES: dict[str, Value | None] = {
    'route/work': Route('works', '/work', open_to_all=True),
}


async def _check(directory: pathlib.Path) -> None:
    services = [ServiceSpec('works'), ServiceSpec('spare')]
    settings = {'stop': {'announce_s': 0.1}}
    async with Fleet(
        directory, ['north'], services, settings=settings
    ) as fleet:
        await fleet.publish(VALUES)
        await fleet.wait_until_served('/work')
        stopped, entry = fleet.hosts
        before = len(fleet.ledger(stopped))
        call = asyncio.create_task(fleet.call(entry, '/work?work_ms=2000'))
        async with asyncio.timeout(30):
            while len(fleet.ledger(stopped)) == before:
                await asyncio.sleep(0.02)
        # This daemon has no caller of its own to wait for, only a peer.
        stopped.daemon.send_signal(signal.SIGTERM)
        reply = await call
        assert (reply.status, reply.verdict) == (200, 'ran'), reply.reason
        assert await stopped.daemon.wait(30) == 0


def test_stop_waits_for_requests_of_other_daemons(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a link closed before the last outcome is sent."""
    asyncio.run(_check(tmp_path))
