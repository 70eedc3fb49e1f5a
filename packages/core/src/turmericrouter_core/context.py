"""Requests in flight at the local target, for their nested calls."""

import dataclasses

from turmericrouter_core.verdict import Importance


@dataclasses.dataclass(slots=True)
class RequestContext:
    """What nested calls inherit from the request that they serve.

    Args:
        context_id: 128 random bits in hexadecimal.
        request_id: Id of the top-level request.
        workspace: Workspace, empty on a route open to all.
        importance: Importance of the top-level request.
        bucket: Shedding bucket of the top-level request.
        deadline: Monotonic seconds.
        depth: 0 for a top-level request.
        retries_left: Retry allowance that is not spent or passed on.
        key_digest: Digest of the caller's key, empty without a key.
        retries_used: Allowance spent by nested calls.
        attempts: Outcome of earlier nested calls by digest.
    """

    context_id: str
    request_id: str
    workspace: str
    importance: Importance
    bucket: int
    deadline: float
    depth: int
    retries_left: int
    key_digest: str = ''
    retries_used: int = 0
    attempts: dict[bytes, str] = dataclasses.field(default_factory=dict)


class ContextTable:
    """Contexts by id; an id is void once its request has ended."""

    def __init__(self) -> None:
        self._contexts: dict[str, RequestContext] = {}

    def __len__(self) -> int:
        return len(self._contexts)

    def open(self, context: RequestContext) -> None:
        """Add the context of a request that goes to the target."""
        self._contexts[context.context_id] = context

    def close(self, context_id: str) -> RequestContext | None:
        """Remove the context of a request that has ended."""
        return self._contexts.pop(context_id, None)

    def find(self, context_id: str) -> RequestContext | None:
        """Return the context of a request in flight."""
        return self._contexts.get(context_id)
