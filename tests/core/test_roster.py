"""At most one holder acts for an item despite pauses and partitions.

A holder that may have been replaced is fenced: it stops acting.
"""

import itertools
import math

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
import pytest

from turmericrouter_core.control import RosterChange
from turmericrouter_core.roster import DomainView
from turmericrouter_core.roster import Fence
from turmericrouter_core.roster import FenceState
from turmericrouter_core.roster import FenceView
from turmericrouter_core.roster import holder_of
from turmericrouter_core.roster import HoldingPeriods
from turmericrouter_core.roster import propose
from turmericrouter_core.roster import Roster
from turmericrouter_core.roster import RosterState

FENCE = Fence(fence_after_s=20.0, max_pause_s=5.0)
TAKEOVER_S = 60.0
DETECTION_S = 5.0
STEP_S = 1.0
ITEMS = ('a', 'b', 'c')


class _Member:
    """Daemon with its own, possibly outdated, view of the domain."""

    def __init__(self, name: str, now: float) -> None:
        self.name = name
        self.state = RosterState()
        self.tenure = HoldingPeriods(
            name, now, delay_s=FENCE.start_delay_s, keep_s=900.0
        )
        self.offset = -1
        self.heard = -1
        self.read_at = float('-inf')
        self.members_now = 0
        self.members_at_read = 0
        self.last_tick = now
        self.pause_s = 0.0
        self.seen_at: dict[str, float] = {}
        # Members in the directory, dead ones included.
        self.known = {name}
        self.has_log = True
        self.is_paused = False
        self.is_released = False

    def members(self, now: float) -> set[str]:
        alive = {m for m, at in self.seen_at.items() if now - at < DETECTION_S}
        return alive | {self.name}

    def take_in(self, log: list[RosterChange], now: float) -> None:
        for offset in range(self.offset + 1, len(log)):
            self.offset = offset
            change = log[offset]
            if self.state.apply(offset, change):
                self.heard = max(self.heard, offset)
                self.tenure.apply_roster(
                    now, offset, change.holders, change.released
                )

    def may_act(self, item: str, now: float) -> bool:
        since = self.tenure.held_since(item)
        if self.is_released or since is None or since > now:
            return False
        view = FenceView(
            log_age_s=now - self.read_at,
            live_member_count=self.members_now,
            member_count_at_read=self.members_at_read,
            pause_s=max(self.pause_s, now - self.last_tick),
            epoch=self.state.roster('d').epoch,
            max_epoch_seen=self.heard,
        )
        return FENCE.check(view) is FenceState.CLEAR


