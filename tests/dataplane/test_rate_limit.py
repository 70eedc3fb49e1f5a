"""Guards against a target that gets more than the rate that it has named."""

import math

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
import pytest

from turmericrouter_dataplane.policy.rate_limit import NO_RATE_LIMIT
from turmericrouter_dataplane.policy.rate_limit import parse_rate
from turmericrouter_dataplane.policy.rate_limit import RateLimit

# In some 4 s a target may get one and a half times its limit and 5 requests.
_WINDOW_S = 4.0
_FACTOR = 1.5
_SLACK = 5
_RATES = st.sampled_from([0.0, 0.3, 1.0, 7.5, 30.0, 400.0])


def _rate(value: float) -> bytes:
    return b'%.1f' % value


@pytest.mark.parametrize(
    ('value', 'expected'),
    [
        (b'30', 30.0),
        (b' 29.8 ', 29.8),
        (b'.5', 0.5),
        (b'0', 0.0),
        (b'30.123456789012', 30.123456789012),
        (b'', None),
        (b'-1', None),
        (b'nan', None),
        (b'inf', None),
        (b'1e9', None),
        (b'1_0', None),
        (b'30/s', None),
        (b'9' * 400, None),
    ],
)
def test_rate_is_a_plain_decimal_number(
    value: bytes, expected: float | None
) -> None:
    """Guards against a text that lifts a limit or stops all requests."""
    assert parse_rate(value) == expected


@settings(max_examples=300, deadline=None, derandomize=True)
@given(value=st.binary(max_size=12))
def test_any_value_gives_a_rate_or_none(value: bytes) -> None:
    """Guards against a header that ends the connection's parser."""
    rate_per_s = parse_rate(value)
    assert rate_per_s is None or (
        math.isfinite(rate_per_s) and rate_per_s >= 0
    )


def test_answer_that_overtakes_does_not_end_the_limit() -> None:
    """Guards against an answer made before the limit, and read after it."""
    limit = RateLimit()
    limit.observe_answer(b'30', sent_at=1.0, now=2.0)
    limit.observe_answer(None, sent_at=1.5, now=2.1)
    assert limit.rate_per_s == 30.0
    limit.observe_answer(b'no rate', sent_at=2.5, now=2.6)
    assert limit.rate_per_s == 30.0
    limit.observe_answer(None, sent_at=2.5, now=2.7)
    assert limit.rate_per_s is None
    assert limit.reported_rate_per_s == NO_RATE_LIMIT
    assert all(limit.take(2.7) for _ in range(100))


def test_target_that_takes_nothing_is_asked_now_and_then() -> None:
    """Guards against a limit of zero whose end nobody would notice."""
    limit = RateLimit()
    limit.observe_answer(b'0', sent_at=0.0, now=0.0)
    taken = sum(limit.take(tick / 10) for tick in range(100))
    assert 2 <= taken <= 10
    assert limit.wait_s(0, 10.0) <= 2.0


def test_wait_is_the_time_until_a_request_is_taken() -> None:
    """Guards against a Retry-After that sends callers back too early."""
    limit = RateLimit()
    limit.observe_answer(b'2', sent_at=0.0, now=0.0)
    assert limit.take(0.0)
    for ahead in (0, 3):
        wait_s = limit.wait_s(ahead, 0.0)
        assert wait_s == pytest.approx((ahead + 1) / 2)
    assert not limit.take(0.49)
    assert limit.take(0.51)


def test_limited_target_is_full_with_few_requests() -> None:
    """Guards against hosts that prefer a limited target as it looks idle."""
    limit = RateLimit()
    for number in range(100):
        limit.observe_answer(b'30', sent_at=number, now=number + 0.2)
    assert limit.max_running(122) == 6
    limit.observe_answer(None, sent_at=200.0, now=200.2)
    assert limit.max_running(122) == 122


def test_remembered_rate_holds_until_the_target_answers() -> None:
    """Guards against a daemon that restarts and forgets the limit."""
    limit = RateLimit()
    limit.restore(10.0, 0.0)
    assert sum(limit.take(0.0) for _ in range(20)) == 1
    limit.observe_answer(None, sent_at=0.1, now=0.2)
    limit.restore(10.0, 0.3)
    assert limit.rate_per_s is None
    unknown = RateLimit()
    unknown.restore(math.nan, 0.0)
    assert unknown.rate_per_s is None


class RateLimitMachine(RuleBasedStateMachine):
    """Requests come at any rate while limits change, end and come back.

    In each window, no more than the rule allows is sent for the highest
    limit that held in it. Windows without a limit are free.
    """

    @initialize(rate=_RATES)
    def start(self, rate: float) -> None:
        self.now = 100.0
        self.limit = RateLimit()
        self.sent: list[float] = []
        # Limits with the time from which they hold; None for no limit.
        self.limits: list[tuple[float, float | None]] = []
        self._name(rate)

    def _name(self, rate: float | None) -> None:
        value = None if rate is None else _rate(rate)
        self.limit.observe_answer(
            value, sent_at=self.now - 0.001, now=self.now
        )
        self.limits.append((self.now, self.limit.rate_per_s))

    @rule(rate=_RATES)
    def name(self, rate: float) -> None:
        self._name(rate)

    @rule()
    def end(self) -> None:
        self._name(None)

    @rule(rate=_RATES)
    def report_of_a_peer(self, rate: float) -> None:
        before = self.limit.rate_per_s
        self.limit.restore(rate, self.now)
        assert self.limit.rate_per_s == before

    @rule(seconds=st.floats(0.0, 6.0))
    def pause(self, seconds: float) -> None:
        self.now += seconds

    @rule(count=st.integers(1, 60), gap_s=st.floats(0.0, 0.2))
    def offer(self, count: int, gap_s: float) -> None:
        for _ in range(count):
            if self.limit.take(self.now):
                self.sent.append(self.now)
            self.now += gap_s

    @invariant()
    def stays_within_the_rule(self) -> None:
        if not hasattr(self, 'limit'):
            return
        since = self.now - _WINDOW_S
        held = [rate for at, rate in self.limits if at > since]
        held += [rate for at, rate in self.limits if at <= since][-1:]
        if not held or None in held or self.limits[0][0] > since:
            return
        highest = max(rate for rate in held if rate is not None)
        sent = sum(at > since for at in self.sent)
        assert sent <= _FACTOR * highest * _WINDOW_S + _SLACK

    @invariant()
    def is_not_slower_than_named(self) -> None:
        if not hasattr(self, 'limit') or self.limit.rate_per_s is None:
            return
        wait_s = self.limit.wait_s(0, self.now)
        assert 0.0 <= wait_s <= 1.0 / self.limit.rate_per_s + 1e-9


RateLimitMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
TestRateLimitMachine = RateLimitMachine.TestCase
