"""Follows the rosters, proposes changes and fences this holder.

A roster lists the holders of a failure domain: the daemons that hold its
quota slices and operations. The fence stops a holder that may have been
replaced.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import contextlib
import math
from typing import Any

from turmericrouter_client.log_service import LogService
from turmericrouter_core.config import CONTROL_STREAM
from turmericrouter_core.control import ControlRecord
from turmericrouter_core.control import decode_control
from turmericrouter_core.control import encode_control
from turmericrouter_core.control import RosterChange
from turmericrouter_core.directory import MemberHealth
from turmericrouter_core.directory import MemberState
from turmericrouter_core.errors import ConfigError
from turmericrouter_core.errors import LinkError
from turmericrouter_core.errors import LogServiceError
from turmericrouter_core.messages import Hello
from turmericrouter_core.messages import RosterEpoch
from turmericrouter_core.messages import RosterQuery
from turmericrouter_core.roster import DomainView
from turmericrouter_core.roster import Fence
from turmericrouter_core.roster import FenceState
from turmericrouter_core.roster import FenceView
from turmericrouter_core.roster import holder_of
from turmericrouter_core.roster import HoldingPeriods
from turmericrouter_core.roster import propose
from turmericrouter_core.roster import Roster
from turmericrouter_core.roster import RosterState
from turmericrouter_daemon.config_sync import ConfigSync
from turmericrouter_daemon.directory_sync import DirectorySync
from turmericrouter_daemon.peer import PeerPool
from turmericrouter_daemon.runtime import Runtime

Work = Callable[[], Coroutine[Any, Any, None]]

_PAUSE_CHECK_PERIOD_S = 0.25
_MEMBER_CHECK_PERIOD_S = 0.5
# The report of a log read that arrives later than this may follow a partition,
# when members present at the read are already marked dead. Failure detection
# takes longer than this.
_MAX_FRESH_LOG_AGE_S = 3.0
# Members that start together are discovered one by one. A roster of the first
# few would be changed again at once, and each change costs a start delay.
_MEMBERS_SETTLE_S = 1.0
# Time for a proposal to appear in the log before it is repeated.
_PROPOSAL_PERIOD_S = 2.0
_RELEASE_TIMEOUT_S = 3.0
_RELEASE_WAIT_S = 1.0
_QUERY_TIMEOUT_S = 1.0
# Members that are asked for their roster epoch at the same time.
_MAX_MEMBERS_ASKED = 16


class RosterService:
    """Keeps all rosters and decides whether this daemon may act as holder.

    Args:
        runtime: Services of the process.
        config: Source of control records.
        directory: Known members.
        peers: Links to other daemons.
        log_service: The platform's log.
    """

    def __init__(
        self,
        runtime: Runtime,
        config: ConfigSync,
        directory: DirectorySync,
        peers: PeerPool,
        log_service: LogService,
    ) -> None:
        self._runtime = runtime
        self._config = config
        self._directory = directory
        self._peers = peers
        self._log_service = log_service
        self._own = runtime.address
        self._domain = runtime.settings.host.domain
        quota = runtime.settings.quota
        self._fence = Fence(quota.fence_after_s, quota.max_pause_s)
        self._state = RosterState()
        self._tenure: HoldingPeriods | None = None
        # Changes of the own roster received before `start`.
        self._pending: list[tuple[int, RosterChange]] = []
        self._was_restored = False
        self._reported_epochs: dict[str, int] = {}
        self._last_tick = 0.0
        self._pause_s = 0.0
        self._last_log_age_s = float('inf')
        self._members: frozenset[str] = frozenset()
        self._staying_count = 0
        # Members that have not left, as counted by the fence.
        self._present_count = 0
        self._count_at_last_read = 0
        self._dead_since: dict[str, float] = {}
        self._live: frozenset[str] = frozenset()
        self._live_since = 0.0
        self._next_proposal_at = 0.0
        self._is_released = False
        # Set when the own domain's roster changes.
        self._changed = asyncio.Event()
        self._last_fence = FenceState.CLEAR
        self._tasks: dict[str, asyncio.Task[None]] = {}
        config.on_control(self._on_control)
        config.on_rosters(self._on_rosters)

    @property
    def fence_state(self) -> FenceState:
        """Return whether this daemon may act as a holder now."""
        now = self._runtime.clock.monotonic()
        # The tick may not have run yet after a pause.
        pause_s = max(self._pause_s, now - self._last_tick)
        return self._fence.check(
            FenceView(
                self._config.log_age_s,
                self._present_count,
                self._count_at_last_read,
                pause_s,
                self.roster(self._domain).epoch,
                self._reported_epochs.get(self._domain, -1),
            )
        )

    async def start(self) -> None:
        """Start acting as a holder; the peer listener must be bound.

        A former process at this address has ended once the listener is
        bound, so all that it did as a holder lies before this moment.
        """
        settings = self._runtime.settings
        now = self._runtime.clock.monotonic()
        self._last_tick = self._live_since = now
        tenure = HoldingPeriods(
            self._own,
            now,
            delay_s=self._fence.start_delay_s,
            keep_s=settings.operation.retention_s,
        )
        if self._was_restored:
            roster = self.roster(self._domain)
            tenure.restore_roster(now, roster.epoch, roster.holders)
            self._pending.clear()
        for offset, change in self._pending:
            tenure.apply_roster(now, offset, change.holders, change.released)
        self._pending.clear()
        self._tenure = tenure
        self._runtime.timers.every(
            _PAUSE_CHECK_PERIOD_S, self._check_pause, name='pause'
        )
        self._runtime.timers.every(
            _MEMBER_CHECK_PERIOD_S, self._check_members, name='roster'
        )

    async def stop(self) -> None:
        """Cancel the running tasks."""
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)

    async def release(self) -> None:
        """Stop acting as a holder and leave the roster.

        If the log does not answer, the others replace this holder later.
        """
        self._is_released = True
        try:
            async with asyncio.timeout(_RELEASE_TIMEOUT_S):
                while self._own in self.roster(self._domain).holders:
                    await self._append_release()
        except TimeoutError:
            self._runtime.log.warning('roster_release_failed')

    async def _append_release(self) -> None:
        roster = self.roster(self._domain)
        holders = tuple(h for h in roster.holders if h != self._own)
        await self._append(
            RosterChange(self._domain, roster.epoch, holders, (self._own,))
        )
        # A concurrent change may come first; then the release is repeated.
        if self.roster(self._domain).epoch == roster.epoch:
            self._changed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_RELEASE_WAIT_S):
                    await self._changed.wait()

    def roster(self, domain: str) -> Roster:
        """Return the roster of a failure domain."""
        return self._state.roster(domain)

    def holder(self, domain: str, item: str) -> str:
        """Return the address of an item's holder, empty if there is none."""
        return holder_of(item, self.roster(domain).holders)

    def held_since(self, domain: str, item: str) -> float | None:
        """Return the time since which this daemon holds an item.

        Returns:
            Monotonic seconds, or none if this daemon must not act on it.
        """
        if domain != self._domain or self._is_released or not self._tenure:
            return None
        since = self._tenure.held_since(item)
        if since is None or since > self._runtime.clock.monotonic():
            return None
        state = self.fence_state
        if state is not self._last_fence:
            self._last_fence = state
            self._runtime.log.warning('holder_fence', state=state)
        return since if state is FenceState.CLEAR else None

    def handle_epoch(self, domain: str, epoch: int) -> None:
        """Record the roster epoch that a peer reported."""
        if epoch > self._reported_epochs.get(domain, -1):
            self._reported_epochs[domain] = epoch

    def apply(self, offset: int, change: RosterChange) -> None:
        """Apply a roster change of the log."""
        if not self._state.apply(offset, change):
            return
        self.handle_epoch(change.domain, offset)
        self._runtime.decisions.record(
            'roster_changed',
            domain=change.domain,
            epoch=offset,
            holders=','.join(change.holders),
            released=','.join(change.released),
        )
        if change.domain != self._domain:
            return
        self._changed.set()
        if self._tenure is None:
            self._pending.append((offset, change))
        else:
            self._tenure.apply_roster(
                self._runtime.clock.monotonic(),
                offset,
                change.holders,
                change.released,
            )

    def _on_control(self, offset: int, record: ControlRecord) -> None:
        if isinstance(record, RosterChange):
            self.apply(offset, record)

    def _on_rosters(self) -> None:
        """Apply rosters that were restored from a snapshot."""
        changed = self._state.restore(self._config.rosters.snapshot())
        for domain in changed:
            self.handle_epoch(domain, self.roster(domain).epoch)
        if self._domain not in changed:
            return
        self._changed.set()
        self._was_restored = True
        if self._tenure is not None:
            roster = self.roster(self._domain)
            self._tenure.restore_roster(
                self._runtime.clock.monotonic(), roster.epoch, roster.holders
            )

    def handle_query(self, message: RosterQuery, sender: Hello) -> RosterEpoch:
        """Return the epoch to a peer that was paused or replaces a holder."""
        return RosterEpoch(self.roster(message.domain).epoch)

    def _check_pause(self) -> None:
        now = self._runtime.clock.monotonic()
        self._pause_s = max(self._pause_s, now - self._last_tick)
        self._last_tick = now
        if self._pause_s > self._fence.max_pause_s:
            self._start_task('refresh', self._refresh)
        else:
            self._pause_s = 0.0
        tenure = self._tenure
        if tenure is None:
            return
        members = self._members_to_ask(tenure)
        if members:
            self._start_task('confirm', lambda: self._confirm(tenure, members))

    def _members_to_ask(self, tenure: HoldingPeriods) -> list[str]:
        """Return the members whose roster epoch decides when to start."""
        now = self._runtime.clock.monotonic()
        former = tenure.unconfirmed_holders(now)
        others = tenure.awaited_members(self._members - {self._own} - former)
        chosen = self._runtime.rng.sample(
            others, min(len(others), _MAX_MEMBERS_ASKED)
        )
        return sorted(former) + chosen

    def _start_task(self, name: str, work: Work) -> None:
        """Run work in a task unless the last one of the name still runs."""
        running = self._tasks.get(name)
        if running is None or running.done():
            self._tasks[name] = asyncio.ensure_future(work())

    def _check_members(self) -> None:
        """Update the member counts and propose a change if one is due.

        It runs periodically because the directory is too large to search
        for each decision.
        """
        now = self._runtime.clock.monotonic()
        members = [
            entry
            for entry in self._directory.directory
            if entry.domain == self._domain
        ]
        seen = {e.address for e in members if e.mark != MemberHealth.DEAD}
        self._members = frozenset(seen | {self._own})
        # Dead members count, so that a minority does not consider itself the
        # whole domain.
        staying = {
            e.address for e in members if e.state != MemberState.LEAVING
        }
        self._staying_count = len(staying)
        self._present_count = len((staying & seen) | {self._own})
        log_age_s = self._config.log_age_s
        is_fresh = log_age_s < min(self._last_log_age_s, _MAX_FRESH_LOG_AGE_S)
        if is_fresh or math.isinf(log_age_s):
            # A daemon that has never read the log knows its domain from
            # peers, which list dead members too.
            self._count_at_last_read = len(staying | {self._own})
        self._last_log_age_s = log_age_s
        if self._tenure is not None:
            self._tenure.set_member_count(len(staying | {self._own}))
        live = frozenset(
            e.address
            for e in members
            if e.address in seen and e.state == MemberState.SERVING
        )
        if live != self._live:
            self._live, self._live_since = live, now
        self._dead_since = {
            holder: self._dead_since.get(holder, now)
            for holder in self.roster(self._domain).holders
            if holder not in self._members
        }
        self._propose(now)

    def _propose(self, now: float) -> None:
        due_at = max(
            self._next_proposal_at, self._live_since + _MEMBERS_SETTLE_S
        )
        if self._is_released or now < due_at:
            return
        quota = self._runtime.settings.quota
        view = DomainView(
            self._domain,
            self._live,
            {a: now - since for a, since in self._dead_since.items()},
            self._staying_count,
        )
        change = propose(
            self._own,
            self.roster(self._domain),
            view,
            max_holders=quota.holders_per_domain,
            takeover_after_s=quota.takeover_after_s,
        )
        if change is not None and self._config.log_age_s != float('inf'):
            self._next_proposal_at = now + _PROPOSAL_PERIOD_S
            self._start_task('propose', lambda: self._append(change))

    async def _append(self, change: RosterChange) -> None:
        payload = encode_control(change)
        try:
            await self._log_service.append(CONTROL_STREAM, payload)
        except LogServiceError as error:
            self._runtime.log.warning('roster_append_failed', error=str(error))

    async def _refresh(self) -> None:
        """Verify after a pause that the known roster is the current one.

        Messages that waited in a socket during the pause may be outdated,
        so the log or a peer is queried again.
        """
        if await self._read_log() or await self._check_epoch_of_peer():
            self._pause_s = 0.0
            self._runtime.log.info('holder_refreshed')

    async def _confirm(
        self, tenure: HoldingPeriods, members: list[str]
    ) -> None:
        """Query former holders and other members for their roster epoch.

        A former holder with the newer roster has stopped, so its successor
        need not wait for the start delay, which begins once a majority of
        the members has the newer roster.
        """
        await asyncio.gather(
            *(self._confirm_member(tenure, member) for member in members)
        )

    async def _confirm_member(
        self, tenure: HoldingPeriods, member: str
    ) -> None:
        epoch = await self._request_epoch(member)
        if epoch is not None:
            now = self._runtime.clock.monotonic()
            tenure.confirm(now, member, epoch)
            tenure.record_applied(now, member, epoch)

    async def _read_log(self) -> bool:
        after = self.roster(self._domain).epoch
        while True:
            try:
                page = await self._log_service.read(
                    CONTROL_STREAM, after, wait_s=0.0
                )
            except LogServiceError:
                return False
            if page.first > after + 1:
                # Changes may be gone from the log.
                return False
            if not page.records:
                return True
            for record in page.records:
                after = record.offset
                with contextlib.suppress(ConfigError):
                    content = decode_control(record.decode_payload())
                    self._on_control(record.offset, content)

    async def _check_epoch_of_peer(self) -> bool:
        others = sorted(self._members - {self._own})
        chosen = self._runtime.rng.choice(others) if others else ''
        epoch = await self._request_epoch(chosen) if chosen else None
        return epoch == self.roster(self._domain).epoch

    async def _request_epoch(self, address: str) -> int | None:
        query = RosterQuery(self._domain)
        try:
            reply = await self._peers.request(
                address, query, RosterEpoch, timeout_s=_QUERY_TIMEOUT_S
            )
        except LinkError:
            return None
        self.handle_epoch(self._domain, reply.epoch)
        return reply.epoch
