"""Concurrency limit: bounds, decreases, growth and cold start."""

from collections.abc import Callable

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from turmericrouter_core.concurrency import ConcurrencyLimit
from turmericrouter_core.concurrency import LimitSettings
from turmericrouter_core.concurrency import Sample
from turmericrouter_core.concurrency import ServiceTimeEstimator

MAXIMUM = 64


class LimitMachine(RuleBasedStateMachine):
    """Checks the limit against the bounds in force after each step."""

    @initialize(slots=st.integers(0, 200), connections=st.integers(0, 200))
    def begin(self, slots: int, connections: int) -> None:
        self.now = 0.0
        self.limiter = ConcurrencyLimit(
            LimitSettings(max_limit=MAXIMUM),
            0.0,
            slots=slots,
            connections=connections,
        )
        self._bound(slots, connections)

    @rule(slots=st.integers(0, 200), connections=st.integers(0, 200))
    def announce(self, slots: int, connections: int) -> None:
        before = self.limiter.limit(self.now)
        self.limiter.set_bounds(slots=slots, connections=connections)
        self._bound(slots, connections)
        # An announcement alone never raises the limit.
        assert self.limiter.limit(self.now) <= before

    @rule(
        seconds=st.floats(0, 0.2),
        latency_s=st.floats(0, 2),
        route=st.sampled_from(['a', 'b']),
        sample=st.sampled_from(Sample),
        share=st.floats(0, 1.5),
        count=st.integers(1, 12),
    )
    def record(self, seconds, latency_s, route, sample, share, count) -> None:
        self.now += seconds
        before = self.limiter.limit(self.now)
        in_flight = max(1, int(share * before))
        for _ in range(count):
            self.limiter.record(self.now, route, latency_s, in_flight, sample)
        after = self.limiter.limit(self.now)
        # Ending requests move the limit by one window's change at most,
        # unless a probe restores what it took, which is at most half.
        assert after <= before * 2 + 3
        assert after >= int(before * 0.7) - 1

    def _bound(self, slots: int, connections: int) -> None:
        known = [bound for bound in (slots, connections) if bound]
        self.upper = min([MAXIMUM, *known])

    @invariant()
    def stays_within_bounds(self) -> None:
        if hasattr(self, 'limiter'):
            assert 1 <= self.limiter.limit(self.now) <= self.upper


TestLimit = LimitMachine.TestCase
TestLimit.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=60, deadline=None
)


def _saturate(
    limiter: ConcurrencyLimit,
    seconds: float,
    latency: Callable[[int], float],
    start: float = 10.0,
) -> int:
    """Keep all slots busy and return the limit at the end."""
    now, end = start, start + seconds
    while now < end:
        running = limiter.limit(now)
        latency_s = latency(running)
        now += latency_s
        for _ in range(running):
            limiter.record(now, 'a', latency_s, running, Sample.SERVED)
    return limiter.limit(now)


def _limiter(slots: int = 0) -> ConcurrencyLimit:
    limiter = ConcurrencyLimit(LimitSettings(), 0.0, slots=slots)
    for step in range(40):
        limiter.record(step / 10, 'a', 0.01, 1, Sample.SERVED)
    return limiter


def test_cold_start_ramps_from_a_quarter() -> None:
    """Guards against a new target that gets full load at once, or never."""
    limiter = ConcurrencyLimit(LimitSettings(), 0.0, slots=100)
    assert [limiter.limit(now) for now in (0.0, 2.5, 5.0)] == [25, 63, 100]


def test_overstated_slots_do_not_keep_the_limit_high() -> None:
    """Guards against announced slots that override measured latency."""
    # A target with 10 real slots queues the rest inside itself.
    limit = _saturate(_limiter(1000), 30, lambda n: 0.01 * max(1, n / 10))
    assert 10 <= limit <= 40


def test_unknown_slots_are_found_by_growth() -> None:
    """Guards against low utilization of a target without announced slots."""
    limit = _saturate(_limiter(), 60, lambda n: 0.01 * max(1, n / 100))
    assert 100 <= limit <= 300


def test_slow_downstream_service_does_not_lower_the_limit() -> None:
    """Guards against decreases for latency that concurrency does not cause.

    A slow service further down the chain delays all requests alike.
    """
    limiter = _limiter(100)
    assert _saturate(limiter, 20, lambda n: 0.2) >= 90
    # Later congestion of the target itself is still detected.
    slow = _saturate(limiter, 60, lambda n: 0.2 * max(1, n / 10), start=31.0)
    assert slow <= 60


def test_shedding_target_lowers_the_limit_until_it_stops() -> None:
    """Guards against a limit that stays high for a target that sheds."""
    limiter = _limiter(100)
    for step in range(20):
        for _ in range(10):
            limiter.record(6 + step / 5, 'a', 0.01, 100, Sample.SHED)
    assert limiter.limit(10.0) == 1
    assert _saturate(limiter, 10, lambda n: 0.01) == 100


def test_short_deadlines_do_not_lower_the_limit() -> None:
    """Guards against a caller whose short deadlines lower the limit for all.

    Only time-outs after a long service time are a sign of overload.
    """
    limiter = _limiter(100)
    for step in range(100):
        limiter.record(6 + step / 10, 'a', 0.002, 1, Sample.TIMEOUT)
    assert limiter.limit(20.0) == 100
    for step in range(100):
        limiter.record(21 + step / 10, 'a', 0.9, 1, Sample.TIMEOUT)
    assert limiter.limit(40.0) < 10


def test_fixed_limit_is_the_number_of_connections() -> None:
    """Guards against adaptation of the limit in the non-adaptive baseline."""
    limiter = ConcurrencyLimit(
        LimitSettings(adaptive=False), 0.0, slots=4, connections=250
    )
    for step in range(100):
        limiter.record(step / 10, 'a', step, 250, Sample.SHED)
    assert limiter.limit(0.0) == limiter.limit(20.0) == 250


def test_service_time_is_a_low_estimate_that_expires() -> None:
    """Guards against refusals of short deadlines long after a slow period.

    A single slow answer hardly raises the estimate, and it expires.
    """
    times = ServiceTimeEstimator()
    for _ in range(100):
        times.record(0.0, 'a', 0.01)
    times.record(0.0, 'a', 1.0)
    assert times.expected_s(0.5, 'a') < 0.05
    for _ in range(300):
        times.record(1.0, 'a', 1.0)
    assert times.expected_s(1.5, 'a') > 0.9
    assert times.expected_s(11.0, 'a') < 0.01
    assert times.expected_s(0.0, 'b') == 0.0
