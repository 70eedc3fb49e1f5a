"""Measures the latency that two daemons add to a call.

Direct and routed calls alternate in one run, one at a time, so that both
meet the same conditions of the machine.
"""

import asyncio
import dataclasses
import random
import time
from typing import cast

from hdrh.histogram import HdrHistogram

from turmericrouter_standins.fleet import Fleet
from turmericrouter_standins.host import ENTRY_PORT
from turmericrouter_standins.host import Host
from turmericrouter_standins.host import TARGET_PORT

_LOWEST_US = 1
_HIGHEST_US = 60_000_000
_DIGITS = 3
_BODY_BYTES = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class AddedLatency:
    """Latency of routed calls over direct ones, in milliseconds."""

    direct_p50_ms: float
    direct_p99_ms: float
    routed_p50_ms: float
    routed_p99_ms: float
    calls: int

    @property
    def added_p50_ms(self) -> float:
        """Return the difference of the medians."""
        return self.routed_p50_ms - self.direct_p50_ms

    @property
    def added_p99_ms(self) -> float:
        """Return the difference of the 99th percentiles."""
        return self.routed_p99_ms - self.direct_p99_ms


class _HttpConnection(asyncio.Protocol):
    """Minimal HTTP/1.1 client; a full one adds noise of its own."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._waiter: asyncio.Future[int] | None = None
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        head, separator, body = self._buffer.partition(b'\r\n\r\n')
        if not separator or self._waiter is None:
            return
        length = next(
            int(line.partition(b':')[2])
            for line in head.split(b'\r\n')
            if line.lower().startswith(b'content-length:')
        )
        if len(body) >= length:
            self._buffer.clear()
            self._waiter.set_result(int(head.split(b' ', 2)[1]))

    def connection_lost(self, exc: Exception | None) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(ConnectionError('connection lost'))

    async def exchange(self, data: bytes) -> int:
        assert self._transport is not None
        self._waiter = asyncio.get_running_loop().create_future()
        self._transport.write(data)
        return await self._waiter

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()


async def _connect(ip: str, port: int) -> _HttpConnection:
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(_HttpConnection, ip, port)
    return connection


def _request(path: str, key: str, body: bytes) -> bytes:
    head = (
        f'POST {path} HTTP/1.1\r\nHost: bench\r\n'
        f'Authorization: Bearer {key}\r\n'
        f'Content-Type: application/octet-stream\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


async def measure_added_latency(
    fleet: Fleet,
    *,
    entry: Host,
    target: Host,
    path: str,
    key: str,
    calls: int,
    rate_per_s: float,
    seed: int,
) -> AddedLatency:
    """Compare calls to a target with calls through two daemons.

    Args:
        fleet: Running fleet in which only `target` serves the path.
        entry: Host whose daemon takes the calls.
        target: Host whose target serves them.
        path: Path of the calls.
        key: Caller's key.
        calls: Calls of each kind.
        rate_per_s: Calls a second of each kind, evenly spaced with jitter.
        seed: Seed of the jitter.
    """
    rng = random.Random(seed)
    data = _request(path, key, rng.randbytes(_BODY_BYTES))
    direct_connection = await _connect(target.ip, TARGET_PORT)
    routed_connection = await _connect(entry.ip, ENTRY_PORT)
    direct = HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)
    routed = HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)
    pairs = [(direct_connection, direct), (routed_connection, routed)]
    warm_up = max(50, calls // 10)
    for number in range(-warm_up, calls):
        for connection, histogram in pairs:
            started_at = time.perf_counter()
            status = await connection.exchange(data)
            if status != 200:
                raise RuntimeError(f'{path} answered {status}')
            if number >= 0:
                elapsed_s = time.perf_counter() - started_at
                histogram.record_value(max(1, int(elapsed_s * 1e6)))
        if rate_per_s:
            await asyncio.sleep(rng.uniform(0.5, 1.5) / rate_per_s)
    direct_connection.close()
    routed_connection.close()
    return AddedLatency(
        direct.get_value_at_percentile(50) / 1000,
        direct.get_value_at_percentile(99) / 1000,
        routed.get_value_at_percentile(50) / 1000,
        routed.get_value_at_percentile(99) / 1000,
        calls,
    )
