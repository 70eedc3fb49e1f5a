"""Guards against calls that hang on a silent link, and lost verdicts."""

import asyncio
import time

import msgspec

from scripted_target import start_server
from turmericrouter_core.verdict import Reason
from turmericrouter_core.verdict import Verdict
from turmericrouter_dataplane.frames import Cancel
from turmericrouter_dataplane.frames import Dispatch
from turmericrouter_dataplane.frames import encode_frame
from turmericrouter_dataplane.frames import Frame
from turmericrouter_dataplane.frames import FrameReader
from turmericrouter_dataplane.frames import Outcome
from turmericrouter_dataplane.frames import Probe
from turmericrouter_dataplane.links import Link
from turmericrouter_dataplane.links import LinkPool
from turmericrouter_dataplane.links import LinkServer


def make_dispatch(correlation: int) -> Dispatch:
    return Dispatch(
        correlation,
        't',
        1,
        True,
        1000,
        100,
        b'GET / HTTP/1.1\r\n',
        b'',
        b'i',
        0,
    )


class Recorder:
    """Records frames, and answers calls if configured to."""

    def __init__(self, answers: bool = True) -> None:
        self.frames: list[Frame] = []
        self.opened = asyncio.Event()
        self._answers = answers

    def handle(self, link: Link, frame: Frame) -> None:
        self.frames.append(frame)
        if self._answers and isinstance(frame, Dispatch):
            link.send(
                Outcome(frame.correlation, Verdict.RAN, Reason.SERVED, 200)
            )

    def link_opened(self, link: Link) -> None:
        self.opened.set()

    def link_closed(self, link: Link) -> None:
        """Do nothing."""


async def open_link(port: int, recorder: Recorder) -> tuple[LinkPool, Link]:
    pool = LinkPool(recorder)
    pool.connect('peer', f'127.0.0.1:{port}')
    async with asyncio.timeout(5.0):
        while (link := pool.get('peer')) is None:
            await asyncio.sleep(0.01)
    return pool, link


async def call(link: Link) -> asyncio.Future[Outcome]:
    future: asyncio.Future[Outcome] = (
        asyncio.get_running_loop().create_future()
    )
    link.dispatch(make_dispatch(link.next_correlation()), future.set_result)
    return future


def test_outcome_reaches_its_call() -> None:
    async def work() -> None:
        server_side = Recorder()
        server = LinkServer(server_side)
        await server.start('127.0.0.1', 0)
        assert server._server is not None
        port = server._server.sockets[0].getsockname()[1]
        pool, link = await open_link(port, Recorder())
        first, second = await call(link), await call(link)
        outcomes = await asyncio.gather(first, second)
        assert [o.correlation for o in outcomes] == [1, 2]
        assert all(o.verdict is Verdict.RAN for o in outcomes)
        pool.stop()
        server.finish()

    asyncio.run(work())


