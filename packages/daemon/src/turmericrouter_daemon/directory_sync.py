"""Keeps the directory of all daemons and their targets."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import random

import msgspec

from turmericrouter_client.log_service import LogService
from turmericrouter_core.clock import Subscription
from turmericrouter_core.config import ApplyResult
from turmericrouter_core.config import CONTROL_STREAM
from turmericrouter_core.control import Announcement
from turmericrouter_core.control import ControlRecord
from turmericrouter_core.control import encode_control
from turmericrouter_core.directory import Directory
from turmericrouter_core.directory import MemberHealth
from turmericrouter_core.directory import MemberState
from turmericrouter_core.directory import refuting_entry
from turmericrouter_core.directory import with_health
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
_MIN_ANNOUNCE_RETRY_S = 0.5
_MAX_ANNOUNCE_RETRY_S = 5.0
# A push with more entries is the result of an exchange; it is not forwarded.
_MAX_FORWARDED_ENTRIES = 32

ChangeCallback = Callable[[tuple[DirectoryEntry, ...]], None]


class DirectorySync:
    """Owns this daemon's entry and merges the entries of other daemons.

    Args:
        runtime: Services of the process.
        config: Source of control records and of retired targets.
        log_service: The platform's log.
        gossip: Directory of known daemons and selection of peers.
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
        self._exchange = DirectoryExchange(runtime, gossip, self.merge_entries)
        self._is_stopped = False
        self._change_subscribers: list[ChangeCallback] = []
        self._forward_subscribers: list[ChangeCallback] = []
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

    def on_forwarded_change(self, callback: ChangeCallback) -> None:
        """Subscribe to changes that are to be forwarded to others."""
        self._forward_subscribers.append(callback)

    def register(self, router: MessageRouter) -> None:
        """Handle the messages of the directory."""
        router.register(DirectoryPull, self._exchange.handle_pull)
        router.register(DirectoryPush, self.handle_push)

    async def start(self) -> None:
        """Announce this daemon and start exchanging directories."""
        timers = self._runtime.timers
        retention_s = self._runtime.settings.platform.retention_s
        self._timers = [
            timers.after(0.0, self._announce_until_appended, name='announce'),
            timers.every(
                retention_s / 4,
                self._repeat_announcement,
                name='announce_again',
            ),
            timers.every(
                _EXPIRE_PERIOD_S, self._expire, name='directory_expire'
            ),
        ]
        self._exchange.start()

    async def stop(self) -> None:
        """Announce the end of this daemon and stop refuting its entries."""
        self._exchange.stop()
        for timer in self._timers:
            timer.cancel()
        self._is_stopped = True
        own = msgspec.structs.replace(
            self._own,
            version=self._own.version + 1,
            state=int(MemberState.LEAVING),
        )
        self._set_own_entry(with_health(own, MemberHealth.DEAD))

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
        self._update_own_entry(
            msgspec.structs.replace(
                self._own,
                state=int(state),
                service=service,
                target=target,
                slots=slots,
                connections=connections,
            )
        )

    async def mark_target_lost(self) -> None:
        """Announce that the target is lost; no recent announcement exists."""
        joining = int(MemberState.JOINING)
        self._update_own_entry(
            msgspec.structs.replace(self._own, state=joining)
        )

    async def leave(self) -> None:
        """Announce that this daemon accepts no new work."""
        self._is_leaving = True
        self._update_own_entry(self._own)

    def merge_entries(
        self, entries: Iterable[DirectoryEntry], *, should_forward: bool = True
    ) -> None:
        """Merge entries and forward those that are new.

        Args:
            entries: Entries that others sent or that were marked here.
            should_forward: Whether to forward them: true for recent changes,
                false for the result of an exchange.
        """
        others = []
        for entry in entries:
            if entry.address == self._own.address:
                self._refute(entry)
            else:
                others.append(entry)
        new = self._directory.merge(others)
        if new:
            self._notify_subscribers(new, should_forward=should_forward)

    def handle_push(self, message: DirectoryPush, sender: Hello) -> None:
        """Merge pushed entries."""
        self.merge_entries(
            message.entries,
            should_forward=len(message.entries) <= _MAX_FORWARDED_ENTRIES,
        )

    def _refute(self, reported: DirectoryEntry) -> None:
        newer = refuting_entry(self._own, reported)
        if newer is None or self._is_stopped:
            return
        self._runtime.log.info(
            'mark_refuted', mark=reported.mark, version=newer.version
        )
        self._set_own_entry(newer)

    def _update_own_entry(self, entry: DirectoryEntry) -> None:
        """Set the own entry if it differs, with the next version."""
        # A heartbeat of the target must not revert the leaving state.
        if self._is_leaving or self._config.state.is_retired(entry.target):
            leaving = int(MemberState.LEAVING)
            entry = msgspec.structs.replace(entry, state=leaving)
        if entry != self._own and not self._is_stopped:
            version = self._own.version + 1
            self._set_own_entry(
                msgspec.structs.replace(entry, version=version)
            )

    def _set_own_entry(self, entry: DirectoryEntry) -> None:
        self._own = entry
        self._directory.merge([entry])
        self._notify_subscribers((entry,), should_forward=True)

    def _notify_subscribers(
        self, entries: tuple[DirectoryEntry, ...], *, should_forward: bool
    ) -> None:
        self._log_changes(entries)
        for callback in self._change_subscribers:
            callback(entries)
        if not should_forward:
            return
        for callback in self._forward_subscribers:
            callback(entries)
        # Only members of the same domain need a suspicion, and the probes
        # carry it to them.
        pushed = tuple(e for e in entries if e.mark != MemberHealth.SUSPECT)
        if pushed:
            fanout = self._runtime.settings.config.push_fanout
            self._gossip.send(
                self._gossip.choose_peers(fanout), DirectoryPush(pushed)
            )

    def _log_changes(self, entries: tuple[DirectoryEntry, ...]) -> None:
        log = self._runtime.log
        if len(entries) > _MAX_FORWARDED_ENTRIES:
            # A daemon that joins receives the whole fleet at once.
            log.info('directory_exchanged', entries=len(entries))
            return
        for entry in entries:
            log.info(
                'directory_changed',
                member=entry.address,
                target=entry.target,
                state=MemberState(entry.state).name,
                mark=MemberHealth(entry.mark).name,
                version=entry.version,
            )

    def _expire(self) -> None:
        expired = self._directory.expire(self._runtime.clock.monotonic())
        if expired:
            self._runtime.log.info('directory_expired', entries=expired)

    async def _announce_until_appended(self) -> None:
        retry_s = _MIN_ANNOUNCE_RETRY_S
        while not await self._announce():
            await asyncio.sleep(retry_s * self._rng.uniform(0.5, 1.0))
            retry_s = min(2 * retry_s, _MAX_ANNOUNCE_RETRY_S)

    async def _repeat_announcement(self) -> None:
        """Repeat the announcement so that it stays in the log.

        Daemons that start later find the readers of each domain by it.
        """
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
        # An announcement may be as old as the retention time, so only its
        # address is used; entries are requested from running daemons.
        if isinstance(record, Announcement):
            self._exchange.add_contact(record.entry.address)

    def _on_config(self, applied: ApplyResult) -> None:
        if self._own.state == MemberState.SERVING:
            # Changes the state to LEAVING if the target has been retired.
            self._update_own_entry(self._own)
