"""Choice of targets, compared with an oracle that records all events."""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from turmericrouter_core import balancing
from turmericrouter_core.balancing import TargetChooser
from turmericrouter_core.directory import MemberState
from turmericrouter_core.messages import AdmissionLevel
from turmericrouter_core.messages import DirectoryEntry
from turmericrouter_core.messages import GateLoad
from turmericrouter_core.verdict import Importance
from turmericrouter_core.verdict import Reason

REGIONS = {'north': 'x', 'south': 'x', 'far': 'y'}
SLOTS = 2


def _entry(name: str, domain: str, slots: int = SLOTS) -> DirectoryEntry:
    return DirectoryEntry(
        name, domain, 1, 1, MemberState.SERVING, 'svc', name, slots
    )


ENTRIES = [
    _entry(f'{domain}{copy}', domain)
    for domain in REGIONS
    for copy in range(2)
]
FAILED = [Reason.TARGET_UNREACHABLE, Reason.LINK_LOST, Reason.TARGET_CRASHED]
FULL = [Reason.QUEUE_FULL, Reason.SHED_AT_GATE]
OTHER = [Reason.SERVED, Reason.DEADLINE_EXPIRED, Reason.CANCELLED]


class _Seen:
    """State of one target in the oracle."""

    def __init__(self) -> None:
        self.in_flight_of = [0] * len(Importance)
        self.failures = 0
        self.ejected_until = self.full_until = 0.0
        self.report: tuple[float, GateLoad] | None = None

    def has_room(self, now: float) -> bool:
        load = sum(self.in_flight_of)
        if self.report and now - self.report[0] < balancing.LEVEL_LIFETIME_S:
            load = max(load, self.report[1].in_flight)
        return now >= self.full_until and load < SLOTS

    def is_admitted(
        self, importance: Importance, bucket: int, now: float
    ) -> bool:
        if not self.report or now - self.report[0] >= 1.0:
            return True
        level = self.report[1].level
        return (importance, bucket) < (level.importance, level.bucket)