def test_silent_link_ends_and_its_calls_may_have_run() -> None:
    async def work() -> None:
        silent = asyncio.Event()

        async def swallow(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await silent.wait()

        server = await start_server(swallow)
        port = server.sockets[0].getsockname()[1]
        pool, link = await open_link(port, Recorder())
        future = await call(link)
        begin = time.monotonic()
        while not future.done():
            pool.check(time.monotonic())
            if link.is_suspect(time.monotonic()):
                assert pool.suspects(time.monotonic()) == ['peer']
            assert time.monotonic() - begin < 10.0
            await asyncio.sleep(0.02)
        assert future.result().verdict is Verdict.MAY_HAVE_RUN
        assert future.result().reason is Reason.LINK_LOST
        silent.set()
        pool.stop()
        server.close()

    asyncio.run(work())


def test_call_on_a_closed_link_has_not_run() -> None:
    async def work() -> None:
        server = LinkServer(Recorder())
        await server.start('127.0.0.1', 0)
        assert server._server is not None
        port = server._server.sockets[0].getsockname()[1]
        pool, link = await open_link(port, Recorder())
        pool.stop()
        link.abort()
        await link.closed
        outcome = await (await call(link))
        assert outcome.verdict is Verdict.NOT_RUN
        server.finish()

    asyncio.run(work())


def test_call_on_a_closing_link_has_not_run() -> None:
    """Guards against a 502 for a request that was never sent.

    The peer has ended its stream and has not read all, so that the link
    closes for a while. Nothing could answer a call that is sent meanwhile.
    """

    async def work() -> None:
        is_over = asyncio.Event()

        async def finish(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            # The reader stops at its limit and leaves the rest unread.
            await reader.read(1)
            writer.write_eof()
            await is_over.wait()
            writer.transport.abort()

        server = await asyncio.start_server(finish, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        pool, link = await open_link(port, Recorder())
        sent: asyncio.Future[Outcome] = (
            asyncio.get_running_loop().create_future()
        )
        large = msgspec.structs.replace(
            make_dispatch(link.next_correlation()), body=bytes(16_000_000)
        )
        async with asyncio.timeout(5.0):
            link.dispatch(large, sent.set_result)
            transport = link._transport
            assert transport is not None
            while not transport.is_closing():
                await asyncio.sleep(0.01)
            assert link.has_unsent_data
            is_offered = pool.get('peer') is not None
            late = await call(link)
            is_over.set()
            assert (await sent).verdict is Verdict.MAY_HAVE_RUN
            assert (await late).verdict is Verdict.NOT_RUN
            assert not is_offered
        pool.stop()
        server.close()

    asyncio.run(work())


def test_cancelled_call_notifies_the_peer_and_gets_no_outcome() -> None:
    async def work() -> None:
        server_side = Recorder(answers=False)
        server = LinkServer(server_side)
        await server.start('127.0.0.1', 0)
        assert server._server is not None
        port = server._server.sockets[0].getsockname()[1]
        pool, link = await open_link(port, Recorder())
        future = await call(link)
        link.cancel(1)
        async with asyncio.timeout(5.0):
            while Cancel(1) not in server_side.frames:
                await asyncio.sleep(0.01)
        assert not future.done()
        pool.stop()
        server.finish()

    asyncio.run(work())


def test_frames_survive_any_split_of_the_stream() -> None:
    frames: list[Frame] = [make_dispatch(1), Probe(True), Cancel(7)]
    data = b''.join(encode_frame(frame) for frame in frames)
    for size in range(1, len(data)):
        reader = FrameReader()
        read: list[Frame] = []
        for start in range(0, len(data), size):
            read += reader.feed(data[start : start + size])
        assert read == frames


def test_malformed_address_is_tried_again_later() -> None:
    """Guards against a host record that ends the task of its link."""

    async def work() -> None:
        pool = LinkPool(Recorder())
        for peer, address in (('a', '127.0.0.1:x'), ('b', '127.0.0.1:99999')):
            pool.connect(peer, address)
        await asyncio.sleep(0.1)
        assert not any(task.done() for task in pool._tasks.values())
        pool.stop()

    asyncio.run(work())


def test_outcomes_that_a_peer_has_not_read_are_known() -> None:
    """Guards against a stop that ends with outcomes in its buffers."""

    async def work() -> None:
        server_side = Recorder(answers=False)
        server = LinkServer(server_side)
        await server.start('127.0.0.1', 0)
        assert server._server is not None
        port = server._server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', port, limit=1000
        )
        async with asyncio.timeout(5.0):
            await server_side.opened.wait()
            assert not server.has_unsent_data
            (link,) = server._links
            answer = bytes(16_000_000)
            link.send(Outcome(1, Verdict.RAN, Reason.SERVED, 200, b'', answer))
            await asyncio.sleep(0.1)
            assert server.has_unsent_data
            received = 0
            while received < len(answer):
                received += len(await reader.read(1_000_000))
            while server.has_unsent_data:
                await asyncio.sleep(0.01)
            writer.close()
            while server._links:
                await asyncio.sleep(0.01)
        server.finish()

    asyncio.run(work())


def test_finished_link_is_closed_by_its_peer_after_the_outcome() -> None:
    """Guards against a frame of the peer that resets a closed link."""

    async def work() -> None:
        server_side, peer_side = Recorder(), Recorder()
        server = LinkServer(server_side)
        await server.start('127.0.0.1', 0)
        assert server._server is not None
        port = server._server.sockets[0].getsockname()[1]
        pool, link = await open_link(port, peer_side)
        async with asyncio.timeout(5.0):
            await server_side.opened.wait()
            (far,) = server._links
            future = await call(link)
            while not server_side.frames:
                await asyncio.sleep(0.01)
            server.finish()
            # It is dropped, since the stream has ended.
            far.send(Probe(True))
            link.send(Probe(False))
            assert (await future).verdict is Verdict.RAN
            await link.closed
            while server.has_open_links:
                await asyncio.sleep(0.01)
            assert pool.get('peer') is None
        pool.stop()

    asyncio.run(work())


def test_outcome_of_a_lost_link_reaches_no_call_of_the_next_one() -> None:
    """Guards against numbers of calls that begin anew with each link.

    The peer answers the call of a lost link after the link was opened again.
    """

    async def work() -> None:
        server_links: list[Link] = []

        class Peer(Recorder):
            def handle(self, link: Link, frame: Frame) -> None:
                server_links.append(link)

        server = LinkServer(Peer())
        await server.start('127.0.0.1', 0)
        assert server._server is not None
        port = server._server.sockets[0].getsockname()[1]
        pool, link = await open_link(port, Recorder())
        first = await call(link)
        async with asyncio.timeout(5.0):
            while len(server_links) < 1:
                await asyncio.sleep(0.01)
            link.abort()
            assert (await first).verdict is Verdict.MAY_HAVE_RUN
            pool.reconnect('peer')
            while (next_link := pool.get('peer')) is None:
                await asyncio.sleep(0.01)
            second = await call(next_link)
            while len(server_links) < 2:
                await asyncio.sleep(0.01)
            assert next_link._last_correlation == link._last_correlation
            server_links[0].send(
                Outcome(1, Verdict.NOT_RUN, Reason.TARGET_SHED)
            )
            server_links[1].send(Outcome(1, Verdict.RAN, Reason.SERVED, 200))
            assert (await second).verdict is Verdict.RAN
        pool.stop()
        server.finish()

    asyncio.run(work())
