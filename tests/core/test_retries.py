"""Retry budget, allowance and back-off, compared with simple oracles."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from turmericrouter_core.context import call_digest
from turmericrouter_core.context import RequestContext
from turmericrouter_core.retries import CallerBackoff
from turmericrouter_core.retries import RetryBudget
from turmericrouter_core.verdict import Importance
from turmericrouter_core.verdict import Reason
from turmericrouter_core.verdict import Verdict

RATIO, FLOOR, SAVED = 0.25, 0.5, 5.0
PAIRS = st.sampled_from(
    [('east', 'crew'), ('east', 'works'), ('west', 'crew')]
)


class BudgetMachine(RuleBasedStateMachine):
    """Compares balances with a replay of the history of each pair."""

    def __init__(self) -> None:
        super().__init__()
        self.budget = RetryBudget(ratio=RATIO, floor_per_s=FLOOR)
        self.now = 0.0
        self.history: dict[tuple[str, str], list[tuple[float, float]]] = {}

    def expected(self, pair: tuple[str, str]) -> float:
        balance, last = SAVED, 0.0
        for at, amount in self.history.get(pair, []):
            balance = min(SAVED, balance + (at - last) * FLOOR)
            balance, last = min(SAVED, balance + amount), at
        return min(SAVED, balance + (self.now - last) * FLOOR)

    @rule(steps=st.integers(0, 40))
    def wait(self, steps: int) -> None:
        self.now += steps / 8

    @rule(pair=PAIRS)
    def succeed(self, pair: tuple[str, str]) -> None:
        self.budget.record_success(*pair, self.now)
        self.history.setdefault(pair, []).append((self.now, RATIO))

    @rule(pair=PAIRS)
    def take(self, pair: tuple[str, str]) -> None:
        may = self.expected(pair) >= 1
        assert self.budget.take(*pair, self.now) is may
        if may:
            self.history.setdefault(pair, []).append((self.now, -1.0))

    @rule()
    def prune(self) -> None:
        self.budget.prune(self.now)

    @invariant()
    def retries_are_paid_for(self) -> None:
        for pair, events in self.history.items():
            retries = sum(amount < 0 for _, amount in events)
            earned = RATIO * (len(events) - retries) + FLOOR * self.now
            assert retries <= SAVED + earned
            assert self.budget.balance(*pair, self.now) == self.expected(pair)


TestBudget = BudgetMachine.TestCase
TestBudget.settings = settings(derandomize=True, max_examples=60)


def _context(allowance: int) -> RequestContext:
    return RequestContext(
        context_id='c',
        request_id='r',
        workspace='east',
        importance=Importance.NORMAL,
        bucket=0,
        deadline=1.0,
        depth=0,
        retries_left=allowance,
    )


def _attempts_per_level(
    depth: int, allowance: int, tries: int, ran: list[bool]
) -> list[int]:
    """Count attempts by level of a chain whose targets all retry."""
    attempts = [0] * depth
    digest = call_digest('GET', '/deeper', b'')
    outcomes = iter(ran * 10_000)

    def run(level: int, left: int) -> int:
        attempts[level] += 1
        context = _context(left)
        for _ in range(tries if level + 1 < depth else 0):
            start = context.start_nested_call(digest, may_run_again=True)
            if start.reason is not Reason.SERVED:
                break
            used = run(level + 1, start.allowance)
            verdict = Verdict.RAN if next(outcomes) else Verdict.NOT_RUN
            context.finish_nested_call(start, verdict, used)
        return context.retries_used

    assert run(0, allowance) <= allowance
    return attempts


def test_attempts_of_a_chain_are_bounded_independent_of_depth() -> None:
    """Guards against retries that multiply along a chain of calls.

    Without a bound, the last of 11 targets would get 3 ** 10 attempts.
    """
    for depth in (2, 5, 11):
        attempts = _attempts_per_level(depth, 2, 3, [False])
        assert max(attempts) == attempts[-1] == 3
        assert sum(attempts) <= 3 * depth


@given(
    depth=st.integers(1, 12),
    allowance=st.integers(0, 4),
    tries=st.integers(1, 6),
    ran=st.lists(st.booleans(), min_size=1, max_size=8),
)
@settings(derandomize=True, max_examples=200)
def test_no_level_sees_more_than_the_allowance(
    depth: int, allowance: int, tries: int, ran: list[bool]
) -> None:
    """Guards against a level of a chain that exceeds the allowance."""
    attempts = _attempts_per_level(depth, allowance, tries, ran)
    assert all(count <= 1 + allowance for count in attempts)


class AllowanceMachine(RuleBasedStateMachine):
    """Compares the allowance of one context with a count of its retries."""

    def __init__(self) -> None:
        super().__init__()
        self.context = _context(3)
        self.spent = 0
        self.calls: list[tuple[object, int]] = []
        self.ran: dict[bytes, bool] = {}
        self.flying: dict[bytes, int] = {}

    @rule(path=st.sampled_from(['/a', '/b']), again=st.booleans())
    def start(self, path: str, again: bool) -> None:
        digest = call_digest('POST', path, b'')
        is_retry = digest in self.ran
        may_have_run = self.ran.get(digest) or self.flying.get(digest, 0)
        left = 3 - self.spent - sum(held for _, held in self.calls)
        start = self.context.start_nested_call(digest, may_run_again=again)
        if is_retry and may_have_run and not again:
            assert start.reason is Reason.OPERATION_UNKNOWN
            assert start.verdict is Verdict.MAY_HAVE_RUN
            return
        if is_retry and not left:
            assert start.reason is Reason.RETRY_BUDGET_EXHAUSTED
            ran = start.verdict is Verdict.MAY_HAVE_RUN
            assert ran == bool(may_have_run)
            return
        assert start.reason is Reason.SERVED
        assert start.allowance == left - is_retry
        self.spent += is_retry
        self.calls.append((start, start.allowance))
        self.ran.setdefault(digest, False)
        self.flying[digest] = self.flying.get(digest, 0) + 1

    @rule(
        pick=st.integers(0, 9),
        used=st.integers(-1, 4),
        verdict=st.sampled_from(Verdict),
    )
    def finish(self, pick: int, used: int, verdict: Verdict) -> None:
        if not self.calls:
            return
        start, held = self.calls.pop(pick % len(self.calls))
        self.context.finish_nested_call(start, verdict, used)
        self.spent += used if 0 <= used <= held else held
        self.flying[start.digest] -= 1
        self.ran[start.digest] |= verdict is not Verdict.NOT_RUN

    @invariant()
    def nothing_is_lost_or_made(self) -> None:
        held = sum(count for _, count in self.calls)
        assert self.context.retries_used == self.spent + held
        assert self.context.allowance.remaining == 3 - self.spent - held


TestAllowance = AllowanceMachine.TestCase
TestAllowance.settings = settings(derandomize=True, max_examples=80)


def test_retry_after_grows_with_refusals_and_falls_with_answers() -> None:
    """Guards against callers that retry too early, or wait for too long.

    The retry-after doubles with each refusal up to its bound and halves
    with each answer; callers without refusals are removed.
    """
    backoff = CallerBackoff(max_retry_after_s=10.0)
    waits = [backoff.record_refusal('a', 0.0, 0.5) for _ in range(5)]
    assert waits == [1.0, 2.0, 4.0, 8.0, 10.0]
    assert backoff.record_refusal('b', 0.0, 0.0) == 0.5
    backoff.record_answer('a')
    assert backoff.record_refusal('a', 1.0, 0.5) == 4.0
    assert (
        backoff.record_refusal('a', 1000.0, 0.5, min_retry_after_s=60.0)
        == 60.0
    )
    for _ in range(3):
        backoff.record_answer('a')
        backoff.record_answer('b')
    assert len(backoff) == 0