class ChooserMachine(RuleBasedStateMachine):
    """Compares each choice with the targets that the oracle allows."""

    def __init__(self) -> None:
        super().__init__()
        self.chooser = TargetChooser('north')
        self.rng = random.Random(7)
        self.now = 10.0
        self.seen = {entry.address: _Seen() for entry in ENTRIES}
        self.flying: list[tuple[str, Importance]] = []

    @rule(steps=st.integers(0, 12))
    def wait(self, steps: int) -> None:
        self.now += steps / 8

    @rule(
        present=st.sets(st.integers(0, 5)),
        excluded=st.sets(
            st.sampled_from(ENTRIES[:3]).map(lambda e: e.address)
        ),
        importance=st.sampled_from(Importance),
        bucket=st.integers(0, 127),
    )
    def choose(
        self,
        present: set[int],
        excluded: set[str],
        importance: Importance,
        bucket: int,
    ) -> None:
        entries = [ENTRIES[index] for index in sorted(present)]
        choice = self.chooser.choose(
            entries,
            importance=importance,
            bucket=bucket,
            regions=REGIONS,
            now=self.now,
            rng=self.rng,
            excluded=excluded,
        )
        reason, allowed = self.expect(entries, excluded, importance, bucket)
        assert choice.reason is reason
        if choice.entry is None:
            assert not allowed
            return
        address = choice.entry.address
        assert address in allowed
        self.check_cheaper(choice)
        seen = self.seen[address]
        seen.in_flight_of[importance] += 1
        if seen.failures:
            probing = self.now + balancing.FIRST_EJECTION_S
            seen.ejected_until = max(seen.ejected_until, probing)
        if seen.report and self.now - seen.report[0] >= 1.0:
            seen.report = self.now, seen.report[1]
        self.flying.append((address, importance))

    def expect(
        self,
        entries: list[DirectoryEntry],
        excluded: set[str],
        importance: Importance,
        bucket: int,
    ) -> tuple[Reason, set[str]]:
        pool = [e for e in entries if e.address not in excluded]
        if not pool:
            return Reason.NO_TARGET, set()
        healthy = [
            e for e in pool if self.now >= self.seen[e.address].ejected_until
        ]
        passing = [
            e
            for e in healthy or pool
            if self.seen[e.address].is_admitted(importance, bucket, self.now)
        ]
        if not passing:
            return Reason.SHED_AT_ENTRY, set()
        room = [e for e in passing if self.seen[e.address].has_room(self.now)]
        limit = SLOTS * balancing.OVERFLOW_FACTOR
        queues = [
            e
            for e in passing
            if sum(self.seen[e.address].in_flight_of[: importance + 1]) < limit
        ]
        usable = room or queues
        if not usable:
            return Reason.NO_ROOM, set()
        order = list(REGIONS)
        nearest = min(order.index(e.domain) for e in usable)
        return Reason.SERVED, {
            e.address for e in usable if e.domain == order[nearest]
        }

    def check_cheaper(self, choice: balancing.Choice) -> None:
        costs = {one.target: one.cost for one in choice.loads.compared}
        assert costs[choice.entry.target] == min(costs.values())
        assert choice.entry.target in str(choice.loads)

    @rule(
        pick=st.integers(0, 99),
        reason=st.sampled_from(FAILED + FULL + OTHER),
        level=st.tuples(st.integers(0, 4), st.integers(0, 127)),
        in_flight=st.integers(0, 4),
        latency_ms=st.integers(1, 50),
        reports=st.booleans(),
    )
    def finish(
        self,
        pick: int,
        reason: Reason,
        level: tuple[int, int],
        in_flight: int,
        latency_ms: int,
        reports: bool,
    ) -> None:
        if not self.flying:
            return
        address, importance = self.flying.pop(pick % len(self.flying))
        load = GateLoad(AdmissionLevel(*level), in_flight, 0, SLOTS)
        self.chooser.finish(
            address,
            importance=importance,
            reason=reason,
            now=self.now,
            status=200,
            latency_s=latency_ms / 1000,
            load=load if reports else None,
        )
        seen = self.seen[address]
        seen.in_flight_of[importance] -= 1
        if reports:
            seen.report = self.now, load
        if reason in FAILED:
            length_s = balancing.FIRST_EJECTION_S * 2**seen.failures
            seen.ejected_until = self.now + min(4.0, length_s)
            seen.failures += 1
        elif reason in FULL:
            seen.full_until = self.now + balancing.FULL_BACKOFF_S
        elif reason is Reason.SERVED:
            seen.failures, seen.ejected_until = 0, 0.0

    @invariant()
    def requests_in_flight_are_counted(self) -> None:
        for address, seen in self.seen.items():
            assert self.chooser.in_flight(address) == sum(seen.in_flight_of)


TestChooser = ChooserMachine.TestCase
TestChooser.settings = settings(
    derandomize=True, max_examples=100, stateful_step_count=60
)


def _choose(
    chooser: TargetChooser,
    entries: list[DirectoryEntry],
    rng: random.Random,
    *,
    now: float = 0.0,
    importance: Importance = Importance.NORMAL,
) -> balancing.Choice:
    return chooser.choose(
        entries,
        importance=importance,
        bucket=0,
        regions={},
        now=now,
        rng=rng,
    )


def test_slow_and_small_targets_get_their_share() -> None:
    """Guards against a choice that ignores latency or slots.

    A target with fewer slots or a higher latency gets fewer requests.
    """
    for slots, slow_s in [(8, 0.01), (16, 0.04)]:
        chooser = TargetChooser('north')
        entries = [_entry('a', 'north', 16), _entry('b', 'north', slots)]
        rng = random.Random(3)
        counts = {'a': 0, 'b': 0}
        running: list[tuple[float, str]] = []
        for step in range(4000):
            now = step / 1000
            for ends, address in [one for one in running if one[0] <= now]:
                running.remove((ends, address))
                latency_s = slow_s if address == 'b' else 0.01
                chooser.finish(
                    address,
                    importance=Importance.NORMAL,
                    reason=Reason.SERVED,
                    now=now,
                    status=200,
                    latency_s=latency_s,
                )
            choice = _choose(chooser, entries, rng, now=now)
            assert choice.entry is not None
            name = choice.entry.target
            counts[name] += 1
            running.append((now + (slow_s if name == 'b' else 0.01), name))
        assert counts['b'] < 0.8 * counts['a']


