"""Compares the latency of a hop over the frame protocol with grpc.aio.

Both carry the same `Dispatch` and `Outcome`, encoded with msgspec. Run the
server with `python -m turmericrouter_standins.hop serve PORT`, or the
comparison with `python -m turmericrouter_standins.hop`.
"""

import argparse
import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import os
import pathlib
import tempfile
import time
from typing import Any
from typing import cast

import grpc
from hdrh.histogram import HdrHistogram
import uvloop

from turmericrouter_core.codec import decode_message
from turmericrouter_core.codec import encode_frame
from turmericrouter_core.codec import encode_message
from turmericrouter_core.codec import FrameDecoder
from turmericrouter_core.messages import AdmissionLevel
from turmericrouter_core.messages import CODE_OF_TYPE
from turmericrouter_core.messages import Dispatch
from turmericrouter_core.messages import GateLoad
from turmericrouter_core.messages import Message
from turmericrouter_core.messages import Outcome
from turmericrouter_core.verdict import Importance
from turmericrouter_core.verdict import Reason
from turmericrouter_core.verdict import Verdict
from turmericrouter_standins.process import Process

_SERVICE = 'turmericrouter.Hop'
_BODY = bytes(1000)
_CALL_COUNT = 5000
_SERVER_START_S = 2.0
_REQUEST = Dispatch(
    '0' * 32,
    'target',
    'workspace',
    'route',
    'POST',
    '/path',
    (('Content-Type', 'application/octet-stream'),),
    _BODY,
    Importance.NORMAL,
    0,
    1000,
    0,
    2,
)
_REPLY = Outcome(
    Verdict.RAN,
    Reason.SERVED,
    200,
    (),
    _BODY,
    GateLoad(AdmissionLevel(), 0, 0, 0),
)


class _FrameServer(asyncio.Protocol):
    def __init__(self) -> None:
        self._decoder = FrameDecoder()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        assert self._transport is not None
        for correlation, _ in self._decoder.feed(data):
            self._transport.write(encode_frame(correlation, _REPLY))


class _FrameClient(asyncio.Protocol):
    def __init__(self) -> None:
        self._decoder = FrameDecoder()
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[Message] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        for _, message in self._decoder.feed(data):
            assert self._waiter is not None
            self._waiter.set_result(message)

    async def call(self) -> None:
        assert self._transport is not None
        self._waiter = asyncio.get_running_loop().create_future()
        self._transport.write(encode_frame(1, _REQUEST))
        await self._waiter


def _decode(kind: type[Message]) -> Callable[[bytes], Message]:
    return lambda data: decode_message(CODE_OF_TYPE[kind], data)


async def _run_rpc(request: object, context: object) -> Message:
    return _REPLY


async def _serve(port: int) -> None:
    """Serve frames on a port and grpc on the next one."""
    loop = asyncio.get_running_loop()
    await loop.create_server(_FrameServer, '127.0.0.1', port)
    server = grpc.aio.server()
    method = grpc.unary_unary_rpc_method_handler(
        _run_rpc, _decode(Dispatch), encode_message
    )
    handlers = grpc.method_handlers_generic_handler(_SERVICE, {'Run': method})
    server.add_generic_rpc_handlers((handlers,))
    server.add_insecure_port(f'127.0.0.1:{port + 1}')
    await server.start()
    await server.wait_for_termination()


async def _measure(call: Callable[[], Awaitable[Any]]) -> HdrHistogram:
    histogram = HdrHistogram(1, 60_000_000, 3)
    for number in range(_CALL_COUNT + _CALL_COUNT // 10):
        started_at = time.perf_counter()
        await call()
        if number >= _CALL_COUNT // 10:
            elapsed_us = int((time.perf_counter() - started_at) * 1e6)
            histogram.record_value(max(1, elapsed_us))
    return histogram


async def _compare() -> None:
    port = 20_000 + os.getpid() % 10_000
    with tempfile.TemporaryDirectory() as directory:
        module = 'turmericrouter_standins.hop'
        server = Process(
            'hop', ['-m', module, 'serve', str(port)], pathlib.Path(directory)
        )
        server.start()
        try:
            await asyncio.sleep(_SERVER_START_S)
            loop = asyncio.get_running_loop()
            _, client = await loop.create_connection(
                _FrameClient, '127.0.0.1', port
            )
            _report('frames', await _measure(client.call))
            channel = grpc.aio.insecure_channel(f'127.0.0.1:{port + 1}')
            run = channel.unary_unary(
                f'/{_SERVICE}/Run', encode_message, _decode(Outcome)
            )
            _report('grpc.aio', await _measure(lambda: run(_REQUEST)))
            await channel.close()
        finally:
            server.kill()


def _report(name: str, histogram: HdrHistogram) -> None:
    p50, p99 = (
        histogram.get_value_at_percentile(percent) / 1000
        for percent in (50, 99)
    )
    print(f'{name}: p50 {p50:.3f} ms, p99 {p99:.3f} ms, {_CALL_COUNT} calls')


def main() -> None:
    """Serve, or measure both protocols."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('mode', nargs='?', choices=['serve'])
    parser.add_argument('port', nargs='?', type=int)
    options = parser.parse_args()
    if options.mode:
        uvloop.run(_serve(options.port))
    else:
        uvloop.run(_compare())


if __name__ == '__main__':
    main()