class FenceMachine(RuleBasedStateMachine):
    """Members of one domain that are cut off, paused, killed and released.

    A group is a set of members that reach each other. The oracle asks every
    member that runs whether it would act, at every step.
    """

    @initialize(size=st.integers(1, 5), asks=st.booleans())
    def begin_world(self, size: int, asks: bool) -> None:
        self.now = 0.0
        self.asks = asks
        self.log: list[RosterChange] = []
        self.members = {f'm{n}': _Member(f'm{n}', 0.0) for n in range(size)}
        self.group = dict.fromkeys(self.members, 0)
        self.run_on(5)
        for item in ITEMS:
            assert len(self._actors(item)) == 1, 'a fleet starts at once'

    @rule(steps=st.sampled_from([1, 4, 19, 30, 70, 100]))
    def run_on(self, steps: int) -> None:
        for _ in range(steps):
            self.now += STEP_S
            for member in self.members.values():
                if not member.is_paused:
                    self._step(member)
            self._check()

    @rule(pick=st.integers(0, 4), group=st.integers(0, 1), log=st.booleans())
    def cut(self, pick: int, group: int, log: bool) -> None:
        member = self._pick(pick)
        self.group[member.name] = group
        member.has_log = log

    @rule(groups=st.lists(st.booleans(), min_size=5, max_size=5))
    def split(self, groups: list[bool]) -> None:
        """Cut the domain in two; one part loses the log as well."""
        for member, side in zip(self.members.values(), groups, strict=False):
            self.group[member.name] = int(side)
            member.has_log = side

    @rule(
        first=st.lists(st.booleans(), min_size=5, max_size=5),
        second=st.lists(st.booleans(), min_size=5, max_size=5),
    )
    def split_twice(self, first: list[bool], second: list[bool]) -> None:
        """Split the domain anew once the first split has moved items."""
        self.split(first)
        self.run_on(100)
        self.split(second)
        self.run_on(30)

    @rule()
    def heal(self) -> None:
        self.group = dict.fromkeys(self.members, 0)
        for member in self.members.values():
            member.has_log = True

    @rule(pick=st.integers(0, 4))
    def pause_or_resume(self, pick: int) -> None:
        member = self._pick(pick)
        member.is_paused = not member.is_paused

    @rule(pick=st.integers(0, 4))
    def pause_until_replaced(self, pick: int) -> None:
        """Resume a member and ask it before any of its timers runs."""
        member = self._pick(pick)
        member.is_paused = True
        self.run_on(100)
        member.is_paused = False
        self._check()

    @rule(pick=st.integers(0, 4))
    def restart(self, pick: int) -> None:
        name = self._pick(pick).name
        self.members[name] = _Member(name, self.now)

    @rule(pick=st.integers(0, 4))
    def release(self, pick: int) -> None:
        """Stop gracefully; the process ends and starts later."""
        member = self._pick(pick)
        member.is_released = True
        roster = member.state.roster('d')
        if member.has_log and member.name in roster.holders:
            left = tuple(h for h in roster.holders if h != member.name)
            released = (member.name,)
            self.log.append(RosterChange('d', roster.epoch, left, released))

    @rule(cut=st.integers(0, 4), pick=st.integers(0, 4))
    def cut_one_and_release_another(self, cut: int, pick: int) -> None:
        """Change the roster just after a holder has lost contact."""
        self.run_on(1)
        self.cut(cut, 1, False)
        self.release(pick)
        self.run_on(19)

    def _pick(self, pick: int) -> _Member:
        members = list(self.members.values())
        return members[pick % len(members)]

    def _check(self) -> None:
        for item in ITEMS:
            assert len(self._actors(item)) <= 1, (self.now, item)

    def _actors(self, item: str) -> list[str]:
        return [
            member.name
            for member in self.members.values()
            if not member.is_paused and member.may_act(item, self.now)
        ]

    def _step(self, member: _Member) -> None:
        """Run a member's timers: pause check, log, gossip, proposal."""
        now = self.now
        member.pause_s = max(member.pause_s, now - member.last_tick)
        member.last_tick = now
        peers = [
            peer
            for peer in self.members.values()
            if peer is not member
            and not peer.is_paused
            and self.group[peer.name] == self.group[member.name]
        ]
        for peer in peers:
            member.seen_at[peer.name] = now
            member.known |= peer.known
            member.take_in(self.log[: peer.offset + 1], now)
            if self.asks:
                epoch = peer.state.roster('d').epoch
                member.heard = max(member.heard, epoch)
                member.tenure.confirm(now, peer.name, epoch)
            member.tenure.record_applied(
                now, peer.name, peer.state.roster('d').epoch
            )
        member.tenure.set_member_count(len(member.known))
        if member.has_log:
            member.take_in(self.log, now)
            member.read_at = now
            member.known = set(self.members)
        if member.has_log or member.read_at == float('-inf'):
            member.members_at_read = len(member.known)
        member.members_now = len(member.members(now))
        if member.has_log or member.pause_s <= FENCE.max_pause_s:
            member.pause_s = 0.0
        if member.has_log and not member.is_released:
            self._propose(member)

    def _propose(self, member: _Member) -> None:
        now = self.now
        live = member.members(now)
        view = DomainView(
            'd',
            frozenset(live),
            {
                name: now - member.seen_at.get(name, 0.0) - DETECTION_S
                for name in self.members
                if name not in live
            },
            member_count=len(self.members),
        )
        change = propose(
            member.name,
            member.state.roster('d'),
            view,
            max_holders=3,
            takeover_after_s=TAKEOVER_S,
        )
        if change is not None and now > 2:
            self.log.append(change)


TestFenceMachine = FenceMachine.TestCase
TestFenceMachine.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=200,
    stateful_step_count=25,
)


PICKS = range(4)


def _world(size: int, *, asks: bool = False) -> FenceMachine:
    world = FenceMachine()
    world.begin_world(size, asks)
    return world


@pytest.mark.parametrize('pick', PICKS)
def test_cut_off_holder_stops_before_it_is_replaced(pick: int) -> None:
    """Guards against a holder that acts without the log and its peers."""
    world = _world(4)
    world.cut(pick, 1, False)
    world.run_on(100)


@pytest.mark.parametrize('pick', PICKS)
def test_holder_that_reads_the_log_alone_stops_without_it(pick: int) -> None:
    """Guards against a holder that counts only the peers it last reached.

    The holder loses its peers, reads the log for a while, and then loses
    the log.
    """
    world = _world(4)
    world.cut(pick, 1, True)
    world.run_on(30)
    world.cut(pick, 1, False)
    world.run_on(100)


def test_member_that_changes_sides_does_not_bring_two_holders() -> None:
    """Guards against two majorities that share a member one after another.

    A member proposes with a majority that loses a member at once. That member
    completes the majority of the former holder, which has lost the log and
    does not know of its replacement.
    """
    world = FenceMachine()
    world.begin_world(asks=True, size=5)
    world.run_on(27)
    world.split([True, True, False, False, True])
    world.run_on(204)
    world.split([False, False, True, False, True])
    world.run_on(30)


def test_holder_that_restarts_without_the_log_needs_a_majority() -> None:
    """Guards against a holder that has never read how large its domain is."""
    world = _world(3)
    world.restart(1)
    world.split_twice(
        [True, False, False, False, False], [True, False, True, False, False]
    )


