"""Guards against checks of the soak that miss violations."""

import dataclasses

import soak_checks
from soak_checks import Attempt
from soak_checks import RateLimitSpan
from soak_checks import Span
from standin_upstream import Arrival

ATTEMPT = Attempt(
    'id-1', '/book/1', 'east', 'host-0', False, 10.0, 11.0, 200,
    b'answer to id-1',
)  # fmt: skip
ARRIVAL = Arrival(
    10.5, 'id-1', '/book/1', 'east', 'design', False, 'works', 'i-1', True
)
SERVICES = {'host-0': 'design'}


def changed(attempt: Attempt = ATTEMPT, **changes: object) -> Attempt:
    return dataclasses.replace(attempt, **changes)  # type: ignore[arg-type]


def arrived(**changes: object) -> Arrival:
    return dataclasses.replace(ARRIVAL, **changes)  # type: ignore[arg-type]


def test_answer_of_another_request_is_found() -> None:
    assert not soak_checks.check_answers([ATTEMPT])
    assert soak_checks.check_answers([changed(body=b'answer to id-2')])


def test_second_run_is_found() -> None:
    assert not soak_checks.check_single_runs([ATTEMPT], [ARRIVAL])
    assert soak_checks.check_single_runs([ATTEMPT], [ARRIVAL, ARRIVAL])
    rejected = arrived(has_run=False)
    assert not soak_checks.check_single_runs([ATTEMPT], [rejected, ARRIVAL])


def test_refusal_of_a_request_that_ran_is_found() -> None:
    refused = changed(status=503)
    assert soak_checks.check_refusals([refused], [ARRIVAL])
    assert not soak_checks.check_refusals([refused], [])
    assert not soak_checks.check_refusals([changed(status=502)], [ARRIVAL])


def test_request_that_was_changed_or_never_sent_is_found() -> None:
    assert not soak_checks.check_requests([ATTEMPT], [ARRIVAL], SERVICES)
    for wrong in (
        arrived(request_id='id-9'),
        arrived(path='/book/2'),
        arrived(workspace='west'),
        arrived(caller_service='works'),
        arrived(has_key=True),
    ):
        assert soak_checks.check_requests([ATTEMPT], [wrong], SERVICES)


def test_runs_beyond_the_limit_are_found() -> None:
    limits = {'east': (10.0, 10.0)}
    # 1.1 * (5 * 10 + 10) + 20 = 86 runs in 5 s.
    runs = [arrived(at=number * 5.0 / 86) for number in range(86)]
    assert not soak_checks.check_quota(runs, limits)
    assert soak_checks.check_quota([*runs, arrived(at=2.0)], limits)


def test_retries_beyond_the_budget_are_found() -> None:
    firsts = [arrived(request_id=f'id-{n}') for n in range(100)]
    retries = [arrived(request_id=f'id-{n}', at=12.0) for n in range(30)]
    assert not soak_checks.check_retry_budget([*firsts, *retries], 10.0)
    assert soak_checks.check_retry_budget(
        [*firsts, *retries, retries[0]], 10.0
    )


def test_request_at_a_drained_upstream_is_found() -> None:
    drained = {'i-1': 8.0}
    assert soak_checks.check_drained([ARRIVAL], drained, 2.0)
    assert not soak_checks.check_drained([ARRIVAL], drained, 3.0)


def test_requests_beyond_a_rate_limit_are_found() -> None:
    # 1.5 * 4 * 5 + 5 = 35 requests in 4 s.
    limit = RateLimitSpan('i-1', Span(10.0, 20.0), 5.0)
    allowed = [arrived(at=11.0 + number / 10) for number in range(35)]
    assert not soak_checks.check_rate_limits(allowed, [limit])
    assert soak_checks.check_rate_limits([*allowed, arrived(at=13.0)], [limit])
    early = arrived(at=9.9)
    other = arrived(at=13.0, upstream_id='i-2')
    assert not soak_checks.check_rate_limits([*allowed, early, other], [limit])


