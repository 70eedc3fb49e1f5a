"""At-most-once execution despite kills, moved homes, skew and reordering.

The home of an operation is the daemon that stores its record.
"""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from turmericrouter_core.identity import OperationId
from turmericrouter_core.messages import BeginOperation
from turmericrouter_core.messages import OperationStatus
from turmericrouter_core.messages import StoredAnswer
from turmericrouter_core.operation import body_digest
from turmericrouter_core.operation import IdempotencyStore
from turmericrouter_core.operation import OperationLimits
from turmericrouter_core.verdict import Reason

LIMITS = OperationLimits(
    retention_ms=20_000, max_operations=6, max_answers_bytes=40
)
ANSWER = StoredAnswer(200, (), b'0123456789')
START_MS = 1_000_000_000
ids = st.integers(0, 1)
offsets = st.sampled_from([-700, 0, 200, 500, 700, 900, 1100, 1600])
waits = st.sampled_from([1, 100, 500, 800, 1200])
skews = st.sampled_from([-250, 0, 250])


def _begin(
    home: IdempotencyStore,
    text: str,
    *,
    now_ms: int,
    monotonic_ms: float | None = None,
    since_ms: int = 0,
    nonce: int = 1,
    digest: bytes = b'd',
) -> OperationStatus:
    return home.begin(
        BeginOperation('east', text, digest, 0),
        now_ms=now_ms,
        monotonic_ms=now_ms if monotonic_ms is None else monotonic_ms,
        since_ms=since_ms,
        nonce=nonce,
    )


