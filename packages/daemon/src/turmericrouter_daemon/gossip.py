"""Chooses other daemons at random and sends them messages."""

import asyncio
from collections.abc import Iterable
import random
from typing import TypeVar

from turmericrouter_core.codec import encode_frame
from turmericrouter_core.directory import Directory
from turmericrouter_core.directory import Mark
from turmericrouter_core.errors import LinkError
from turmericrouter_core.messages import Message
from turmericrouter_daemon.peer import NOTIFICATION
from turmericrouter_daemon.peer import PeerPool
from turmericrouter_daemon.runtime import Runtime

# One in this many choices is a daemon of another failure domain, so that a
# domain cut off from the platform learns from the others.
_ASKING_ELSEWHERE = 4
_ELSEWHERE_EVERY = 5
# Sent bytes and messages are reported together once in this time.
_REPORT_PERIOD_S = 1.0

_R = TypeVar('_R', bound=Message)


class Gossip:
    """Random choice of daemons, and messages without a reply to them.

    Args:
        runtime: Services of the process.
        directory: Known daemons.
        peers: Links to other daemons.
    """

    def __init__(
        self, runtime: Runtime, directory: Directory, peers: PeerPool
    ) -> None:
        self._runtime = runtime
        self._directory = directory
        self._peers = peers
        self._rng = random.Random(runtime.rng.getrandbits(64))
        self._tasks: set[asyncio.Task[None]] = set()
        self._sent_messages = 0
        self._sent_bytes = 0
        self._reported_at = runtime.clock.monotonic()

    @property
    def directory(self) -> Directory:
        """Return the known daemons."""
        return self._directory

    @property
    def seeds(self) -> list[str]:
        """Return the addresses to contact first, without the own one."""
        own = self._runtime.address
        return [
            address
            for address in self._runtime.settings.host.peers
            if address != own
        ]

    def members(self, domain: str) -> list[str]:
        """Return the other daemons of a domain that are well, sorted."""
        own = self._runtime.address
        return sorted(
            entry.address
            for entry in self._directory.domain(domain)
            if entry.mark == Mark.ALIVE and entry.address != own
        )

    def choose(self, count: int) -> list[str]:
        """Return random daemons, mostly of the own failure domain."""
        own = self._runtime.settings.host.domain
        others = [name for name in self._directory.domains if name != own]
        here = self.members(own)
        chosen: list[str] = []
        for _ in range(count):
            domain = own
            if others and (
                not here or self._rng.randrange(_ELSEWHERE_EVERY) == 0
            ):
                domain = self._rng.choice(others)
            pool = [
                address
                for address in (
                    here if domain == own else self.members(domain)
                )
                if address not in chosen
            ]
            if pool:
                chosen.append(self._rng.choice(pool))
        return chosen

    def choose_or_seed(self, *, elsewhere: bool = False) -> str | None:
        """Return a random daemon, or a seed if none is known.

        Args:
            elsewhere: The own failure domain lacks news, so a few of its
                daemons at a time ask another one.
        """
        if elsewhere:
            own = self._runtime.settings.host.domain
            share = _ASKING_ELSEWHERE / (len(self.members(own)) + 1)
            others = [name for name in self._directory.domains if name != own]
            if others and self._rng.random() < share:
                members = self.members(self._rng.choice(others))
                if members:
                    return self._rng.choice(members)
        chosen = self.choose(1) or self.seeds
        return self._rng.choice(chosen) if chosen else None

    async def request(
        self, address: str, message: Message, kind: type[_R], timeout_s: float
    ) -> _R:
        """Send a control message to a daemon and return its reply.

        Raises:
            LinkError: No reply, see `PeerPool.request`.
        """
        self.count_frame(message)
        return await self._peers.request(
            address, message, kind, timeout_s=timeout_s
        )

    def count_frame(self, message: Message) -> None:
        """Count a frame of control traffic that is being sent."""
        self.count_sent(len(encode_frame(NOTIFICATION, message)))

    def count_sent(self, size: int) -> None:
        """Count a message of control traffic, of a size in bytes."""
        self._sent_messages += 1
        self._sent_bytes += size
        now = self._runtime.clock.monotonic()
        if now - self._reported_at >= _REPORT_PERIOD_S:
            metrics = self._runtime.metrics
            metrics.incr('control.sent_messages', self._sent_messages)
            metrics.incr('control.sent_bytes', self._sent_bytes)
            self._sent_messages = self._sent_bytes = 0
            self._reported_at = now

    def send(self, addresses: Iterable[str], message: Message) -> None:
        """Send a message in the background; it may be lost."""
        for address in addresses:
            self.count_frame(message)
            task = asyncio.ensure_future(self._notify(address, message))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        """Wait for what is being sent."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _notify(self, address: str, message: Message) -> None:
        try:
            await self._peers.notify(address, message)
        except LinkError:
            self._runtime.metrics.incr('gossip.not_sent')
