"""Rosters: the daemons that hold quota slices and operation records.

The roster of a failure domain names its holders. Rendezvous hashing assigns
each item, a quota slice or an operation, to one of them. A fence stops a
holder that may have been replaced.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum
import math

import msgspec
import xxhash

from turmericrouter_core.control import RosterChange

NO_EPOCH = -1
_UNKNOWN_HOLDER = '?'


class Roster(msgspec.Struct, frozen=True, array_like=True):
    """Holders of a failure domain.

    Args:
        epoch: Offset of the control record that set the holders, -1 before
            the first one.
        holders: Addresses of the holders in no particular order.
    """

    epoch: int = NO_EPOCH
    holders: tuple[str, ...] = ()


class RosterState:
    """Rosters of all failure domains, as of one offset of the log.

    The order of the log and the base epoch decide between concurrent
    proposals, so all daemons agree on the holders.
    """

    def __init__(self) -> None:
        self._rosters: dict[str, Roster] = {}

    def roster(self, domain: str) -> Roster:
        """Return the roster of a failure domain."""
        return self._rosters.get(domain, Roster())

    def apply(self, offset: int, change: RosterChange) -> bool:
        """Apply a change; return whether it was accepted."""
        if change.base_epoch != self.roster(change.domain).epoch:
            return False
        self._rosters[change.domain] = Roster(offset, change.holders)
        return True

    def snapshot(self) -> dict[str, Roster]:
        """Return all rosters by failure domain."""
        return dict(self._rosters)

    def restore(self, rosters: dict[str, Roster]) -> tuple[str, ...]:
        """Apply newer rosters and return the domains that changed."""
        changed = tuple(
            domain
            for domain, roster in rosters.items()
            if roster.epoch > self.roster(domain).epoch
        )
        for domain in changed:
            self._rosters[domain] = rosters[domain]
        return changed


def _score(item: str, member: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f'{item}|{member}'.encode()), member


def rank(item: str, members: Iterable[str]) -> list[str]:
    """Return members by rendezvous hash for an item, highest first."""
    return sorted(members, key=lambda m: _score(item, m), reverse=True)


def holder_of(item: str, holders: Iterable[str]) -> str:
    """Return the holder of an item, or an empty text without holders."""
    return max(holders, key=lambda m: _score(item, m), default='')


@dataclasses.dataclass(frozen=True, slots=True)
class DomainView:
    """Members of a failure domain as observed by one of them.

    Args:
        domain: Name of the domain.
        live: Addresses of the serving members.
        dead_for_s: Seconds since each dead member was found dead.
        member_count: Number of members that have not left, dead ones included.
    """

    domain: str
    live: frozenset[str]
    dead_for_s: Mapping[str, float]
    member_count: int


def propose(
    own: str,
    roster: Roster,
    view: DomainView,
    *,
    max_holders: int,
    takeover_after_s: float,
) -> RosterChange | None:
    """Return the roster change that this member must propose, if any.

    Only the live member with the lowest address proposes, and only while
    more than half of the domain is live, so that a partitioned minority
    cannot replace holders.

    Args:
        own: Address of this member.
        roster: Roster in force.
        view: Members of the domain as observed by this member.
        max_holders: Maximum number of holders.
        takeover_after_s: Seconds after which a dead holder is replaced.

    Returns:
        The change, or None if this member has nothing to propose.
    """
    if not view.live or own != min(view.live):
        return None
    if 2 * len(view.live) <= view.member_count:
        return None
    kept = [
        holder
        for holder in roster.holders
        if view.dead_for_s.get(holder, 0.0) < takeover_after_s
    ]
    joining = rank(view.domain, view.live.difference(kept))
    holders = tuple(kept + joining[: max(0, max_holders - len(kept))])
    if not holders or set(holders) == set(roster.holders):
        return None
    return RosterChange(view.domain, roster.epoch, holders)


class FenceState(enum.StrEnum):
    """Whether a holder may act, or the reason why not."""

    CLEAR = 'clear'
    CUT_OFF = 'cut-off'
    PAUSED = 'paused'
    SUPERSEDED = 'superseded'


@dataclasses.dataclass(frozen=True, slots=True)
class FenceView:
    """State of a holder when it receives a request.

    Args:
        log_age_s: Seconds since the log was last read.
        live_member_count: Number of live members of the domain that have not
            left, the holder included.
        member_count_at_read: Number of members that had not left when the log
            was last read, dead ones included. Those that the holder cannot
            reach may be a majority that replaces it.
        pause_s: Longest pause of the event loop since the log was read or
            the current epoch was received.
        epoch: Epoch of the holder's roster.
        max_epoch_seen: Highest epoch received from any daemon.
    """

    log_age_s: float
    live_member_count: int
    member_count_at_read: int
    pause_s: float
    epoch: int
    max_epoch_seen: int


@dataclasses.dataclass(frozen=True, slots=True)
class Fence:
    """Rule that stops a holder which may have been replaced.

    Args:
        fence_after_s: Age of the log in seconds above which the holder
            needs a live majority of its domain.
        max_pause_s: Longest pause in seconds after which a holder continues.
    """

    fence_after_s: float
    max_pause_s: float

    @property
    def start_delay_s(self) -> float:
        """Return the seconds until a former holder has certainly stopped."""
        return self.fence_after_s + self.max_pause_s

    def check(self, view: FenceView) -> FenceState:
        """Return whether a holder may act."""
        if view.max_epoch_seen > view.epoch:
            return FenceState.SUPERSEDED
        if view.pause_s > self.max_pause_s:
            return FenceState.PAUSED
        is_minority = 2 * view.live_member_count <= view.member_count_at_read
        if view.log_age_s > self.fence_after_s and is_minority:
            return FenceState.CUT_OFF
        return FenceState.CLEAR


@dataclasses.dataclass(slots=True)
class _RecordedChange:
    """A roster change, as recorded by this process.

    Args:
        epoch: Epoch of the new roster.
        before: Former holders.
        after: New holders.
        read_at: Monotonic seconds when the change was read.
        stopped_at: Monotonic seconds from which each former holder is known
            to have stopped.
        applied_at: Monotonic seconds at which each member is known to have
            applied the change.
        majority_applied_at: Monotonic seconds at which a majority had applied
            the change, infinite before.
    """

    epoch: int
    before: tuple[str, ...]
    after: tuple[str, ...]
    read_at: float
    stopped_at: dict[str, float]
    applied_at: dict[str, float]
    majority_applied_at: float = math.inf

    def update_majority(self, majority: int) -> None:
        """Determine anew when a majority had applied the change."""
        self.majority_applied_at = math.inf
        if len(self.applied_at) >= majority:
            times = sorted(self.applied_at.values())
            self.majority_applied_at = times[majority - 1]


class HoldingPeriods:
    """Holding periods of this daemon for the items of its domain.

    The new holder of a moved item does not act on it before the former
    holder has certainly stopped. This is the case when the former holder has
    released its role or confirmed a roster at least as new, and otherwise
    after the start delay. The first roster of a domain has no former holders.

    The start delay begins when more than half of the domain has applied the
    change. A former holder without the log acts only with a live majority,
    which then includes a member that knows of its replacement.

    Args:
        own: Address of this daemon.
        started_at: Monotonic seconds of the process start.
        delay_s: Start delay of a new holder in seconds.
        keep_s: Seconds for which changes are retained.
    """

    def __init__(
        self, own: str, started_at: float, *, delay_s: float, keep_s: float
    ) -> None:
        self._own = own
        self._started_at = started_at
        self._start_delay_s = delay_s
        self._retention_s = keep_s
        self._holders: tuple[str, ...] = ()
        self._changes: list[_RecordedChange] = []
        self._majority = 1

    def set_member_count(self, member_count: int) -> None:
        """Set the number of members of the domain that have not left.

        Args:
            member_count: Members, dead ones and this daemon included.
        """
        majority = member_count // 2 + 1
        if majority == self._majority:
            return
        self._majority = majority
        for change in self._changes:
            change.update_majority(majority)

    def apply_roster(
        self,
        now: float,
        epoch: int,
        holders: tuple[str, ...],
        released: tuple[str, ...] = (),
    ) -> None:
        """Apply the holders of a newer roster.

        Args:
            now: Monotonic seconds.
            epoch: Epoch of the roster.
            holders: Holders of the roster.
            released: Former holders that had stopped before the change.
        """
        retained_from = now - self._retention_s - self._start_delay_s
        self._changes = [
            change
            for change in self._changes
            if change.read_at >= retained_from
        ]
        if self._holders:
            change = _RecordedChange(
                epoch,
                self._holders,
                holders,
                now,
                stopped_at=dict.fromkeys(released, now),
                applied_at={self._own: now},
            )
            change.update_majority(self._majority)
            self._changes.append(change)
        self._holders = holders

    def restore_roster(
        self, now: float, epoch: int, holders: tuple[str, ...]
    ) -> None:
        """Apply a roster whose earlier changes are unknown.

        The former holders of all items are unknown, so every item is subject
        to the start delay.
        """
        self._holders = (_UNKNOWN_HOLDER,)
        self.apply_roster(now, epoch, holders)

    def unconfirmed_holders(self, now: float) -> frozenset[str]:
        """Return former holders that may still act on moved items."""
        return frozenset(
            holder
            for change in self._changes
            if now < self._latest_stop_at(change)
            for holder in change.before
            if holder not in (self._own, _UNKNOWN_HOLDER)
            and holder not in change.stopped_at
        )

    def confirm(self, now: float, holder: str, epoch: int) -> None:
        """Record that a holder has applied the roster of an epoch.

        The holder no longer acts on items that moved away from it up to this
        epoch.
        """
        for change in self._changes:
            if change.epoch <= epoch:
                change.stopped_at.setdefault(holder, now)

    def awaited_members(self, members: Iterable[str]) -> list[str]:
        """Return the members of whom a majority must still apply a change.

        Args:
            members: Members of the domain that can be asked.
        """
        waiting = [
            change
            for change in self._changes
            if len(change.applied_at) < self._majority
        ]
        if not waiting:
            return []
        return sorted(
            member
            for member in members
            if any(member not in change.applied_at for change in waiting)
        )

    def record_applied(self, now: float, member: str, epoch: int) -> None:
        """Record that a member has applied the roster of an epoch."""
        for change in self._changes:
            if change.epoch <= epoch and member not in change.applied_at:
                change.applied_at[member] = now
                change.update_majority(self._majority)

    def held_since(self, item: str) -> float | None:
        """Return the monotonic seconds from which this daemon holds an item.

        The time may be in the future. None means that another daemon holds
        the item.
        """
        if holder_of(item, self._holders) != self._own:
            return None
        held_since = self._started_at
        for change in self._changes:
            before = holder_of(item, change.before)
            if before == holder_of(item, change.after):
                continue
            latest_stop_at = self._latest_stop_at(change)
            stopped_at = change.stopped_at.get(before, latest_stop_at)
            held_since = max(held_since, min(stopped_at, latest_stop_at))
        return held_since

    def _latest_stop_at(self, change: _RecordedChange) -> float:
        """Return when the former holders of a change have surely stopped."""
        return change.majority_applied_at + self._start_delay_s
