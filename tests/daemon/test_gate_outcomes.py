"""Tests the verdicts of the gate, including failures of its target."""

import pytest

from gate_bench import Bench
from gate_bench import MAY
from gate_bench import NOT_RUN
from gate_bench import result
from gate_bench import run_bench
from turmericrouter_core.verdict import Reason
from turmericrouter_core.verdict import Verdict


def test_deadline_decides_verdict() -> None:
    """Fails if an expired request at the target claims not to have run."""

    async def check(bench: Bench) -> None:
        running = bench.start('/forever', timeout_ms=500)
        await bench.until(lambda: bool(bench.paths))
        (waiting,) = await bench.queue('/later', timeout_ms=20)
        assert result(await waiting) == (NOT_RUN, Reason.DEADLINE_EXPIRED)
        assert result(await running) == (MAY, Reason.DEADLINE_EXPIRED)
        assert bench.paths == ['/forever']
        assert bench.crashes.crashes == []

    run_bench(check)


@pytest.mark.parametrize(
    ('head', 'verdict', 'reason'),
    [
        ('503_Turmeric-Not-Run:1', NOT_RUN, Reason.TARGET_SHED),
        ('503_Turmeric-Not-Run:0', Verdict.RAN, Reason.SERVED),
        ('503', Verdict.RAN, Reason.SERVED),
        ('500_Turmeric-Not-Run:1', Verdict.RAN, Reason.SERVED),
    ],
)
def test_verdict_of_answers(
    head: str, verdict: Verdict, reason: Reason
) -> None:
    """Fails if an answer that ran counts as not run, or the reverse."""

    async def check(bench: Bench) -> None:
        outcome = await bench.start(f'/status/{head}')
        assert result(outcome) == (verdict, reason)
        assert bool(outcome.retry_after_ms) == (verdict is NOT_RUN)

    run_bench(check)


def test_invalid_header_never_reaches_the_target() -> None:
    """Fails if a line break in a header is written to the target."""

    async def check(bench: Bench) -> None:
        outcome = await bench.start('/a', headers=(('A', 'b\r\nC: d'),))
        assert result(outcome) == (NOT_RUN, Reason.MALFORMED)
        assert bench.paths == []

    run_bench(check)


def test_all_requests_of_a_crash_are_reported_with_one_id() -> None:
    """Fails if a crash is not reported, or reported twice or as two."""

    async def check(bench: Bench) -> None:
        bench.announce(slots=4)
        await bench.start('/ok')
        bench.announce(slots=4, instance='second')
        bench.clock.skipped_s += 1
        held = await bench.hold(2)
        crash = bench.start('/crash')
        for task in [*held, crash]:
            assert result(await task) == (MAY, Reason.TARGET_CRASHED)
        paths, ids = zip(*bench.crashes.crashes, strict=True)
        assert sorted(paths) == ['/crash', '/hold/0', '/hold/1']
        assert len(set(ids)) == 1
        refused = await bench.start('/ok')
        assert result(refused) == (NOT_RUN, Reason.TARGET_UNREACHABLE)
        await bench.target.__aenter__()
        bench.announce(slots=4)
        assert (await bench.start('/ok')).verdict is Verdict.RAN
        assert result(await bench.start('/crash'))[0] is MAY
        assert bench.crashes.crashes[-1][1] != ids[0]
        assert bench.crashes.successes == ['/ok', '/ok']

    run_bench(check)


def test_lost_target_gets_no_requests_until_it_is_announced() -> None:
    """Fails if requests go to a target whose announcement timed out."""

    async def check(bench: Bench) -> None:
        bench.fall_silent()
        outcome = await bench.start('/a')
        assert result(outcome) == (NOT_RUN, Reason.TARGET_UNREACHABLE)
        bench.announce()
        assert (await bench.start('/b')).verdict is Verdict.RAN
        assert bench.paths == ['/b']
        assert bench.states == ['serving', 'lost', 'serving']

    run_bench(check)


def test_poison_request_is_refused_at_the_gate() -> None:
    # Guards against a third crashed target when the entry has just started
    # and has not received the first two crash records (soak seed 2).

    async def check(bench: Bench) -> None:
        running = bench.start('/forever')
        await bench.until(lambda: bool(bench.paths))
        (waiting,) = await bench.queue('/poison')
        bench.crashes.blocked.add('/poison')
        assert result(await bench.start('/poison')) == (
            NOT_RUN,
            Reason.QUARANTINED,
        )
        running.cancel()
        assert result(await waiting) == (NOT_RUN, Reason.QUARANTINED)
        assert bench.paths == ['/forever']

    run_bench(check)
