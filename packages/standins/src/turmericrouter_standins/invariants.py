"""Checks invariants against the attempts of callers and ledgers of targets."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import pathlib
import re

from turmericrouter_core.verdict import Verdict
from turmericrouter_standins.ledger import LedgerEntry
from turmericrouter_standins.load import Attempt

_APPLIED_OFFSET = re.compile(r'event=config_applied .*offset=(?P<offset>\d+)')
_STARTING = 'event=daemon_starting'


@dataclasses.dataclass(frozen=True, slots=True)
class StartedRequest:
    """A ledger entry with the name of the target that wrote it."""

    target: str
    entry: LedgerEntry


@dataclasses.dataclass(frozen=True, slots=True)
class Interval:
    """A closed interval of wall-clock seconds."""

    start: float
    end: float

    def overlaps(self, start: float, end: float) -> bool:
        """Return whether another interval overlaps this one."""
        return self.start <= end and start <= self.end


def check_answers(attempts: Iterable[Attempt]) -> list[str]:
    """Return successful answers that are incomplete or another caller's."""
    return [
        f'answer to {attempt.tag} is incomplete or belongs to another request'
        for attempt in attempts
        if attempt.status == 200 and not attempt.answer_valid
    ]


def check_single_execution(started: Iterable[StartedRequest]) -> list[str]:
    """Return operations that were started more than once."""
    targets: dict[str, list[str]] = collections.defaultdict(list)
    for item in started:
        if item.entry.operation:
            targets[item.entry.operation].append(item.target)
    return [
        f'operation {operation} was started at {", ".join(names)}'
        for operation, names in targets.items()
        if len(names) > 1
    ]


def check_not_run(
    attempts: Sequence[Attempt], started: Iterable[StartedRequest]
) -> list[str]:
    """Return requests that got the verdict `not-run` although they ran.

    The verdict of an attempt with an operation id covers the operation: no
    attempt may get `not-run` once an attempt sent no later has run.
    Attempts without a tag are matched to the ledger by their request id.
    """
    attempt_by_tag = {a.tag: a.attempt for a in attempts}
    started_ids: set[str] = set()
    run_attempt_by_operation: dict[str, int] = {}
    for item in started:
        tag, operation = item.entry.tag, item.entry.operation
        started_ids.add(tag or item.entry.request_id)
        if operation and tag in attempt_by_tag:
            run_attempt_by_operation[operation] = attempt_by_tag[tag]
    problems = []
    for attempt in attempts:
        if attempt.verdict != Verdict.NOT_RUN:
            continue
        attempt_id = attempt.tag or attempt.request_id
        if attempt_id in started_ids:
            problems.append(f'{attempt_id} got the verdict not-run, but ran')
            continue
        ran = run_attempt_by_operation.get(attempt.operation)
        if ran is None or attempt.reason in _ATTEMPT_SCOPED_REASONS:
            continue
        if ran < attempt.attempt:
            problems.append(
                f'operation {attempt.operation} got not-run '
                f'({attempt.reason}), but had run'
            )
    return problems


# These refusals come before the operation is looked up; their verdict covers
# the attempt only, as docs/promises.md states.
_ATTEMPT_SCOPED_REASONS = frozenset(
    {
        'key-missing',
        'key-unknown',
        'key-withdrawn',
        'workspace-unknown',
        'route-unknown',
        'malformed',
    }
)


def check_workspaces(
    attempts: Iterable[Attempt],
    started: Iterable[StartedRequest],
    workspace_of_flow: Mapping[str, str],
) -> list[str]:
    """Return requests that ran in another workspace than that of their key."""
    expected = {
        attempt.tag: workspace_of_flow[attempt.flow]
        for attempt in attempts
        if attempt.flow in workspace_of_flow
    }
    return [
        f'{item.entry.tag} ran for {item.entry.workspace!r}'
        for item in started
        if item.entry.tag in expected
        and item.entry.workspace != expected[item.entry.tag]
    ]