class OperationMachine(RuleBasedStateMachine):
    """Entries begin operations at a home that is killed and replaced.

    The clock of the home is skewed. The oracle counts the runs of each id.
    A granted start may run late and is aborted only if it did not run.
    Messages to the home are lost, repeated and delayed; an entry ignores a
    start that arrives after its timeout.
    """

    @initialize(skew_ms=skews)
    def begin_world(self, skew_ms: int) -> None:
        self.true_ms = START_MS
        self.rng = random.Random(1)
        self.texts: list[str] = []
        self.runs: dict[str, int] = {}
        self.unused: dict[int, str] = {}
        self.ran: dict[int, str] = {}
        self.aborting: dict[int, str] = {}
        self.questions: list[tuple[str, int]] = []
        self.not_run_reported_ms: dict[str, int] = {}
        self.reported_ahead: set[str] = set()
        self.last_nonce = 0
        self.replace_home(skew_ms)
        self.wait(1001 - skew_ms)
        self.mint(0)

    @rule(skew_ms=skews, chance=st.integers(0, 3))
    def kill_home(self, skew_ms: int, chance: int) -> None:
        if not chance:
            self.replace_home(skew_ms)

    def replace_home(self, skew_ms: int) -> None:
        """Replace the home by another daemon or by a restarted process."""
        self.skew_ms = skew_ms
        self.home = IdempotencyStore(LIMITS)
        self.since_ms = self.true_ms + skew_ms
        # Only a caller whose clock exceeds the bounds is refused for an id
        # that is ahead.
        for text in self.reported_ahead:
            self.not_run_reported_ms.pop(text, None)
        self.reported_ahead.clear()

    @rule(passed_ms=waits)
    def wait(self, passed_ms: int) -> None:
        self.true_ms += passed_ms

    @rule(skew_ms=skews)
    def step_clock(self, skew_ms: int) -> None:
        """Change the home's clock, within the bound."""
        self.skew_ms = skew_ms

    @rule(offset_ms=offsets)
    def mint(self, offset_ms: int) -> None:
        wall_s = (self.true_ms + offset_ms) / 1000
        self.texts.append(OperationId.mint(wall_s, 0, self.rng).text)

    @precondition(lambda self: self.texts)
    @rule(index=ids, digest=st.sampled_from([b'd', b'd', b'd', b'e']))
    def ask_and_run(self, index: int, digest: bytes) -> None:
        self.ask(index, digest)
        if self.last_nonce in self.unused:
            self.run(sorted(self.unused).index(self.last_nonce))

    @precondition(lambda self: self.texts)
    @rule(index=ids, digest=st.sampled_from([b'd', b'd', b'd', b'e']))
    def ask_and_give_up(self, index: int, digest: bytes) -> None:
        self.ask(index, digest)
        if self.last_nonce in self.unused:
            self.give_up(sorted(self.unused).index(self.last_nonce))

    @precondition(lambda self: self.texts)
    @rule(index=ids, digest=st.sampled_from([b'd', b'd', b'd', b'e']))
    def ask(self, index: int, digest: bytes) -> None:
        text = self.texts[-1 - index % len(self.texts)]
        self.deliver_question(text, self.true_ms, digest)

    @precondition(lambda self: self.texts)
    @rule(index=ids)
    def send_question(self, index: int) -> None:
        """Send a BeginOperation that arrives late, perhaps after a resend."""
        text = self.texts[-1 - index % len(self.texts)]
        self.questions.append((text, self.true_ms))

    @precondition(lambda self: self.questions)
    @rule(index=ids)
    def deliver_late(self, index: int) -> None:
        text, sent_ms = self.questions.pop(index % len(self.questions))
        self.deliver_question(text, sent_ms, b'd')

    def deliver_question(self, text: str, sent_ms: int, digest: bytes) -> None:
        self.last_nonce += 1
        status = _begin(
            self.home,
            text,
            now_ms=self.true_ms + self.skew_ms,
            monotonic_ms=self.true_ms,
            since_ms=self.since_ms,
            nonce=self.last_nonce,
            digest=digest,
        )
        if status.state == 'started':
            assert not self.runs.get(text), 'a second start of a run id'
            assert text not in self.unused.values(), 'two open starts'
            if self.true_ms - sent_ms > LIMITS.begin_timeout_ms:
                # The entry answers its caller with not-run.
                self.aborting[self.last_nonce] = text
                self.not_run_reported_ms[text] = self.true_ms
                self.reported_ahead.discard(text)
                return
            assert sent_ms >= self.not_run_reported_ms.get(text, 0), (
                'an attempt starts that was sent before a not-run answer'
            )
            self.unused[self.last_nonce] = text
        if status.state == 'refused':
            self.not_run_reported_ms[text] = self.true_ms
            if status.reason is Reason.OPERATION_ID_AHEAD:
                self.reported_ahead.add(text)
            assert not self.runs.get(text), 'reported as not-run, but it ran'
            assert text not in self.unused.values()
        if status.state == 'finished':
            assert self.runs.get(text) == 1

    @precondition(lambda self: self.unused)
    @rule(index=ids)
    def run(self, index: int) -> None:
        nonce = sorted(self.unused)[index % len(self.unused)]
        text = self.unused.pop(nonce)
        self.runs[text] = self.runs.get(text, 0) + 1
        self.ran[nonce] = text

    @precondition(lambda self: self.unused)
    @rule(index=ids)
    def give_up(self, index: int) -> None:
        """Send an abort after the gate reported not-run."""
        nonce = sorted(self.unused)[index % len(self.unused)]
        text = self.unused.pop(nonce)
        self.aborting[nonce] = text
        self.not_run_reported_ms[text] = self.true_ms
        self.reported_ahead.discard(text)

    @precondition(lambda self: self.aborting)
    @rule(index=st.integers(0, 9))
    def deliver_abort(self, index: int) -> None:
        """Deliver an abort, possibly late or repeated."""
        nonce = sorted(self.aborting)[index % len(self.aborting)]
        self.abort(nonce)

    def abort(self, nonce: int) -> None:
        self.home.abort(
            'east', self.aborting[nonce], nonce, monotonic_ms=self.true_ms
        )

    @precondition(lambda self: self.ran)
    @rule(index=ids)
    def deliver_finish(self, index: int) -> None:
        nonce = sorted(self.ran)[index % len(self.ran)]
        self.home.finish('east', self.ran[nonce], nonce, ANSWER)

    @rule(
        skew_ms=skews,
        next_skew_ms=skews,
        offset_ms=offsets,
        passed_ms=waits,
    )
    def ask_two_homes(
        self, skew_ms: int, next_skew_ms: int, offset_ms: int, passed_ms: int
    ) -> None:
        """Begin one id before and after its home has moved."""
        self.replace_home(skew_ms)
        self.wait(max(1, 1001 - offset_ms))
        self.mint(offset_ms)
        self.ask_and_run(0, b'd')
        self.replace_home(next_skew_ms)
        self.wait(passed_ms)
        self.ask(0, b'd')

    @precondition(lambda self: self.texts)
    @rule(index=ids)
    def cross_abort(self, index: int) -> None:
        """Deliver an abort again after the id was started again."""
        self.ask_and_give_up(index, b'd')
        for nonce in sorted(self.aborting):
            self.abort(nonce)
        self.wait(LIMITS.begin_timeout_ms + 1)
        self.ask(index, b'd')
        for nonce in sorted(self.aborting):
            self.abort(nonce)
        self.ask(index, b'd')

    @precondition(lambda self: self.texts)
    @rule(index=ids, passed_ms=waits)
    def overtake(self, index: int, passed_ms: int) -> None:
        """Report a resend as not-run before an older attempt arrives."""
        self.send_question(index)
        self.wait(1)
        self.ask_and_give_up(index, b'd')
        for nonce in sorted(self.aborting):
            self.abort(nonce)
        self.wait(passed_ms)
        self.deliver_late(len(self.questions) - 1)

    @invariant()
    def at_most_once(self) -> None:
        assert all(count <= 1 for count in getattr(self, 'runs', {}).values())

    @invariant()
    def memory_is_bounded(self) -> None:
        if hasattr(self, 'home'):
            assert len(self.home) <= LIMITS.max_operations
            assert self.home.answers_bytes <= LIMITS.max_answers_bytes


