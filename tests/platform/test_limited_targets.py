"""Targets that name a rate limit or say that they leave, with real daemons."""

import asyncio
from collections.abc import Sequence
import pathlib
import time

from platform_fleet import Fleet
from platform_fleet import Host
from platform_fleet import run_fleet

_RATE_PER_S = 10.0
# In some 4 s a target may get one and a half times its limit and 5 requests,
# from half a second after a host has passed on an answer that names it.
_WINDOW_S = 4.0
_MAX_IN_WINDOW = int(1.5 * _RATE_PER_S * _WINDOW_S) + 5
_TOLD_S = 0.5
# A target that leaves gets nothing later than this after it has said so.
_DRAIN_S = 2.0


async def _load(
    fleet: Fleet,
    hosts: Sequence[Host],
    seconds: float,
    *,
    gap_s: float = 0.02,
    path: str = '/read',
) -> list[tuple[int, dict[str, str]]]:
    """Send requests to hosts in turn; return statuses and headers."""
    tasks = []
    end = time.monotonic() + seconds
    number = 0
    while time.monotonic() < end:
        host = hosts[number % len(hosts)]
        number += 1
        request = fleet.request(host, f'{path}/{number}')
        tasks.append(asyncio.create_task(request))
        await asyncio.sleep(gap_s)
    answers = await asyncio.gather(*tasks)
    return [(status, headers) for status, _, headers in answers]


def _most_in_window(host: Host, since: float) -> int:
    """Return the most arrivals in a window that begins after a time."""
    times = [each.at for each in host.upstream.arrivals if each.at > since]
    return max(
        (sum(at <= later < at + _WINDOW_S for later in times) for at in times),
        default=0,
    )


def test_limited_target_gets_its_rate_and_the_rest_goes_elsewhere(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a limit that each of several hosts uses up alone."""

    async def work() -> None:
        services = ('design', 'design', 'works')
        async with run_fleet(tmp_path, services) as fleet:
            limited, other, _ = fleet.hosts
            limited.upstream.rate_limit = _RATE_PER_S
            await _load(fleet, fleet.hosts, _TOLD_S, gap_s=0.01)
            told_at = time.monotonic()
            answers = await _load(fleet, fleet.hosts, 5.0, gap_s=0.01)
            assert {status for status, _ in answers} == {200}
            assert _most_in_window(limited, told_at) <= _MAX_IN_WINDOW
            own = [a for a in limited.upstream.arrivals if a.at > told_at]
            assert len(own) >= 0.5 * _RATE_PER_S * 5.0
            limited.upstream.rate_limit = None
            await _load(fleet, fleet.hosts, 1.0)
            ended_at = time.monotonic()
            await _load(fleet, [limited], 2.0)
            free = [a for a in limited.upstream.arrivals if a.at > ended_at]
            assert len(free) > 1.5 * _RATE_PER_S * 2.0 + 5

    asyncio.run(work())


def test_restarted_daemon_keeps_the_limit_of_its_target(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a slot-full of requests before the first answer.

    The target works for longer than the requests take to arrive.
    """

    async def work() -> None:
        services = ('design', 'works', 'works')
        async with run_fleet(tmp_path, services) as fleet:
            limited, *others = fleet.hosts
            limited.upstream.rate_limit = _RATE_PER_S
            await _load(fleet, others, 1.0)
            told_at = time.monotonic()
            limited.kill()
            limited.upstream.work_s = 0.8
            limited.launch()
            await _load(fleet, others, 5.0, gap_s=0.01)
            assert _most_in_window(limited, told_at) <= _MAX_IN_WINDOW
            assert limited.upstream.arrivals[-1].at > told_at + 2.0

    asyncio.run(work())


def test_what_exceeds_all_limits_is_refused_and_neighbours_stay_whole(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a refusal that says too early when to come back."""

    async def work() -> None:
        async with run_fleet(tmp_path) as fleet:
            limited, neighbour = fleet.hosts
            limited.upstream.rate_limit = 0.5
            await _load(fleet, fleet.hosts, 1.0, gap_s=0.05)
            runs = len(limited.upstream.runs)
            began_at = time.monotonic()
            answers, others = await asyncio.gather(
                _load(fleet, fleet.hosts, 2.0),
                _load(fleet, fleet.hosts, 2.0, path='/open'),
            )
            elapsed_s = time.monotonic() - began_at
            served = [status for status, _ in answers if status == 200]
            refused = [answer for answer in answers if answer[0] == 503]
            assert len(served) + len(refused) == len(answers)
            assert len(served) == len(limited.upstream.runs) - runs
            assert len(served) <= 0.5 * elapsed_s + 2
            waits = [float(headers['Retry-After']) for _, headers in refused]
            # One request in two seconds is taken, and the first has gone.
            assert sum(wait > 0.6 for wait in waits) > 0.8 * len(waits)
            assert {status for status, _ in others} == {200}

    asyncio.run(work())


def test_target_whose_answers_say_that_it_leaves_gets_no_requests(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against requests to a target that announces no departure."""

    async def work() -> None:
        async with run_fleet(tmp_path, ('design', 'design', 'works')) as fleet:
            leaving, _, entry = fleet.hosts
            leaving.upstream.says_leaving = True
            await _load(fleet, fleet.hosts, 1.0)
            told_at = time.monotonic()
            answers = await _load(fleet, fleet.hosts, 2.0)
            assert {status for status, _ in answers} == {200}
            leaving.kill()
            leaving.launch()
            await fleet.wait_for_status(leaving, '/read/again')
            await _load(fleet, [entry], 2.0)
            late = [
                arrival
                for arrival in leaving.upstream.arrivals
                if arrival.at > told_at + _DRAIN_S
            ]
            assert not late

    asyncio.run(work())
