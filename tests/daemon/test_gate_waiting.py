"""Tests requests that wait at the gate during a change of state."""

from collections.abc import Awaitable
from collections.abc import Callable

import pytest

from gate_bench import Bench
from gate_bench import NOT_RUN
from gate_bench import result
from gate_bench import run_bench
from turmericrouter_core.config import Key
from turmericrouter_core.config import Retirement
from turmericrouter_core.verdict import Reason
from turmericrouter_core.verdict import Verdict


async def _withdraw(bench: Bench) -> None:
    bench.publish('key/d1', Key('east', withdrawn=True))


async def _delete_key(bench: Bench) -> None:
    bench.publish('key/d1', None, base=0)


async def _retire(bench: Bench) -> None:
    bench.publish('retirement/design-0', Retirement())


async def _leave(bench: Bench) -> None:
    bench.gate.start_draining()


async def _target_leaves(bench: Bench) -> None:
    bench.announce(leaving=True)


async def _target_moves(bench: Bench) -> None:
    bench.announce(instance='second')


async def _target_falls_silent(bench: Bench) -> None:
    bench.fall_silent()


@pytest.mark.parametrize(
    ('event', 'reason'),
    [
        (_withdraw, Reason.KEY_WITHDRAWN),
        (_delete_key, Reason.KEY_WITHDRAWN),
        (_retire, Reason.TARGET_RETIRED),
        (_leave, Reason.TARGET_LEAVING),
        (_target_leaves, Reason.TARGET_LEAVING),
        (_target_moves, Reason.TARGET_UNREACHABLE),
        (_target_falls_silent, Reason.TARGET_UNREACHABLE),
    ],
)
def test_waiting_request_is_checked_again(
    event: Callable[[Bench], Awaitable[None]], reason: Reason
) -> None:
    """Fails if a request starts that lost its admission while waiting."""

    async def check(bench: Bench) -> None:
        (running,) = await bench.hold()
        (waiting,) = await bench.queue('/later')
        await event(bench)
        bench.opened.set()
        assert result(await waiting) == (NOT_RUN, reason)
        assert (await running).verdict is Verdict.RAN
        assert bench.paths == ['/hold/0']

    run_bench(check)


def test_cancelling_frees_the_place() -> None:
    """Fails if a cancelled request keeps a slot, a place or a connection."""

    async def check(bench: Bench) -> None:
        running = bench.start('/forever')
        await bench.until(lambda: bool(bench.paths))
        (first,) = await bench.queue('/first')
        (second,) = await bench.queue('/second')
        first.cancel()
        await bench.until(lambda: bench.gate.load.queued == 1)
        running.cancel()
        assert (await second).verdict is Verdict.RAN
        await bench.until(lambda: bench.lost == 1)
        assert bench.paths == ['/forever', '/second']
        assert bench.crashes.crashes == []

    run_bench(check)


def test_cancelled_request_may_be_dropped_at_the_same_moment() -> None:
    """Fails if the gate answers a request that was just cancelled."""

    async def check(bench: Bench) -> None:
        (running,) = await bench.hold()
        (first,) = await bench.queue('/first')
        first.cancel()
        bench.gate.start_draining()
        bench.opened.set()
        assert (await running).verdict is Verdict.RAN
        assert bench.paths == ['/hold/0']

    run_bench(check)
