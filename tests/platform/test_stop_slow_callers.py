"""A planned stop sends complete answers to callers that read slowly.

So it does for peers. Callers that send slowly are refused at its end.
"""

import asyncio
import contextlib
import pathlib
import signal
import socket

import aiohttp

from platform_fleet import Fleet
from platform_fleet import Host
from platform_fleet import KEY
from platform_fleet import run_fleet
from turmericrouter_core.errors import ProtocolError
from turmericrouter_dataplane.frames import Dispatch
from turmericrouter_dataplane.frames import encode_frame
from turmericrouter_dataplane.frames import FrameReader
from turmericrouter_dataplane.frames import HostRecord
from turmericrouter_dataplane.frames import Outcome
from turmericrouter_dataplane.frames import Probe
from turmericrouter_dataplane.frames import Status

# More than the buffers of the system take from a process.
_BODY_BYTES = 8_000_000
_RECEIVE_BUFFER_BYTES = 32_768
# Settings of the fleet: the process is killed this long after SIGTERM.
_GRACE_S = 6.0
# Without work a daemon ends its stop about this long after SIGTERM.
_END_OF_NOTICE_S = 2.6
# Time from the last request that a daemon may not read to its exit.
_END_S = 0.5
# Less than the buffers of the system take from a process.
_SMALL_BODY_BYTES = 400_000


def _make_request(request_id: str) -> bytes:
    return (
        f'GET /open/{request_id} HTTP/1.1\r\nHost: api.example\r\n'
        f'X-Request-Id: {request_id}\r\nAuthorization: Bearer {KEY}\r\n'
        'X-Request-Deadline: 2000\r\n\r\n'
    ).encode()


async def _connect(host: Host, port: int = 0) -> socket.socket:
    """Connect with a small buffer, so that answers stay in the daemon.

    Args:
        host: Host of the daemon.
        port: Port of the daemon, 0 for that of the callers.
    """
    caller = socket.socket()
    caller.setblocking(False)
    caller.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
    )
    address = ('127.0.0.1', port or host.port)
    await asyncio.get_running_loop().sock_connect(caller, address)
    return caller


async def _read_to_end(caller: socket.socket) -> bytes:
    loop = asyncio.get_running_loop()
    received = bytearray()
    while data := await loop.sock_recv(caller, 1_000_000):
        received += data
    return bytes(received)


def _play(folder: pathlib.Path, *, sends_more: bool) -> None:
    async def scenario(fleet: Fleet) -> None:
        loop = asyncio.get_running_loop()
        entry, other = fleet.hosts
        other.upstream.padding_bytes = _BODY_BYTES
        other.upstream.work_s = 0.5
        callers = [await _connect(entry) for _ in range(3)]
        for number, caller in enumerate(callers):
            await loop.sock_sendall(caller, _make_request(f'r{number}'))
        await asyncio.sleep(0.2)
        entry.send_signal(signal.SIGTERM)
        await asyncio.sleep(_END_OF_NOTICE_S + 0.7)
        if sends_more:
            for caller in callers:
                with contextlib.suppress(OSError):
                    await loop.sock_sendall(caller, _make_request('late'))
        for number, caller in enumerate(callers):
            received = await _read_to_end(caller)
            head, _, body = received.partition(b'\r\n\r\n')
            assert head.startswith(b'HTTP/1.1 200 ')
            assert body.startswith(b'answer to r%d' % number)
            assert f'Content-Length: {len(body)}\r\n'.encode() in head
            assert len(body) > _BODY_BYTES
            caller.close()
        async with asyncio.timeout(1.0):
            assert await entry.wait_for_exit() == 0
        assert not [
            run for run in other.upstream.runs if run.request_id == 'late'
        ]

    async def work() -> None:
        async with run_fleet(folder) as fleet:
            await scenario(fleet)

    asyncio.run(work())


