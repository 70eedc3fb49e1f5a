"""Chooses other daemons at random and sends them messages."""

import asyncio
from collections.abc import Iterable
import random

from turmericrouter_core.directory import Directory
from turmericrouter_core.directory import Mark
from turmericrouter_core.errors import LinkError
from turmericrouter_core.messages import Message
from turmericrouter_daemon.peer import PeerPool
from turmericrouter_daemon.runtime import Runtime

# One in this many choices is a daemon of another failure domain, so that a
# domain cut off from the platform learns from the others.
_ELSEWHERE_EVERY = 5


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

    @property
    def peers(self) -> PeerPool:
        """Return the links to other daemons."""
        return self._peers

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

    def choose_or_seed(self) -> str | None:
        """Return a random daemon, or a seed if none is known."""
        chosen = self.choose(1) or self.seeds
        return self._rng.choice(chosen) if chosen else None

    def send(self, addresses: Iterable[str], message: Message) -> None:
        """Send a message in the background; it may be lost."""
        for address in addresses:
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