def test_new_holder_waits_for_a_majority_that_knows_the_roster() -> None:
    """Guards against a start delay that runs while few know the roster."""
    tenure = HoldingPeriods('b', 0.0, delay_s=25.0, keep_s=900)
    tenure.set_member_count(5)
    tenure.apply_roster(1.0, 4, ('a',))
    tenure.apply_roster(9.0, 6, ('a', 'b'))
    item = next(n for n in map(str, range(50)) if holder_of(n, 'ab') == 'b')
    tenure.record_applied(10.0, 'c', 5)
    tenure.record_applied(11.0, 'd', 6)
    assert tenure.held_since(item) == math.inf
    assert tenure.unconfirmed_holders(99.0) == {'a'}
    assert tenure.awaited_members('acde') == ['a', 'c', 'e']
    tenure.record_applied(99.0, 'e', 7)
    assert tenure.held_since(item) == 99.0 + 25.0
    assert tenure.awaited_members('acde') == []
    tenure.confirm(100.0, 'a', 6)
    assert tenure.held_since(item) == 100.0


@pytest.mark.parametrize('item', ITEMS)
def test_log_page_handled_after_a_pause_is_not_fresh(item: str) -> None:
    """Guards against a start delay that ignores the longest pause.

    A paused holder handles a log page late and counts it as read at that
    time, although another holder joined right after the page was sent.
    """
    world = _world(3)
    holder = world.members[world._actors(item)[0]]
    roster = holder.state.roster('d')
    joining = next(
        name
        for name in map(str, range(99))
        if holder_of(item, (*roster.holders, name)) == name
    )
    world.cut(list(world.members).index(holder.name), 1, False)
    holder.is_paused = True
    world.members[joining] = _Member(joining, world.now)
    world.group[joining] = 0
    joined = (*roster.holders, joining)
    world.log.append(RosterChange('d', roster.epoch, joined))
    # The next timer runs one step later, after the longest allowed pause.
    world.run_on(int(FENCE.max_pause_s - STEP_S))
    holder.is_paused = False
    holder.read_at = world.now
    world.run_on(30)
    assert world._actors(item) == [joining]


def test_dead_holder_is_replaced_by_the_first_live_member() -> None:
    """Guards against proposals by several members or by a minority."""
    roster = Roster(4, ('a', 'b', 'c'))
    live = frozenset('bcd')
    view = DomainView('d', live, {'a': 61.0}, member_count=4)
    options = {'max_holders': 3, 'takeover_after_s': 60.0}
    change = propose('b', roster, view, **options)
    assert change == RosterChange('d', 4, ('b', 'c', 'd'))
    assert propose('c', roster, view, **options) is None
    early = DomainView('d', live, {'a': 59.0}, member_count=4)
    assert propose('b', roster, early, **options) is None
    minority = DomainView('d', live, {'a': 61.0}, member_count=6)
    assert propose('b', roster, minority, **options) is None


def test_first_roster_starts_at_once_and_released_items_too() -> None:
    """Guards against a start delay where no former holder can act."""
    tenures = {
        n: HoldingPeriods(n, 0.0, delay_s=25.0, keep_s=900) for n in 'ab'
    }
    for tenure in tenures.values():
        tenure.apply_roster(1.0, 0, ('a', 'b'))
    items = [str(n) for n in range(20)]
    for item in items:
        holder = holder_of(item, 'ab')
        assert tenures[holder].held_since(item) == 0.0
    tenures['b'].apply_roster(9.0, 1, ('b',), ('a',))
    moved = [item for item in items if holder_of(item, 'ab') == 'a']
    assert {tenures['b'].held_since(item) for item in moved} == {9.0}


def test_former_holder_that_confirms_is_not_waited_for() -> None:
    """Guards against a needless start delay, and an outdated confirmation."""
    tenure = HoldingPeriods('b', 0.0, delay_s=25.0, keep_s=900)
    tenure.apply_roster(1.0, 4, ('a',))
    tenure.apply_roster(9.0, 6, ('a', 'b'))
    item = next(n for n in map(str, range(50)) if holder_of(n, 'ab') == 'b')
    tenure.confirm(10.0, 'a', 5)
    assert tenure.unconfirmed_holders(10.0) == {'a'}
    assert tenure.held_since(item) == 34.0
    tenure.confirm(11.0, 'a', 6)
    assert tenure.unconfirmed_holders(11.0) == frozenset()
    assert tenure.held_since(item) == 11.0


def test_a_removed_holder_moves_only_its_own_items() -> None:
    """Guards against items that move between the remaining holders."""
    holders = ('a', 'b', 'c', 'd')
    for item, gone in itertools.product(map(str, range(50)), holders):
        before = holder_of(item, holders)
        after = holder_of(item, [h for h in holders if h != gone])
        assert before in (after, gone)


def test_two_of_two_act_and_one_of_two_stops_without_the_log() -> None:
    """Guards against small domains that stop while the log is down.

    Both of two members go on without the log; one of two stops after the
    fencing time.
    """
    base = {'pause_s': 0.0, 'epoch': 1, 'max_epoch_seen': 1}
    for now, at_read, state in ((1, 1, 'clear'), (2, 2, 'clear')):
        view = FenceView(99.0, now, at_read, **base)
        assert FENCE.check(view) == state
    assert FENCE.check(FenceView(99.0, 1, 2, **base)) == 'cut-off'
    assert FENCE.check(FenceView(19.0, 1, 2, **base)) == 'clear'
