"""Guards against trial figures that count the wrong attempts."""

import asyncio
from collections.abc import Sequence
import pathlib
from typing import Any

import msgspec
import pytest

from turmericrouter_standins import experiments
from turmericrouter_standins.fairness import evaluate
from turmericrouter_standins.fairness import FairnessResult
from turmericrouter_standins.fairness import WARM_UP_S
from turmericrouter_standins.ledger import LedgerEntry
from turmericrouter_standins.load import Attempt
from turmericrouter_standins.load import count_failures
from turmericrouter_standins.load import Failure
from turmericrouter_standins.load import FailureCount
from turmericrouter_standins.scenario import load_scenario
from turmericrouter_standins.trial import BASELINE_SETTINGS
from turmericrouter_standins.trial import TrialResult

_STARTED_AT = 1000.0
_QUOTA = 'quota-exceeded'


def _attempt(
    status: int = 200,
    reason: str = '',
    *,
    flow: str = 'east',
    second: float = WARM_UP_S,
    answer_valid: bool = True,
) -> Attempt:
    sent_at = _STARTED_AT + second
    return Attempt(
        flow,
        0,
        0,
        sent_at,
        sent_at + 0.1,
        status,
        '',
        reason,
        answer_valid and status == 200,
        f'{flow}{second}',
        '',
        'http://entry',
        '',
    )


def _trial(attempts: Sequence[Attempt]) -> TrialResult:
    ledger = [
        LedgerEntry(
            at=attempt.sent_at,
            method='GET',
            tag=attempt.tag,
            operation='',
            workspace=attempt.flow,
            request_id='',
            path='/',
        )
        for attempt in attempts
        if attempt.is_served
    ]
    return TrialResult(_STARTED_AT, attempts, ledger)


@pytest.mark.parametrize(
    ('attempt', 'failure'),
    [
        (_attempt(), None),
        (_attempt(answer_valid=False), Failure.ANSWER_INVALID),
        (_attempt(429, _QUOTA), Failure.REFUSED),
        # A refusal by the target itself has no reason header.
        (_attempt(503), Failure.REFUSED),
        (_attempt(504, 'deadline-expired'), Failure.REFUSED),
        (_attempt(0, 'TimeoutError'), Failure.CLIENT_TIMEOUT),
        (_attempt(0, 'ConnectionTimeoutError'), Failure.CLIENT_TIMEOUT),
        (_attempt(0, 'ClientConnectorError'), Failure.CONNECTION_ERROR),
        (_attempt(0, 'ServerDisconnectedError'), Failure.CONNECTION_ERROR),
    ],
)
def test_refusal_differs_from_a_missing_answer(
    attempt: Attempt, failure: Failure | None
) -> None:
    assert attempt.failure is failure


def test_failures_are_counted_by_status_and_reason() -> None:
    attempts = [
        _attempt(),
        _attempt(0, 'TimeoutError'),
        *[_attempt(429, _QUOTA)] * 3,
        *[_attempt(503, 'no-room')] * 2,
    ]
    assert count_failures(attempts) == (
        FailureCount(Failure.REFUSED, 429, _QUOTA, 3),
        FailureCount(Failure.REFUSED, 503, 'no-room', 2),
        FailureCount(Failure.CLIENT_TIMEOUT, 0, 'TimeoutError', 1),
    )


def test_fairness_counts_requests_within_the_rate_after_warm_up() -> None:
    attempts = [
        *[_attempt()] * 6,
        _attempt(429, _QUOTA),
        _attempt(0, 'TimeoutError'),
        *[_attempt(flow='west')] * 2,
        _attempt(429, _QUOTA, second=WARM_UP_S - 0.1),
        _attempt(429, _QUOTA, flow='flooder'),
    ]
    rates = {'east': 10.0, 'west': 10.0, 'flooder': 20.0}
    result = evaluate(_trial(attempts), rates, 'flooder')
    assert result.requests_within_rate == 10
    assert result.wrongful_refusal_ratio == 0.2
    assert result.worst_workspace_share == 0.75
    assert result.failures == (
        FailureCount(Failure.REFUSED, 429, _QUOTA, 1),
        FailureCount(Failure.CLIENT_TIMEOUT, 0, 'TimeoutError', 1),
    )


def test_served_rates_show_pauses_and_exclude_other_flows() -> None:
    trial = _trial(
        [
            *[_attempt(second=0.2)] * 2,
            _attempt(503, second=0.2),
            _attempt(flow='west', second=0.2),
            _attempt(second=1.2),
            _attempt(second=2.0),
        ]
    )
    rates = trial.served_rates(['east'], seconds=2.0, step_s=0.5)
    assert rates == {0.0: 4.0, 0.5: 0.0, 1.0: 2.0, 1.5: 0.0}


def test_load_that_was_sent_late_is_not_counted_as_offered() -> None:
    retried = msgspec.structs.replace(_attempt(second=1.5), attempt=1)
    trial = _trial([_attempt(503, second=1.0), _attempt(second=2.0), retried])
    assert trial.offered(1.0, 2.0) == 1


def test_share_of_the_baseline_comes_from_the_same_run(
    monkeypatch: pytest.MonkeyPatch, tmp_path: pathlib.Path
) -> None:
    calls: list[dict[str, Any]] = []

    async def measure(
        scenario: object, *, directory: pathlib.Path, **options: Any
    ) -> FairnessResult:
        calls.append(options)
        if options.get('settings') is BASELINE_SETTINGS:
            return FairnessResult(0.5, 0.5, 100, (), 3.0)
        return FairnessResult(0.9, 0.1, 100, (), 0.8)

    monkeypatch.setattr(experiments, 'measure_fairness', measure)
    conditions = experiments.Conditions(load_scenario('mosaic'), tmp_path, 7)
    result = asyncio.run(experiments.run_fairness(conditions))
    assert result.figures['worst_workspace_share'] == 0.9
    assert result.figures['worst_workspace_share_baseline'] == 0.5
    # The bound on admissions applies to daemons with normal settings.
    assert result.figures['overadmission_ratio'] == 0.8
    flooded = [options for options in calls if options.get('flooding')]
    assert len(flooded) == 2
    assert {options['seed'] for options in flooded} == {7}
    assert result.failures.keys() >= {'normal', 'flooded', 'flooded_baseline'}
