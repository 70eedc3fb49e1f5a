"""Guards against checks of the soak that miss violations."""

import dataclasses

import soak_checks
from soak_checks import Attempt
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


def test_request_cut_off_by_a_planned_stop_is_found() -> None:
    cut = changed(status=0, error='reset')
    stops = [('host-0', Span(10.5, 12.0))]
    assert soak_checks.check_planned_stops([cut], stops, [], 3.0)
    assert not soak_checks.check_planned_stops([ATTEMPT], stops, [], 3.0)
    fault = [Span(8.0, 8.5)]
    assert not soak_checks.check_planned_stops([cut], stops, fault, 3.0)


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
    assert not check(7.0, [Span(6.0, 6.5)])