TestOperationMachine = OperationMachine.TestCase
TestOperationMachine.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=250,
    stateful_step_count=40,
)


def _mint(wall_ms: int) -> str:
    return OperationId.mint(wall_ms / 1000, 0, random.Random(wall_ms)).text


def test_full_home_refuses_and_keeps_all_records() -> None:
    """Guards against records that are evicted while they are needed.

    A record dropped early to free memory would allow a second run.
    """
    home = IdempotencyStore(LIMITS)
    texts = [_mint(START_MS + n) for n in range(LIMITS.max_operations + 1)]
    states = [_begin(home, text, now_ms=START_MS) for text in texts]
    assert [status.state for status in states[:-1]] == ['started'] * 6
    assert states[-1].state == 'refused'
    assert states[-1].reason is Reason.OPERATION_HOME_FULL
    assert _begin(home, texts[0], now_ms=START_MS).state == 'in-progress'
    # A delayed attempt of the refused id does not start when a record is
    # freed.
    assert home.abort('east', texts[0], 1, monotonic_ms=START_MS)
    within = START_MS + LIMITS.begin_timeout_ms
    assert _begin(home, texts[-1], now_ms=within).state == 'in-progress'
    assert _begin(home, texts[-1], now_ms=within + 1).state == 'started'


def test_attempt_sent_before_a_not_run_answer_does_not_start() -> None:
    """Guards against a timed out attempt that runs after its resend."""
    home = IdempotencyStore(LIMITS)
    text = _mint(START_MS)
    assert _begin(home, text, now_ms=START_MS).state == 'started'
    assert home.abort('east', text, 1, monotonic_ms=START_MS)
    within = START_MS + LIMITS.begin_timeout_ms
    # A step of the wall clock does not shorten the timeout.
    stepped = _begin(home, text, now_ms=within + 400, monotonic_ms=within)
    assert stepped.state == 'in-progress'
    assert _begin(home, text, now_ms=within + 1).state == 'started'


def test_expired_id_is_not_accepted_after_the_clock_steps_back() -> None:
    """Guards against a second run of an id whose record has expired.

    After the clock steps back, the timestamp of the id is recent again.
    """
    home = IdempotencyStore(LIMITS)
    text = _mint(START_MS)
    assert _begin(home, text, now_ms=START_MS).state == 'started'
    assert home.finish('east', text, 1, ANSWER)
    later = _begin(home, _mint(START_MS + 25_000), now_ms=START_MS + 25_000)
    assert later.state == 'started'
    assert _begin(home, text, now_ms=START_MS).state == 'unknown'


def test_dropped_answer_is_not_run_again() -> None:
    """Guards against a second run of an id whose answer was evicted."""
    home = IdempotencyStore(LIMITS)
    texts = [_mint(START_MS + n) for n in range(6)]
    for text in texts:
        assert _begin(home, text, now_ms=START_MS).state == 'started'
        assert home.finish('east', text, 1, ANSWER)
    states = [_begin(home, text, now_ms=START_MS).state for text in texts]
    assert states == ['unknown'] * 2 + ['finished'] * 4


def test_digest_covers_method_path_and_body() -> None:
    """Guards against a different request taken for a resend."""
    digests = {
        body_digest('POST', '/a', b'x'),
        body_digest('PUT', '/a', b'x'),
        body_digest('POST', '/ax', b''),
        body_digest('POST', '/a', b'y'),
    }
    assert len(digests) == 4
