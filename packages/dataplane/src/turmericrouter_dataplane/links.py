"""Multiplexed links between daemons, one connection per direction."""

import asyncio
from collections.abc import Callable
import time
from typing import cast
from typing import Protocol

from turmericrouter_core.errors import ProtocolError
from turmericrouter_core.verdict import Reason
from turmericrouter_core.verdict import Verdict
from turmericrouter_dataplane.frames import Cancel
from turmericrouter_dataplane.frames import Dispatch
from turmericrouter_dataplane.frames import encode_frame
from turmericrouter_dataplane.frames import Frame
from turmericrouter_dataplane.frames import FrameReader
from turmericrouter_dataplane.frames import Outcome
from turmericrouter_dataplane.frames import Probe
from turmericrouter_dataplane.http_client import set_user_timeout

CONNECT_TIMEOUT_S = 1.0
# A link with calls in flight is probed after this time without data.
PROBE_AFTER_S = 0.3
# A link without data for this long after a probe gets no new calls.
SUSPECT_AFTER_S = 0.2
# A link without data for this long after a probe is closed.
DEAD_AFTER_S = 0.8
INITIAL_RECONNECT_S = 0.2
MAX_RECONNECT_S = 2.0

OutcomeCallback = Callable[[Outcome], None]


class FrameHandler(Protocol):
    """Handles the frames that peers send."""

    def handle(self, link: 'Link', frame: Frame) -> None:
        """Handle a frame other than an outcome or a probe."""

    def link_opened(self, link: 'Link') -> None:
        """Handle a link that has been opened."""

    def link_closed(self, link: 'Link') -> None:
        """Handle a link that has been closed."""


