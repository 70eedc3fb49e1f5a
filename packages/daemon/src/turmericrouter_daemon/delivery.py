"""Sends admitted requests to the local target."""

import asyncio
import secrets

import msgspec

from turmericrouter_core.admission import GateQueue
from turmericrouter_core.concurrency import Sample
from turmericrouter_core.context import ContextTable
from turmericrouter_core.context import RequestContext
from turmericrouter_core.errors import AnswerInvalidError
from turmericrouter_core.errors import AnswerTooLargeError
from turmericrouter_core.errors import RequestInvalidError
from turmericrouter_core.errors import TargetBrokenError
from turmericrouter_core.errors import TargetError
from turmericrouter_core.errors import TargetStaleError
from turmericrouter_core.errors import TargetUnreachableError
from turmericrouter_core.identity import CONTEXT_ID_BITS
from turmericrouter_core.messages import Dispatch
from turmericrouter_core.verdict import Reason
from turmericrouter_core.verdict import Verdict
from turmericrouter_daemon.config_sync import ConfigSync
from turmericrouter_daemon.crash_reporter import CrashReporter
from turmericrouter_daemon.local_target import LocalTarget
from turmericrouter_daemon.runtime import Runtime
from turmericrouter_daemon.target_connection import TargetAnswer
from turmericrouter_daemon.target_connection import TargetRequest
from turmericrouter_daemon.target_pool import SendProgress

CONTEXT_HEADER = 'Turmeric-Context'
TIMEOUT_HEADER = 'Turmeric-Timeout-Ms'
WORKSPACE_HEADER = 'Turmeric-Workspace'
REQUEST_ID_HEADER = 'Turmeric-Request-Id'
OPERATION_HEADER = 'Idempotency-Key'
NOT_RUN_HEADER = 'Turmeric-Not-Run'

_UNAVAILABLE = 503
_SHED_STATUSES = frozenset({429, _UNAVAILABLE})

_OUTCOME_OF_ERROR: dict[type[TargetError], tuple[Reason, Verdict]] = {
    RequestInvalidError: (Reason.MALFORMED, Verdict.NOT_RUN),
    TargetUnreachableError: (Reason.TARGET_UNREACHABLE, Verdict.NOT_RUN),
    TargetStaleError: (Reason.TARGET_CRASHED, Verdict.MAY_HAVE_RUN),
    TargetBrokenError: (Reason.TARGET_CRASHED, Verdict.MAY_HAVE_RUN),
    AnswerInvalidError: (Reason.TARGET_ANSWER_INVALID, Verdict.MAY_HAVE_RUN),
    AnswerTooLargeError: (
        Reason.TARGET_ANSWER_TOO_LARGE,
        Verdict.MAY_HAVE_RUN,
    ),
}


class DeliveryResult(msgspec.Struct, frozen=True):
    """Result of sending a request to the target.

    Args:
        verdict: Whether it may have run.
        reason: `served`, or why there is no answer.
        answer: Complete answer of the target.
        retries_used: Retry allowance spent by nested calls.
        service_s: Seconds at the target.
    """

    verdict: Verdict
    reason: Reason
    answer: TargetAnswer | None = None
    retries_used: int = 0
    service_s: float = 0.0


