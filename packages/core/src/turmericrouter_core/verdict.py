"""Verdicts, decision reasons and HTTP status codes of requests."""

import dataclasses
import enum


class Verdict(enum.StrEnum):
    """Whether a request may have run on a target."""

    NOT_RUN = 'not-run'
    RAN = 'ran'
    MAY_HAVE_RUN = 'may-have-run'


class Importance(enum.IntEnum):
    """Importance of a kind of request; lower values are shed last."""

    CRITICAL = 0
    HIGH = 1
    NORMAL = 2
    LOW = 3


class Reason(enum.StrEnum):
    """Reason of a decision; the values appear in logs and answers."""

    SERVED = 'served'
    REPLAYED = 'replayed'
    MALFORMED = 'malformed'
    HEADERS_TOO_LARGE = 'headers-too-large'
    BODY_TOO_LARGE = 'body-too-large'
    BODY_TRUNCATED = 'body-truncated'
    KEY_MISSING = 'key-missing'
    KEY_UNKNOWN = 'key-unknown'
    KEY_WITHDRAWN = 'key-withdrawn'
    WORKSPACE_UNKNOWN = 'workspace-unknown'
    ROUTE_UNKNOWN = 'route-unknown'
    CONTEXT_UNKNOWN = 'context-unknown'
    DEPTH_EXCEEDED = 'depth-exceeded'
    OPERATION_ID_MISSING = 'operation-id-missing'
    OPERATION_ID_INVALID = 'operation-id-invalid'
    OPERATION_ID_AHEAD = 'operation-id-ahead'
    OPERATION_IN_PROGRESS = 'operation-in-progress'
    OPERATION_UNKNOWN = 'operation-unknown'
    OPERATION_CONFLICT = 'operation-conflict'
    OPERATION_HOME_UNREACHABLE = 'operation-home-unreachable'
    QUOTA_EXCEEDED = 'quota-exceeded'
    QUOTA_UNREACHABLE = 'quota-unreachable'
    CONFIG_STALE = 'config-stale'
    NO_TARGET = 'no-target'
    NO_ROOM = 'no-room'
    SHED_AT_ENTRY = 'shed-at-entry'
    SHED_AT_GATE = 'shed-at-gate'
    QUEUE_FULL = 'queue-full'
    EVICTED = 'evicted'
    DEADLINE_TOO_SHORT = 'deadline-too-short'
    DEADLINE_EXPIRED = 'deadline-expired'
    RETRY_BUDGET_EXHAUSTED = 'retry-budget-exhausted'
    QUARANTINED = 'quarantined'
    TARGET_LEAVING = 'target-leaving'
    TARGET_RETIRED = 'target-retired'
    TARGET_UNREACHABLE = 'target-unreachable'
    TARGET_SHED = 'target-shed'
    TARGET_RATE_LIMITED = 'target-rate-limited'
    TARGET_CRASHED = 'target-crashed'
    TARGET_ANSWER_INVALID = 'target-answer-invalid'
    TARGET_ANSWER_TOO_LARGE = 'target-answer-too-large'
    LINK_NOT_SENT = 'link-not-sent'
    LINK_LOST = 'link-lost'
    CANCELLED = 'cancelled'
    DAEMON_STOPPING = 'daemon-stopping'
    INTERNAL_ERROR = 'internal-error'
    OPERATION_HOME_FULL = 'operation-home-full'


_STATUS_OF_REASON: dict[Reason, int] = {
    Reason.MALFORMED: 400,
    Reason.HEADERS_TOO_LARGE: 431,
    Reason.BODY_TOO_LARGE: 413,
    Reason.BODY_TRUNCATED: 400,
    Reason.KEY_MISSING: 401,
    Reason.KEY_UNKNOWN: 401,
    Reason.KEY_WITHDRAWN: 401,
    Reason.WORKSPACE_UNKNOWN: 401,
    Reason.ROUTE_UNKNOWN: 404,
    Reason.CONTEXT_UNKNOWN: 403,
    Reason.DEPTH_EXCEEDED: 508,
    Reason.OPERATION_ID_MISSING: 400,
    Reason.OPERATION_ID_INVALID: 400,
    Reason.OPERATION_ID_AHEAD: 400,
    Reason.OPERATION_IN_PROGRESS: 409,
    Reason.OPERATION_UNKNOWN: 409,
    Reason.OPERATION_CONFLICT: 422,
    Reason.QUOTA_EXCEEDED: 429,
    Reason.DEADLINE_TOO_SHORT: 504,
    Reason.DEADLINE_EXPIRED: 504,
    Reason.TARGET_CRASHED: 502,
    Reason.TARGET_ANSWER_INVALID: 502,
    Reason.TARGET_ANSWER_TOO_LARGE: 502,
    Reason.LINK_LOST: 502,
    Reason.CANCELLED: 499,
    Reason.INTERNAL_ERROR: 500,
}

_DEFAULT_STATUS = 503

# Refusals by one target's gate, daemon or link; another target may accept
# the request.
_RETRYABLE_REASONS = frozenset(
    {
        Reason.SHED_AT_GATE,
        Reason.QUEUE_FULL,
        Reason.EVICTED,
        Reason.TARGET_LEAVING,
        Reason.TARGET_RETIRED,
        Reason.TARGET_UNREACHABLE,
        Reason.TARGET_SHED,
        Reason.TARGET_RATE_LIMITED,
        Reason.LINK_NOT_SENT,
        Reason.DAEMON_STOPPING,
    }
)


def status_of(reason: Reason) -> int:
    """Return the HTTP status of the answer to a refused request."""
    return _STATUS_OF_REASON.get(reason, _DEFAULT_STATUS)


def is_retryable(verdict: Verdict, reason: Reason) -> bool:
    """Return whether the first entry may try another target.

    The first entry is the daemon that received the request from its caller.
    """
    return verdict is Verdict.NOT_RUN and reason in _RETRYABLE_REASONS


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Outcome of a request that has no answer from a target.

    Args:
        reason: Reason of the refusal.
        verdict: Whether the request may have run.
        retry_after_s: Seconds after which the caller may retry.
        detail: Explanation for people, without keys or request bodies.
    """

    reason: Reason
    verdict: Verdict = Verdict.NOT_RUN
    retry_after_s: float | None = None
    detail: str = ''
