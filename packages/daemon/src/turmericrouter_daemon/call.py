"""Authorised requests and their answers, as the daemon handles them."""

import dataclasses

from turmericrouter_core.context import RequestContext
from turmericrouter_core.identity import OperationId
from turmericrouter_core.routing import NamedRoute
from turmericrouter_core.verdict import Importance
from turmericrouter_core.verdict import Reason
from turmericrouter_core.verdict import status_of
from turmericrouter_core.verdict import Verdict

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """An authorised request.

    Args:
        request_id: Id of the top-level request.
        method: HTTP method.
        path: Path with query.
        headers: Headers for the target, without the key of the caller.
        body: Complete body.
        named_route: Route and its name.
        workspace: Workspace, empty on a route open to all.
        key_digest: Digest of the caller's key, empty without a key.
        importance: Importance of the top-level request.
        bucket: Shedding bucket of the top-level request.
        deadline: Monotonic seconds.
        depth: 0 for a top-level request.
        retries_left: Retry allowance of the chain.
        operation: Operation id of a non-idempotent request, else None.
        parent: Context of the parent request of a nested call, else None.
    """

    request_id: str
    method: str
    path: str
    headers: Headers
    body: bytes
    named_route: NamedRoute
    workspace: str
    key_digest: str
    importance: Importance
    bucket: int
    deadline: float
    depth: int = 0
    retries_left: int = 0
    operation: OperationId | None = None
    parent: RequestContext | None = None

    @property
    def service(self) -> str:
        """Return the service that serves the request."""
        return self.named_route.route.service

    @property
    def is_top_level(self) -> bool:
        """Return whether the request came from a caller."""
        return self.parent is None

    @property
    def may_be_retried(self) -> bool:
        """Return whether this daemon may try another target."""
        if not self.is_top_level:
            return False
        return self.named_route.route.idempotent or self.operation is not None


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Answer to a caller.

    Args:
        verdict: Whether the request may have run.
        reason: `served`, `replayed` or why it was refused.
        status: HTTP status.
        headers: Headers of the target's answer.
        body: Complete body of the target's answer.
        retry_after_s: Seconds to wait before another attempt.
        retries_used: Retry allowance spent for this request.
        detail: Human-readable explanation.
    """

    verdict: Verdict
    reason: Reason
    status: int
    headers: Headers = ()
    body: bytes = b''
    retry_after_s: float | None = None
    retries_used: int = 0
    detail: str = ''

    @property
    def is_refusal(self) -> bool:
        """Return whether no target has answered the request."""
        return self.reason not in (Reason.SERVED, Reason.REPLAYED)


def refuse(
    reason: Reason,
    verdict: Verdict = Verdict.NOT_RUN,
    *,
    retry_after_s: float | None = None,
    retries_used: int = 0,
    detail: str = '',
) -> Answer:
    """Return an answer that refuses the request."""
    return Answer(
        verdict,
        reason,
        status_of(reason),
        retry_after_s=retry_after_s,
        retries_used=retries_used,
        detail=detail,
    )
