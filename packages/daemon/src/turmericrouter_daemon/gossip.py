"""Random selection of other daemons, and control messages to them."""

import asyncio
from collections.abc import Iterable
import random
from typing import TypeVar

from turmericrouter_core.codec import encode_frame
from turmericrouter_core.directory import Directory
from turmericrouter_core.directory import MemberHealth
from turmericrouter_core.errors import LinkError
from turmericrouter_core.messages import Message
from turmericrouter_daemon.peer import NOTIFICATION
from turmericrouter_daemon.peer import PeerPool
from turmericrouter_daemon.runtime import Runtime

# Expected number of daemons of a stale domain that ask another domain at a
# time.
_CROSS_DOMAIN_PULLERS = 4
# On average one choice in this many is a daemon of another failure domain,
# so that a domain cut off from the platform receives records from others.
_CHOICES_PER_CROSS_DOMAIN_CHOICE = 5
# Period of the metrics for sent messages and bytes.
_REPORT_PERIOD_S = 1.0

_R = TypeVar('_R', bound=Message)


class Gossip:
    """Selects daemons at random and sends them control messages.

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
        """Return the configured peer addresses without the own one."""
        own = self._runtime.address
        return [
            address
            for address in self._runtime.settings.host.peers
            if address != own
        ]

    def members(self, domain: str) -> list[str]:
        """Return the other daemons of a domain marked alive, sorted."""
        own = self._runtime.address
        return sorted(
            entry.address
            for entry in self._directory.domain(domain)
            if entry.mark == MemberHealth.ALIVE and entry.address != own
        )

    def choose_peers(self, count: int) -> list[str]:
        """Return distinct random daemons, mostly of the own domain."""
        own = self._runtime.settings.host.domain
        others = [name for name in self._directory.domains if name != own]
        local_members = self.members(own)
        chosen: list[str] = []
        for _ in range(count):
            domain = own
            if others and (
                not local_members
                or self._rng.randrange(_CHOICES_PER_CROSS_DOMAIN_CHOICE) == 0
            ):
                domain = self._rng.choice(others)
            pool = [
                address
                for address in (
                    local_members if domain == own else self.members(domain)
                )
                if address not in chosen
            ]
            if pool:
                chosen.append(self._rng.choice(pool))
        return chosen

    def choose_peer_or_seed(
        self, *, prefer_other_domain: bool = False
    ) -> str | None:
        """Return a random daemon, or a seed if none is known.

        Args:
            prefer_other_domain: Whether the configuration here is getting
                stale; if so, a few daemons of the domain choose a daemon of
                another one.
        """
        if prefer_other_domain:
            own = self._runtime.settings.host.domain
            pull_fraction = _CROSS_DOMAIN_PULLERS / (
                len(self.members(own)) + 1
            )
            others = [name for name in self._directory.domains if name != own]
            if others and self._rng.random() < pull_fraction:
                members = self.members(self._rng.choice(others))
                if members:
                    return self._rng.choice(members)
        chosen = self.choose_peers(1) or self.seeds
        return self._rng.choice(chosen) if chosen else None

    async def request(
        self,
        address: str,
        message: Message,
        reply_type: type[_R],
        timeout_s: float,
    ) -> _R:
        """Send a control message to a daemon and return its reply.

        Raises:
            LinkError: There is no reply, see `PeerPool.request`.
        """
        self.count_frame(message)
        return await self._peers.request(
            address, message, reply_type, timeout_s=timeout_s
        )

    def count_frame(self, message: Message) -> None:
        """Count the frame of a control message as sent."""
        self.count_sent(len(encode_frame(NOTIFICATION, message)))

    def count_sent(self, size_bytes: int) -> None:
        """Count a control message of a size in bytes as sent."""
        self._sent_messages += 1
        self._sent_bytes += size_bytes
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
        """Wait until pending messages are sent or have failed."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _notify(self, address: str, message: Message) -> None:
        try:
            await self._peers.notify(address, message)
        except LinkError:
            self._runtime.metrics.incr('gossip.not_sent')