class Delivery:
    """Sends requests to the local target.

    Args:
        runtime: Services of the process.
        config: Current configuration.
        target: The local target.
        queue: Counts the requests in flight.
        crashes: Records crashes and successes.
    """

    def __init__(
        self,
        runtime: Runtime,
        config: ConfigSync,
        target: LocalTarget,
        queue: GateQueue,
        crashes: CrashReporter,
    ) -> None:
        self._clock = runtime.clock
        self._config = config
        self._target = target
        self._queue = queue
        self._crashes = crashes
        self.contexts = ContextTable()

    async def run(self, message: Dispatch, deadline: float) -> DeliveryResult:
        """Send a request and wait for its complete answer.

        Cancelling this coroutine closes the connection.

        Args:
            message: The request.
            deadline: Monotonic seconds.
        """
        started_at = self._clock.monotonic()
        remaining_s = deadline - started_at
        context = self._open_context(message, deadline)
        progress = SendProgress()
        try:
            async with asyncio.timeout(remaining_s):
                answer = await self._send(
                    message, context, remaining_s, progress
                )
        except TimeoutError:
            if not progress.written:
                return DeliveryResult(Verdict.NOT_RUN, Reason.DEADLINE_EXPIRED)
            self._record_sample(message, started_at, Sample.TIMEOUT)
            return DeliveryResult(
                Verdict.MAY_HAVE_RUN,
                Reason.DEADLINE_EXPIRED,
                retries_used=context.retries_used,
            )
        except TargetError as error:
            reason, verdict = _OUTCOME_OF_ERROR[type(error)]
            return DeliveryResult(
                verdict, reason, retries_used=context.retries_used
            )
        finally:
            self.contexts.close(context.context_id)
        return self._handle_answer(message, answer, context, started_at)

    async def _send(
        self,
        message: Dispatch,
        context: RequestContext,
        remaining_s: float,
        progress: SendProgress,
    ) -> TargetAnswer:
        pool = self._target.pool
        if pool is None:
            raise TargetUnreachableError('no target has been announced')
        pool_id = self._target.pool_id
        try:
            return await pool.send(
                self._to_target_request(message, context, remaining_s),
                progress,
            )
        except TargetBrokenError:
            self._crashes.record_crash(
                (message,), f'{pool_id}/{pool.crash_epoch}'
            )
            raise
        except TargetUnreachableError:
            self._target.record_connection_failure(pool)
            raise

    def _handle_answer(
        self,
        message: Dispatch,
        answer: TargetAnswer,
        context: RequestContext,
        started_at: float,
    ) -> DeliveryResult:
        shed = answer.status in _SHED_STATUSES
        service_s = self._record_sample(
            message, started_at, Sample.SHED if shed else Sample.SERVED
        )
        if shed and _is_marked_not_run(answer):
            return DeliveryResult(Verdict.NOT_RUN, Reason.TARGET_SHED)
        self._crashes.record_success(message)
        return DeliveryResult(
            Verdict.RAN,
            Reason.SERVED,
            answer,
            context.retries_used,
            service_s,
        )

    def _record_sample(
        self, message: Dispatch, started_at: float, sample: Sample
    ) -> float:
        now = self._clock.monotonic()
        service_s = now - started_at
        target, route = self._target, message.route
        target.limit.record(
            now, route, service_s, self._queue.in_flight, sample
        )
        if sample is not Sample.SHED:
            target.service_times.record(now, route, service_s)
        return service_s

    def _open_context(
        self, message: Dispatch, deadline: float
    ) -> RequestContext:
        context = RequestContext(
            context_id=secrets.token_hex(CONTEXT_ID_BITS // 8),
            request_id=message.request_id,
            workspace=message.workspace,
            importance=message.importance,
            bucket=message.bucket,
            deadline=deadline,
            depth=message.depth,
            retries_left=message.retries_left,
            key_digest=message.key_digest,
        )
        self.contexts.open(context)
        return context

    def _to_target_request(
        self, message: Dispatch, context: RequestContext, remaining_s: float
    ) -> TargetRequest:
        headers = message.headers + (
            (CONTEXT_HEADER, context.context_id),
            (REQUEST_ID_HEADER, message.request_id),
            (TIMEOUT_HEADER, str(max(1, int(remaining_s * 1000)))),
            (WORKSPACE_HEADER, message.workspace),
        )
        idempotent = False
        if message.operation_id:
            headers += ((OPERATION_HEADER, message.operation_id),)
        else:
            route = self._config.state.route(message.route)
            idempotent = route is not None and route.idempotent
        return TargetRequest(
            message.method,
            message.path,
            headers,
            message.body,
            idempotent,
        )


def _is_marked_not_run(answer: TargetAnswer) -> bool:
    name = NOT_RUN_HEADER.lower()
    return answer.status == _UNAVAILABLE and any(
        key.lower() == name and value.strip() == '1'
        for key, value in answer.headers
    )
