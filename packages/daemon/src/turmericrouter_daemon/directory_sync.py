"""Keeps the directory of all daemons and their targets."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import random

import msgspec

from turmericrouter_client.log_service import LogService
from turmericrouter_core.clock import Subscription
from turmericrouter_core.config import Applied
from turmericrouter_core.config import CONTROL_STREAM
from turmericrouter_core.control import Announcement
from turmericrouter_core.control import ControlRecord
from turmericrouter_core.control import encode_control
from turmericrouter_core.directory import Directory
from turmericrouter_core.directory import Mark
from turmericrouter_core.directory import marked
from turmericrouter_core.directory import MemberState
from turmericrouter_core.directory import refute
from turmericrouter_core.errors import LinkError
from turmericrouter_core.errors import LogServiceError
from turmericrouter_core.messages import DirectoryDelta
from turmericrouter_core.messages import DirectoryEntry
from turmericrouter_core.messages import DirectoryPull
from turmericrouter_core.messages import DirectoryPush
from turmericrouter_core.messages import Hello
from turmericrouter_core.rendezvous import ranked
from turmericrouter_daemon.config_sync import ConfigSync
from turmericrouter_daemon.gossip import Gossip
from turmericrouter_daemon.peer import MessageRouter
from turmericrouter_daemon.runtime import Runtime

_EXCHANGE_TIMEOUT_S = 2.0
_EXPIRE_PERIOD_S = 60.0
_ANNOUNCE_RETRY_S = 0.5
_MAX_ANNOUNCE_RETRY_S = 5.0
# One in this many exchanges is with a member of the own failure domain.
_LOCAL_EXCHANGE_EVERY = 5
# A message with more entries comes from an exchange and is not sent on.
_MAX_NEWS = 32
_MAX_CONTACTS = 64
# An announced daemon normally joins by itself; the others ask it only if it
# is still unknown after this time plus a random part that grows with the
# fleet, so that a new daemon is not asked by all at once.
_CONTACT_DELAY_S = 1.0
_CONTACTS_PER_S = 100

ChangeCallback = Callable[[tuple[DirectoryEntry, ...]], None]


class DirectorySync:
    """Owns this daemon's entry and merges those of others.

    Args:
        runtime: Services of the process.
        config: Source of control records.
        log_service: The platform's log.
        gossip: Known daemons and choice of peers.
    """

    def __init__(
        self,
        runtime: Runtime,
        config: ConfigSync,
        log_service: LogService,
        gossip: Gossip,
    ) -> None:
        self._runtime = runtime
        self._config = config
        self._log_service = log_service
        self._gossip = gossip
        self._directory = gossip.directory
        self._rng = random.Random(runtime.rng.getrandbits(64))
        self._own = DirectoryEntry(
            runtime.address,
            runtime.settings.host.domain,
            runtime.incarnation,
            0,
            MemberState.JOINING,
        )
        self._is_leaving = False
        self._directory.merge([self._own])
        self._contacts: dict[str, float] = {}
        self._is_joined = False
        self._is_exchanging = False
        self._has_departed = False
        self._exchanges = 0
        self._change_subscribers: list[ChangeCallback] = []
        self._news_subscribers: list[ChangeCallback] = []
        self._timers: list[Subscription] = []
        config.on_control(self._on_control)
        config.on_config(self._on_config)

    @property
    def directory(self) -> Directory:
        """Return all known daemons."""
        return self._directory

    @property
    def own(self) -> DirectoryEntry:
        """Return this daemon's entry."""
        return self._own

    def on_change(self, callback: ChangeCallback) -> None:
        """Subscribe to entries that are new or have changed."""
        self._change_subscribers.append(callback)

    def on_news(self, callback: ChangeCallback) -> None:
        """Subscribe to changes that are to be sent on to others."""
        self._news_subscribers.append(callback)

    def register(self, router: MessageRouter) -> None:
        """Handle the messages of the directory."""
        router.register(DirectoryPull, self.handle_pull)
        router.register(DirectoryPush, self.handle_push)

    async def start(self) -> None:
        """Announce this daemon and start exchanging directories."""
        timers = self._runtime.timers
        settings = self._runtime.settings
        exchange_s = settings.membership.exchange_period_s
        retention_s = settings.platform.retention_s
        self._timers = [
            timers.after(0.0, self._announce_start, name='announce'),
            timers.after(0.0, self._exchange, name='directory_join'),
            timers.every(
                exchange_s, self._exchange, name='directory_exchange'
            ),
            timers.every(
                retention_s / 4, self._announce_again, name='announce_again'
            ),
            timers.every(
                _EXPIRE_PERIOD_S, self._expire, name='directory_expire'
            ),
        ]

    async def stop(self) -> None:
        """Tell others that this daemon ends; it refutes nothing more."""
        for timer in self._timers:
            timer.cancel()
        self._has_departed = True
        own = msgspec.structs.replace(
            self._own,
            version=self._own.version + 1,
            state=int(MemberState.LEAVING),
        )
        self._set_own(marked(own, Mark.DEAD))

    async def update(
        self,
        state: MemberState,
        *,
        service: str,
        target: str,
        slots: int,
        connections: int,
    ) -> None:
        """Change this daemon's entry and push it if it differs."""
        # A heartbeat of the target does not take a leave back.
        if self._is_leaving or self._config.state.is_retired(target):
            state = MemberState.LEAVING
        own = self._own
        changed = msgspec.structs.replace(
            own,
            state=int(state),
            service=service,
            target=target,
            slots=slots,
            connections=connections,
        )
        if changed != own and not self._has_departed:
            self._set_own(
                msgspec.structs.replace(changed, version=own.version + 1)
            )

    async def lose_target(self) -> None:
        """Tell others that the target has not announced itself of late."""
        own = self._own
        await self.update(
            MemberState.JOINING,
            service=own.service,
            target=own.target,
            slots=own.slots,
            connections=own.connections,
        )

    async def leave(self) -> None:
        """Tell others that this daemon takes no new work."""
        self._is_leaving = True
        own = self._own
        await self.update(
            MemberState.LEAVING,
            service=own.service,
            target=own.target,
            slots=own.slots,
            connections=own.connections,
        )

    def take(
        self, entries: Iterable[DirectoryEntry], *, is_news: bool = True
    ) -> None:
        """Merge entries and send on those that are new.

        Args:
            entries: Entries that others sent or that were marked here.
            is_news: Whether they are recent changes, not an exchange.
        """
        others = []
        for entry in entries:
            if entry.address == self._own.address:
                self._refute(entry)
            else:
                others.append(entry)
        new = self._directory.merge(others)
        if new:
            self._tell(new, is_news=is_news)

    def handle_pull(
        self, message: DirectoryPull, sender: Hello
    ) -> DirectoryDelta:
        """Return the entries of the buckets that differ."""
        differing = self._directory.differing(message.digests)
        delta = DirectoryDelta(
            self._directory.in_buckets(differing), self._directory.digests
        )
        self._gossip.count_frame(delta)
        return delta

    def handle_push(self, message: DirectoryPush, sender: Hello) -> None:
        """Merge pushed entries."""
        self.take(message.entries, is_news=len(message.entries) <= _MAX_NEWS)

    def _refute(self, seen: DirectoryEntry) -> None:
        newer = refute(self._own, seen)
        if newer is None or self._has_departed:
            return
        self._runtime.log.info(
            'mark_refuted', mark=seen.mark, version=newer.version
        )
        self._set_own(newer)

    def _set_own(self, entry: DirectoryEntry) -> None:
        self._own = entry
        self._directory.merge([entry])
        self._tell((entry,), is_news=True)

    def _tell(
        self, entries: tuple[DirectoryEntry, ...], *, is_news: bool
    ) -> None:
        self._log_changes(entries)
        for callback in self._change_subscribers:
            callback(entries)
        if not is_news:
            return
        for callback in self._news_subscribers:
            callback(entries)
        # A suspicion concerns the members of the domain only, who hear of
        # it by the probes.
        pushed = tuple(e for e in entries if e.mark != Mark.SUSPECT)
        if pushed:
            fanout = self._runtime.settings.config.push_fanout
            self._gossip.send(
                self._gossip.choose(fanout), DirectoryPush(pushed)
            )

    def _log_changes(self, entries: tuple[DirectoryEntry, ...]) -> None:
        log = self._runtime.log
        if len(entries) > _MAX_NEWS:
            # A daemon that joins learns of the whole fleet at once.
            log.info('directory_exchanged', entries=len(entries))
            return
        for entry in entries:
            log.info(
                'directory_changed',
                member=entry.address,
                target=entry.target,
                state=MemberState(entry.state).name,
                mark=Mark(entry.mark).name,
                version=entry.version,
            )

    async def _exchange(self) -> None:
        if self._is_exchanging:
            return
        address = self._exchange_partner()
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
        self.take(delta.entries, is_news=False)
        theirs = set(delta.entries)
        lacking = tuple(
            entry
            for entry in directory.in_buckets(
                directory.differing(delta.digests)
            )
            if entry not in theirs
        )
        if lacking:
            self._gossip.send([address], DirectoryPush(lacking))

    def _exchange_partner(self) -> str | None:
        self._exchanges += 1
        contact = self._due_contact()
        if contact is not None:
            return contact
        own = self._runtime.settings.host.domain
        if not self._is_joined:
            return self._gossip.choose_or_seed()
        others = [name for name in self._directory.domains if name != own]
        if others and self._is_bridge():
            chosen = self._gossip.members(self._rng.choice(others))
            if chosen and self._exchanges % _LOCAL_EXCHANGE_EVERY:
                return self._rng.choice(self._bridges(chosen))
        if self._exchanges % _LOCAL_EXCHANGE_EVERY == 0:
            here = self._gossip.members(own)
            return self._rng.choice(here) if here else None
        return None

    def _due_contact(self) -> str | None:
        """Return an announced address that is still unknown."""
        now = self._runtime.clock.monotonic()
        for address, due in list(self._contacts.items()):
            if self._directory.get(address) is not None:
                del self._contacts[address]
            elif not self._is_joined or due <= now:
                # Each gets one attempt; most that fail are long gone.
                del self._contacts[address]
                return address
        return None

    def _bridges(self, members: list[str]) -> list[str]:
        count = self._runtime.settings.membership.bridges_per_domain
        return ranked('bridge', members)[:count]

    def _is_bridge(self) -> bool:
        own = self._runtime.address
        members = self._gossip.members(self._runtime.settings.host.domain)
        return own in self._bridges([*members, own])

    def _expire(self) -> None:
        expired = self._directory.expire(self._runtime.clock.monotonic())
        if expired:
            self._runtime.log.info('directory_expired', entries=expired)

    async def _announce_start(self) -> None:
        retry_s = _ANNOUNCE_RETRY_S
        while not await self._announce():
            await asyncio.sleep(retry_s * self._rng.uniform(0.5, 1.0))
            retry_s = min(2 * retry_s, _MAX_ANNOUNCE_RETRY_S)

    async def _announce_again(self) -> None:
        """Let daemons that start later find the readers of each domain."""
        if self._config.reader.is_reader:
            await self._announce()

    async def _announce(self) -> bool:
        try:
            await self._log_service.append(
                CONTROL_STREAM, encode_control(Announcement(self._own))
            )
        except LogServiceError as error:
            self._runtime.log.warning('announce_failed', error=str(error))
            return False
        return True

    def _on_control(self, offset: int, record: ControlRecord) -> None:
        # Announcements may be a retention time old, so they only name whom
        # to ask; entries come from daemons that run.
        if not isinstance(record, Announcement):
            return
        address = record.entry.address
        if self._directory.get(address) is not None:
            return
        window_s = len(self._directory) / _CONTACTS_PER_S
        delay_s = _CONTACT_DELAY_S + self._rng.uniform(0, window_s)
        self._contacts[address] = self._runtime.clock.monotonic() + delay_s
        while len(self._contacts) > _MAX_CONTACTS:
            del self._contacts[next(iter(self._contacts))]

    def _on_config(self, applied: Applied) -> None:
        own = self._own
        if own.state == MemberState.SERVING and (
            self._config.state.is_retired(own.target)
        ):
            self._set_own(
                msgspec.structs.replace(
                    own,
                    version=own.version + 1,
                    state=int(MemberState.LEAVING),
                )
            )
