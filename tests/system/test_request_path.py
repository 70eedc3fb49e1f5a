"""The whole request path, with real processes."""

import asyncio
import pathlib

from turmericrouter_core.config import Fleet as FleetRecord
from turmericrouter_core.config import Key
from turmericrouter_core.config import Route
from turmericrouter_core.config import Value
from turmericrouter_core.config import Workspace
from turmericrouter_core.verdict import Importance
from turmericrouter_standins.fleet import Fleet
from turmericrouter_standins.fleet import key_scope
from turmericrouter_standins.host import ServiceSpec

KEY = 'secret-key-of-east-wing'
VALUES: dict[str, Value | None] = {
    'fleet': FleetRecord(domains=('north', 'south')),
    'workspace/east': Workspace(rate_per_s=1000, burst=1000),
    key_scope(KEY): Key('east'),
    'route/catalogue': Route(
        'design', '/catalogue', importance=Importance.LOW
    ),
    'route/status': Route('design', '/status', open_to_all=True),
}


def _fleet(directory: pathlib.Path) -> Fleet:
    services = [ServiceSpec('design'), ServiceSpec('works')]
    return Fleet(directory, ['north', 'south'], services)


async def _check_path(directory: pathlib.Path) -> None:
    async with _fleet(directory) as fleet:
        await fleet.publish(VALUES)
        await fleet.wait_until_served('/catalogue/1', key=KEY)
        entry = fleet.host('works-north-0')
        reply = await fleet.call(
            entry, '/catalogue/1?echo=blue', key=KEY, method='POST', body=b'x'
        )
        assert (reply.status, reply.verdict) == (200, 'ran')
        assert reply.json()['echo'] == 'blue'
        assert reply.json()['workspace'] == 'east'
        assert (await fleet.call(entry, '/status/1')).status == 200
        refused = await fleet.call(entry, '/catalogue/1')
        assert (refused.status, refused.verdict) == (401, 'not-run')
        assert refused.reason == 'key-missing'
        unknown = await fleet.call(entry, '/nowhere', key=KEY)
        assert (unknown.status, unknown.reason) == (404, 'route-unknown')
        _check_key_hidden(fleet)


def _check_key_hidden(fleet: Fleet) -> None:
    for host in fleet.hosts:
        assert not any(entry.violation for entry in fleet.ledger(host))
    for path in fleet.directory.iterdir():
        assert KEY not in path.read_text(), path.name


def test_request_reaches_target_and_key_stays_at_entry(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against keys that reach targets, logs or other files."""
    asyncio.run(_check_path(tmp_path))


async def _check_partition(directory: pathlib.Path) -> None:
    services = [ServiceSpec('design'), ServiceSpec('works')]
    fleet = Fleet(directory, ['north', 'south'], services, links=True)
    async with fleet:
        await fleet.publish(VALUES)
        await fleet.wait_until_served('/status/1')
        # A partitioned domain gets no new directory entries of the other one.
        await fleet.wait_for_directory()
        await fleet.set_link_rules(cuts=[('north', 'south')])
        fleet.host('design-north-0').target.kill()
        for name in ('works-north-0', 'works-south-0'):
            reply = await fleet.call(
                fleet.host(name),
                '/status/1',
                headers={'Turmeric-Timeout-Ms': '1000'},
            )
            if name.startswith('works-south'):
                assert reply.status == 200
            else:
                assert reply.status >= 500
        await fleet.set_link_rules(delay_ms=5)
        await fleet.wait_until_served('/status/1')


def test_partition_leaves_other_domain_served_and_recovers(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a partition that stops the domain with live targets."""
    asyncio.run(_check_partition(tmp_path))
