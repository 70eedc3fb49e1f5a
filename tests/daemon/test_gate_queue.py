"""Tests which requests the gate admits, and in which order."""

import asyncio

from gate_bench import Bench
from gate_bench import MESSAGE
from gate_bench import NOT_RUN
from gate_bench import result
from gate_bench import run_bench
from turmericrouter_core.verdict import Importance
from turmericrouter_core.verdict import Reason
from turmericrouter_core.verdict import Verdict


def test_important_requests_start_first() -> None:
    """Fails if a slot goes to a less important request."""

    async def check(bench: Bench) -> None:
        await bench.hold()
        low = await bench.queue('/low', importance=Importance.LOW)
        high = await bench.queue('/high', importance=Importance.CRITICAL)
        assert bench.gate.load.queued == 2
        bench.opened.set()
        outcomes = [await task for task in low + high]
        assert [o.verdict for o in outcomes] == [Verdict.RAN] * 2
        assert bench.paths == ['/hold/0', '/high', '/low']
        left = int(bench.target.requests[1].headers['turmeric-timeout-ms'])
        assert left < MESSAGE.timeout_ms

    run_bench(check)


def test_full_queue_refuses_with_load_and_retry_after() -> None:
    """Fails if the queue is unbounded or a refusal lacks load or delay."""

    async def check(bench: Bench) -> None:
        await bench.hold()
        await bench.queue(*['/a'] * 4)
        outcome = await bench.start('/b')
        assert result(outcome) == (NOT_RUN, Reason.QUEUE_FULL)
        assert outcome.retry_after_ms > 0
        load = outcome.load
        assert (load.in_flight, load.queued, load.limit) == (1, 4, 1)

    run_bench(check, queue_per_limit=1.0)


def test_announced_connections_are_respected() -> None:
    """Fails if more connections are opened than the target accepts."""

    async def check(bench: Bench) -> None:
        bench.announce(slots=0, connections=2, instance='second')
        bench.clock.skipped_s += 1
        held = await bench.hold(2)
        more = await bench.queue(*['/more'] * 6)
        assert bench.gate.load.limit == 2
        bench.opened.set()
        for task in held + more:
            assert (await task).verdict is Verdict.RAN
        assert bench.target.max_open_connections == 2

    run_bench(check)


def test_baseline_neither_sheds_nor_adapts() -> None:
    """Fails if the baseline of experiments still has overload control."""

    async def check(bench: Bench) -> None:
        bench.announce(slots=1, connections=2, instance='second')
        await bench.hold(2)
        ranks = list(Importance) * 10
        tasks = [
            bench.start(f'/{number}', importance=rank)
            for number, rank in enumerate(ranks)
        ]
        await asyncio.sleep(0)
        assert bench.gate.load.queued == len(tasks)
        assert bench.gate.load.limit == 2
        bench.opened.set()
        for task in tasks:
            assert (await task).verdict is Verdict.RAN
        numbers = [int(path[1:]) for path in bench.paths[2:]]
        assert len(set(numbers)) == 40
        # Two connections may swap neighbours, no more.
        assert all(abs(n - i) <= 1 for i, n in enumerate(numbers))

    run_bench(check, shedding=False, adaptive=False)
