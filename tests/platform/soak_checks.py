"""Checks of a soak run, from the records of callers and upstreams."""

import bisect
import collections
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import re

from standin_upstream import Arrival

QUOTA_WINDOW_S = 5.0
QUOTA_OVERAGE_RATIO = 0.1
QUOTA_SLACK_RUNS = 20
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
RETRY_WINDOW_S = 10.0
RETRY_RATIO = 0.2
# A request that is not passed on may end without an answer this long after it
# was sent: it may cross the close of its connection.
LOSS_SLACK_S = 0.2
# A stop may break off what was sent this long after SIGTERM, if it is still at
# work in the last sixth of the grace time.
STOP_NOTICE_S = 3.0
# Statuses that guarantee that a request has not run and will not.
NOT_RUN = frozenset({408, 421, 429, 503})


@dataclasses.dataclass
class Attempt:
    """One request of a caller and its outcome.

    Args:
        request_id: Id that the caller gave it.
        path: Path with query.
        workspace: Workspace of its key.
        host: Host that it was sent to.
        is_idempotent: Whether it may run more than once.
        sent_at: Monotonic seconds.
        ended_at: Monotonic seconds at the answer or the connection's end.
        status: Status of the answer, 0 if there was none.
        body: Body of the answer.
        error: Why there was no answer.
        limit_s: Time limit or timeout of its route, whichever is shorter.
        is_signed: Whether the answer is one of an upstream.
    """

    request_id: str
    path: str
    workspace: str
    host: str
    is_idempotent: bool
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    body: bytes = b''
    error: str = ''
    limit_s: float = 2.0
    is_signed: bool = False


@dataclasses.dataclass(frozen=True)
class Span:
    """A period between two monotonic times in seconds."""

    begin: float
    end: float

    def overlaps(self, begin: float, end: float) -> bool:
        """Return whether a period overlaps with this one."""
        return self.begin <= end and begin <= self.end


@dataclasses.dataclass(frozen=True)
class RateLimitSpan:
    """A rate limit that an upstream has named in its answers.

    Args:
        upstream_id: Id of the upstream.
        span: When it binds.
        rate_per_s: Requests a second from all hosts together.
    """

    upstream_id: str
    span: Span
    rate_per_s: float


def check_answers(attempts: Iterable[Attempt]) -> list[str]:
    """Return successes whose body belongs to another request."""
    return [
        f'{a.request_id} got {a.body[:40]!r}'
        for a in attempts
        if a.status == 200 and a.body != b'answer to ' + a.request_id.encode()
    ]


def check_single_runs(
    attempts: Iterable[Attempt], arrivals: Iterable[Arrival]
) -> list[str]:
    """Return non-idempotent requests that ran more than once."""
    runs = _count_runs(arrivals)
    return [
        f'{a.request_id} ran {runs[a.request_id]} times'
        for a in attempts
        if not a.is_idempotent and runs[a.request_id] > 1
    ]


def check_refusals(
    attempts: Iterable[Attempt], arrivals: Iterable[Arrival]
) -> list[str]:
    """Return non-idempotent requests that ran although they were refused."""
    runs = _count_runs(arrivals)
    return [
        f'{a.request_id} got {a.status} and has run'
        for a in attempts
        if a.status in NOT_RUN and not a.is_idempotent and runs[a.request_id]
    ]


def check_requests(
    attempts: Iterable[Attempt],
    arrivals: Iterable[Arrival],
    services: dict[str, str],
) -> list[str]:
    """Return runs that no caller requested, or whose request was changed.

    Args:
        attempts: Requests that callers sent.
        arrivals: What upstreams received.
        services: Service on each host.
    """
    sent = {a.request_id: a for a in attempts}
    problems = []
    for arrival in arrivals:
        if not arrival.has_run or '.' in arrival.request_id:
            continue
        attempt = sent.get(arrival.request_id)
        if attempt is None:
            problems.append(f'{arrival.request_id} was never sent')
            continue
        expected = (attempt.path, attempt.workspace, services[attempt.host])
        received = (arrival.path, arrival.workspace, arrival.caller_service)
        if expected != received:
            problems.append(
                f'{arrival.request_id}: {received} is not {expected}'
            )
        if arrival.has_key:
            problems.append(f'{arrival.request_id} came with its key')
    return problems