def check_stop(
    attempt: Attempt, arrival: Arrival = ARRIVAL, *faults: Span
) -> list[str]:
    """Check a request of a host that stops from 10.5 s on.

    Host 1 stops 4 s earlier.
    """
    stops = [('host-0', Span(10.5, 16.0)), ('host-1', Span(6.5, 12.0))]
    return soak_checks.check_planned_stops(
        [attempt], [arrival], stops, faults, margin_s=3.0, grace_s=6.0
    )


def test_request_cut_off_by_a_planned_stop_is_found() -> None:
    cut = changed(status=0, error='reset')
    assert check_stop(cut)
    assert not check_stop(changed(is_signed=True))
    assert not check_stop(cut, ARRIVAL, Span(8.0, 8.5))


def test_request_that_crosses_the_close_is_told_from_a_lost_one() -> None:
    crossing = changed(status=0, error='reset', sent_at=10.75, ended_at=10.875)
    foreign = arrived(request_id='id-2')
    assert not check_stop(crossing, foreign)
    assert check_stop(crossing, arrived(at=10.8, has_run=False))
    assert check_stop(dataclasses.replace(crossing, ended_at=11.0), foreign)


def test_request_broken_off_by_a_planned_stop_is_found() -> None:
    for status in (502, 504):
        broken_off = changed(status=status)
        assert check_stop(broken_off)
        # The upstream does not notice and finishes later.
        assert check_stop(broken_off, arrived(answered_at=11.5))
        assert not check_stop(broken_off, ARRIVAL, Span(8.0, 8.5))
        assert not check_stop(broken_off, arrived(answered_at=10.9))
        assert not check_stop(broken_off, arrived(has_run=False))
        assert not check_stop(changed(status=status, is_signed=True))
        assert not check_stop(changed(status=status, host='host-2'))


def test_request_without_time_left_may_be_broken_off() -> None:
    # The last sixth of the grace time begins at 15.5 s.
    late = changed(status=502, limit_s=9.0, sent_at=13.4, ended_at=15.6)
    assert not check_stop(late)
    assert check_stop(dataclasses.replace(late, ended_at=15.4))
    assert check_stop(dataclasses.replace(late, sent_at=13.6))
    expired = changed(status=504, ended_at=12.0)
    assert not check_stop(expired)
    assert check_stop(dataclasses.replace(expired, limit_s=2.1))
    # The host of the upstream stops too, with its last sixth from 11.5 s on.
    cut_there = changed(status=502, limit_s=9.0, sent_at=9.4, ended_at=11.6)
    assert not check_stop(cut_there, arrived(host='host-1'))
    assert check_stop(cut_there, arrived(host='host-2'))
    assert check_stop(
        dataclasses.replace(cut_there, sent_at=9.6), arrived(host='host-1')
    )


def test_return_to_an_older_version_is_found() -> None:
    served = changed(path='/v3/x')
    lost = changed(path='/v3/x', status=404, sent_at=12.0, ended_at=12.1)
    starts = {'host-0': [0.0]}

    def check(starts: dict[str, list[float]], **published: float) -> list[str]:
        versions = {int(name[1:]): at for name, at in published.items()}
        return soak_checks.check_version_order(
            [served, lost], versions, starts, 0.25
        )

    assert check(starts, v3=9.0)
    assert not check(starts, v3=9.0, v4=11.9)
    assert not check({'host-0': [0.0, 11.5]}, v3=9.0)


def test_version_that_is_not_applied_is_found() -> None:
    lacks = changed(path='/v3/x', status=404)
    withdrawn = changed(path='/read/key-2')

    def check(at: float, faults: list[Span]) -> list[str]:
        return soak_checks.check_versions_applied(
            [lacks, withdrawn], {3: at}, faults, apply_s=2.0, stable_s=3.0
        )

    assert len(check(7.0, [])) == 2
    assert not check(9.0, [])
    assert not check(7.0, [Span(6.0, 7.5)])
    # The host has been reachable for 3 s since.
    assert len(check(5.0, [Span(6.0, 6.5)])) == 2
