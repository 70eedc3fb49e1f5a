"""Stand-in for the platform's log store, with faults for tests."""

import asyncio
import base64
import enum
import struct

from aiohttp import web

SLOW_ANSWER_DELAY_S = 0.8


class Fault(enum.Enum):
    """How the store treats calls."""

    NONE = 'none'
    BUSY = 'busy'
    RESET = 'reset'
    SLOW = 'slow'
    LOSE_ANSWERS = 'lose-answers'


class StandinStore:
    """Serves topics of one partition each, kept in memory."""

    def __init__(self) -> None:
        self.records: dict[str, list[tuple[str, bytes]]] = {}
        self.first: dict[str, int] = {}
        self.fault = Fault.NONE
        # Topics whose calls are refused with 503.
        self.busy_topics: frozenset[str] = frozenset()
        self.calls = 0
        self.era = 0
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None
        self.port = 0

    async def start(self) -> None:
        """Listen on a port of the loopback address."""
        app = web.Application()
        app.router.add_post('/-/log-append', self._append)
        app.router.add_get('/-/log-read', self._read)
        app.router.add_get('/-/log-newest', self._newest)
        app.on_response_prepare.append(self._add_era)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, '127.0.0.1', 0)
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Close the listener and all connections."""
        assert self._runner is not None
        await self._runner.cleanup()

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a record directly, whatever the fault."""
        self.records.setdefault(topic, []).append((key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    def copy(self) -> dict[str, int]:
        """Return the present end of each topic, to be restored later."""
        return {topic: len(kept) for topic, kept in self.records.items()}

    def restore(self, copy: dict[str, int]) -> None:
        """Return to a copy: lose the records since then, raise the era.

        Calls in progress go on, as on a connection that outlives the return.
        """
        self.era += 1
        for topic, kept in self.records.items():
            del kept[copy.get(topic, 0) :]
            self.first[topic] = min(self.first.get(topic, 0), len(kept))

    def compact(self, topic: str) -> None:
        """Discard the history of a topic; the newest records stay.

        Reads from an offset before the present end answer 410 from here on.
        """
        self.first[topic] = len(self.records.get(topic, []))

    async def _add_era(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        response.headers['Store-Era'] = str(self.era)

    async def _apply_fault(self, request: web.Request) -> web.Response | None:
        self.calls += 1
        if self.fault is Fault.SLOW:
            await asyncio.sleep(SLOW_ANSWER_DELAY_S)
        if (
            self.fault is Fault.BUSY
            or request.query['topic'] in self.busy_topics
        ):
            return web.Response(status=503)
        if self.fault is Fault.RESET:
            assert request.transport is not None
            request.transport.abort()
            return web.Response(status=503)
        return None

    async def _append(self, request: web.Request) -> web.Response:
        fault_response = await self._apply_fault(request)
        if fault_response is not None:
            return fault_response
        data = await request.read()
        topic = request.query['topic']
        offset = len(self.records.get(topic, []))
        while data:
            (length,) = struct.unpack_from('>I', data)
            payload, data = data[4 : 4 + length], data[4 + length :]
            end = 1 + payload[0]
            self.put(topic, payload[1:end].decode(), payload[end:])
        if self.fault is Fault.LOSE_ANSWERS:
            assert request.transport is not None
            request.transport.abort()
        end_offset = len(self.records[topic])
        return web.json_response({'offset': offset, 'end': end_offset})

    async def _read(self, request: web.Request) -> web.Response:
        fault_response = await self._apply_fault(request)
        if fault_response is not None:
            return fault_response
        topic = request.query['topic']
        start = int(request.query['from'])
        first = self.first.get(topic, 0)
        if start < first or start > len(self.records.get(topic, [])):
            return web.json_response({'first': first}, status=410)
        wait_s = int(request.query.get('wait_ms', '0')) / 1000
        try:
            async with asyncio.timeout(wait_s):
                while len(self.records.get(topic, [])) <= start:
                    await self._changed.wait()
        except TimeoutError:
            pass
        records = self.records.get(topic, [])
        body = struct.pack('>QQ', len(records), first)
        for key, value in records[start:]:
            payload = bytes([len(key)]) + key.encode() + value
            body += struct.pack('>I', len(payload)) + payload
        return web.Response(body=body)

    async def _newest(self, request: web.Request) -> web.Response:
        fault_response = await self._apply_fault(request)
        if fault_response is not None:
            return fault_response
        records = self.records.get(request.query['topic'], [])
        newest = {
            key: {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'offset': offset,
            }
            for offset, (key, value) in enumerate(records)
        }
        items = [item for item in newest.values() if item['value']]
        return web.json_response(
            {'items': items, 'more': False, 'end': len(records)}
        )
