"""Stand-in for the platform's append-only log service.

It can inject the faults of the real service: outages, slow answers, answers
lost after the write took effect, and limited retention. `PUT /faults`
replaces the active faults at run time. Run it with `python -m`.
"""

import argparse
import asyncio
import base64
import collections
import contextlib
import random
import time

from aiohttp import web
import msgspec

_EXPIRY_PERIOD_S = 0.5
_MAX_RECORD_BYTES = 64 * 1024 * 1024


class Faults(msgspec.Struct, frozen=True):
    """Active faults of the service.

    Args:
        down: Refuse every request.
        delay_ms: Delay of each answer in milliseconds.
        lose_answers: Probability that an append is stored and its answer
            is lost.
        retention_s: Seconds for which records are kept, 0 without limit.
    """

    down: bool = False
    delay_ms: int = 0
    lose_answers: float = 0.0
    retention_s: float = 0.0


class _Stream:
    """Records of one stream with the time at which they were appended."""

    def __init__(self) -> None:
        self.records: collections.deque[tuple[float, int, bytes]] = (
            collections.deque()
        )
        self.next_offset = 0
        self.changed = asyncio.Event()

    def append(self, payload: bytes) -> int:
        offset = self.next_offset
        self.next_offset += 1
        self.records.append((time.monotonic(), offset, payload))
        self.changed.set()
        self.changed = asyncio.Event()
        return offset

    def expire(self, before: float) -> None:
        while self.records and self.records[0][0] < before:
            self.records.popleft()

    @property
    def first(self) -> int:
        return self.records[0][1] if self.records else self.next_offset

    def page(self, after: int, limit: int) -> dict[str, object]:
        start_index = max(0, after + 1 - self.first)
        records_json = []
        for index in range(
            start_index, min(start_index + limit, len(self.records))
        ):
            _, offset, payload = self.records[index]
            records_json.append(
                {
                    'offset': offset,
                    'payload': base64.b64encode(payload).decode(),
                }
            )
        return {
            'first': self.first,
            'head': self.next_offset - 1,
            'records': records_json,
        }


class LogServer:
    """The log service with all state in memory.

    Args:
        seed: Seed of the choice of lost answers.
        retention_s: Seconds for which records are kept, 0 without limit.
    """

    def __init__(self, *, seed: int = 0, retention_s: float = 0.0) -> None:
        self._streams: dict[str, _Stream] = {}
        self._faults = Faults(retention_s=retention_s)
        self._rng = random.Random(seed)
        self._appends = 0
        self._reads = 0

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=_MAX_RECORD_BYTES)
        app.router.add_post('/streams/{stream}/records', self._append)
        app.router.add_get('/streams/{stream}/records', self._read)
        app.router.add_put('/faults', self._set_faults)
        app.router.add_get('/stats', self._stats)
        app.cleanup_ctx.append(self._expiry_context)
        return app

    async def _expiry_context(self, app: web.Application):  # type: ignore[no-untyped-def]
        task = asyncio.create_task(self._expire_records())
        yield
        task.cancel()

    async def _expire_records(self) -> None:
        while True:
            await asyncio.sleep(_EXPIRY_PERIOD_S)
            if self._faults.retention_s > 0:
                before = time.monotonic() - self._faults.retention_s
                for stream in self._streams.values():
                    stream.expire(before)

    def _stream(self, request: web.Request) -> _Stream:
        name = request.match_info['stream']
        return self._streams.setdefault(name, _Stream())

    async def _apply_faults(self) -> None:
        if self._faults.delay_ms:
            await asyncio.sleep(self._faults.delay_ms / 1000)
        if self._faults.down:
            raise web.HTTPServiceUnavailable

    async def _append(self, request: web.Request) -> web.Response:
        payload = await request.read()
        await self._apply_faults()
        offset = self._stream(request).append(payload)
        self._appends += 1
        if self._rng.random() < self._faults.lose_answers:
            if request.transport is not None:
                request.transport.abort()
            raise asyncio.CancelledError
        return web.json_response({'offset': offset}, status=201)

    async def _read(self, request: web.Request) -> web.Response:
        await self._apply_faults()
        self._reads += 1
        stream = self._stream(request)
        after = int(request.query.get('after', '-1'))
        limit = int(request.query.get('limit', '500'))
        wait_s = int(request.query.get('wait_ms', '0')) / 1000
        if stream.next_offset <= after + 1 and wait_s > 0:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(stream.changed.wait(), wait_s)
            await self._apply_faults()
        return web.json_response(stream.page(after, limit))

    async def _set_faults(self, request: web.Request) -> web.Response:
        self._faults = msgspec.json.decode(await request.read(), type=Faults)
        return web.json_response({})

    async def _stats(self, request: web.Request) -> web.Response:
        return web.json_response(
            {'appends': self._appends, 'reads': self._reads}
        )


def main() -> None:
    """Serve until interrupted."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--seed', type=int, default=0)
    parser.add_argument('--retention-s', type=float, default=0.0)
    options = parser.parse_args()
    server = LogServer(seed=options.seed, retention_s=options.retention_s)
    web.run_app(
        server.application(),
        host=options.host,
        port=options.port,
        print=None,
        shutdown_timeout=1.0,
    )


if __name__ == '__main__':
    main()