def check_key_leaks(
    paths: Iterable[pathlib.Path],
    keys: Sequence[str],
    started: Iterable[StartedRequest],
) -> list[str]:
    """Return the log files and targets to which a caller's key has leaked."""
    problems = [
        f'{item.target} saw {item.entry.violation}'
        for item in started
        if item.entry.violation
    ]
    for path in paths:
        text = path.read_text(errors='replace')
        problems += [f'a key is in {path.name}' for key in keys if key in text]
    return problems


def check_attempts_bounded(
    started: Iterable[StartedRequest], max_starts_by_path: Mapping[str, int]
) -> list[str]:
    """Return top-level requests with more attempts than allowed.

    Args:
        started: Requests that targets started.
        max_starts_by_path: Starts allowed for one request id, by path.
    """
    counts: collections.Counter[tuple[str, str]] = collections.Counter(
        (item.entry.request_id, item.entry.path)
        for item in started
        if item.entry.request_id
    )
    return [
        f'{count} attempts of {path} for request {request_id}'
        for (request_id, path), count in counts.items()
        if path in max_starts_by_path and count > max_starts_by_path[path]
    ]


def check_config_never_reverts(logs: Iterable[pathlib.Path]) -> list[str]:
    """Return daemons that applied an older offset after a newer one."""
    problems = []
    for path in logs:
        last = -1
        for line in path.read_text(errors='replace').splitlines():
            if _STARTING in line:
                last = -1
            match = _APPLIED_OFFSET.search(line)
            if match and int(match['offset']) <= last:
                problems.append(f'{path.name} went back to {match["offset"]}')
            if match:
                last = max(last, int(match['offset']))
    return problems


def check_withdrawn_keys(
    attempts: Iterable[Attempt],
    withdrawn_at: Mapping[str, float],
    exempt_spans: Sequence[Interval],
    *,
    max_delay_s: float,
) -> list[str]:
    """Return requests that were served too long after their key was withdrawn.

    Args:
        attempts: Attempts of callers.
        withdrawn_at: Time of the withdrawal by flow.
        exempt_spans: Spans in which an entry may have missed the withdrawal:
            it was disconnected, and its route serves stale configuration.
        max_delay_s: Seconds until a withdrawal must be in force.
    """
    problems = []
    for attempt in attempts:
        at = withdrawn_at.get(attempt.flow)
        if at is None or not attempt.is_served:
            continue
        if attempt.sent_at <= at + max_delay_s:
            continue
        if any(i.overlaps(at, attempt.sent_at) for i in exempt_spans):
            continue
        late_s = attempt.sent_at - at
        problems.append(f'{attempt.flow} was served {late_s:.1f} s late')
    return problems


def check_leaving_targets(
    started: Iterable[StartedRequest],
    retired: Mapping[str, Sequence[Interval]],
    exempt_spans: Sequence[Interval],
    *,
    max_delay_s: float,
) -> list[str]:
    """Return requests that a target started too long after its retirement.

    Args:
        started: Requests that targets started.
        retired: Spans in which each target was leaving or retired.
        exempt_spans: Spans in which the change could not propagate.
        max_delay_s: Seconds that the propagation may take.
    """
    problems = []
    for item in started:
        for span in retired.get(item.target, ()):
            late = span.start + max_delay_s < item.entry.at < span.end
            if late and not any(
                i.overlaps(span.start, item.entry.at) for i in exempt_spans
            ):
                problems.append(f'{item.target} got work after leaving')
    return problems


def check_graceful_stops(
    attempts: Iterable[Attempt], stops: Mapping[str, Sequence[Interval]]
) -> list[str]:
    """Return requests that were interrupted by a planned stop of their entry.

    Args:
        attempts: Attempts of callers.
        stops: Spans from the signal to the exit, by entry URL.
    """
    problems = []
    for attempt in attempts:
        if attempt.status or attempt.reason.startswith('ClientConnector'):
            continue
        for span in stops.get(attempt.entry, ()):
            if attempt.sent_at < span.start <= attempt.ended_at <= span.end:
                problems.append(
                    f'{attempt.tag} was interrupted by a stop: '
                    f'{attempt.reason}'
                )
    return problems
