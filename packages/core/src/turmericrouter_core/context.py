"""Contexts of requests in flight at the local target.

A nested call inherits workspace, deadline, importance and retry allowance
from the context of the request that the target is serving.
"""

from collections.abc import Callable
import dataclasses
import hashlib

from turmericrouter_core.retries import RetryAllowance
from turmericrouter_core.verdict import Importance
from turmericrouter_core.verdict import Reason
from turmericrouter_core.verdict import Verdict

_DIGEST_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class NestedCallDecision:
    """Decision on whether a nested call may start.

    Args:
        reason: `served` if the call may start, otherwise the reason of the
            refusal.
        verdict: For a refusal, whether an earlier attempt may have run.
        digest: Identifies the call within its context.
        allowance: Retry allowance that is passed on with the call.
    """

    reason: Reason
    verdict: Verdict
    digest: bytes
    allowance: int = 0


def call_digest(method: str, path: str, body: bytes) -> bytes:
    """Return the digest that identifies a nested call within its context."""
    head = f'{method} {path}\n'.encode(errors='surrogateescape')
    return hashlib.blake2b(head + body, digest_size=_DIGEST_BYTES).digest()


@dataclasses.dataclass(slots=True)
class Attempts:
    """Attempts of one nested call within a context.

    Args:
        in_flight: Attempts that have not ended.
        may_have_run: Whether any ended attempt may have run.
    """

    in_flight: int = 0
    may_have_run: bool = False


@dataclasses.dataclass(slots=True)
class RequestContext:
    """State that nested calls inherit from the request being served.

    Args:
        context_id: 128 random bits in hexadecimal.
        request_id: Id of the top-level request.
        workspace: Workspace, empty on a route open to all.
        importance: Importance of the top-level request.
        bucket: Shedding bucket of the top-level request.
        deadline: Monotonic time in seconds.
        depth: 0 for a top-level request.
        retries_left: Retry allowance that came with the request.
        key_digest: Digest of the caller's API key, empty without a key.
        allowance: Retry allowance, reduced as nested calls spend it.
        attempts: Attempts of nested calls by call digest.
    """

    context_id: str
    request_id: str
    workspace: str
    importance: Importance
    bucket: int
    deadline: float
    depth: int
    retries_left: dataclasses.InitVar[int]
    key_digest: str = ''
    allowance: RetryAllowance = dataclasses.field(init=False)
    attempts: dict[bytes, Attempts] = dataclasses.field(default_factory=dict)

    def __post_init__(self, retries_left: int) -> None:
        self.allowance = RetryAllowance(retries_left)

    @property
    def retries_used(self) -> int:
        """Return the retry allowance spent by nested calls.

        The allowance of a call in flight counts as spent, because its
        unspent part cannot be returned after this request has ended.
        """
        return self.allowance.used

    def start_nested_call(
        self, digest: bytes, *, may_run_again: bool
    ) -> NestedCallDecision:
        """Decide whether a nested call may start.

        Args:
            digest: Result of `call_digest`.
            may_run_again: Whether the call is idempotent or an idempotency
                store prevents a second run.

        Returns:
            The decision; a granted start must be ended by
            `finish_nested_call`.
        """
        earlier = self.attempts.get(digest)
        if earlier is None:
            earlier = self.attempts[digest] = Attempts()
        else:
            refused = self._check_retry(digest, earlier, may_run_again)
            if refused is not None:
                return refused
        earlier.in_flight += 1
        return NestedCallDecision(
            Reason.SERVED,
            Verdict.RAN,
            digest,
            self.allowance.reserve_for_nested_call(),
        )

    def finish_nested_call(
        self, start: NestedCallDecision, verdict: Verdict, retries_used: int
    ) -> None:
        """Record the end of a started nested call.

        Args:
            start: Result of `start_nested_call`.
            verdict: Whether the call may have run.
            retries_used: Part of the passed on allowance that was spent.
        """
        attempts = self.attempts[start.digest]
        attempts.in_flight -= 1
        attempts.may_have_run |= verdict is not Verdict.NOT_RUN
        self.allowance.return_unspent(start.allowance, retries_used)

    def _check_retry(
        self, digest: bytes, earlier: Attempts, may_run_again: bool
    ) -> NestedCallDecision | None:
        verdict = Verdict.NOT_RUN
        if earlier.in_flight or earlier.may_have_run:
            verdict = Verdict.MAY_HAVE_RUN
            if not may_run_again:
                return NestedCallDecision(
                    Reason.OPERATION_UNKNOWN, verdict, digest
                )
        if not self.allowance.take():
            return NestedCallDecision(
                Reason.RETRY_BUDGET_EXHAUSTED, verdict, digest
            )
        return None


class ContextTable:
    """Contexts by id; an id is valid only while its request is in flight."""

    def __init__(self) -> None:
        self._contexts: dict[str, RequestContext] = {}
        self._subscribers: list[Callable[[RequestContext], None]] = []

    def __len__(self) -> int:
        return len(self._contexts)

    def on_close(self, callback: Callable[[RequestContext], None]) -> None:
        """Register a callback that receives each closed context."""
        self._subscribers.append(callback)

    def open(self, context: RequestContext) -> None:
        """Add the context of a request that is sent to the target."""
        self._contexts[context.context_id] = context

    def close(self, context_id: str) -> RequestContext | None:
        """Remove the context of an ended request and notify subscribers."""
        context = self._contexts.pop(context_id, None)
        if context is not None:
            for callback in self._subscribers:
                callback(context)
        return context

    def find(self, context_id: str) -> RequestContext | None:
        """Return the context of a request in flight, if there is one."""
        return self._contexts.get(context_id)