def check_quota(
    arrivals: Iterable[Arrival], limits: dict[str, tuple[float, float]]
) -> list[str]:
    """Return workspaces whose runs exceed their limit in a window.

    Args:
        arrivals: What upstreams received.
        limits: Rate per second and burst by workspace.
    """
    problems = []
    for name, (rate, burst) in limits.items():
        times = sorted(
            a.at for a in arrivals if a.has_run and a.workspace == name
        )
        max_runs = (rate * QUOTA_WINDOW_S + burst) * (1 + QUOTA_OVERAGE_RATIO)
        max_runs += QUOTA_SLACK_RUNS
        for index, at in enumerate(times):
            count = bisect.bisect_right(times, at + QUOTA_WINDOW_S) - index
            if count > max_runs:
                problems.append(
                    f'{name} ran {count} in 5 s, limit {max_runs:.0f}'
                )
                break
    return problems


def check_retry_budget(arrivals: Iterable[Arrival], slack: float) -> list[str]:
    """Return services whose retries exceed the fleet's retry budget."""
    by_service: dict[str, list[Arrival]] = collections.defaultdict(list)
    for arrival in sorted(arrivals, key=lambda a: a.at):
        by_service[arrival.service].append(arrival)
    problems = []
    for service, of_service in by_service.items():
        seen: set[str] = set()
        firsts: list[float] = []
        retries: list[float] = []
        for arrival in of_service:
            is_first = arrival.request_id not in seen
            (firsts if is_first else retries).append(arrival.at)
            seen.add(arrival.request_id)
        worst = max((_excess(at, firsts, retries) for at in retries),
                    default=0.0)  # fmt: skip
        if worst > slack:
            problems.append(f'{service} got {worst:.0f} retries too many')
    return problems


def check_drained(
    arrivals: Iterable[Arrival],
    drained: dict[str, float],
    drain_s: float,
) -> list[str]:
    """Return requests that reached an upstream after it was drained.

    Args:
        arrivals: What upstreams received.
        drained: Time by upstream id at which its drain was acknowledged.
        drain_s: Time in which requests in flight may still arrive.
    """
    return [
        f'{a.request_id} reached {a.upstream_id} '
        f'{a.at - drained[a.upstream_id]:.2f} s after it left'
        for a in arrivals
        if a.upstream_id in drained and a.at > drained[a.upstream_id] + drain_s
    ]


def check_rate_limits(
    arrivals: Iterable[Arrival], limits: Iterable[RateLimitSpan]
) -> list[str]:
    """Return upstreams that got more requests than their limit allows.

    Args:
        arrivals: All arrivals.
        limits: Limits that upstreams have named.
    """
    arrivals = list(arrivals)
    problems = []
    for limit in limits:
        times = sorted(
            a.at
            for a in arrivals
            if a.upstream_id == limit.upstream_id
            and limit.span.begin <= a.at <= limit.span.end
        )
        counts = (_count_in_window(times, at, LIMIT_WINDOW_S) for at in times)
        most = max(counts, default=0)
        allowed = (
            LIMIT_FACTOR * limit.rate_per_s * LIMIT_WINDOW_S + LIMIT_SLACK
        )
        if most > allowed:
            problems.append(
                f'{limit.upstream_id} got {most} requests in '
                f'{LIMIT_WINDOW_S} s; allowed {allowed:.1f}'
            )
    return problems


def check_planned_stops(
    attempts: Iterable[Attempt],
    arrivals: Iterable[Arrival],
    stops: Sequence[tuple[str, Span]],
    unplanned: Sequence[Span],
    *,
    margin_s: float,
    grace_s: float,
) -> list[str]:
    """Return requests that were cut off by a planned stop of their host.

    They got no answer, or one of the daemon while an upstream was at work. A
    request that crosses the close of its connection and reaches no upstream
    is not cut off.

    Args:
        attempts: Requests that callers sent.
        arrivals: What upstreams received.
        stops: Host and span of each planned stop.
        unplanned: Spans of all other faults.
        margin_s: Time after a fault in which its effects may be seen.
        grace_s: Time after SIGTERM until the platform kills a daemon.
    """
    arrivals_by_id = collections.defaultdict(list)
    for arrival in arrivals:
        arrivals_by_id[arrival.request_id].append(arrival)
    problems = []
    for attempt in attempts:
        arrived = arrivals_by_id[attempt.request_id]
        is_lost = _is_lost(attempt, arrived)
        if not is_lost and not _is_broken_off(attempt, arrived):
            continue
        begin, end = attempt.sent_at - margin_s, attempt.ended_at
        if any(span.overlaps(begin, end) for span in unplanned):
            continue
        during = [
            (host, span)
            for host, span in stops
            if span.overlaps(attempt.sent_at, attempt.ended_at)
        ]
        if not is_lost and _may_break_off(attempt, arrived, during, grace_s):
            continue
        problems += [
            f'{attempt.request_id} to {host} ended with '
            f'{attempt.error or attempt.status} '
            f'{attempt.ended_at - span.begin:.2f} s after SIGTERM'
            for host, span in during
            if host == attempt.host
        ]
    return problems


