"""Stand-in for a target with slots, cold start, drain, faults and a ledger.

It announces itself to the local listener of its daemon periodically, as a
heartbeat. The query of a request selects its behaviour: `work_ms`, `nested`
(path to call through the daemon), `crash`. Every request is written to a
ledger file before it runs, so that the entry survives a crash. Run it with
`python -m`.
"""

import argparse
import asyncio
import contextlib
import hashlib
import os
import pathlib
import random
import signal
import time

import aiohttp
from aiohttp import web

from turmericrouter_standins.ledger import Ledger
from turmericrouter_standins.ledger import LedgerEntry
from turmericrouter_standins.ledger import TAG_HEADER

_ANNOUNCE_PERIOD_S = 1.0
_FORBIDDEN_HEADERS = ('Authorization',)
CONTEXT_HEADER = 'Turmeric-Context'
TIMEOUT_HEADER = 'Turmeric-Timeout-Ms'


class Target:
    """One target of a service.

    Args:
        options: Parsed command-line arguments.
    """

    def __init__(self, options: argparse.Namespace) -> None:
        self._options = options
        self._rng = random.Random(options.seed)
        self._slots = asyncio.Semaphore(options.slots)
        self._ledger = Ledger(pathlib.Path(options.ledger))
        self._running = 0
        self._leaving = False
        self._speed = 1.0
        self._started_at = time.monotonic()
        self._session: aiohttp.ClientSession | None = None

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_get('/_health', self._health)
        app.router.add_put('/_speed', self._set_speed)
        app.router.add_put('/_leave', self._leave)
        app.router.add_route('*', '/{path:.*}', self._serve)
        app.cleanup_ctx.append(self._background)
        return app

    async def _background(self, app: web.Application):  # type: ignore[no-untyped-def]
        self._session = aiohttp.ClientSession()
        task = asyncio.create_task(self._announce_forever())
        yield
        task.cancel()
        await self._session.close()

    async def _announce_forever(self) -> None:
        while True:
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                await self._announce()
            await asyncio.sleep(_ANNOUNCE_PERIOD_S)

    async def _announce(self) -> None:
        assert self._session is not None
        options = self._options
        announcement = {
            'name': options.name,
            'service': options.service,
            'address': f'{options.host}:{options.port}',
            'slots': 0 if options.hide_slots else options.slots,
            'connections': options.connections,
            'instance': f'{os.getpid()}-{self._started_at}',
            'leaving': self._leaving,
            'load': self._reported_load(),
        }
        async with self._session.put(
            f'{options.daemon}/turmeric/target',
            json=announcement,
            timeout=aiohttp.ClientTimeout(total=2),
        ) as response:
            await response.read()

    def _reported_load(self) -> float:
        if self._options.lying_load:
            return 0.0
        return float(self._running / self._options.slots)

    async def _serve(self, request: web.Request) -> web.Response:
        body = await request.read()
        if 'crash' in request.query:
            self._record(request)
            os.kill(os.getpid(), signal.SIGKILL)
        self._running += 1
        try:
            async with self._slots:
                return await self._run(request, body)
        finally:
            self._running -= 1

    async def _run(self, request: web.Request, body: bytes) -> web.Response:
        self._record(request)
        await asyncio.sleep(self._work_s(request))
        nested = await self._call_nested(request)
        answer = {
            'target': self._options.name,
            'path': request.path,
            'sum': hashlib.sha256(body).hexdigest(),
            'workspace': request.headers.get('Turmeric-Workspace', ''),
            'echo': request.query.get('echo', ''),
            'tag': request.headers.get(TAG_HEADER, ''),
            'nested': nested,
        }
        return web.json_response(
            answer, status=502 if _failed(nested) else 200
        )

    def _work_s(self, request: web.Request) -> float:
        work_ms = float(request.query.get('work_ms', self._options.work_ms))
        if self._options.jitter:
            work_ms *= self._rng.uniform(
                1 - self._options.jitter, 1 + self._options.jitter
            )
        age_s = time.monotonic() - self._started_at
        if age_s < self._options.cold_start_s:
            work_ms *= self._options.cold_start_factor
        return work_ms * self._speed / 1000

    async def _call_nested(self, request: web.Request) -> list[object]:
        paths = [path for path in request.query.getall('nested', []) if path]
        answers: list[object] = []
        for path in paths:
            answers.append(await self._call(request, path))
        return answers

    async def _call(self, request: web.Request, path: str) -> object:
        assert self._session is not None
        headers = {
            name: request.headers[name]
            for name in (CONTEXT_HEADER, 'traceparent')
            if name in request.headers
        }
        async with self._session.get(
            self._options.daemon + path, headers=headers
        ) as response:
            return {
                'status': response.status,
                'verdict': response.headers.get('Turmeric-Verdict'),
                'reason': response.headers.get('Turmeric-Reason'),
                'body': (await response.read()).decode(),
            }

    def _record(self, request: web.Request) -> None:
        leaked_headers = [
            name for name in _FORBIDDEN_HEADERS if name in request.headers
        ]
        self._ledger.append(
            LedgerEntry(
                at=time.time(),
                method=request.method,
                path=request.path,
                workspace=request.headers.get('Turmeric-Workspace', ''),
                request_id=request.headers.get('Turmeric-Request-Id', ''),
                operation=request.headers.get('Idempotency-Key', ''),
                tag=request.headers.get(TAG_HEADER, ''),
                depth=request.headers.get('Turmeric-Depth', ''),
                violation=','.join(leaked_headers),
            )
        )

    async def _health(self, request: web.Request) -> web.Response:
        return web.json_response({'load': self._reported_load()})

    async def _set_speed(self, request: web.Request) -> web.Response:
        self._speed = float((await request.read()).decode())
        return web.json_response({})

    async def _leave(self, request: web.Request) -> web.Response:
        self._leaving = True
        await self._announce()
        return web.json_response({'left_at': time.time()})


def _failed(nested: list[object]) -> bool:
    return any(
        isinstance(answer, dict) and int(answer['status']) >= 400
        for answer in nested
    )


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--name', required=True)
    parser.add_argument('--service', required=True)
    parser.add_argument('--daemon', required=True, help='local listener URL')
    parser.add_argument('--ledger', required=True, help='ledger file')
    parser.add_argument('--slots', type=int, default=16)
    parser.add_argument('--connections', type=int, default=256)
    parser.add_argument('--work-ms', type=float, default=1.0)
    parser.add_argument('--jitter', type=float, default=0.0)
    parser.add_argument('--cold-start-s', type=float, default=0.0)
    parser.add_argument('--cold-start-factor', type=float, default=3.0)
    parser.add_argument('--hide-slots', action='store_true')
    parser.add_argument('--lying-load', action='store_true')
    parser.add_argument('--seed', type=int, default=0)
    return parser.parse_args()


def main() -> None:
    """Serve until interrupted."""
    options = _parse()
    web.run_app(
        Target(options).application(),
        host=options.host,
        port=options.port,
        print=None,
        shutdown_timeout=5.0,
    )


if __name__ == '__main__':
    main()