def test_idle_targets_are_pruned() -> None:
    """Guards against state that is kept for targets no longer in use.

    A target with a request in flight is not idle.
    """
    chooser = TargetChooser('north')
    _choose(chooser, ENTRIES[:1], random.Random(1), importance=Importance.LOW)
    chooser.prune(balancing.IDLE_EXPIRY_S * 2)
    assert len(chooser) == 1
    chooser.finish(
        'north0', importance=Importance.LOW, reason=Reason.SERVED, now=0.0
    )
    chooser.prune(balancing.IDLE_EXPIRY_S * 2)
    assert len(chooser) == 0


def test_ejected_target_is_probed_and_then_used_again() -> None:
    """Guards against a target that stays ejected after its recovery."""
    chooser = TargetChooser('north')
    rng = random.Random(5)

    def choose(now: float) -> str:
        choice = _choose(
            chooser, ENTRIES[:2], rng, now=now, importance=Importance.HIGH
        )
        assert choice.entry is not None
        return choice.entry.address

    def fail(address: str, now: float) -> None:
        chooser.finish(
            address,
            importance=Importance.HIGH,
            reason=Reason.LINK_LOST,
            now=now,
        )

    def serve(address: str, now: float) -> None:
        chooser.finish(
            address,
            importance=Importance.HIGH,
            reason=Reason.SERVED,
            now=now,
            status=200,
        )

    failed = choose(0.0)
    fail(failed, 0.0)
    for _ in range(20):
        other = choose(0.2)
        assert other != failed
        serve(other, 0.2)
    while (probe := choose(0.3)) != failed:
        serve(probe, 0.3)
    # While the probe is in flight, the target gets no other request.
    for _ in range(20):
        other = choose(0.3)
        assert other != failed
        serve(other, 0.3)
    serve(probe, 0.3)
    seen = [choose(0.3) for _ in range(4)]
    assert seen.count(failed) == 2


def test_target_is_chosen_again_after_a_slow_first_answer() -> None:
    """Guards against a target that is avoided after one slow answer.

    The first answer, over a new connection, is slow. Calls come one at a
    time, so the number of requests in flight does not lead back to it.
    """
    chooser = TargetChooser('north')
    rng = random.Random(5)
    first_s = {'north0': 0.2, 'north1': 0.002}
    used: dict[str, list[float]] = {address: [] for address in first_s}
    for step in range(600):
        now = step / 20
        choice = _choose(chooser, ENTRIES[:2], rng, now=now)
        assert choice.entry is not None
        address = choice.entry.address
        is_first = not used[address]
        used[address].append(now)
        chooser.finish(
            address,
            importance=Importance.NORMAL,
            reason=Reason.SERVED,
            now=now,
            latency_s=first_s[address] if is_first else 0.002,
        )
    again = [now for now in used['north0'] if now > used['north0'][0]]
    assert again
    assert again[0] <= 10.0
    assert len(used['north0']) > 150


def test_low_importance_requests_do_not_exclude_critical_ones() -> None:
    """Guards against important requests refused at the entry for others.

    Bookings were refused because lookups of the same entry were waiting at
    the target, although its gate evicts lookups to admit bookings.
    """
    chooser = TargetChooser('north')

    def choose(importance: Importance) -> Reason:
        return _choose(
            chooser, ENTRIES[:1], random.Random(1), importance=importance
        ).reason

    for _ in range(SLOTS * balancing.OVERFLOW_FACTOR):
        assert choose(Importance.LOW) is Reason.SERVED
    assert choose(Importance.LOW) is Reason.NO_ROOM
    assert choose(Importance.CRITICAL) is Reason.SERVED
