"""Stand-in of an upstream: serves requests and sends check-ins."""

import asyncio
from collections.abc import Callable
import json
import re
import time

from wire import call
from wire import encode_answer
from wire import MAX_BODY_BYTES
from wire import Message
from wire import read_message

HEARTBEAT_S = 1.5
SLOTS = 100


class Upstream:
    """One application upstream beside a daemon.

    A path that contains `work-N` works for N milliseconds.

    Args:
        instance: Its id.
        service: Its service.
        port: Port that it listens on.
        control_port: Port for check-ins at its daemon.
        note: Writes a line of the record.
    """

    def __init__(
        self,
        instance: str,
        service: str,
        port: int,
        control_port: int,
        note: Callable[[str], None],
    ) -> None:
        self.instance = instance
        self.service = service
        self._port = port
        self._control_port = control_port
        self._note = note
        self._born = 0
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._heartbeat: asyncio.Task[None] | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        # Each request that it began to run: time, id of the request, path.
        self.runs: list[tuple[float, str, str]] = []
        # Called with path and id of a request before it runs; returns whether
        # the upstream has crashed.
        self.on_run: Callable[[str, str], bool] = lambda path, id_: False
        self.is_up = False

    async def start(self) -> None:
        """Begin a new incarnation: listen and check in."""
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._server = await asyncio.start_server(
            self._serve,
            '127.0.0.1',
            self._port,
            limit=MAX_BODY_BYTES,
            reuse_address=True,
        )
        self.is_up = True
        self.restart_beats()

    def restart_beats(self, first_after_s: float = 0.0) -> None:
        """Send check-ins from now on, the first one after a time."""
        self.stop_check_ins()
        self._heartbeat = asyncio.create_task(self._check_in(first_after_s))

    def stop(self) -> None:
        """End at once, as after a crash: connections are reset."""
        self.is_up = False
        self.stop_check_ins()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._writers.clear()

    def stop_check_ins(self) -> None:
        """Send no further check-in."""
        if self._heartbeat is not None:
            self._heartbeat.cancel()

    async def leave(self) -> int:
        """Send DELETE; return the status of the answer, 0 for none.

        The upstream serves on, as the page says.
        """
        self.stop_check_ins()
        reply = await call(
            self._control_port,
            'DELETE',
            f'/-/instances/{self.instance}',
            {'Host': 'control'},
            timeout_s=1.0,
        )
        return reply.status

    async def _check_in(self, first_after_s: float) -> None:
        await asyncio.sleep(first_after_s)
        while True:
            self._sequence += 1
            body = {
                'service': self.service,
                'address': f'127.0.0.1:{self._port}',
                'zone': 'north',
                'version': 'v1',
                'slots': SLOTS,
                'state': 'ready',
                'cold_remaining_s': 0,
                'sequence': self._sequence,
                'born': self._born,
            }
            await call(
                self._control_port,
                'PUT',
                f'/-/instances/{self.instance}',
                {'Host': 'control', 'Content-Type': 'application/json'},
                json.dumps(body).encode(),
                timeout_s=1.0,
            )
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                if not self.is_up:
                    break
                answer = await self._run(request)
                if not answer:
                    break
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            # The peer is gone, or the case ends.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _run(self, request: Message) -> bytes:
        """Run a request; return its answer, empty if the upstream ended."""
        path = request.first.split(' ')[1]
        headers = request.headers
        if headers.get('x-target-instance', self.instance) != self.instance:
            return encode_answer(421, {'X-Instance-Id': self.instance})
        request_id = headers.get('x-request-id', '')
        self.runs.append((time.monotonic(), request_id, path))
        if self.on_run(path, request_id):
            return b''
        work = re.search(r'work-(\d+)', path)
        work_s = int(work[1]) / 1000 if work else 0.0
        limit_s = int(headers.get('x-request-deadline', '60000')) / 1000
        await asyncio.sleep(min(work_s, limit_s))
        answer_headers = {
            'X-Request-Id': request_id,
            'X-Server-Signature': f'{self.instance}.{request_id}',
            'X-Server-Load': f'1,0,{SLOTS}',
        }
        status = 200 if work_s <= limit_s else 504
        return encode_answer(status, answer_headers, b'of ' + path.encode())
