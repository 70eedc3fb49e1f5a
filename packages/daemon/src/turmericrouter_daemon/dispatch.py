"""Dispatches requests to targets, with quota, retries and routing."""

import asyncio
from collections.abc import Sequence
import random
from typing import Protocol

from turmericrouter_core.balancing import Choice
from turmericrouter_core.balancing import TargetChooser
from turmericrouter_core.directory import Directory
from turmericrouter_core.errors import LinkLostError
from turmericrouter_core.errors import LinkTimeoutError
from turmericrouter_core.errors import NotSentError
from turmericrouter_core.messages import DirectoryEntry
from turmericrouter_core.messages import Dispatch
from turmericrouter_core.messages import Outcome
from turmericrouter_core.retries import RetryAllowance
from turmericrouter_core.retries import RetryBudget
from turmericrouter_core.verdict import is_retryable
from turmericrouter_core.verdict import Reason
from turmericrouter_core.verdict import Refusal
from turmericrouter_core.verdict import status_of
from turmericrouter_core.verdict import Verdict
from turmericrouter_daemon.call import Answer
from turmericrouter_daemon.call import Call
from turmericrouter_daemon.call import refuse
from turmericrouter_daemon.config_sync import ConfigSync
from turmericrouter_daemon.gate import Gate
from turmericrouter_daemon.peer import PeerPool
from turmericrouter_daemon.runtime import Runtime

# The gate of the target enforces the deadline; a reply that is this much
# later counts as lost.
_LINK_GRACE_S = 0.25
_PRUNE_PERIOD_S = 60.0
_PROBE_FIELDS = {'probe': True}


class Quota(Protocol):
    """Quota tokens of workspaces."""

    async def acquire(self, workspace: str, deadline: float) -> Refusal | None:
        """Take a token, or return why there is none.

        Args:
            workspace: Name of the workspace.
            deadline: Monotonic second until which the request may wait.
        """

    def return_token(self, workspace: str) -> None:
        """Return the token of a request that was not run."""


class Operations(Protocol):
    """At-most-once state of non-idempotent requests."""

    async def begin(self, call: Call) -> Answer | int:
        """Return the nonce of a started operation, or an answer instead."""

    async def finish(self, call: Call, nonce: int, answer: Answer) -> None:
        """Record the end of a started operation."""


class Blocklist(Protocol):
    """Poison requests, which crash targets."""

    def is_blocked(self, call: Call) -> bool:
        """Return whether a request must not go to any target."""


