"""The gate: the only way to the local target."""

import asyncio
from collections.abc import Sequence
import secrets
from typing import Protocol

from turmericrouter_core.context import ContextTable
from turmericrouter_core.context import RequestContext
from turmericrouter_core.errors import AnswerTooLargeError
from turmericrouter_core.errors import TargetBrokenError
from turmericrouter_core.errors import TargetUnreachableError
from turmericrouter_core.identity import CONTEXT_ID_BITS
from turmericrouter_core.messages import Dispatch
from turmericrouter_core.messages import GateLoad
from turmericrouter_core.messages import Hello
from turmericrouter_core.messages import Level
from turmericrouter_core.messages import Outcome
from turmericrouter_core.verdict import Reason
from turmericrouter_core.verdict import Verdict
from turmericrouter_daemon.config_sync import ConfigSync
from turmericrouter_daemon.runtime import Runtime
from turmericrouter_daemon.target import TargetAnswer
from turmericrouter_daemon.target import TargetPool
from turmericrouter_daemon.target import TargetRequest

CONTEXT_HEADER = 'Turmeric-Context'
TIMEOUT_HEADER = 'Turmeric-Timeout-Ms'
WORKSPACE_HEADER = 'Turmeric-Workspace'
REQUEST_ID_HEADER = 'Turmeric-Request-Id'
OPERATION_HEADER = 'Idempotency-Key'


class CrashReporter(Protocol):
    """Is told of crashes of the target and of successes."""

    def crashed(self, messages: Sequence[Dispatch], crash_id: str) -> None:
        """Record requests whose connection broke."""

    def succeeded(self, message: Dispatch) -> None:
        """Record a request that got a whole answer."""


class Gate:
    """Admits requests to the local target.

    Args:
        runtime: Services of the process.
        config: Configuration in force.
        crashes: Is told of crashes and successes.
    """

    def __init__(
        self,
        runtime: Runtime,
        config: ConfigSync,
        crashes: CrashReporter | None = None,
    ) -> None:
        self._runtime = runtime
        self._config = config
        self._crashes = crashes
        self._crash_count = 0
        self._contexts = ContextTable()
        self._pool: TargetPool | None = None
        self._in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._leaving = False
        self._target = ''

    @property
    def contexts(self) -> ContextTable:
        """Return the requests at the target, for nested calls."""
        return self._contexts

    @property
    def load(self) -> GateLoad:
        """Return the load that goes with every outcome."""
        return GateLoad(Level(), self._in_flight, 0, 0)

    def set_target(self, name: str, ip: str, port: int) -> None:
        """Set the target after its announcement."""
        settings = self._runtime.settings.target
        if self._pool is not None:
            self._pool.close()
        self._target = name
        self._pool = TargetPool(
            ip,
            port,
            connect_timeout_s=settings.connect_timeout_s,
            max_answer_bytes=settings.max_answer_bytes,
        )

    def leave(self) -> None:
        """Refuse new work from now on."""
        self._leaving = True

    async def drained(self) -> None:
        """Wait until no request is in flight."""
        await self._idle.wait()

    async def handle(self, message: Dispatch, sender: Hello) -> Outcome:
        """Run a request of another daemon, or refuse it."""
        return await self.run(message)

    async def run(self, message: Dispatch) -> Outcome:
        """Run a request, or refuse it."""
        if self._leaving:
            return self._refuse(Reason.TARGET_LEAVING)
        if self._config.state.is_retired(message.target):
            return self._refuse(Reason.TARGET_RETIRED)
        if self._pool is None or message.target != self._target:
            return self._refuse(Reason.TARGET_UNREACHABLE)
        context = self._open_context(message)
        self._in_flight += 1
        self._idle.clear()
        clock = self._runtime.clock
        started_at = clock.monotonic()
        try:
            async with asyncio.timeout(message.timeout_ms / 1000):
                answer = await self._pool.send(_to_target(message, context))
        except TimeoutError:
            return self._refuse(Reason.DEADLINE_EXPIRED, Verdict.MAY_HAVE_RUN)
        except TargetUnreachableError:
            return self._refuse(Reason.TARGET_UNREACHABLE)
        except TargetBrokenError:
            self._report_crash(message)
            return self._refuse(Reason.TARGET_CRASHED, Verdict.MAY_HAVE_RUN)
        except AnswerTooLargeError:
            return self._refuse(
                Reason.TARGET_ANSWER_TOO_LARGE, Verdict.MAY_HAVE_RUN
            )
        finally:
            self._in_flight -= 1
            if not self._in_flight:
                self._idle.set()
            self._contexts.close(context.context_id)
        if self._crashes is not None:
            self._crashes.succeeded(message)
        service_ms = (clock.monotonic() - started_at) * 1000
        return self._served(answer, context, service_ms)

    def _report_crash(self, message: Dispatch) -> None:
        if self._crashes is None:
            return
        self._crash_count += 1
        runtime = self._runtime
        epoch = f'{runtime.incarnation}.{self._crash_count}'
        self._crashes.crashed((message,), f'{runtime.address}/{epoch}')

    def _open_context(self, message: Dispatch) -> RequestContext:
        now = self._runtime.clock.monotonic()
        context = RequestContext(
            context_id=secrets.token_hex(CONTEXT_ID_BITS // 8),
            request_id=message.request_id,
            workspace=message.workspace,
            importance=message.importance,
            bucket=message.bucket,
            deadline=now + message.timeout_ms / 1000,
            depth=message.depth,
            retries_left=message.retries_left,
            key_digest=message.key_digest,
        )
        self._contexts.open(context)
        return context

    def _served(
        self, answer: TargetAnswer, context: RequestContext, service_ms: float
    ) -> Outcome:
        return Outcome(
            Verdict.RAN,
            Reason.SERVED,
            answer.status,
            answer.headers,
            answer.body,
            self.load,
            retries_used=context.retries_used,
            service_ms=service_ms,
        )

    def _refuse(
        self, reason: Reason, verdict: Verdict = Verdict.NOT_RUN
    ) -> Outcome:
        return Outcome(verdict, reason, 0, (), b'', self.load)


def _to_target(message: Dispatch, context: RequestContext) -> TargetRequest:
    headers = message.headers + (
        (CONTEXT_HEADER, context.context_id),
        (REQUEST_ID_HEADER, message.request_id),
        (TIMEOUT_HEADER, str(message.timeout_ms)),
        (WORKSPACE_HEADER, message.workspace),
    )
    if message.operation_id:
        headers += ((OPERATION_HEADER, message.operation_id),)
    return TargetRequest(message.method, message.path, headers, message.body)
