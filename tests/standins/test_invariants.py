"""Guards against soak checks that miss a violation or report a false one."""

import pathlib

from turmericrouter_standins import invariants
from turmericrouter_standins.fairness import max_overadmission_ratio
from turmericrouter_standins.invariants import Interval
from turmericrouter_standins.invariants import StartedRequest
from turmericrouter_standins.ledger import Ledger
from turmericrouter_standins.ledger import LedgerEntry
from turmericrouter_standins.ledger import read_ledger
from turmericrouter_standins.load import Attempt


def _attempt(
    *,
    flow: str = 'alpha/book',
    attempt: int = 0,
    sent_at: float = 0.0,
    status: int = 200,
    verdict: str = 'ran',
    reason: str = '',
    answer_valid: bool = True,
    tag: str = 't0',
    operation: str = '',
    request_id: str = 'r0',
) -> Attempt:
    return Attempt(
        flow,
        0,
        attempt,
        sent_at,
        sent_at + 0.1,
        status,
        verdict,
        reason,
        answer_valid,
        tag,
        operation,
        'http://entry',
        request_id,
    )


def _started(
    *, at: float = 0.05, tag: str = 't0', operation: str = '', **overrides: str
) -> StartedRequest:
    fields = {'workspace': 'alpha', 'request_id': 'r0', 'path': '/book'}
    fields |= overrides
    entry = LedgerEntry(
        at=at, method='POST', tag=tag, operation=operation, **fields
    )
    return StartedRequest('target', entry)


def test_operation_started_twice_is_found() -> None:
    duplicates = [_started(operation='o'), _started(operation='o')]
    assert invariants.check_single_execution(duplicates)
    assert not invariants.check_single_execution(duplicates[:1])


def test_not_run_verdict_of_a_started_request_is_found() -> None:
    refused = _attempt(status=503, verdict='not-run', reason='evicted')
    assert invariants.check_not_run([refused], [_started()])
    assert not invariants.check_not_run([refused], [_started(tag='t1')])


def test_untagged_attempts_are_matched_by_request_id() -> None:
    # Without a tag, a check that ignores the request id would match a refused
    # attempt to another attempt that ran, or miss one that ran itself.
    refused = _attempt(status=503, verdict='not-run', tag='')
    assert invariants.check_not_run([refused], [_started(tag='')])
    other = _started(tag='', request_id='r1')
    assert not invariants.check_not_run([refused], [other])


def test_not_run_verdict_of_a_started_operation_is_found() -> None:
    attempts = [
        _attempt(status=0, verdict='', operation='o'),
        _attempt(
            attempt=1, status=503, verdict='not-run', tag='t1', operation='o'
        ),
    ]
    assert invariants.check_not_run(attempts, [_started(operation='o')])
    started_later = [_started(tag='t2', operation='o')]
    attempts.append(_attempt(attempt=2, tag='t2', operation='o'))
    assert not invariants.check_not_run(attempts, started_later)


def test_answer_of_another_request_is_found() -> None:
    assert invariants.check_answers([_attempt(answer_valid=False)])


def test_execution_in_another_workspace_is_found() -> None:
    found = invariants.check_workspaces(
        [_attempt()], [_started(workspace='beta')], {'alpha/book': 'alpha'}
    )
    assert found


def test_key_in_output_is_found(tmp_path: pathlib.Path) -> None:
    path = tmp_path / 'daemon.log'
    path.write_text('event=x authorization=secret\n')
    assert invariants.check_key_leaks([path], ['secret'], [])
    assert not invariants.check_key_leaks([path], ['other'], [])


def test_late_use_of_a_withdrawn_key_is_found() -> None:
    late = _attempt(flow='rotate-0', sent_at=20.0)
    withdrawn = {'rotate-0': 5.0}
    assert invariants.check_withdrawn_keys(
        [late], withdrawn, [], max_delay_s=10.0
    )
    exempt_spans = [Interval(4.0, 6.0)]
    assert not invariants.check_withdrawn_keys(
        [late], withdrawn, exempt_spans, max_delay_s=10.0
    )


def test_late_request_to_a_leaving_target_is_found() -> None:
    retired = {'target': [Interval(1.0, 9.0)]}
    started = [_started(at=5.0)]
    assert invariants.check_leaving_targets(
        started, retired, [], max_delay_s=3.0
    )
    assert not invariants.check_leaving_targets(
        started, retired, [], max_delay_s=5.0
    )


def test_reverted_configuration_is_found(tmp_path: pathlib.Path) -> None:
    path = tmp_path / 'daemon.log'
    lines = [
        'timestamp=t event=config_applied offset=4',
        'timestamp=t event=config_applied offset=3',
    ]
    path.write_text('\n'.join(lines))
    assert invariants.check_config_never_reverts([path])
    path.write_text('\n'.join([lines[0], 'event=daemon_starting', lines[1]]))
    assert not invariants.check_config_never_reverts([path])


def test_request_interrupted_by_a_stop_is_found() -> None:
    cut = _attempt(status=0, verdict='', reason='ServerDisconnectedError')
    stops = {'http://entry': [Interval(0.05, 0.2)]}
    assert invariants.check_graceful_stops([cut], stops)


def test_too_many_attempts_are_found() -> None:
    started = [_started(), _started()]
    assert invariants.check_attempts_bounded(started, {'/book': 1})
    assert not invariants.check_attempts_bounded(started, {'/book': 2})


def test_overadmission_counts_every_window() -> None:
    attempts = [
        _attempt(flow='alpha', tag=f't{n}', sent_at=10.0) for n in range(12)
    ]
    entries = [_started(tag=f't{n}', at=10.0).entry for n in range(12)]
    ratio = max_overadmission_ratio(attempts, entries, 'alpha', 5.0, 10.0)
    assert ratio == 1.2


def test_ledger_skips_an_incomplete_last_line(tmp_path: pathlib.Path) -> None:
    path = tmp_path / 'ledger'
    Ledger(path).append(_started().entry)
    with path.open('ab') as file:
        file.write(b'{"at": 1')
    assert len(list(read_ledger(path))) == 1
