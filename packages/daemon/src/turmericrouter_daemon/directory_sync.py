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
from turmericrouter_core.errors import LogServiceError
from turmericrouter_core.messages import DirectoryEntry
from turmericrouter_core.messages import DirectoryPull
from turmericrouter_core.messages import DirectoryPush
from turmericrouter_core.messages import Hello
from turmericrouter_daemon.config_sync import ConfigSync
from turmericrouter_daemon.directory_exchange import DirectoryExchange
from turmericrouter_daemon.gossip import Gossip
from turmericrouter_daemon.peer import MessageRouter
from turmericrouter_daemon.runtime import Runtime

_EXPIRE_PERIOD_S = 60.0
_ANNOUNCE_RETRY_S = 0.5
_MAX_ANNOUNCE_RETRY_S = 5.0
# A message with more entries comes from an exchange and is not sent on.
_MAX_NEWS = 32

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
        self._exchange = DirectoryExchange(runtime, gossip, self.take)
        self._has_departed = False
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
        router.register(DirectoryPull, self._exchange.handle_pull)
        router.register(DirectoryPush, self.handle_push)

    async def start(self) -> None:
        """Announce this daemon and start exchanging directories."""
        timers = self._runtime.timers
        retention_s = self._runtime.settings.platform.retention_s
        self._timers = [
            timers.after(0.0, self._announce_start, name='announce'),
            timers.every(
                retention_s / 4, self._announce_again, name='announce_again'
            ),
            timers.every(
                _EXPIRE_PERIOD_S, self._expire, name='directory_expire'
            ),
        ]
        self._exchange.start()

    async def stop(self) -> None:
        """Tell others that this daemon ends; it refutes nothing more."""
        self._exchange.stop()
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
        self._change_own(
            msgspec.structs.replace(
                self._own,
                state=int(state),
                service=service,
                target=target,
                slots=slots,
                connections=connections,
            )
        )

    async def lose_target(self) -> None:
        """Tell others that the target has not announced itself of late."""
        joining = int(MemberState.JOINING)
        self._change_own(msgspec.structs.replace(self._own, state=joining))

    async def leave(self) -> None:
        """Tell others that this daemon takes no new work."""
        self._is_leaving = True
        self._change_own(self._own)

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

    def _change_own(self, entry: DirectoryEntry) -> None:
        """Set the own entry if it differs, with the next version."""
        # A heartbeat of the target does not take a leave back.
        if self._is_leaving or self._config.state.is_retired(entry.target):
            leaving = int(MemberState.LEAVING)
            entry = msgspec.structs.replace(entry, state=leaving)
        if entry != self._own and not self._has_departed:
            version = self._own.version + 1
            self._set_own(msgspec.structs.replace(entry, version=version))

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
        if isinstance(record, Announcement):
            self._exchange.add_contact(record.entry.address)

    def _on_config(self, applied: Applied) -> None:
        if self._own.state == MemberState.SERVING:
            # Leaves if the target has been retired.
            self._change_own(self._own)
