"""Takes one request from admission to its answer."""

import asyncio
import random
from typing import Protocol

from turmericrouter_core.directory import Directory
from turmericrouter_core.errors import LinkLostError
from turmericrouter_core.errors import LinkTimeoutError
from turmericrouter_core.errors import NotSentError
from turmericrouter_core.messages import DirectoryEntry
from turmericrouter_core.messages import Dispatch
from turmericrouter_core.messages import Outcome
from turmericrouter_core.verdict import is_retryable
from turmericrouter_core.verdict import Reason
from turmericrouter_core.verdict import Refusal
from turmericrouter_core.verdict import status_of
from turmericrouter_core.verdict import Verdict
from turmericrouter_daemon.call import Answer
from turmericrouter_daemon.call import Call
from turmericrouter_daemon.call import refuse
from turmericrouter_daemon.gate import Gate
from turmericrouter_daemon.peer import PeerPool
from turmericrouter_daemon.runtime import Runtime

# A gate keeps the deadline itself; this much later it counts as lost.
_LINK_GRACE_S = 0.25


class Quota(Protocol):
    """Tokens of workspaces."""

    async def acquire(self, workspace: str) -> Refusal | None:
        """Take a token, or return why there is none."""

    def give_back(self, workspace: str) -> None:
        """Return the token of a request that was not run."""


class Operations(Protocol):
    """At-most-once state of non-idempotent requests."""

    async def begin(self, call: Call) -> Answer | int:
        """Return the nonce of a start, or the answer to give instead."""

    async def finish(self, call: Call, nonce: int, answer: Answer) -> None:
        """Record the end of a started operation."""


class Dispatcher:
    """Serves requests of callers and of the local target.

    Args:
        runtime: Services of the process.
        directory: Known targets.
        gate: Gate of the local target.
        peers: Links to other daemons.
        quota: Tokens of workspaces.
        operations: At-most-once state.
    """

    def __init__(
        self,
        runtime: Runtime,
        directory: Directory,
        gate: Gate,
        peers: PeerPool,
        quota: Quota,
        operations: Operations,
    ) -> None:
        self._runtime = runtime
        self._directory = directory
        self._gate = gate
        self._peers = peers
        self._quota = quota
        self._operations = operations
        self._serving: set[asyncio.Task[Answer]] = set()
        self._rng = random.Random(runtime.rng.getrandbits(64))

    async def serve(self, call: Call) -> Answer:
        """Return the answer of an authorised request."""
        if call.operation is None:
            return await self._serve_admitted(call)
        # A caller that disconnects must not leave the state of its operation
        # open, so a dispatched request runs on; its answer waits for the
        # resend.
        gone = asyncio.Event()
        task = asyncio.create_task(self._serve_operation(call, gone))
        self._serving.add(task)
        task.add_done_callback(self._serving.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            gone.set()
            raise

    async def drained(self) -> None:
        """Wait until no operation is in flight."""
        while self._serving:
            await asyncio.wait(self._serving)

    async def _serve_operation(
        self, call: Call, gone: asyncio.Event
    ) -> Answer:
        begun = await self._operations.begin(call)
        if isinstance(begun, Answer):
            return begun
        if gone.is_set():
            # The caller may have sent the request again elsewhere by now.
            answer = refuse(Reason.CANCELLED)
        else:
            answer = await self._serve_admitted(call)
        await self._operations.finish(call, begun, answer)
        return answer

    async def _serve_admitted(self, call: Call) -> Answer:
        if not call.is_top_level or not call.workspace:
            return await self._attempt_all(call)
        refusal = await self._quota.acquire(call.workspace)
        if refusal is not None:
            return refuse(refusal.reason, retry_after_s=refusal.retry_after_s)
        answer = await self._attempt_all(call)
        if answer.verdict is Verdict.NOT_RUN:
            self._quota.give_back(call.workspace)
        return answer

    async def _attempt_all(self, call: Call) -> Answer:
        candidates = self._directory.serving(call.service)
        answer = refuse(Reason.NO_TARGET, retry_after_s=1.0)
        attempts = 1
        if call.is_top_level:
            attempts += self._runtime.settings.overload.max_retries
        while candidates and attempts:
            chosen = self._rng.choice(candidates)
            candidates.remove(chosen)
            attempts -= 1
            answer = await self._attempt(call, chosen)
            if not is_retryable(answer.verdict, answer.reason):
                break
        return answer

    async def _attempt(self, call: Call, chosen: DirectoryEntry) -> Answer:
        timeout_s = call.deadline - self._runtime.clock.monotonic()
        if timeout_s <= 0:
            return refuse(Reason.DEADLINE_EXPIRED)
        message = self._message(call, chosen, timeout_s)
        try:
            if chosen.address == self._runtime.address:
                outcome = await self._gate.run(message)
            else:
                outcome = await self._peers.request(
                    chosen.address,
                    message,
                    Outcome,
                    timeout_s=timeout_s + _LINK_GRACE_S,
                )
        except NotSentError:
            return refuse(Reason.LINK_NOT_SENT)
        except LinkTimeoutError:
            return refuse(Reason.DEADLINE_EXPIRED, Verdict.MAY_HAVE_RUN)
        except LinkLostError:
            return refuse(Reason.LINK_LOST, Verdict.MAY_HAVE_RUN)
        self._log_attempt(call, chosen, outcome)
        return _to_answer(outcome)

    def _message(
        self, call: Call, chosen: DirectoryEntry, timeout_s: float
    ) -> Dispatch:
        return Dispatch(
            request_id=call.request_id,
            target=chosen.target,
            workspace=call.workspace,
            route=call.named_route.name,
            method=call.method,
            path=call.path,
            headers=call.headers,
            body=call.body,
            importance=call.importance,
            bucket=call.bucket,
            timeout_ms=max(1, int(timeout_s * 1000)),
            depth=call.depth,
            retries_left=call.retries_left,
            key_digest=call.key_digest,
            operation_id=call.operation.text if call.operation else '',
        )

    def _log_attempt(
        self, call: Call, chosen: DirectoryEntry, outcome: Outcome
    ) -> None:
        self._runtime.decisions.record(
            'request_routed',
            request_id=call.request_id,
            route=call.named_route.name,
            target=chosen.target,
            verdict=outcome.verdict,
            reason=outcome.reason,
            in_flight=outcome.load.in_flight,
        )


def _to_answer(outcome: Outcome) -> Answer:
    refused = outcome.reason is not Reason.SERVED
    return Answer(
        outcome.verdict,
        outcome.reason,
        status_of(outcome.reason) if refused else outcome.status,
        outcome.headers,
        outcome.body,
        outcome.retry_after_ms / 1000 if outcome.retry_after_ms else None,
        outcome.retries_used,
    )
