"""Retries by entries and by targets, with real processes."""

import asyncio
import collections
import pathlib

import aiohttp
from aiohttp import web

from system_fleet import configuration
from system_fleet import KEY
from turmericrouter_core.config import Route
from turmericrouter_standins.fleet import Fleet
from turmericrouter_standins.host import LOCAL_PORT
from turmericrouter_standins.host import ServiceSpec

DEPTH = 11
ATTEMPTS_PER_CALL = 3
MAX_RETRIES_PER_REQUEST = 2
VALUES = configuration(
    ['north'],
    works=Route('works', '/works'),
    chain=Route('chain', '/chain'),
)


class _RecursiveTarget:
    """A target that calls itself one level deeper, with retries."""

    def __init__(self, ip: str) -> None:
        self.ip = ip
        self.local_url = f'http://{ip}:{LOCAL_PORT}'
        self.attempts: collections.Counter[int] = collections.Counter()
        self.failing = False
        self.session = aiohttp.ClientSession()

    async def handle(self, request: web.BaseRequest) -> web.Response:
        level = int(request.path.rpartition('/')[2])
        self.attempts[level] += 1
        status = 500 if self.failing else 200
        if level + 1 < DEPTH:
            for _ in range(ATTEMPTS_PER_CALL):
                status = await self.call(level + 1, request)
                if status == 200:
                    break
        return web.Response(status=status)

    async def call(self, level: int, request: web.BaseRequest) -> int:
        headers = {'Turmeric-Context': request.headers['Turmeric-Context']}
        url = f'{self.local_url}/chain/{level}'
        async with self.session.get(url, headers=headers) as response:
            return response.status

    async def start(self) -> None:
        runner = web.ServerRunner(web.Server(self.handle))
        await runner.setup()
        await web.TCPSite(runner, self.ip, 9000).start()
        body = {
            'name': 'chain-of-test',
            'service': 'chain',
            'address': f'{self.ip}:9000',
            'slots': 64,
        }
        url = f'{self.local_url}/turmeric/target'
        async with self.session.put(url, json=body) as response:
            assert response.status == 204


async def _check_chain(directory: pathlib.Path) -> None:
    services = [ServiceSpec('works'), ServiceSpec('spare')]
    settings = {'target': {'announcement_timeout_s': 60.0}}
    async with Fleet(
        directory, ['north'], services, settings=settings
    ) as fleet:
        await fleet.publish(VALUES)
        await fleet.wait_until_served('/works/1', key=KEY)
        fleet.hosts[1].target.kill()
        chain = _RecursiveTarget(fleet.hosts[1].ip)
        await chain.start()
        await fleet.wait_until_served('/chain/0', key=KEY)
        chain.attempts.clear()
        chain.failing = True
        reply = await fleet.call(fleet.hosts[0], '/chain/0', key=KEY)
        assert reply.status >= 500
        await chain.session.close()
    # Without a limit retries multiply at each level, and the deepest level
    # would receive 3 ** 10 attempts.
    assert set(chain.attempts) == set(range(DEPTH))
    assert max(chain.attempts.values()) <= 1 + MAX_RETRIES_PER_REQUEST
    assert chain.attempts.total() <= DEPTH * (1 + MAX_RETRIES_PER_REQUEST)


async def _check_entry(directory: pathlib.Path) -> None:
    services = [
        ServiceSpec('works', targets_per_domain=2),
        ServiceSpec('spare'),
    ]
    async with Fleet(directory, ['north'], services) as fleet:
        await fleet.publish(VALUES)
        await fleet.wait_until_served('/works/1', key=KEY)
        entry = fleet.host('spare-north-0')
        await fleet.call_until_targets_used(entry, '/works/1', 2, key=KEY)
        fleet.host('works-north-0').target.kill()
        # No request may be refused while another target can serve it.
        for _ in range(30):
            reply = await fleet.call(entry, '/works/1', key=KEY)
            assert (reply.status, reply.verdict) == (200, 'ran')
        # With no target left the request is refused as not run.
        fleet.host('works-north-1').target.kill()
        reply = await fleet.call(entry, '/works/1', key=KEY)
        assert reply.status == 503
        assert reply.verdict == 'not-run'
        assert int(reply.headers['Retry-After']) >= 1


def test_retries_of_a_deep_chain_are_bounded(tmp_path: pathlib.Path) -> None:
    """Guards against retries that multiply over the levels of a chain."""
    asyncio.run(_check_chain(tmp_path))


def test_entry_retries_what_was_not_run(tmp_path: pathlib.Path) -> None:
    """Guards against refusals while one of the targets still serves."""
    asyncio.run(_check_entry(tmp_path))
