"""Nested calls between real processes."""

import asyncio
import pathlib

import aiohttp
from aiohttp import web

from turmericrouter_core.config import Fleet as FleetRecord
from turmericrouter_core.config import Key
from turmericrouter_core.config import KeylessRule
from turmericrouter_core.config import Route
from turmericrouter_core.config import Value
from turmericrouter_core.config import Workspace
from turmericrouter_standins.fleet import digest_scope
from turmericrouter_standins.fleet import Fleet
from turmericrouter_standins.host import LOCAL_PORT
from turmericrouter_standins.host import ServiceSpec

KEY = 'key-of-the-chalk-judges'
VALUES: dict[str, Value | None] = {
    'fleet': FleetRecord(domains=('north',)),
    'workspace/east': Workspace(rate_per_s=1000, burst=1000),
    digest_scope(KEY): Key('east'),
    'route/top': Route('top', '/top'),
    'route/deep': Route('deep', '/deep'),
    'route/slow': Route('slow', '/slow'),
    'route/pay': Route(
        'deep',
        '/pay',
        idempotent=False,
        without_key=KeylessRule.RUN_ONCE,
    ),
}
CONTEXT = 'Turmeric-Context'
TRACE = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01'


class _Top:
    """A target in the test, which makes the nested calls itself."""

    def __init__(self, service: str, ip: str) -> None:
        self.service = service
        self.ip = ip
        self.local = f'http://{ip}:{LOCAL_PORT}'
        self.requests: asyncio.Queue[web.BaseRequest] = asyncio.Queue()
        self.answer = asyncio.Event()
        self.hung_up = asyncio.Event()

    async def handle(self, request: web.BaseRequest) -> web.Response:
        self.requests.put_nowait(request)
        try:
            await self.answer.wait()
        except asyncio.CancelledError:
            self.hung_up.set()
            raise
        return web.json_response({})

    async def start(self) -> None:
        server = web.Server(self.handle, handler_cancellation=True)
        runner = web.ServerRunner(server)
        await runner.setup()
        await web.TCPSite(runner, self.ip, 9000).start()
        body = {
            'name': f'{self.service}-of-test',
            'service': self.service,
            'address': f'{self.ip}:9000',
        }
        async with aiohttp.ClientSession() as session:
            url = f'{self.local}/turmeric/target'
            async with session.put(url, json=body) as response:
                assert response.status == 204


async def _call(
    fleet: Fleet, top: _Top, context: str, path: str, method: str = 'GET'
) -> tuple[int, str, str]:
    headers = {CONTEXT: context, 'traceparent': TRACE}
    async with fleet.session.request(
        method, top.local + path, headers=headers
    ) as response:
        return (
            response.status,
            response.headers['Turmeric-Verdict'],
            response.headers.get('Turmeric-Reason', ''),
        )


async def _begin(fleet: Fleet, top: _Top) -> tuple[asyncio.Task, str]:
    task = asyncio.create_task(fleet.call(fleet.hosts[1], '/top/1', key=KEY))
    request = await top.requests.get()
    return task, request.headers[CONTEXT]


async def _check_repeats(fleet: Fleet, top: _Top) -> str:
    task, context = await _begin(fleet, top)
    ran = (200, 'ran', '')
    assert await _call(fleet, top, context, '/pay/1', 'POST') == ran
    # Guards against a payout that a target sends twice.
    again = await _call(fleet, top, context, '/pay/1', 'POST')
    assert again == (409, 'may-have-run', 'operation-unknown')
    assert [await _call(fleet, top, context, '/deep/1') for _ in '123'] == [
        ran
    ] * 3
    # Both retries of the request are spent now, on all of its calls.
    fourth = await _call(fleet, top, context, '/deep/1')
    assert fourth == (503, 'may-have-run', 'retry-budget-exhausted')
    assert await _call(fleet, top, context, '/deep/2') == ran
    top.answer.set()
    assert (await task).status == 200
    top.answer.clear()
    return context


async def _check_cancel(fleet: Fleet, top: _Top, slow: _Top) -> None:
    # The caller goes away, so its request and what it called must end.
    task, context = await _begin(fleet, top)
    child = asyncio.create_task(_call(fleet, top, context, '/slow/1'))
    nested = await slow.requests.get()
    assert nested.headers['traceparent'] == TRACE
    task.cancel()
    async with asyncio.timeout(30):
        await top.hung_up.wait()
        assert await child == (499, 'may-have-run', 'cancelled')
        await slow.hung_up.wait()


async def _check_withdrawn(fleet: Fleet, top: _Top) -> None:
    task, context = await _begin(fleet, top)
    await fleet.publish({digest_scope(KEY): Key('east', withdrawn=True)})
    reply = (200, 'ran', '')
    attempt = 0
    async with asyncio.timeout(10):
        while reply[0] == 200:
            attempt += 1
            reply = await _call(fleet, top, context, f'/deep/{attempt}')
            await asyncio.sleep(0.02)
    assert reply == (401, 'not-run', 'key-withdrawn')
    top.answer.set()
    await task


async def _check(directory: pathlib.Path) -> None:
    # The targets of two hosts are replaced by ones inside the test.
    services = [
        ServiceSpec('deep'),
        ServiceSpec('other'),
        ServiceSpec('spare'),
    ]
    settings = {'target': {'announcement_timeout_s': 60.0}}
    async with Fleet(
        directory, ['north'], services, settings=settings
    ) as fleet:
        await fleet.publish(VALUES)
        await fleet.wait_served('/deep/1', key=KEY)
        replaced = []
        for service, host in zip(
            ('top', 'slow'), fleet.hosts[1:], strict=True
        ):
            host.target.kill()
            replaced.append(_Top(service, host.ip))
            await replaced[-1].start()
        top, slow = replaced
        top.answer.set()
        await fleet.wait_served('/top/1', key=KEY)
        top.answer.clear()
        while not top.requests.empty():
            top.requests.get_nowait()
        context = await _check_repeats(fleet, top)
        # The id is void once its request has ended.
        late = await _call(fleet, top, context, '/deep/1')
        assert late == (403, 'not-run', 'context-unknown')
        await _check_cancel(fleet, top, slow)
        await _check_withdrawn(fleet, top)


def test_nested_calls_end_with_their_request(tmp_path: pathlib.Path) -> None:
    asyncio.run(_check(tmp_path))
