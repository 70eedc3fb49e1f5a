"""Rosters: which addresses hold quota slices and operations."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum

import msgspec
import xxhash

from turmericrouter_core.control import RosterChange

NO_EPOCH = -1
_UNKNOWN_HOLDER = '?'


class Roster(msgspec.Struct, frozen=True, array_like=True):
    """Holders of a failure domain.

    Args:
        epoch: Offset of the control record that set them, -1 before the
            first.
        holders: Addresses in no particular order.
    """

    epoch: int = NO_EPOCH
    holders: tuple[str, ...] = ()


class RosterState:
    """Rosters of all failure domains, as of one offset of the log.

    The log's order and the base epoch decide between changes that were
    proposed at the same time, so all daemons agree on the holders.
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
        """Take over newer rosters and return the domains that changed."""
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
    """Return members by rendezvous hash for an item, best first."""
    return sorted(members, key=lambda m: _score(item, m), reverse=True)


def holder_of(item: str, holders: Iterable[str]) -> str:
    """Return the holder of an item, empty without holders."""
    return max(holders, key=lambda m: _score(item, m), default='')


@dataclasses.dataclass(frozen=True, slots=True)
class DomainView:
    """What a member sees of its failure domain.

    Args:
        domain: Name of the domain.
        live: Addresses that serve.
        dead_for_s: Seconds since each dead member was found dead.
        known: Members that have not left, dead ones included.
    """

    domain: str
    live: frozenset[str]
    dead_for_s: Mapping[str, float]
    known: int


def propose(
    own: str,
    roster: Roster,
    view: DomainView,
    *,
    limit: int,
    takeover_after_s: float,
) -> RosterChange | None:
    """Return the change that this member has to propose, if any.

    Only the first live member by address proposes, and only while it sees
    more than half of the domain, so that a cut-off minority replaces nobody.

    Args:
        own: Address of this member.
        roster: Roster in force.
        view: What this member sees.
        limit: Most holders.
        takeover_after_s: Seconds after which a dead holder is replaced.
    """
    if not view.live or own != min(view.live):
        return None
    if 2 * len(view.live) <= view.known:
        return None
    kept = [
        holder
        for holder in roster.holders
        if view.dead_for_s.get(holder, 0.0) < takeover_after_s
    ]
    joining = rank(view.domain, view.live.difference(kept))
    holders = tuple(kept + joining[: max(0, limit - len(kept))])
    if not holders or set(holders) == set(roster.holders):
        return None
    return RosterChange(view.domain, roster.epoch, holders)


class FenceState(enum.StrEnum):
    """Whether a holder may act, and why not."""

    CLEAR = 'clear'
    CUT_OFF = 'cut-off'
    PAUSED = 'paused'
    SUPERSEDED = 'superseded'


@dataclasses.dataclass(frozen=True, slots=True)
class FenceView:
    """What a holder knows at the moment it is asked to act.

    Args:
        log_age_s: Seconds since the log was read.
        members_now: Members of the domain that have not left and are seen
            now, itself included.
        members_at_read: Members that had not left when the log was last
            read, dead ones included: those that this one does not see may
            be a majority that replaces it.
        pause_s: Longest pause of the event loop since the log was read or
            the current epoch heard.
        epoch: Epoch of the holder's roster.
        epoch_heard: Highest epoch heard from anybody.
    """

    log_age_s: float
    members_now: int
    members_at_read: int
    pause_s: float
    epoch: int
    epoch_heard: int


@dataclasses.dataclass(frozen=True, slots=True)
class Fence:
    """Stops a holder that may have been replaced.

    Args:
        fence_after_s: Age of the log from which members are counted.
        max_pause_s: Longest pause after which a holder goes on.
    """

    fence_after_s: float
    max_pause_s: float

    @property
    def start_delay_s(self) -> float:
        """Return seconds that a new holder waits for the former one."""
        return self.fence_after_s + self.max_pause_s

    def check(self, view: FenceView) -> FenceState:
        """Return whether a holder may act."""
        if view.epoch_heard > view.epoch:
            return FenceState.SUPERSEDED
        if view.pause_s > self.max_pause_s:
            return FenceState.PAUSED
        is_minority = 2 * view.members_now <= view.members_at_read
        if view.log_age_s > self.fence_after_s and is_minority:
            return FenceState.CUT_OFF
        return FenceState.CLEAR


@dataclasses.dataclass(frozen=True, slots=True)
class _Change:
    """A roster change as this process has learnt it.

    Args:
        epoch: Epoch of the new roster.
        before: Former holders.
        after: New holders.
        read_at: Monotonic seconds when the change was read.
        stopped_at: Since when a former holder is known to have stopped.
    """

    epoch: int
    before: tuple[str, ...]
    after: tuple[str, ...]
    read_at: float
    stopped_at: dict[str, float]


class Tenure:
    """Tells since when this daemon holds an item of its domain.

    An item that moves between holders is not touched by the new one before
    the former one has certainly stopped: when it has released itself or
    confirmed a roster at least as new, else after the start delay. The very
    first roster of a domain has no former holders.

    Args:
        own: Address of this daemon.
        started_at: Monotonic seconds of the process start.
        delay_s: Start delay of a new holder in seconds.
        keep_s: Seconds for which changes are remembered.
    """

    def __init__(
        self, own: str, started_at: float, *, delay_s: float, keep_s: float
    ) -> None:
        self._own = own
        self._started_at = started_at
        self._delay_s = delay_s
        self._keep_s = keep_s
        self._holders: tuple[str, ...] = ()
        self._changes: list[_Change] = []

    def change(
        self,
        now: float,
        epoch: int,
        holders: tuple[str, ...],
        released: tuple[str, ...] = (),
    ) -> None:
        """Take in the holders of a newer roster.

        Args:
            now: Monotonic seconds.
            epoch: Epoch of the roster.
            holders: Holders from now on.
            released: Former holders that had stopped before the change.
        """
        oldest = now - self._keep_s - self._delay_s
        self._changes = [c for c in self._changes if c.read_at >= oldest]
        if self._holders:
            stopped_at = dict.fromkeys(released, now)
            self._changes.append(
                _Change(epoch, self._holders, holders, now, stopped_at)
            )
        self._holders = holders

    def restore(
        self, now: float, epoch: int, holders: tuple[str, ...]
    ) -> None:
        """Take in a roster without the changes that led to it.

        Whoever held an item before is unknown, so every item waits.
        """
        self._holders = (_UNKNOWN_HOLDER,)
        self.change(now, epoch, holders)

    def unconfirmed(self, now: float) -> frozenset[str]:
        """Return former holders that may still act on moved items."""
        return frozenset(
            holder
            for change in self._changes
            if now < change.read_at + self._delay_s
            for holder in change.before
            if holder not in (self._own, _UNKNOWN_HOLDER)
            and holder not in change.stopped_at
        )

    def confirm(self, now: float, holder: str, epoch: int) -> None:
        """Take in that a holder follows a roster of some epoch.

        It does not act on items that moved away from it up to this epoch.
        """
        for change in self._changes:
            if change.epoch <= epoch:
                change.stopped_at.setdefault(holder, now)

    def since(self, item: str) -> float | None:
        """Return the monotonic second from which the item is held here.

        It may lie ahead. None means that another daemon holds the item.
        """
        if holder_of(item, self._holders) != self._own:
            return None
        begin = self._started_at
        for change in self._changes:
            before = holder_of(item, change.before)
            if before == holder_of(item, change.after):
                continue
            expected = change.read_at + self._delay_s
            stopped_at = change.stopped_at.get(before, expected)
            begin = max(begin, min(stopped_at, expected))
        return begin