def test_stop_sends_the_whole_answer_to_a_slow_caller(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a process that ends with answers in its buffers."""
    _play(tmp_path, sends_more=False)


def test_late_request_leaves_the_answer_to_a_slow_caller(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a reset that cuts an answer as the process ends."""
    _play(tmp_path, sends_more=True)


async def _read_slowly(peer: socket.socket) -> Outcome | None:
    """Read a first outcome in small parts, and send probes meanwhile.

    Returns:
        None if the link ends before.
    """
    loop = asyncio.get_running_loop()
    frames = FrameReader()
    with contextlib.suppress(ConnectionError, ProtocolError):
        while data := await loop.sock_recv(peer, 20_000):
            for frame in frames.feed(data):
                if isinstance(frame, Outcome):
                    return frame
            await loop.sock_sendall(peer, encode_frame(Probe(False)))
            await asyncio.sleep(0.02)
    return None


def test_stop_sends_the_whole_outcome_to_a_slow_peer(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a reset that cuts an outcome as the process ends.

    It has left the daemon for the buffer of the system, and the peer sends
    frames of its own.
    """

    async def scenario(fleet: Fleet) -> None:
        entry = fleet.hosts[0]
        entry.upstream.padding_bytes = _SMALL_BODY_BYTES
        peer = await _connect(entry, entry.peers_port)
        dispatch = Dispatch(
            1, '', 1, False, 5000, 100,
            b'GET /near/work-2800 HTTP/1.1\r\nHost: api.example\r\n'
            b'X-Request-Id: far\r\n', b'', b'far', 0,
        )  # fmt: skip
        await asyncio.get_running_loop().sock_sendall(
            peer, encode_frame(dispatch)
        )
        await asyncio.sleep(0.1)
        entry.send_signal(signal.SIGTERM)
        async with asyncio.timeout(_GRACE_S):
            outcome = await _read_slowly(peer)
            peer.close()
            assert await entry.wait_for_exit() == 0
        assert outcome is not None, 'the link ended within the outcome'
        assert outcome.body == b'answer to far' + bytes(_SMALL_BODY_BYTES)

    async def work() -> None:
        async with run_fleet(tmp_path) as fleet:
            await scenario(fleet)

    asyncio.run(work())


def test_stop_ends_in_time_beside_a_caller_that_reads_nothing(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a caller that makes the platform kill the process."""

    async def scenario(fleet: Fleet) -> None:
        entry, other = fleet.hosts
        other.upstream.padding_bytes = _BODY_BYTES
        caller = await _connect(entry)
        await asyncio.get_running_loop().sock_sendall(
            caller, _make_request('r')
        )
        await asyncio.sleep(0.2)
        entry.send_signal(signal.SIGTERM)
        async with asyncio.timeout(_GRACE_S):
            assert await entry.wait_for_exit() == 0
        assert entry.log_lines('stopped')
        caller.close()

    async def work() -> None:
        async with run_fleet(tmp_path) as fleet:
            await scenario(fleet)

    asyncio.run(work())


def test_stop_refuses_a_request_that_has_come_in_part(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a closed connection that leaves its caller in doubt."""

    async def scenario(fleet: Fleet) -> None:
        entry, other = fleet.hosts
        caller = await _connect(entry)
        await asyncio.get_running_loop().sock_sendall(
            caller,
            b'POST /open/half HTTP/1.1\r\nHost: api.example\r\n'
            b'X-Request-Id: half\r\nContent-Length: 100\r\n\r\nbegin',
        )
        await asyncio.sleep(0.2)
        entry.send_signal(signal.SIGTERM)
        async with asyncio.timeout(_GRACE_S):
            received = await _read_to_end(caller)
            caller.close()
            assert await entry.wait_for_exit() == 0
        assert received.startswith(b'HTTP/1.1 503 ')
        assert not [
            run for run in other.upstream.runs if run.request_id == 'half'
        ]

    async def work() -> None:
        async with run_fleet(tmp_path) as fleet:
            await scenario(fleet)

    asyncio.run(work())


def test_announcements_until_the_end_of_a_stop_are_answered(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against an announcement that was read and has no answer."""

    async def announce(host: Host, ends: asyncio.Event) -> None:
        while not ends.is_set():
            try:
                status = await host.upstream.drain()
            except aiohttp.ClientError:
                # It crossed the end of the process and was not read.
                status = 503
            if status != 200:
                assert status == 503
                async with asyncio.timeout(_END_S):
                    await ends.wait()
                return
            await asyncio.sleep(0.005)

    async def scenario(fleet: Fleet) -> None:
        entry = fleet.hosts[0]
        entry.upstream.stop_announcing()
        ends = asyncio.Event()
        announcing = asyncio.create_task(announce(entry, ends))
        await asyncio.sleep(0.2)
        entry.send_signal(signal.SIGTERM)
        assert await entry.wait_for_exit() == 0
        ends.set()
        await announcing

    async def work() -> None:
        async with run_fleet(tmp_path) as fleet:
            await scenario(fleet)

    asyncio.run(work())


class _Peer:
    """A peer that records how many slots a host has told."""

    def __init__(self) -> None:
        self.slots = 0
        self.has_link = asyncio.Event()
        self.link_has_ended = asyncio.Event()

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Read the frames of a link until it ends."""
        frames = FrameReader()
        while data := await reader.read(100_000):
            for frame in frames.feed(data):
                if isinstance(frame, Status):
                    self.slots = frame.host.slots
                    self.has_link.set()
        self.link_has_ended.set()
        writer.close()


def test_announcements_that_a_stop_confirms_reach_the_peers(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a target that is told that all know of its leaving."""

    async def announce(host: Host) -> int:
        """Announce changes until none is confirmed; return the last one."""
        confirmed = host.upstream.slots
        while True:
            host.upstream.slots += 1
            try:
                if await host.upstream.drain() != 200:
                    return confirmed
            except aiohttp.ClientError:
                return confirmed
            confirmed = host.upstream.slots

    async def scenario(fleet: Fleet) -> None:
        entry = fleet.hosts[0]
        entry.upstream.stop_announcing()
        peer = _Peer()
        server = await asyncio.start_server(peer.accept, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        link = await _connect(entry, entry.peers_port)
        record = HostRecord('peer', f'127.0.0.1:{port}', 'north', 'works')
        await asyncio.get_running_loop().sock_sendall(
            link, encode_frame(Status(record, 1))
        )
        async with asyncio.timeout(_GRACE_S):
            await peer.has_link.wait()
        entry.send_signal(signal.SIGTERM)
        async with asyncio.timeout(_GRACE_S):
            confirmed = await announce(entry)
            await peer.link_has_ended.wait()
            assert await entry.wait_for_exit() == 0
        link.close()
        server.close()
        assert peer.slots >= confirmed

    async def work() -> None:
        async with run_fleet(tmp_path) as fleet:
            await scenario(fleet)

    asyncio.run(work())
