"""Links between daemons: typed messages, multiplexed by correlation id."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import math
from typing import Any
from typing import cast
from typing import TypeVar

from turmericrouter_core.codec import encode_frame
from turmericrouter_core.codec import FrameDecoder
from turmericrouter_core.errors import LinkLostError
from turmericrouter_core.errors import LinkTimeoutError
from turmericrouter_core.errors import NotSentError
from turmericrouter_core.errors import ProtocolError
from turmericrouter_core.messages import Cancel
from turmericrouter_core.messages import Dispatch
from turmericrouter_core.messages import FailureReply
from turmericrouter_core.messages import Hello
from turmericrouter_core.messages import Message
from turmericrouter_core.messages import PROTOCOL_VERSION
from turmericrouter_daemon.runtime import Runtime
from turmericrouter_daemon.tls import TlsContexts

NOTIFICATION = 0
CONNECT_TIMEOUT_S = 1.0
_CLOSE_POLL_S = 0.01

_Reply = Message | None
Handler = Callable[[Any, Hello], _Reply | Awaitable[_Reply]]
_ReplyT = TypeVar('_ReplyT', bound=Message)


class MessageRouter:
    """Maps message types to their handlers.

    A handler is a function, or a coroutine function if it has to wait. It
    takes the message and the sender's `Hello` and returns the reply, or
    `None` if the message needs no reply.
    """

    def __init__(self) -> None:
        self._handlers: dict[type[Message], Handler] = {}

    def register(self, kind: type[Message], handler: Handler) -> None:
        """Set the handler of a message type.

        Raises:
            ValueError: The message type already has a handler.
        """
        if kind in self._handlers:
            raise ValueError(
                f'message type {kind.__name__} already has a handler'
            )
        self._handlers[kind] = handler

    def find(self, kind: type[Message]) -> Handler | None:
        """Return the handler of a message type."""
        return self._handlers.get(kind)


class _Link(asyncio.Protocol):
    """One end of a TCP connection between two daemons.

    The protocol owns the socket, the calls that wait for a reply and the
    tasks that handle the peer's calls.
    """

    def __init__(
        self,
        runtime: Runtime,
        router: MessageRouter,
        on_closed: Callable[['_Link'], None],
    ) -> None:
        self._runtime = runtime
        self._router = router
        self._on_closed = on_closed
        self._loop = asyncio.get_running_loop()
        self._decoder = FrameDecoder()
        self._transport: asyncio.Transport | None = None
        self._pending: dict[int, asyncio.Future[Message]] = {}
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._last_correlation = 0
        self._peer: Hello | None = None
        self.ready: asyncio.Future[Hello] = self._loop.create_future()

    @property
    def is_open(self) -> bool:
        """Return whether the link is connected and the peer sent `Hello`."""
        return self._transport is not None and self._peer is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the `Hello` of this daemon as the first message."""
        self._transport = cast(asyncio.Transport, transport)
        runtime = self._runtime
        hello = Hello(
            PROTOCOL_VERSION,
            runtime.address,
            runtime.settings.host.domain,
            runtime.incarnation,
        )
        self._transport.write(encode_frame(NOTIFICATION, hello))

    def data_received(self, data: bytes) -> None:
        """Handle every complete frame."""
        try:
            for correlation, message in self._decoder.feed(data):
                self._receive(correlation, message)
        except ProtocolError as error:
            self._runtime.metrics.incr('peer.protocol_errors')
            self._runtime.log.warning('peer_protocol_error', error=str(error))
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the pending calls and cancel the tasks of the peer's calls."""
        self._transport = None
        for future in self._pending.values():
            if not future.done():
                future.set_exception(LinkLostError('the link was lost'))
        for task in self._tasks.values():
            task.cancel()
        if not self.ready.done():
            self.ready.set_exception(NotSentError('the peer closed the link'))
            # Marks the exception as retrieved: nothing awaits `ready` on an
            # accepted link, and asyncio would log it.
            self.ready.exception()
        self._on_closed(self)

    def close(self) -> None:
        """Close the connection after the written data is sent."""
        if self._transport is not None:
            self._transport.close()

    async def request(self, message: Message, timeout_s: float) -> Message:
        """Send a message and return its reply.

        Raises:
            NotSentError: Nothing was sent.
            LinkTimeoutError: No reply in time.
            LinkLostError: The link was lost after the frame was written.
        """
        if self._transport is None:
            raise NotSentError('the link is closed')
        self._last_correlation += 1
        correlation = self._last_correlation
        future: asyncio.Future[Message] = self._loop.create_future()
        self._pending[correlation] = future
        self._transport.write(encode_frame(correlation, message))
        timer = self._loop.call_later(timeout_s, self._expire, correlation)
        try:
            return await future
        except (asyncio.CancelledError, LinkTimeoutError):
            if isinstance(message, Dispatch):
                self.send(Cancel(), correlation)
            raise
        finally:
            timer.cancel()
            del self._pending[correlation]

    def send(self, message: Message, correlation: int = NOTIFICATION) -> None:
        """Send a message without waiting; dropped if the link is closed."""
        if self._transport is not None:
            self._transport.write(encode_frame(correlation, message))

    def _expire(self, correlation: int) -> None:
        future = self._pending.get(correlation)
        if future is not None and not future.done():
            future.set_exception(LinkTimeoutError('the peer did not answer'))

    def _receive(self, correlation: int, message: Message) -> None:
        if isinstance(message, Hello):
            self._handle_hello(message)
            return
        if self._peer is None:
            raise ProtocolError(
                f'first message is {type(message).__name__}, expected Hello'
            )
        if isinstance(message, Cancel):
            # A task cancelled before it starts never runs the `finally` of
            # `_run`, so it is removed here.
            task = self._tasks.pop(correlation, None)
            if task is not None:
                task.cancel()
            return
        handler = self._router.find(type(message))
        if handler is None:
            self._complete(correlation, message)
        else:
            self._handle(handler, correlation, message)

    def _handle_hello(self, hello: Hello) -> None:
        if hello.version != PROTOCOL_VERSION:
            raise ProtocolError(
                f'protocol version is {hello.version}, '
                f'expected {PROTOCOL_VERSION}'
            )
        self._peer = hello
        if not self.ready.done():
            self.ready.set_result(hello)

    def _complete(self, correlation: int, message: Message) -> None:
        future = self._pending.get(correlation)
        if future is None or future.done():
            # The call has already ended, or the correlation id is unknown.
            self._runtime.metrics.incr('peer.late_replies')
            return
        future.set_result(message)

    def _handle(
        self, handler: Handler, correlation: int, message: Message
    ) -> None:
        assert self._peer is not None
        try:
            result = handler(message, self._peer)
        except Exception as error:
            self._handle_failure(correlation, message, error)
            return
        if result is None:
            return
        if isinstance(result, Message):
            self.send(result, correlation)
        else:
            self._start_task(result, correlation, message)

    def _start_task(
        self, work: Awaitable[_Reply], correlation: int, message: Message
    ) -> None:
        task = self._loop.create_task(self._run(work, correlation, message))
        if correlation != NOTIFICATION:
            self._tasks[correlation] = task

    async def _run(
        self, work: Awaitable[_Reply], correlation: int, message: Message
    ) -> None:
        try:
            reply = await work
        except Exception as error:
            self._handle_failure(correlation, message, error)
            return
        finally:
            self._tasks.pop(correlation, None)
        if reply is not None:
            self.send(reply, correlation)

    def _handle_failure(
        self, correlation: int, message: Message, error: Exception
    ) -> None:
        self._runtime.log.error(
            'message_handler_failed',
            message=type(message).__name__,
            error=repr(error),
        )
        if correlation != NOTIFICATION:
            self.send(FailureReply(type(error).__name__), correlation)


