"""Reconciles the directory with other daemons by periodic exchanges."""

from collections.abc import Iterable
import random
from typing import Protocol

from turmericrouter_core.clock import Subscription
from turmericrouter_core.directory import Directory
from turmericrouter_core.errors import LinkError
from turmericrouter_core.messages import DirectoryDelta
from turmericrouter_core.messages import DirectoryEntry
from turmericrouter_core.messages import DirectoryPull
from turmericrouter_core.messages import DirectoryPush
from turmericrouter_core.messages import Hello
from turmericrouter_core.rendezvous import rank_by_hash
from turmericrouter_daemon.gossip import Gossip
from turmericrouter_daemon.runtime import Runtime

_EXCHANGE_TIMEOUT_S = 2.0
# A bridge exchanges with its own failure domain once in this many exchanges.
_EXCHANGES_PER_LOCAL_EXCHANGE = 5
_MAX_CONTACTS = 64
# An announced daemon normally joins by itself. It is contacted only if it is
# still unknown after this time plus a random time that grows with the fleet,
# so that not all daemons contact a new one at once.
_CONTACT_DELAY_S = 1.0
_MAX_CONTACTS_PER_S = 100


class MergeEntries(Protocol):
    """Callback that merges received entries into the directory."""

    def __call__(
        self, entries: Iterable[DirectoryEntry], *, should_forward: bool
    ) -> None:
        """Merge entries; optionally forward them to others."""


class DirectoryExchange:
    """Reconciles the directory by pulling entries that differ.

    Members of a failure domain exchange with one another; a few of them,
    the bridges, also exchange with the bridges of other domains.

    Args:
        runtime: Services of the process.
        gossip: Directory of known daemons and selection of peers.
        merge_entries: Merges received entries.
    """

    def __init__(
        self, runtime: Runtime, gossip: Gossip, merge_entries: MergeEntries
    ) -> None:
        self._runtime = runtime
        self._gossip = gossip
        self._directory: Directory = gossip.directory
        self._merge_entries = merge_entries
        self._rng = random.Random(runtime.rng.getrandbits(64))
        self._contacts: dict[str, float] = {}
        self._is_joined = False
        self._is_exchanging = False
        self._exchanges = 0
        self._timers: list[Subscription] = []

    def start(self) -> None:
        """Start the join and the periodic exchanges."""
        timers = self._runtime.timers
        period_s = self._runtime.settings.membership.exchange_period_s
        self._timers = [
            timers.after(0.0, self._exchange, name='directory_join'),
            timers.every(period_s, self._exchange, name='directory_exchange'),
        ]

    def stop(self) -> None:
        """Cancel all exchanges that have not started."""
        for timer in self._timers:
            timer.cancel()

    def add_contact(self, address: str) -> None:
        """Schedule a contact with an announced daemon if it is unknown."""
        if self._directory.get(address) is not None:
            return
        window_s = len(self._directory) / _MAX_CONTACTS_PER_S
        delay_s = _CONTACT_DELAY_S + self._rng.uniform(0, window_s)
        self._contacts[address] = self._runtime.clock.monotonic() + delay_s
        while len(self._contacts) > _MAX_CONTACTS:
            del self._contacts[next(iter(self._contacts))]

    def handle_pull(
        self, message: DirectoryPull, sender: Hello
    ) -> DirectoryDelta:
        """Return the entries of the buckets that differ."""
        differing = self._directory.differing_buckets(message.digests)
        delta = DirectoryDelta(
            self._directory.entries_in_buckets(differing),
            self._directory.digests,
        )
        self._gossip.count_frame(delta)
        return delta

    async def _exchange(self) -> None:
        if self._is_exchanging:
            return
        address = self._choose_peer()
        if address is None:
            return
        self._is_exchanging = True
        try:
            await self._exchange_with(address)
        except LinkError:
            self._runtime.metrics.incr('directory.exchange_failed')
        finally:
            self._is_exchanging = False

    async def _exchange_with(self, address: str) -> None:
        directory = self._directory
        delta = await self._gossip.request(
            address,
            DirectoryPull(directory.digests),
            DirectoryDelta,
            _EXCHANGE_TIMEOUT_S,
        )
        self._contacts.pop(address, None)
        self._is_joined = True
        self._merge_entries(delta.entries, should_forward=False)
        received = set(delta.entries)
        missing = tuple(
            entry
            for entry in directory.entries_in_buckets(
                directory.differing_buckets(delta.digests)
            )
            if entry not in received
        )
        if missing:
            self._gossip.send([address], DirectoryPush(missing))

    def _choose_peer(self) -> str | None:
        self._exchanges += 1
        contact = self._due_contact()
        if contact is not None:
            return contact
        own = self._runtime.settings.host.domain
        if not self._is_joined:
            return self._gossip.choose_peer_or_seed()
        others = [name for name in self._directory.domains if name != own]
        if others and self._is_bridge():
            chosen = self._gossip.members(self._rng.choice(others))
            if chosen and self._exchanges % _EXCHANGES_PER_LOCAL_EXCHANGE:
                return self._rng.choice(self._bridges(chosen))
        if self._exchanges % _EXCHANGES_PER_LOCAL_EXCHANGE == 0:
            local_members = self._gossip.members(own)
            return self._rng.choice(local_members) if local_members else None
        return None

    def _due_contact(self) -> str | None:
        """Return an announced address that is still unknown."""
        now = self._runtime.clock.monotonic()
        for address, due in list(self._contacts.items()):
            if self._directory.get(address) is not None:
                del self._contacts[address]
            elif not self._is_joined or due <= now:
                # One attempt each: most that fail stopped long ago.
                del self._contacts[address]
                return address
        return None

    def _bridges(self, members: list[str]) -> list[str]:
        count = self._runtime.settings.membership.bridges_per_domain
        return rank_by_hash('bridge', members)[:count]

    def _is_bridge(self) -> bool:
        own = self._runtime.address
        members = self._gossip.members(self._runtime.settings.host.domain)
        return own in self._bridges([*members, own])
