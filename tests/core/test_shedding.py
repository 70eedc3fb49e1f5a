"""Admission level: order of shedding, decreases and recovery.

The level is the pair of importance and bucket from which requests are shed.
"""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from turmericrouter_core.messages import AdmissionLevel
from turmericrouter_core.shedding import is_admitted
from turmericrouter_core.shedding import LevelController
from turmericrouter_core.shedding import LevelSettings
from turmericrouter_core.verdict import Importance

WINDOW_S = 0.1


class LevelMachine(RuleBasedStateMachine):
    """Compares the controller with the extreme requests of each window."""

    def __init__(self) -> None:
        super().__init__()
        self.controller = LevelController(LevelSettings(WINDOW_S), 0.0)
        self.ticks = 0
        self.window = 0
        self.admitted = (Importance.CRITICAL, -1)
        self.refused: tuple[int, int] | None = None

    @property
    def now(self) -> float:
        # Half a tick away from the bounds of windows, to avoid rounding.
        return (self.ticks + 0.5) * WINDOW_S / 8

    @rule(ticks=st.integers(1, 40))
    def advance(self, ticks: int) -> None:
        self.ticks += ticks
        if self.ticks // 8 != self.window:
            self.window = self.ticks // 8
            self.admitted = (Importance.CRITICAL, -1)
            self.refused = None

    @rule(
        importance=st.sampled_from(Importance),
        bucket=st.integers(0, 127),
        queued=st.integers(0, 3),
    )
    def arrive(self, importance, bucket, queued) -> None:
        level = self.controller.level(self.now)
        passed = self.controller.record_arrival(
            self.now, importance, bucket, queued
        )
        assert passed == is_admitted(level, importance, bucket)
        if passed:
            self.admitted = max(self.admitted, (importance, bucket))
        else:
            self.refused = min(
                self.refused or (importance, bucket), (importance, bucket)
            )

    @rule()
    def arrive_at_level(self) -> None:
        importance, bucket = _key(self.controller.level(self.now))
        if importance < len(Importance):
            rank = Importance(importance)
            assert not self.controller.record_arrival(
                self.now, rank, bucket, 1
            )

    @rule(delay_s=st.floats(0, 1), queued=st.integers(0, 3))
    def start(self, delay_s: float, queued: int) -> None:
        self.controller.record_start(self.now, delay_s, queued)

    @rule(delay_s=st.floats(0, 1))
    def overflow(self, delay_s: float) -> None:
        self.controller.record_overflow(self.now, delay_s)

    @rule()
    def recover(self) -> None:
        self.advance(8 * 17)
        assert self.controller.level(self.now) == AdmissionLevel()

    @invariant()
    def sheds_least_important_first(self) -> None:
        assert self.refused is None or self.admitted < self.refused
        assert (0, 16) <= _key(self.controller.level(self.now)) <= (4, 0)


def _key(level: AdmissionLevel) -> tuple[int, int]:
    return (level.importance, level.bucket)


TestLevel = LevelMachine.TestCase
TestLevel.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=60, deadline=None
)


def _overload(
    controller: LevelController, windows: int, start: int
) -> list[float]:
    """Return the fraction of low requests admitted in each window.

    A server of 20 requests per window gets 10 critical and 190 low ones.
    """
    rng = random.Random(1)
    shares = []
    for window in range(start, start + windows):
        base = window * WINDOW_S + 1e-6
        admitted = {Importance.CRITICAL: 0, Importance.LOW: 0}
        for index in range(200):
            now = base + index * WINDOW_S / 201
            rank = Importance.LOW if index % 20 else Importance.CRITICAL
            if controller.record_arrival(now, rank, rng.randrange(128), 4):
                admitted[rank] += 1
        now = base + WINDOW_S * 0.996
        load = sum(admitted.values())
        for index in range(min(load, 20)):
            controller.record_start(now, 0.01, 4 if load > 20 else 19 - index)
        for _ in range(load - 20):
            controller.record_overflow(now, 0.01)
        assert admitted[Importance.CRITICAL] == 10
        shares.append(admitted[Importance.LOW] / 190)
    return shares


def test_overload_cuts_low_to_capacity_and_spares_critical() -> None:
    """Guards against shed critical requests, and lasting overshoot."""
    controller = LevelController(LevelSettings(WINDOW_S), 0.0)
    shares = _overload(controller, 60, 0)
    assert shares[0] == 1.0
    # Capacity is left for 10 of 190 low requests.
    settled = shares[10:]
    assert 0.02 < sum(settled) / len(settled) < 0.12


def test_level_recovers_within_two_seconds() -> None:
    """Guards against shedding long after the end of an overload."""
    controller = LevelController(LevelSettings(WINDOW_S), 0.0)
    _overload(controller, 20, 0)
    assert controller.level(1.999) != AdmissionLevel()
    for window in range(20, 40):
        controller.record_arrival(
            window * WINDOW_S + 0.01, Importance.LOW, 127, 0
        )
    assert controller.level(4.0) == AdmissionLevel()


def test_burst_that_drains_within_a_window_sheds_nothing() -> None:
    """Guards against a short burst taken for an overload."""
    controller = LevelController(LevelSettings(WINDOW_S), 0.0)
    for _ in range(50):
        controller.record_arrival(0.01, Importance.LOW, 5, 3)
        controller.record_overflow(0.01, 0.05)
    controller.record_start(0.09, 0.05, 0)
    assert controller.level(0.15) == AdmissionLevel()


def test_queue_that_empties_at_times_still_shows_overload() -> None:
    """Guards against an overload that is hidden when slots free together."""
    controller = LevelController(LevelSettings(WINDOW_S), 0.0)
    for window in range(10):
        now = window * WINDOW_S + 0.01
        for bucket in range(128):
            controller.record_arrival(now, Importance.LOW, bucket, 4)
        for queued in (3, 2, 1, 0):
            controller.record_start(now, 0.01, queued)
        for _ in range(124):
            controller.record_overflow(now, 0.0)
    assert _key(controller.level(1.01)) < (Importance.LOW, 16)


def test_critical_requests_within_capacity_are_never_cut() -> None:
    """Guards against shed critical requests that fit the capacity.

    A queue of old requests shows a long delay in every window.
    """
    controller = LevelController(LevelSettings(WINDOW_S), 0.0)
    for window in range(30):
        now = window * WINDOW_S + 0.01
        assert controller.record_arrival(now, Importance.CRITICAL, 127, 9)
        controller.record_arrival(now, Importance.LOW, window, 9)
        controller.record_start(now, 0.5, 9)
        controller.record_start(now, 0.5, 9)


def test_level_recovers_fast_while_slots_are_idle() -> None:
    """Guards against idle slots after a surge of critical requests.

    The level rises from its lowest point in steps that would be too small
    to recover within 2 s, the goal, which includes resends of callers.
    """
    controller = LevelController(LevelSettings(WINDOW_S), 0.0)
    rng = random.Random(2)
    for window in range(20):
        base = window * WINDOW_S + 1e-6
        for index in range(200):
            controller.record_arrival(
                base + index * WINDOW_S / 201,
                Importance.CRITICAL,
                rng.randrange(128),
                4,
            )
        end = base + WINDOW_S * 0.996
        for _ in range(20):
            controller.record_start(end, 0.05, 4)
        controller.record_overflow(end, 0.05)
    assert _key(controller.level(1.999)) < (0, 64)
    for window in range(20, 26):
        now = window * WINDOW_S + 0.01
        controller.record_arrival(now, Importance.CRITICAL, 1, 0)
        controller.record_start(now, 0.0, 0)
    assert controller.level(2.6) == AdmissionLevel()
