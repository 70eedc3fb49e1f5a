"""Checks the promises against what callers saw and targets started."""

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
class Started:
    """An entry of a ledger with the target that wrote it."""

    target: str
    entry: LedgerEntry


@dataclasses.dataclass(frozen=True, slots=True)
class Interval:
    """A span of wall-clock seconds."""

    start: float
    end: float

    def overlaps(self, start: float, end: float) -> bool:
        """Return whether another span shares a moment with this one."""
        return self.start <= end and start <= self.end


def check_whole_answers(attempts: Iterable[Attempt]) -> list[str]:
    """Return answers that were not whole or not the caller's own."""
    return [
        f'answer to {attempt.tag} is not its own or not whole'
        for attempt in attempts
        if attempt.status == 200 and not attempt.whole
    ]


def check_single_execution(started: Iterable[Started]) -> list[str]:
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
    attempts: Sequence[Attempt], started: Iterable[Started]
) -> list[str]:
    """Return requests that were told `not-run` although they ran.

    Every attempt with an operation's id speaks for the operation: none may
    be told `not-run` once an attempt that was sent no later has run.
    Attempts without a tag are found in the ledger by their request id.
    """
    number_of_tag = {a.tag: a.attempt for a in attempts}
    ran_marks: set[str] = set()
    ran_attempt: dict[str, int] = {}
    for item in started:
        tag, operation = item.entry.tag, item.entry.operation
        ran_marks.add(tag or item.entry.request_id)
        if operation and tag in number_of_tag:
            ran_attempt[operation] = number_of_tag[tag]
    problems = []
    for attempt in attempts:
        if attempt.verdict != Verdict.NOT_RUN:
            continue
        mark = attempt.tag or attempt.request_id
        if mark in ran_marks:
            problems.append(f'{mark} was told not-run, but ran')
            continue
        ran = ran_attempt.get(attempt.operation)
        if ran is None or attempt.reason in _ATTEMPT_REASONS:
            continue
        if ran < attempt.attempt:
            problems.append(
                f'operation {attempt.operation} was told not-run '
                f'({attempt.reason}), but had run'
            )
    return problems


# These refusals come before the operation is looked at; they speak for the
# attempt only, which docs/promises.md states.
_ATTEMPT_REASONS = frozenset(
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
    started: Iterable[Started],
    workspace_of_flow: Mapping[str, str],
) -> list[str]:
    """Return requests that ran for another workspace than their key's."""
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


def check_no_key(
    paths: Iterable[pathlib.Path],
    keys: Sequence[str],
    started: Iterable[Started],
) -> list[str]:
    """Return places where a caller's key is seen outside the entry."""
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
    started: Iterable[Started], most_per_path: Mapping[str, int]
) -> list[str]:
    """Return top-level requests with too many attempts.

    Args:
        started: What targets started.
        most_per_path: Most starts with the same request id, by path.
    """
    counts: collections.Counter[tuple[str, str]] = collections.Counter(
        (item.entry.request_id, item.entry.path)
        for item in started
        if item.entry.request_id
    )
    return [
        f'{count} attempts of {path} for request {request_id}'
        for (request_id, path), count in counts.items()
        if path in most_per_path and count > most_per_path[path]
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


def check_withdrawn(
    attempts: Iterable[Attempt],
    withdrawn_at: Mapping[str, float],
    excused: Sequence[Interval],
    *,
    bound_s: float,
) -> list[str]:
    """Return requests that ran with a key long after its withdrawal.

    Args:
        attempts: What callers saw.
        withdrawn_at: Time of the withdrawal by flow.
        excused: Spans in which an entry may not have been told, because it
            was cut off and its route goes on while stale.
        bound_s: Seconds that a withdrawal may take.
    """
    problems = []
    for attempt in attempts:
        at = withdrawn_at.get(attempt.flow)
        if at is None or not attempt.is_served:
            continue
        if attempt.sent_at <= at + bound_s:
            continue
        if any(i.overlaps(at, attempt.sent_at) for i in excused):
            continue
        late_s = attempt.sent_at - at
        problems.append(f'{attempt.flow} was served {late_s:.1f} s late')
    return problems


def check_left(
    started: Iterable[Started],
    left: Mapping[str, Sequence[Interval]],
    excused: Sequence[Interval],
    *,
    bound_s: float,
) -> list[str]:
    """Return work that a target got long after it was told to leave.

    Args:
        started: What targets started.
        left: Spans in which each target was leaving or retired.
        excused: Spans in which the news could not spread.
        bound_s: Seconds that the news may take.
    """
    problems = []
    for item in started:
        for span in left.get(item.target, ()):
            late = span.start + bound_s < item.entry.at < span.end
            if late and not any(
                i.overlaps(span.start, item.entry.at) for i in excused
            ):
                problems.append(f'{item.target} got work after leaving')
    return problems


def check_graceful(
    attempts: Iterable[Attempt], stops: Mapping[str, Sequence[Interval]]
) -> list[str]:
    """Return requests that a planned stop of their entry has cut.

    Args:
        attempts: What callers saw.
        stops: Spans between the signal and the exit, by entry URL.
    """
    problems = []
    for attempt in attempts:
        if attempt.status or attempt.reason.startswith('ClientConnector'):
            continue
        for span in stops.get(attempt.entry, ()):
            if attempt.sent_at < span.start <= attempt.ended_at <= span.end:
                problems.append(
                    f'{attempt.tag} was cut by a stop: {attempt.reason}'
                )
    return problems
