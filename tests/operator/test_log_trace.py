"""Tests that the log lines that explain a request's outcome are found."""

import pathlib

import pytest

from turmericrouter_operator import cli
from turmericrouter_operator import log_trace
from turmericrouter_operator.log_trace import parse_line

FAILED = (
    "time=100.5 event='request_attempt_failed' request_id='id-1' "
    "route='read' service='works' target_host='host-1' attempt=1 "
    "verdict='may-have-run' reason='link-lost' host='host-0'"
)
LOST = "time=100.4 event='link_lost' peer='host-1' host='host-0'"
OTHER_LOST = "time=100.4 event='link_lost' peer='host-2' host='host-0'"
EARLIER_LOST = "time=80.0 event='link_lost' peer='host-1' host='host-0'"
STARTED = "time=101.0 event='started' pid=7 host='host-1'"
NESTED = (
    "time=100.6 event='request_refused' request_id='id-1.4' status=503 "
    "reason='shed-at-gate' host='host-1'"
)
OTHER = (
    "time=100.5 event='request_refused' request_id='id-11' status=503 "
    "reason='link-lost' host='host-0'"
)


def traced(*texts: str) -> list[tuple[str, str, bool]]:
    lines = [line for text in texts if (line := parse_line(text))]
    return [
        (each.line.event, each.line.host, each.is_request_line)
        for each in log_trace.trace_request('id-1', lines)
    ]


def test_line_is_read_with_its_types() -> None:
    """Guards against values that lose their type or quoting on parsing."""
    line = parse_line(
        "time=1.5 event='request_refused' path=\"/it's\" rate_per_s=39.0 "
        "reason='quota-exceeded' host='host-0'"
    )
    assert line is not None
    assert (line.time, line.host) == (1.5, 'host-0')
    assert line.fields['path'] == "/it's"
    assert line.fields['rate_per_s'] == 39.0


@pytest.mark.parametrize('text', ['', 'Traceback', "event='x'", 'time=1.0'])
def test_lines_not_written_by_a_daemon_are_skipped(text: str) -> None:
    """Guards against a trace that fails on other output in the file."""
    assert parse_line(text) is None


def test_lost_link_is_shown_with_the_restart_of_its_peer() -> None:
    """Guards against a trace that lacks causes on either host.

    The link is lost on the host that sent the request, and the daemon on the
    host of the target starts again shortly after the decision.
    """
    assert traced(FAILED, LOST, STARTED) == [
        ('link_lost', 'host-0', False),
        ('request_attempt_failed', 'host-0', True),
        ('started', 'host-1', False),
    ]


def test_lines_of_other_hosts_times_and_requests_are_left_out() -> None:
    """Guards against unrelated events that are shown as causes."""
    found = traced(FAILED, OTHER_LOST, EARLIER_LOST, OTHER)
    assert found == [('request_attempt_failed', 'host-0', True)]


def test_nested_calls_of_the_target_belong_to_the_request() -> None:
    """Guards against a trace that lacks the calls that a target made."""
    found = traced(FAILED, NESTED)
    assert [event for event, _, _ in found] == [
        'request_attempt_failed',
        'request_refused',
    ]


def test_command_reads_files(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a wrong exit status of `explain --output`.

    The status is 0 if lines were found, 1 if there are none, and 2 if a file
    cannot be read.
    """
    files = []
    for number, text in enumerate((FAILED, STARTED)):
        file = tmp_path / f'{number}.log'
        file.write_text(f'{text}\n')
        files += ['--output', str(file)]
    assert cli.app(['explain', 'id-1', *files]) == 0
    shown = capsys.readouterr().out
    assert 'link-lost' in shown
    assert 'cause' in shown
    assert cli.app(['explain', 'id-2', *files]) == 1
    missing = ['--output', str(tmp_path / 'none.log')]
    assert cli.app(['explain', 'id-1', *missing]) == 2