class Dispatcher:
    """Serves requests of callers and of the local target.

    Args:
        runtime: Services of the process.
        config: Current configuration.
        directory: Known targets.
        gate: Gate of the local target.
        peers: Links to other daemons.
        quota: Quota tokens of workspaces.
        operations: At-most-once state.
        blocklist: Poison requests, which crash targets.
    """

    def __init__(
        self,
        runtime: Runtime,
        config: ConfigSync,
        directory: Directory,
        gate: Gate,
        peers: PeerPool,
        quota: Quota,
        operations: Operations,
        blocklist: Blocklist,
    ) -> None:
        self._runtime = runtime
        self._config = config
        self._directory = directory
        self._gate = gate
        self._peers = peers
        self._quota = quota
        self._operations = operations
        self._blocklist = blocklist
        self._operation_tasks: set[asyncio.Task[Answer]] = set()
        self._rng = random.Random(runtime.rng.getrandbits(64))
        overload = runtime.settings.overload
        self._chooser = TargetChooser(
            runtime.settings.host.domain, shedding=overload.shedding
        )
        self._budget = RetryBudget(
            ratio=overload.retry_ratio,
            floor_per_s=overload.retry_floor_per_s,
        )

    async def start(self) -> None:
        """Start to remove unused targets and retry budgets periodically."""
        self._runtime.timers.every(
            _PRUNE_PERIOD_S, self._prune, name='dispatch_prune'
        )

    async def serve(self, call: Call) -> Answer:
        """Return the answer of an authorised request."""
        if call.operation is None:
            return await self._serve_admitted(call)
        # The state of an operation must be completed even if its caller
        # disconnects, so a dispatched request continues; its answer is
        # stored for the resend.
        caller_disconnected = asyncio.Event()
        task = asyncio.create_task(
            self._serve_operation(call, caller_disconnected)
        )
        self._operation_tasks.add(task)
        task.add_done_callback(self._operation_tasks.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            caller_disconnected.set()
            raise

    async def wait_until_drained(self) -> None:
        """Wait until no operation is in flight."""
        while self._operation_tasks:
            await asyncio.wait(self._operation_tasks)

    async def _serve_operation(
        self, call: Call, caller_disconnected: asyncio.Event
    ) -> Answer:
        begin_result = await self._operations.begin(call)
        if isinstance(begin_result, Answer):
            return begin_result
        if caller_disconnected.is_set():
            # The caller may have resent the request to another entry.
            answer = refuse(Reason.CANCELLED)
        else:
            answer = await self._serve_admitted(call)
        await self._operations.finish(call, begin_result, answer)
        return answer

    async def _serve_admitted(self, call: Call) -> Answer:
        if self._blocklist.is_blocked(call):
            return refuse(Reason.QUARANTINED)
        if not call.is_top_level or not call.workspace:
            return await self._attempt_all(call)
        refusal = await self._quota.acquire(call.workspace, call.deadline)
        if refusal is not None:
            return refuse(refusal.reason, retry_after_s=refusal.retry_after_s)
        answer = await self._attempt_all(call)
        if answer.verdict is Verdict.NOT_RUN:
            self._quota.return_token(call.workspace)
        return answer

    async def _attempt_all(self, call: Call) -> Answer:
        allowance = RetryAllowance(call.retries_left)
        tried: list[str] = []
        answer: Answer | None = None
        while True:
            now = self._runtime.clock.monotonic()
            if now >= call.deadline:
                return answer or refuse(Reason.DEADLINE_EXPIRED)
            choice = self._choose(call, tried, now)
            if choice.entry is None:
                return answer or self._refuse_choice(call, choice)
            answer = await self._attempt(
                call, choice, choice.entry, allowance.remaining
            )
            if not self._may_retry(call, answer, allowance):
                return answer
            tried.append(choice.entry.address)

    def _may_retry(
        self, call: Call, answer: Answer, allowance: RetryAllowance
    ) -> bool:
        now = self._runtime.clock.monotonic()
        if not answer.is_refusal:
            if call.is_top_level:
                self._budget.record_success(call.workspace, call.service, now)
            return False
        if not is_retryable(answer.verdict, answer.reason):
            return False
        if not call.may_be_retried or not allowance.remaining:
            return False
        if not self._budget.take(call.workspace, call.service, now):
            self._runtime.metrics.incr('entry.retry_budget_exhausted')
            return False
        return allowance.take()

    def _choose(self, call: Call, tried: Sequence[str], now: float) -> Choice:
        return self._chooser.choose(
            self._directory.serving_entries(call.service),
            importance=call.importance,
            bucket=call.bucket,
            regions=self._config.state.fleet.regions,
            now=now,
            rng=self._rng,
            excluded=tried,
        )

    def _refuse_choice(self, call: Call, choice: Choice) -> Answer:
        self._runtime.decisions.record(
            'request_not_routed',
            request_id=call.request_id,
            route=call.named_route.name,
            reason=choice.reason,
            candidates=choice.candidates,
        )
        return refuse(choice.reason)

    async def _attempt(
        self,
        call: Call,
        choice: Choice,
        chosen: DirectoryEntry,
        allowance: int,
    ) -> Answer:
        started_at = self._runtime.clock.monotonic()
        attempt_reason = Reason.CANCELLED
        outcome: Outcome | None = None
        try:
            outcome = await self._send(call, chosen, allowance, started_at)
            attempt_reason = outcome.reason
            answer = _to_answer(outcome, allowance)
        except NotSentError:
            attempt_reason = Reason.LINK_NOT_SENT
            answer = refuse(attempt_reason)
        except LinkTimeoutError:
            # The gate enforces the deadline, so its daemon is unresponsive.
            attempt_reason = Reason.LINK_LOST
            answer = refuse(
                Reason.DEADLINE_EXPIRED,
                Verdict.MAY_HAVE_RUN,
                retries_used=allowance,
            )
        except LinkLostError:
            attempt_reason = Reason.LINK_LOST
            answer = refuse(
                attempt_reason, Verdict.MAY_HAVE_RUN, retries_used=allowance
            )
        finally:
            now = self._runtime.clock.monotonic()
            self._chooser.finish(
                chosen.address,
                importance=call.importance,
                reason=attempt_reason,
                now=now,
                status=outcome.status if outcome else 0,
                latency_s=now - started_at,
                load=outcome.load if outcome else None,
            )
        # Logged after the answer is passed on: rendering the line takes
        # about as long as all other work of the dispatcher.
        asyncio.get_running_loop().call_soon(
            self._log_attempt, call, choice, chosen, answer
        )
        return answer

    async def _send(
        self, call: Call, chosen: DirectoryEntry, allowance: int, now: float
    ) -> Outcome:
        timeout_s = call.deadline - now
        message = self._build_dispatch(call, chosen, timeout_s, allowance)
        if chosen.address == self._runtime.address:
            return await self._gate.run(message)
        return await self._peers.request(
            chosen.address,
            message,
            Outcome,
            timeout_s=timeout_s + _LINK_GRACE_S,
        )

    def _build_dispatch(
        self,
        call: Call,
        chosen: DirectoryEntry,
        timeout_s: float,
        allowance: int,
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
            retries_left=allowance,
            key_digest=call.key_digest,
            operation_id=call.operation.text if call.operation else '',
        )

    def _log_attempt(
        self,
        call: Call,
        choice: Choice,
        chosen: DirectoryEntry,
        answer: Answer,
    ) -> None:
        probe = _PROBE_FIELDS if choice.is_probe else {}
        self._runtime.decisions.record(
            'request_routed',
            request_id=call.request_id,
            route=call.named_route.name,
            target=chosen.target,
            verdict=answer.verdict,
            reason=answer.reason,
            candidates=choice.candidates,
            loads=choice.loads,
            **probe,
        )

    def _prune(self) -> None:
        now = self._runtime.clock.monotonic()
        self._chooser.prune(now)
        self._budget.prune(now)


def _to_answer(outcome: Outcome, allowance: int) -> Answer:
    refused = outcome.reason is not Reason.SERVED
    used = outcome.retries_used
    if outcome.verdict is Verdict.MAY_HAVE_RUN:
        # The number of retries spent by nested calls is unknown.
        used = allowance
    return Answer(
        outcome.verdict,
        outcome.reason,
        status_of(outcome.reason) if refused else outcome.status,
        outcome.headers,
        outcome.body,
        outcome.retry_after_ms / 1000 if outcome.retry_after_ms else None,
        used,
    )
