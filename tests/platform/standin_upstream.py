"""Stand-in for an upstream of the platform, a target beside a daemon.

Tests set its faults; a path that contains `crash` resets the connection, and
one that contains `nested` makes a nested call. A path that contains `work-N`
works for N milliseconds. Work stops with a 504 at the time limit.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
import math
import random
import re
import time

import aiohttp
from aiohttp import web


@dataclasses.dataclass
class Run:
    """A request that the upstream has run."""

    request_id: str
    path: str
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that reached an upstream, even if it was rejected.

    Args:
        at: Monotonic seconds.
        request_id: Id that the request came with.
        path: Path with query.
        workspace: Workspace that the daemon named.
        caller_service: Service of the caller that the daemon named.
        has_key: Whether the caller's key was passed on.
        service: Service of the upstream.
        upstream_id: Id of the upstream's start.
        has_run: Whether the request was run, not rejected.
        answered_at: Monotonic seconds at which the answer was made; infinite
            before that, and if the work was broken off.
        host: Host of the upstream.
    """

    at: float
    request_id: str
    path: str
    workspace: str
    caller_service: str
    has_key: bool
    service: str
    upstream_id: str
    has_run: bool
    answered_at: float = math.inf
    host: str = ''


class StandinUpstream:
    """Serves requests and announces itself to its daemon.

    Args:
        upstream_id: Id of this start.
        service: Its service.
        port: Port on the loopback address.
        control: `IP:PORT` of its daemon's control listener.
    """

    def __init__(
        self, upstream_id: str, service: str, *, port: int, control: str
    ) -> None:
        self.upstream_id = upstream_id
        self.service = service
        self.runs: list[Run] = []
        self.arrivals: list[Arrival] = []
        self.host = ''
        # Port of the daemon that nested calls are sent to.
        self.nested_port = 0
        # Makes the nested call of a request; returns whether it succeeded.
        self.call_nested: Callable[[str], Awaitable[bool]] = self._call_nested
        # Fraction of requests that are rejected at random.
        self.reject_fraction = 0.0
        # Requests whose connection ended before their answer.
        self.cancelled_count = 0
        self.work_s = 0.0
        # Length of the bodies of answers beyond their text.
        self.padding_bytes = 0
        self.slots = 20
        self.state = 'ready'
        self.is_shedding = False
        # Requests a second that the answers name, and whether they say that
        # the upstream leaves.
        self.rate_limit: float | None = None
        self.says_leaving = False
        self._port = port
        self._control = control
        self._sequence = 0
        self._born = int(time.time() * 1000)
        self._runner: web.AppRunner | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to serve requests and to send announcements."""
        app = web.Application()
        app.router.add_route('*', '/{path:.*}', self._serve)
        self._runner = web.AppRunner(
            app, shutdown_timeout=0.1, handler_cancellation=True
        )
        await self._runner.setup()
        await web.TCPSite(
            self._runner, '127.0.0.1', self._port, reuse_address=True
        ).start()
        self._task = asyncio.create_task(self._announce_periodically())

    async def stop(self) -> None:
        """Stop without an announcement."""
        if self._task is not None:
            self._task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    async def restart(self, upstream_id: str) -> None:
        """Start under another id after a stop."""
        self.upstream_id = upstream_id
        self.state = 'ready'
        self._sequence = 0
        self._born = int(time.time() * 1000)
        await self.start()

    def stop_announcing(self) -> None:
        """Send no further announcements on its own."""
        if self._task is not None:
            self._task.cancel()

    async def depart(self) -> None:
        """Announce that the upstream is gone."""
        url = f'http://{self._control}/-/instances/{self.upstream_id}'
        timeout = aiohttp.ClientTimeout(total=1.0)
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.delete(url),
        ):
            pass

    async def drain(self) -> int:
        """Announce that the upstream leaves; return the reply's status."""
        self.state = 'draining'
        return await self._announce()

    async def _announce_periodically(self) -> None:
        while True:
            try:
                await self._announce()
            except (aiohttp.ClientError, TimeoutError):
                await asyncio.sleep(0.1)
                continue
            await asyncio.sleep(0.5)

    async def announce_raw(self, body: bytes) -> int:
        """Send bytes as an announcement; return the reply's status."""
        url = f'http://{self._control}/-/instances/{self.upstream_id}'
        timeout = aiohttp.ClientTimeout(total=1.0)
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.put(url, data=body) as reply,
        ):
            return reply.status

    async def _announce(self) -> int:
        self._sequence += 1
        body = {
            'service': self.service,
            'address': f'127.0.0.1:{self._port}',
            'zone': 'north',
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'cold_remaining_s': 0,
            'sequence': self._sequence,
            'born': self._born,
        }
        return await self.announce_raw(json.dumps(body).encode())

    async def _serve(self, request: web.Request) -> web.Response:
        wanted_id = request.headers.get('X-Target-Instance', self.upstream_id)
        request_id = request.headers.get('X-Request-Id', '')
        if wanted_id != self.upstream_id:
            return web.Response(
                status=421, headers={'X-Instance-Id': self.upstream_id}
            )
        is_rejected = (
            self.is_shedding or random.random() < self.reject_fraction
        )
        position = self._record_arrival(request, request_id, not is_rejected)
        if is_rejected:
            return web.Response(
                status=503,
                headers={'X-Not-Executed': '1', 'X-Request-Id': request_id},
            )
        body = await request.read()
        headers = dict(request.headers)
        self.runs.append(Run(request_id, request.raw_path, headers, body))
        response = await self._run(request, request_id)
        self.arrivals[position] = dataclasses.replace(
            self.arrivals[position], answered_at=time.monotonic()
        )
        return response

    async def _run(
        self, request: web.Request, request_id: str
    ) -> web.Response:
        if 'crash' in request.path:
            assert request.transport is not None
            request.transport.abort()
        limit_s = int(request.headers.get('X-Request-Deadline', 60_000)) / 1000
        try:
            async with asyncio.timeout(limit_s):
                await asyncio.sleep(self._work_s(request))
                if 'nested' in request.path and not await self.call_nested(
                    request_id
                ):
                    return self._make_answer(request_id, 500)
        except TimeoutError:
            return self._make_answer(request_id, 504)
        except asyncio.CancelledError:
            self.cancelled_count += 1
            raise
        return self._make_answer(request_id)

    def _work_s(self, request: web.Request) -> float:
        match = re.search(r'work-(\d+)', request.path)
        return int(match[1]) / 1000 if match else self.work_s

    def _record_arrival(
        self, request: web.Request, request_id: str, has_run: bool
    ) -> int:
        """Record an arrival; return its position."""
        headers = request.headers
        self.arrivals.append(
            Arrival(
                time.monotonic(),
                request_id,
                request.raw_path,
                headers.get('X-Tenant', ''),
                headers.get('X-Caller-Service', ''),
                'Authorization' in headers,
                self.service,
                self.upstream_id,
                has_run,
                host=self.host,
            )
        )
        return len(self.arrivals) - 1

    async def _call_nested(self, request_id: str) -> bool:
        """Make a nested call; return whether it succeeded."""
        headers = {
            'Host': 'api.example',
            'X-Request-Id': f'{request_id}.1',
            'X-Request-Deadline': '2000',
        }
        url = f'http://127.0.0.1:{self.nested_port}/open/call'
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.get(url, headers=headers) as answer,
            ):
                return answer.status == 200
        except aiohttp.ClientError:
            return False

    def _make_answer(self, request_id: str, status: int = 200) -> web.Response:
        headers = {
            'X-Request-Id': request_id,
            'X-Server-Signature': f'{self.upstream_id}.{request_id}',
            'X-Server-Load': f'1,0,{self.slots}',
        }
        if self.rate_limit is not None:
            headers['Server-Limit'] = f'{self.rate_limit:.1f}'
        if self.says_leaving:
            headers['Server-Leaving'] = '1'
        return web.Response(
            status=status,
            body=b'answer to '
            + request_id.encode()
            + bytes(self.padding_bytes),
            headers=headers,
        )
