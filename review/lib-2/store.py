"""Stand-in of the platform's store: one partition a topic, in memory."""

import asyncio
import base64
from collections.abc import Callable
import json
import struct
import time
from urllib.parse import parse_qs
from urllib.parse import urlsplit

from wire import encode_answer
from wire import MAX_BODY_BYTES
from wire import Message
from wire import read_message

# "4 ms an answer".
ANSWER_S = 0.004


class Store:
    """Serves log-append, log-read and log-newest.

    Args:
        note: Writes a line of the record.
    """

    def __init__(self, note: Callable[[str], None]) -> None:
        self._note = note
        self._topics: dict[str, list[tuple[str, bytes]]] = {}
        self._changed = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        # While set, each call is answered 503: nothing was done.
        self.is_busy = False
        # Machines that are turned away, and their connections: each machine
        # has a listener of its own, which leads to the same store.
        self._away: set[str] = set()
        self._servers: list[asyncio.Server] = []

    def stop(self) -> None:
        """Close the listener and all connections."""
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()

    async def listen_for(self, machine: str) -> int:
        """Open a listener for one machine, and return its port."""
        server = await asyncio.start_server(
            lambda reader, writer: self._serve(reader, writer, machine),
            '127.0.0.1',
            0,
            limit=MAX_BODY_BYTES,
        )
        self._servers.append(server)
        return server.sockets[0].getsockname()[1]

    def turn_away(self, machine: str, *, is_away: bool) -> None:
        """Begin or end to answer the calls of one machine with 503."""
        (self._away.add if is_away else self._away.discard)(machine)
        self._note(
            f'store: {"turns away" if is_away else "serves again"} {machine}'
        )

    def put(self, topic: str, key: str, value: bytes) -> float:
        """Append a record as the operator; return when it was confirmed."""
        self._append(topic, key, value)
        return time.monotonic()

    def set_busy(self, is_busy: bool) -> None:
        """Begin or end an outage in which calls are answered 503."""
        self.is_busy = is_busy
        self._note(f'store: {"down, answers 503" if is_busy else "back"}')

    def _is_refused(self, machine: str) -> bool:
        return self.is_busy or machine in self._away

    def _append(self, topic: str, key: str, value: bytes) -> None:
        self._topics.setdefault(topic, []).append((key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        machine: str,
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while (request := await read_message(reader)) is not None:
                await asyncio.sleep(ANSWER_S)
                writer.write(await self._answer(request, machine))
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            # The peer is gone, or the case ends.
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _answer(self, request: Message, machine: str) -> bytes:
        if self._is_refused(machine):
            return encode_answer(503)
        method, target, _ = request.first.split(' ')
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        topic = query.get('topic', '')
        if (method, url.path) == ('POST', '/-/log-append'):
            return self._handle_append(topic, request.body)
        if (method, url.path) == ('GET', '/-/log-newest'):
            return self._handle_newest(topic)
        if (method, url.path) == ('GET', '/-/log-read'):
            return await self._handle_read(topic, query, machine)
        return encode_answer(404)

    def _handle_append(self, topic: str, data: bytes) -> bytes:
        if topic in ('keyed.op', 'keyed.servers'):
            return encode_answer(403)
        offset = len(self._topics.get(topic, []))
        while data:
            (length,) = struct.unpack_from('>I', data)
            content, data = data[4 : 4 + length], data[4 + length :]
            end = 1 + content[0]
            self._append(topic, content[1:end].decode(), content[end:])
        answer = {'offset': offset, 'end': len(self._topics.get(topic, []))}
        return encode_answer(200, body=json.dumps(answer).encode())

    def _handle_newest(self, topic: str) -> bytes:
        records = self._topics.get(topic, [])
        newest = {
            key: {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'offset': offset,
            }
            for offset, (key, value) in enumerate(records)
        }
        answer = {
            'items': [item for item in newest.values() if item['value']],
            'more': False,
            'end': len(records),
        }
        return encode_answer(200, body=json.dumps(answer).encode())

    async def _handle_read(
        self, topic: str, query: dict[str, str], machine: str
    ) -> bytes:
        start = int(query['from'])
        wait_s = int(query.get('wait_ms', '0')) / 1000
        try:
            async with asyncio.timeout(wait_s):
                while len(self._topics.get(topic, [])) <= start:
                    await self._changed.wait()
        except TimeoutError:
            pass
        if self._is_refused(machine):
            return encode_answer(503)
        records = self._topics.get(topic, [])
        body = struct.pack('>QQ', len(records), 0)
        for key, value in records[start:]:
            content = bytes([len(key)]) + key.encode() + value
            body += struct.pack('>I', len(content)) + content
        return encode_answer(200, body=body)