class Link(asyncio.Protocol):
    """One connection between two daemons.

    Args:
        handler: Handles the frames of the peer.
        peer: Name of the peer if this side opened the link, else empty.
    """

    def __init__(self, handler: FrameHandler, peer: str = '') -> None:
        self._handler = handler
        self._reader = FrameReader()
        self._transport: asyncio.Transport | None = None
        self._pending: dict[int, OutcomeCallback] = {}
        self._last_correlation = 0
        self._last_received_at = 0.0
        self._probed_at = 0.0
        self._is_finished = False
        self.peer = peer
        # Whether the link was closed because a probe was not answered.
        self.timed_out = False
        self.closed: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )

    @property
    def is_open(self) -> bool:
        """Return whether the peer still gets frames, and may answer them."""
        transport = self._transport
        return transport is not None and not transport.is_closing()

    @property
    def has_unsent_data(self) -> bool:
        """Return whether frames wait for the peer to read."""
        return (
            self._transport is not None
            and self._transport.get_write_buffer_size() > 0
        )

    def is_suspect(self, now: float) -> bool:
        """Return whether a probe has had no reply for `SUSPECT_AFTER_S`."""
        return bool(self._probed_at) and (
            now - self._probed_at > SUSPECT_AFTER_S
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, and report a link that a peer has opened."""
        self._transport = cast(asyncio.Transport, transport)
        self._last_received_at = time.monotonic()
        set_user_timeout(transport)
        if not self.peer:
            # The pool reports its own links once they can be looked up.
            self._handler.link_opened(self)

    def data_received(self, data: bytes) -> None:
        """Handle every complete frame."""
        self._last_received_at = time.monotonic()
        self._probed_at = 0.0
        try:
            for frame in self._reader.feed(data):
                self._receive(frame)
        except ProtocolError:
            # The stream cannot be decoded beyond a malformed frame.
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the calls in flight; the peer may have handled them."""
        self._transport = None
        if not self.closed.done():
            self.closed.set_result(None)
        pending, self._pending = self._pending, {}
        self._handler.link_closed(self)
        for correlation, callback in pending.items():
            callback(
                Outcome(correlation, Verdict.MAY_HAVE_RUN, Reason.LINK_LOST)
            )

    def next_correlation(self) -> int:
        """Return a correlation number that is unique on this link."""
        self._last_correlation += 1
        return self._last_correlation

    def dispatch(self, frame: Dispatch, callback: OutcomeCallback) -> None:
        """Send a request, and pass its outcome to the callback."""
        transport = self._transport
        if transport is None or transport.is_closing():
            callback(
                Outcome(
                    frame.correlation, Verdict.NOT_RUN, Reason.LINK_NOT_SENT
                )
            )
            return
        if not self._pending:
            self._last_received_at = time.monotonic()
        self._pending[frame.correlation] = callback
        transport.write(encode_frame(frame))

    def cancel(self, correlation: int) -> None:
        """Cancel a call; its callback is not called."""
        if self._pending.pop(correlation, None) is not None:
            self.send(Cancel(correlation))

    def send(self, frame: Frame) -> None:
        """Send a frame, or drop it if the link is closed or finished."""
        if self._transport is not None:
            self.send_encoded(encode_frame(frame))

    def send_encoded(self, data: bytes) -> None:
        """Send an encoded frame, or drop it if the link is closed or finished.

        A frame that goes to several links is encoded once.
        """
        if self._transport is not None and not self._is_finished:
            self._transport.write(data)

    def check(self, now: float) -> None:
        """Probe a silent link, and close it if a probe times out."""
        if self._transport is None:
            return
        if self._probed_at:
            if now - self._probed_at > DEAD_AFTER_S:
                self.timed_out = True
                self.abort()
        elif self._pending and now - self._last_received_at > PROBE_AFTER_S:
            self.probe(now)

    def probe(self, now: float) -> None:
        """Send a probe unless one is pending."""
        if not self._probed_at:
            self._probed_at = now
            self.send(Probe(False))

    def finish(self) -> None:
        """Send nothing more; the peer closes the link once it has read all.

        A socket that is closed before that is reset by the next frame of the
        peer, which destroys what the peer has not received yet.
        """
        if self._transport is None or self._is_finished:
            return
        self._is_finished = True
        try:
            self._transport.write_eof()
        except (OSError, RuntimeError):
            # The peer is gone.
            self._transport.close()

    def close(self) -> None:
        """Close after the buffered data has been sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once and discard buffered data."""
        if self._transport is not None:
            self._transport.abort()

    def _receive(self, frame: Frame) -> None:
        if isinstance(frame, Outcome):
            callback = self._pending.pop(frame.correlation, None)
            if callback is not None:
                callback(frame)
        elif isinstance(frame, Probe):
            if not frame.is_reply:
                self.send(Probe(True))
        else:
            self._handler.handle(self, frame)


class LinkPool:
    """Opens links to peers, and reopens them when they are lost.

    Args:
        handler: Handles the frames of the peers.
    """

    def __init__(self, handler: FrameHandler) -> None:
        self._handler = handler
        self._links: dict[str, Link] = {}
        self._addresses: dict[str, str] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._reconnect_now: dict[str, asyncio.Event] = {}
        self._stopped = False

    def get(self, peer: str) -> Link | None:
        """Return the open link to a peer, or None."""
        link = self._links.get(peer)
        return link if link is not None and link.is_open else None

    def connect(self, peer: str, address: str) -> None:
        """Open a link to a peer, and reopen it until the peer is removed."""
        if self._addresses.get(peer) == address or self._stopped:
            return
        self.remove(peer)
        self._addresses[peer] = address
        self._reconnect_now[peer] = asyncio.Event()
        self._tasks[peer] = asyncio.ensure_future(
            self._keep_connected(peer, address)
        )

    def reconnect(self, peer: str) -> None:
        """Skip the reconnect delay for a peer that has sent a message."""
        event = self._reconnect_now.get(peer)
        if event is not None and self.get(peer) is None:
            event.set()

    def remove(self, peer: str) -> None:
        """Close the link to a peer and stop reconnecting."""
        self._addresses.pop(peer, None)
        self._reconnect_now.pop(peer, None)
        task = self._tasks.pop(peer, None)
        if task is not None:
            task.cancel()
        link = self._links.pop(peer, None)
        if link is not None:
            link.close()

    def check(self, now: float) -> None:
        """Check all links for timeouts."""
        for link in list(self._links.values()):
            link.check(now)

    def suspects(self, now: float) -> list[str]:
        """Return the peers whose links are suspect."""
        return [
            peer for peer, link in self._links.items() if link.is_suspect(now)
        ]

    def open_links(self) -> list[Link]:
        """Return all open links."""
        return [link for link in self._links.values() if link.is_open]

    def stop(self) -> None:
        """Close all links and open no more."""
        self._stopped = True
        for peer in list(self._addresses):
            self.remove(peer)

    async def _keep_connected(self, peer: str, address: str) -> None:
        ip, _, port = address.rpartition(':')
        wait_s = INITIAL_RECONNECT_S
        loop = asyncio.get_running_loop()
        reconnect_now = self._reconnect_now[peer]
        while True:
            reconnect_now.clear()
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    _, link = await loop.create_connection(
                        lambda: Link(self._handler, peer), ip, int(port)
                    )
            except (OSError, TimeoutError, ValueError, OverflowError):
                # The last two: the host record has a malformed port.
                await _wait_until_set(reconnect_now, wait_s)
                wait_s = min(MAX_RECONNECT_S, wait_s * 1.5)
                continue
            self._links[peer] = link
            wait_s = INITIAL_RECONNECT_S
            if link.is_open:
                self._handler.link_opened(link)
            await asyncio.shield(link.closed)
            await _wait_until_set(reconnect_now, wait_s)


async def _wait_until_set(event: asyncio.Event, timeout_s: float) -> None:
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return


class LinkServer:
    """Accepts links from other daemons.

    Args:
        handler: Handles the frames of the peers.
    """

    def __init__(self, handler: FrameHandler) -> None:
        self._handler = handler
        self._links: set[Link] = set()
        self._server: asyncio.Server | None = None

    @property
    def has_unsent_data(self) -> bool:
        """Return whether outcomes wait for the peers to read."""
        return any(link.has_unsent_data for link in self._links)

    @property
    def has_open_links(self) -> bool:
        """Return whether peers still have links to this host."""
        return bool(self._links)

    async def start(self, ip: str, port: int) -> None:
        """Open the listener."""
        self._server = await asyncio.get_running_loop().create_server(
            self._make_link, ip, port, reuse_address=True
        )

    def finish(self) -> None:
        """Close the listener, and finish all links."""
        if self._server is not None:
            self._server.close()
        for link in list(self._links):
            link.finish()

    def _make_link(self) -> Link:
        link = Link(self._handler)
        self._links.add(link)
        link.closed.add_done_callback(lambda _: self._links.discard(link))
        return link
