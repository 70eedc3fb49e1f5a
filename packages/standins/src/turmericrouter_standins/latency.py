"""Measures the latency that two daemons add to a call.

Direct and routed calls alternate in one run, one at a time, so that the load
of the machine affects both alike.
"""

import asyncio
from collections.abc import Mapping
import dataclasses
import math
import random
import time
from typing import cast

from hdrh.histogram import HdrHistogram

from turmericrouter_standins.fleet import Fleet
from turmericrouter_standins.host import ENTRY_PORT
from turmericrouter_standins.host import Host
from turmericrouter_standins.host import TARGET_PORT

_MIN_LATENCY_US = 1
_MAX_LATENCY_US = 60_000_000
_SIGNIFICANT_DIGITS = 3
_BODY_BYTES = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class AddedLatency:
    """Latency of direct and of routed calls.

    Args:
        direct_ms: Milliseconds of direct calls by percentile.
        routed_ms: Milliseconds of calls through two daemons by
            percentile; the percentiles are the same.
    """

    direct_ms: Mapping[float, float]
    routed_ms: Mapping[float, float]

    @property
    def added_ms(self) -> dict[float, float]:
        """Return the difference by percentile, rounded to microseconds."""
        return {
            percent: round(routed - self.direct_ms[percent], 3)
            for percent, routed in self.routed_ms.items()
        }


def percentiles_ms(histogram: HdrHistogram) -> dict[float, float]:
    """Return milliseconds by percentile, with ten steps in each decade.

    The last percentile is the highest with at least one sample above it:
    0, 10 to 90, 91 to 99 and 99.1 to 99.9 for 1,000 samples.

    Args:
        histogram: At least 100 samples in microseconds.
    """
    decades = int(math.log10(histogram.get_total_count()))
    percents = [0.0]
    percents += [
        round(100 - remaining * 10.0**-decade, decade)
        for decade in range(-1, decades - 2 + 1)
        for remaining in range(9, 0, -1)
    ]
    return {
        percent: histogram.get_value_at_percentile(percent) / 1000
        for percent in percents
    }


class _HttpConnection(asyncio.Protocol):
    """Minimal HTTP/1.1 client; a full client would add noise."""

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
        entry: Host whose daemon accepts the routed calls.
        target: Host whose target serves all calls.
        path: Path of the calls.
        key: Caller's key.
        calls: Number of direct and of routed calls.
        rate_per_s: Direct and routed calls per second, evenly spaced with
            jitter; 0 for calls without a pause.
        seed: Seed of the jitter.
    """
    rng = random.Random(seed)
    data = _request(path, key, rng.randbytes(_BODY_BYTES))
    direct_connection = await _connect(target.ip, TARGET_PORT)
    routed_connection = await _connect(entry.ip, ENTRY_PORT)
    direct = HdrHistogram(
        _MIN_LATENCY_US, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS
    )
    routed = HdrHistogram(
        _MIN_LATENCY_US, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS
    )
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
    return AddedLatency(percentiles_ms(direct), percentiles_ms(routed))
