"""Each request runs for the workspace of its own key."""

import asyncio
import pathlib

import aiohttp

from turmericrouter_core.config import Fleet as FleetRecord
from turmericrouter_core.config import Key
from turmericrouter_core.config import Route
from turmericrouter_core.config import Value
from turmericrouter_core.config import Workspace
from turmericrouter_standins.fleet import Fleet
from turmericrouter_standins.fleet import key_scope
from turmericrouter_standins.host import ServiceSpec

KEYS = {'east': 'secret-key-of-east', 'west': 'secret-key-of-west'}
VALUES: dict[str, Value | None] = {
    'fleet': FleetRecord(domains=('north',)),
    'route/works': Route('works', '/works'),
    **{
        f'workspace/{name}': Workspace(rate_per_s=1000, burst=1000)
        for name in KEYS
    },
    **{key_scope(key): Key(name) for name, key in KEYS.items()},
}


async def _send(
    session: aiohttp.ClientSession, url: str, key: str, claimed: str
) -> tuple[int, str, str]:
    """Return status, verdict, and the workspace that the target saw."""
    headers = {'Authorization': f'Bearer {key}', 'Turmeric-Workspace': claimed}
    async with session.get(url, headers=headers) as response:
        body = await response.json(content_type=None)
        verdict = response.headers['Turmeric-Verdict']
        return response.status, verdict, body.get('workspace', '')


async def _check(directory: pathlib.Path) -> None:
    async with Fleet(directory, ['north'], [ServiceSpec('works')]) as fleet:
        await fleet.publish(VALUES)
        for key in KEYS.values():
            await fleet.wait_until_served('/works', key=key)
        entry = fleet.hosts[0]
        before = len(fleet.ledger(entry))
        # One connection for all, to detect a key cached per connection.
        connector = aiohttp.TCPConnector(limit=1)
        async with aiohttp.ClientSession(connector=connector) as session:
            url = entry.entry_url + '/works'
            for name, claimed in (
                ('east', 'west'),
                ('west', 'east'),
                ('east', 'east'),
            ):
                result = await _send(session, url, KEYS[name], claimed)
                assert result == (200, 'ran', name)
            result = await _send(session, url, 'no-such-key', 'east')
            assert result == (401, 'not-run', '')
        runs = [entry.workspace for entry in fleet.ledger(entry)[before:]]
        assert runs == ['east', 'west', 'east']


def test_workspace_comes_from_the_key_alone(tmp_path: pathlib.Path) -> None:
    """Guards against unknown keys, claimed workspaces and cached keys."""
    asyncio.run(_check(tmp_path))
