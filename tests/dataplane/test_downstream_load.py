"""Load pattern: every client request makes four calls to a small service.

Guards against requests that run through the whole call chain and are refused
at its end, and against shedding important requests before others.
"""

import random

from turmericrouter_dataplane.policy.downstream_load import DownstreamLoad

_SAMPLES = [number / 100 for number in range(100)]


def admitted(
    downstream_load: DownstreamLoad, rank: int, now: float = 0.0
) -> int:
    return sum(
        downstream_load.admits('read', rank, now, sample)
        for sample in _SAMPLES
    )


def under_load(load: float) -> DownstreamLoad:
    downstream_load = DownstreamLoad()
    for _ in range(100):
        downstream_load.report('read', load, 0.0)
    return downstream_load


def test_all_enter_below_the_limit() -> None:
    assert admitted(under_load(1.0), rank=8) == 100


def test_least_important_requests_are_refused_first() -> None:
    downstream_load = under_load(1.3)
    parts = [admitted(downstream_load, rank) for rank in (0, 2, 4, 6, 8)]
    assert parts == sorted(parts, reverse=True)
    assert parts[0] == 100
    assert parts[-1] < 50


def test_route_without_reports_opens_again() -> None:
    downstream_load = under_load(2.0)
    assert admitted(downstream_load, rank=8) == 0
    assert admitted(downstream_load, rank=8, now=2.0) == 100


def test_load_settles_where_the_chain_can_take_it() -> None:
    # 200 requests a second make 4 calls each to a service with 20 slots of
    # 30 ms, which serves 667 calls a second: 167 requests.
    downstream_load = DownstreamLoad()
    rng = random.Random(3)
    queue = 0.0
    entered = 0
    for step in range(2000):
        now = step / 200
        if downstream_load.admits('read', 6, now, rng.random()):
            queue += 4
            entered += step >= 1000
        queue = max(0.0, queue - 667 / 200)
        downstream_load.report('read', min(3.0, 0.95 + queue / 20), now)
    assert 0.75 * 1000 < entered < 0.9 * 1000
    assert queue < 20
