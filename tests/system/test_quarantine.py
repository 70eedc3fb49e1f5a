"""Quarantine of a poison request, which crashes each target it reaches."""

import asyncio
import pathlib

from system_fleet import configuration
from system_fleet import KEY
from turmericrouter_core.config import Route
from turmericrouter_standins.fleet import Fleet
from turmericrouter_standins.host import Host
from turmericrouter_standins.host import ServiceSpec

VALUES = configuration(['north'], works=Route('works', '/works'))
CRASH_PATH = '/works/1?crash=1'


async def _wait_for_crash_records(entry: Host, count: int) -> None:
    async with asyncio.timeout(30):
        while (
            entry.daemon.output.read_text().count('crash_marks_learned')
            < count
        ):
            await asyncio.sleep(0.05)


async def _check(directory: pathlib.Path) -> None:
    services = [
        ServiceSpec('works', targets_per_domain=3),
        ServiceSpec('spare'),
    ]
    async with Fleet(directory, ['north'], services) as fleet:
        await fleet.publish(VALUES)
        await fleet.wait_until_served('/works/1', key=KEY)
        entry = fleet.host('spare-north-0')
        await fleet.call_until_targets_used(entry, '/works/1', 3, key=KEY)
        for crash in (1, 2):
            reply = await fleet.call(entry, CRASH_PATH, key=KEY)
            assert (reply.status, reply.reason) == (502, 'target-crashed')
            assert reply.verdict == 'may-have-run'
            await _wait_for_crash_records(entry, crash)
        # A further resend must not crash another target.
        for _ in range(3):
            reply = await fleet.call(entry, CRASH_PATH, key=KEY)
            assert (reply.status, reply.verdict) == (503, 'not-run')
            assert reply.reason == 'quarantined'
        targets = [host for host in fleet.hosts if host.service == 'works']
        assert sum(host.target.is_running for host in targets) == 1
        # The same route with another query is served.
        reply = await fleet.call(entry, '/works/1', key=KEY)
        assert (reply.status, reply.verdict) == (200, 'ran')


def test_request_is_blocked_after_two_crashes(tmp_path: pathlib.Path) -> None:
    """Guards against a caller whose resends crash target after target."""
    asyncio.run(_check(tmp_path))