def _is_lost(attempt: Attempt, arrived: Sequence[Arrival]) -> bool:
    """Return whether a request got no answer that it was due."""
    waited_s = attempt.ended_at - attempt.sent_at
    return bool(attempt.error) and (bool(arrived) or waited_s > LOSS_SLACK_S)


def _is_broken_off(attempt: Attempt, arrived: Iterable[Arrival]) -> bool:
    """Return whether the daemon answered although an upstream was at work."""
    is_own_answer = attempt.status != 0 and not attempt.is_signed
    return is_own_answer and any(
        each.has_run and each.answered_at > attempt.ended_at
        for each in arrived
    )


def _may_break_off(
    attempt: Attempt,
    arrived: Iterable[Arrival],
    stops: Iterable[tuple[str, Span]],
    grace_s: float,
) -> bool:
    """Return whether a request, or the stop of its hosts, had no time left."""
    if attempt.ended_at - attempt.sent_at >= attempt.limit_s:
        return True
    hosts = {attempt.host, *(each.host for each in arrived)}
    return any(
        host in hosts
        and attempt.sent_at <= stop.begin + STOP_NOTICE_S
        and attempt.ended_at >= stop.begin + grace_s * 5 / 6
        for host, stop in stops
    )


def check_version_order(
    attempts: Iterable[Attempt],
    published: dict[int, float],
    starts: dict[str, list[float]],
    slack_s: float,
) -> list[str]:
    """Return requests that were handled by an older version than before.

    Args:
        attempts: Requests; `/vN/` is a route of version N alone.
        published: When each version was published.
        starts: When each host's daemon was started.
        slack_s: Time in which requests of two versions may overlap.
    """
    problems = []
    seen: dict[tuple[str, int, int], float] = {}
    for a in sorted(attempts, key=lambda each: each.ended_at):
        version = _version_of_path(a.path)
        if not version or a.error or not a.path.startswith('/v'):
            continue
        daemon = bisect.bisect_right(starts[a.host], a.sent_at)
        key = (a.host, daemon, version)
        if a.status == 200:
            seen.setdefault(key, a.ended_at)
        elif (
            a.status == 404
            and a.sent_at > seen.get(key, float('inf')) + slack_s
            and a.ended_at < published.get(version + 1, float('inf'))
        ):
            problems.append(f'{a.request_id}: {a.host} has lost v{version}')
    return problems


def check_versions_applied(
    attempts: Iterable[Attempt],
    published: dict[int, float],
    faults: Sequence[Span],
    *,
    apply_s: float,
    stable_s: float,
) -> list[str]:
    """Return requests that a fleet without faults handled by an old version.

    Args:
        attempts: Requests; `/vN/` is a route of version N alone,
            and the key of `/read/key-N` is one of version N alone.
        published: When each version was published.
        faults: Spans of faults and of planned stops.
        apply_s: Time in which a version must be in force.
        stable_s: Time without faults after which `apply_s` holds.
    """
    problems = []
    for a in attempts:
        is_route = a.path.startswith('/v')
        version = _version_of_path(a.path)
        if not version or a.status != (404 if is_route else 200):
            continue
        # Oldest version that may handle the request.
        needed = version if is_route else version + 1
        published_at = published.get(needed, float('inf'))
        if a.sent_at < published_at + apply_s:
            continue
        if is_route and a.ended_at > published.get(needed + 1, float('inf')):
            continue
        begin = a.sent_at - stable_s
        if not any(span.overlaps(begin, a.ended_at) for span in faults):
            problems.append(f'{a.request_id}: {a.host} lacks v{needed}')
    return problems


_VERSION_PATH = re.compile(r'/(?:v|read/key-)(\d+)')


def _version_of_path(path: str) -> int:
    match = _VERSION_PATH.match(path)
    return int(match[1]) if match else 0


def _count_runs(arrivals: Iterable[Arrival]) -> collections.Counter[str]:
    return collections.Counter(a.request_id for a in arrivals if a.has_run)


def _excess(at: float, firsts: list[float], retries: list[float]) -> float:
    """Return by how much the retries of a window exceed the ratio.

    The requests are the most of three windows of the same length: the one that
    starts at this time, and those that start half a window and one window
    earlier.
    """
    count = _count_in_window(retries, at)
    windows = (at, at - RETRY_WINDOW_S, at - RETRY_WINDOW_S / 2)
    requests = max(_count_in_window(firsts, begin) for begin in windows)
    return count - RETRY_RATIO * requests


def _count_in_window(
    times: list[float], begin: float, window_s: float = RETRY_WINDOW_S
) -> int:
    last = bisect.bisect_right(times, begin + window_s)
    return last - bisect.bisect_left(times, begin)
