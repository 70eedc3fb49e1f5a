"""Nested calls of targets, with real processes."""

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
from turmericrouter_standins.fleet import Fleet
from turmericrouter_standins.fleet import key_scope
from turmericrouter_standins.host import LOCAL_PORT
from turmericrouter_standins.host import ServiceSpec

KEY = 'key-of-the-chalk-judges'
VALUES: dict[str, Value | None] = {
    'fleet': FleetRecord(domains=('north',)),
    'workspace/east': Workspace(rate_per_s=1000, burst=1000),
    key_scope(KEY): Key('east'),
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


class _InProcessTarget:
    """A target in the test process, which holds its answers back.

    The test makes the nested calls of the requests that it receives.
    """

    def __init__(self, service: str, ip: str) -> None:
        self.service = service
        self.ip = ip
        self.local_url = f'http://{ip}:{LOCAL_PORT}'
        self.requests: asyncio.Queue[web.BaseRequest] = asyncio.Queue()
        self.may_answer = asyncio.Event()
        self.cancelled = asyncio.Event()

    async def handle(self, request: web.BaseRequest) -> web.Response:
        self.requests.put_nowait(request)
        try:
            await self.may_answer.wait()
        except asyncio.CancelledError:
            self.cancelled.set()
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
            url = f'{self.local_url}/turmeric/target'
            async with session.put(url, json=body) as response:
                assert response.status == 204


async def _call_nested(
    fleet: Fleet,
    top: _InProcessTarget,
    context: str,
    path: str,
    method: str = 'GET',
) -> tuple[int, str, str]:
    headers = {CONTEXT: context, 'traceparent': TRACE}
    async with fleet.session.request(
        method, top.local_url + path, headers=headers
    ) as response:
        return (
            response.status,
            response.headers['Turmeric-Verdict'],
            response.headers.get('Turmeric-Reason', ''),
        )


async def _start_request(
    fleet: Fleet, top: _InProcessTarget
) -> tuple[asyncio.Task, str]:
    task = asyncio.create_task(fleet.call(fleet.hosts[1], '/top/1', key=KEY))
    request = await top.requests.get()
    return task, request.headers[CONTEXT]


async def _check_repeated_calls(fleet: Fleet, top: _InProcessTarget) -> str:
    task, context = await _start_request(fleet, top)
    ran = (200, 'ran', '')
    assert await _call_nested(fleet, top, context, '/pay/1', 'POST') == ran
    # A payout that a target sends twice must not run twice.
    again = await _call_nested(fleet, top, context, '/pay/1', 'POST')
    assert again == (409, 'may-have-run', 'operation-unknown')
    assert [
        await _call_nested(fleet, top, context, '/deep/1') for _ in '123'
    ] == [ran] * 3
    # All calls share the request's two retries, which are used up.
    fourth = await _call_nested(fleet, top, context, '/deep/1')
    assert fourth == (503, 'may-have-run', 'retry-budget-exhausted')
    assert await _call_nested(fleet, top, context, '/deep/2') == ran
    top.may_answer.set()
    assert (await task).status == 200
    top.may_answer.clear()
    return context


async def _check_cancel(
    fleet: Fleet, top: _InProcessTarget, slow: _InProcessTarget
) -> None:
    # If the caller disconnects, its request and all nested calls must end.
    task, context = await _start_request(fleet, top)
    child = asyncio.create_task(_call_nested(fleet, top, context, '/slow/1'))
    nested = await slow.requests.get()
    assert nested.headers['traceparent'] == TRACE
    task.cancel()
    async with asyncio.timeout(30):
        await top.cancelled.wait()
        assert await child == (499, 'may-have-run', 'cancelled')
        await slow.cancelled.wait()


async def _check_withdrawn(fleet: Fleet, top: _InProcessTarget) -> None:
    task, context = await _start_request(fleet, top)
    await fleet.publish({key_scope(KEY): Key('east', withdrawn=True)})
    reply = (200, 'ran', '')
    attempt = 0
    async with asyncio.timeout(10):
        while reply[0] == 200:
            attempt += 1
            reply = await _call_nested(fleet, top, context, f'/deep/{attempt}')
            await asyncio.sleep(0.02)
    assert reply == (401, 'not-run', 'key-withdrawn')
    top.may_answer.set()
    await task


async def _check(directory: pathlib.Path) -> None:
    # Two hosts get targets that run in the test process instead.
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
        await fleet.wait_until_served('/deep/1', key=KEY)
        replaced = []
        for service, host in zip(
            ('top', 'slow'), fleet.hosts[1:], strict=True
        ):
            host.target.kill()
            replaced.append(_InProcessTarget(service, host.ip))
            await replaced[-1].start()
        top, slow = replaced
        top.may_answer.set()
        await fleet.wait_until_served('/top/1', key=KEY)
        top.may_answer.clear()
        while not top.requests.empty():
            top.requests.get_nowait()
        context = await _check_repeated_calls(fleet, top)
        # A context id is rejected once its request has ended.
        late = await _call_nested(fleet, top, context, '/deep/1')
        assert late == (403, 'not-run', 'context-unknown')
        await _check_cancel(fleet, top, slow)
        await _check_withdrawn(fleet, top)


def test_nested_calls_end_with_their_request(tmp_path: pathlib.Path) -> None:
    """Guards against nested calls that outlive their request or its key."""
    asyncio.run(_check(tmp_path))