class PeerServer:
    """Accepts links from other daemons.

    Args:
        runtime: Services of the process.
        router: Handlers of messages that peers send.
        tls: TLS contexts.
    """

    def __init__(
        self, runtime: Runtime, router: MessageRouter, tls: TlsContexts
    ) -> None:
        self._runtime = runtime
        self._router = router
        self._tls = tls
        self._server: asyncio.Server | None = None
        self._links: set[_Link] = set()

    async def start(self) -> None:
        """Open the listener."""
        host = self._runtime.settings.host
        self._server = await asyncio.get_running_loop().create_server(
            self._accept,
            host.ip,
            host.peer_listen_port or host.peer_port,
            ssl=self._tls.peer_server,
            reuse_address=True,
        )

    async def stop(self, timeout_s: float = 1.0) -> None:
        """Close the listener, and each link after its data is sent."""
        if self._server is not None:
            self._server.close()
        for link in list(self._links):
            link.close()
        for _ in range(math.ceil(timeout_s / _CLOSE_POLL_S)):
            if not self._links:
                return
            await asyncio.sleep(_CLOSE_POLL_S)

    def _accept(self) -> _Link:
        link = _Link(self._runtime, self._router, self._links.discard)
        self._links.add(link)
        return link


class PeerPool:
    """Links to other daemons, opened when first needed.

    Args:
        runtime: Services of the process.
        router: Handlers of messages that peers send over these links.
        tls: TLS contexts.
    """

    def __init__(
        self, runtime: Runtime, router: MessageRouter, tls: TlsContexts
    ) -> None:
        self._runtime = runtime
        self._router = router
        self._tls = tls
        self._links: dict[str, _Link] = {}
        self._connecting: dict[str, asyncio.Task[_Link]] = {}

    async def request(
        self,
        address: str,
        message: Message,
        kind: type[_ReplyT],
        *,
        timeout_s: float,
    ) -> _ReplyT:
        """Send a message to a daemon and return its reply.

        Args:
            address: `IP:PORT` of the peer listener.
            message: What to send.
            kind: Type of the reply.
            timeout_s: Seconds to wait for the reply.

        Raises:
            NotSentError: Nothing was sent, so the peer did not receive it.
            LinkTimeoutError: No reply in time.
            LinkLostError: The link was lost, or the reply has another type,
                such as `FailureReply`; the peer may have handled the message.
        """
        link = self._links.get(address)
        if link is None or not link.is_open:
            link = await self._connect(address)
        reply = await link.request(message, timeout_s)
        if not isinstance(reply, kind):
            raise LinkLostError(f'unexpected reply {reply!r:.100}')
        return reply

    async def notify(self, address: str, message: Message) -> None:
        """Send a message without a reply; it may be lost.

        Raises:
            NotSentError: No link could be opened.
        """
        link = self._links.get(address)
        if link is None or not link.is_open:
            link = await self._connect(address)
        link.send(message)

    def drop(self, address: str) -> None:
        """Close the link to a daemon; calls in flight fail."""
        link = self._links.pop(address, None)
        if link is not None:
            link.close()

    async def stop(self) -> None:
        """Close all links."""
        for task in self._connecting.values():
            task.cancel()
        for link in list(self._links.values()):
            link.close()

    async def _connect(self, address: str) -> _Link:
        task = self._connecting.get(address)
        if task is None:
            task = asyncio.ensure_future(self._open(address))
            self._connecting[address] = task
            task.add_done_callback(
                lambda _: self._connecting.pop(address, None)
            )
        # Several callers share one attempt; one that is cancelled must not
        # cancel it for the others.
        return await asyncio.shield(task)

    async def _open(self, address: str) -> _Link:
        ip, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, link = await loop.create_connection(
                    lambda: _Link(
                        self._runtime, self._router, self._remove_link
                    ),
                    ip,
                    int(port),
                    ssl=self._tls.peer_client,
                )
                await link.ready
        except (OSError, TimeoutError) as error:
            raise NotSentError(f'{address}: {error!r}') from error
        self._links[address] = link
        return link

    def _remove_link(self, link: _Link) -> None:
        for address, open_link in list(self._links.items()):
            if open_link is link:
                del self._links[address]
