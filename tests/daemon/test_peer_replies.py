"""Replies that arrive late or out of order on a link between daemons."""

import asyncio
from typing import Any
from unittest import mock

import pytest

from turmericrouter_core.errors import LinkTimeoutError
from turmericrouter_core.messages import RequestTokens
from turmericrouter_core.messages import TokensGranted
from turmericrouter_daemon.peer import MessageRouter
from turmericrouter_daemon.peer import PeerPool
from turmericrouter_daemon.peer import PeerServer

CALLS = 4


class _Holder:
    """Replies with the requested count once the test releases the call."""

    def __init__(self) -> None:
        self.asked: asyncio.Queue[int] = asyncio.Queue()
        self.release = {n: asyncio.Event() for n in range(1, CALLS + 1)}

    async def handle(self, message: RequestTokens, _: object) -> TokensGranted:
        self.asked.put_nowait(message.count)
        await self.release[message.count].wait()
        return TokensGranted(message.count, 0)


async def _ask(pool: PeerPool, address: str, number: int, **options) -> int:
    options = {'timeout_s': 30.0, **options}
    message = RequestTokens('east', 0, number, 0)
    return (
        await pool.request(address, message, TokensGranted, **options)
    ).count


async def _check() -> None:
    runtime: Any = mock.Mock(address='127.0.0.1:1', incarnation=1)
    runtime.settings.host = mock.Mock(
        ip='127.0.0.1', domain='north', peer_port=0, peer_listen_port=0
    )
    tls: Any = mock.Mock(peer_server=None, peer_client=None)
    holder, router = _Holder(), MessageRouter()
    router.register(RequestTokens, holder.handle)
    server = PeerServer(runtime, router, tls)
    await server.start()
    assert server._server is not None
    port = server._server.sockets[0].getsockname()[1]
    address = f'127.0.0.1:{port}'
    pool = PeerPool(runtime, MessageRouter(), tls)
    try:
        with pytest.raises(LinkTimeoutError):
            await _ask(pool, address, 1, timeout_s=0.05)
        calls = []
        for number in range(2, CALLS + 1):
            calls.append(asyncio.create_task(_ask(pool, address, number)))
            # All have been sent before any reply comes.
            while await holder.asked.get() != number:
                pass
        # The late reply comes first, the others in reverse order.
        for number in (1, *range(CALLS, 1, -1)):
            holder.release[number].set()
            await asyncio.sleep(0.02)
        assert await asyncio.gather(*calls) == list(range(2, CALLS + 1))
        runtime.metrics.incr.assert_called_once_with('peer.late_replies')
    finally:
        await pool.stop()
        await server.stop()


def test_late_and_reordered_replies_reach_their_own_calls() -> None:
    """Guards against a reply that is matched to another call."""
    asyncio.run(_check())
