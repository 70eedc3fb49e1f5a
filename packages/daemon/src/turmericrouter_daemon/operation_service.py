"""Queries idempotency stores, and keeps the store of this home daemon.

The home daemon of an operation keeps the record of its start and answer.
"""

import asyncio
from collections.abc import Coroutine
import math
import secrets
from typing import Any
from typing import TypeVar

from turmericrouter_core.errors import LinkError
from turmericrouter_core.identity import OperationId
from turmericrouter_core.messages import AbortOperation
from turmericrouter_core.messages import BeginOperation
from turmericrouter_core.messages import EmptyReply
from turmericrouter_core.messages import FinishOperation
from turmericrouter_core.messages import Hello
from turmericrouter_core.messages import OperationStatus
from turmericrouter_core.messages import StoredAnswer
from turmericrouter_core.operation import answer_size
from turmericrouter_core.operation import body_digest
from turmericrouter_core.operation import IdempotencyStore
from turmericrouter_core.operation import OperationLimits
from turmericrouter_core.operation import OperationState
from turmericrouter_core.verdict import Reason
from turmericrouter_core.verdict import Verdict
from turmericrouter_daemon.call import Answer
from turmericrouter_daemon.call import Call
from turmericrouter_daemon.call import refuse
from turmericrouter_daemon.config_sync import ConfigSync
from turmericrouter_daemon.peer import PeerPool
from turmericrouter_daemon.roster_service import RosterService
from turmericrouter_daemon.runtime import Runtime

_NONCE_BITS = 62
_RETRY_AFTER_S = 1.0
# The reply of a home daemon is awaited this many times longer than the caller
# waits, so that a late start that is not used can be aborted.
_LATE_REPLY_FACTOR = 10
_MAX_FINISH_ATTEMPTS = 3
_FINISH_RETRY_DELAY_S = 0.2

_Key = tuple[str, str]
_T = TypeVar('_T')


def _limits(runtime: Runtime) -> OperationLimits:
    settings = runtime.settings.operation
    return OperationLimits(
        retention_ms=int(settings.retention_s * 1000),
        max_clock_skew_ms=settings.max_clock_skew_ms,
        max_id_ahead_ms=settings.max_id_ahead_ms,
        begin_timeout_ms=settings.home_timeout_ms,
        max_operations=settings.max_operations,
        max_answers_bytes=settings.max_answers_bytes,
    )


class OperationService:
    """At-most-once execution, for the entry and as home daemon.

    Args:
        runtime: Services of the process.
        config: Current configuration.
        peers: Links to other daemons.
        rosters: Home daemons of operations.
    """

    def __init__(
        self,
        runtime: Runtime,
        config: ConfigSync,
        peers: PeerPool,
        rosters: RosterService,
    ) -> None:
        self._runtime = runtime
        self._config = config
        self._peers = peers
        self._rosters = rosters
        self._store = IdempotencyStore(_limits(runtime))
        self._timeout_s = runtime.settings.operation.home_timeout_ms / 1000
        self._waiting: dict[_Key, asyncio.Event] = {}
        self._tasks: set[asyncio.Task[Any]] = set()

    async def begin(self, call: Call) -> Answer | int:
        """Return the nonce of a started operation, or an answer instead."""
        assert call.operation is not None
        domain = self._domain(call.operation)
        if domain is None:
            # Another entry may have a newer configuration with this domain.
            return refuse(
                Reason.OPERATION_ID_INVALID,
                Verdict.MAY_HAVE_RUN,
                detail='the id names no known home failure domain',
            )
        message = BeginOperation(
            call.workspace,
            call.operation.text,
            body_digest(call.method, call.path, call.body),
            self._rosters.roster(domain).epoch,
        )
        clock = self._runtime.clock
        asked_at = clock.monotonic()
        status = await self._query_home(domain, message)
        if status is None:
            status = _unreachable_status()
        self._runtime.decisions.record(
            'operation_asked',
            request_id=call.request_id,
            operation=call.operation.text,
            state=status.state,
            reason=status.reason,
        )
        if not status.nonce:
            return _to_answer(status)
        if clock.monotonic() - asked_at <= self._timeout_s:
            return status.nonce
        # After a pause of this process, a late reply seems to be in time.
        # The home daemon relies on entries not using a late start.
        answer = refuse(
            Reason.OPERATION_HOME_UNREACHABLE, retry_after_s=_RETRY_AFTER_S
        )
        await self.finish(call, status.nonce, answer)
        return answer

    async def finish(self, call: Call, nonce: int, answer: Answer) -> None:
        """Send the result to the home daemon without awaiting a reply."""
        assert call.operation is not None
        if answer.verdict is Verdict.MAY_HAVE_RUN:
            return
        text = call.operation.text
        message: AbortOperation | FinishOperation
        if answer.verdict is Verdict.NOT_RUN:
            message = AbortOperation(call.workspace, text, nonce)
        else:
            limit = self._runtime.settings.operation.max_answer_bytes
            stored = StoredAnswer(answer.status, answer.headers, answer.body)
            message = FinishOperation(
                call.workspace,
                text,
                nonce,
                stored if answer_size(stored) <= limit else None,
            )
        await self._send_result(call.operation, message)

    async def wait_until_drained(self) -> None:
        """Wait until no message to a home daemon is in flight."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def handle_begin(
        self, message: BeginOperation, sender: Hello | None
    ) -> OperationStatus:
        """Begin as home daemon; wait briefly for one in progress."""
        operation = OperationId.parse(message.operation_id)
        domain = self._domain(operation)
        if domain is None:
            return _unreachable_status()
        self._rosters.handle_epoch(domain, message.epoch)
        deadline = self._runtime.clock.monotonic() + self._timeout_s / 2
        while True:
            status = self._begin_in_store(domain, message)
            left_s = deadline - self._runtime.clock.monotonic()
            if status.state != OperationState.IN_PROGRESS or left_s <= 0:
                return status
            await self._wait_for_end(
                (message.workspace, operation.text), left_s
            )

    def handle_finish(
        self, message: FinishOperation, sender: Hello | None
    ) -> EmptyReply:
        """Store an answer as home daemon."""
        self._store.finish(
            message.workspace,
            message.operation_id,
            message.nonce,
            message.answer,
        )
        self._wake((message.workspace, message.operation_id))
        return EmptyReply()

    def handle_abort(
        self, message: AbortOperation, sender: Hello | None
    ) -> None:
        """Abort a start as home daemon."""
        self._store.abort(
            message.workspace,
            message.operation_id,
            message.nonce,
            monotonic_ms=self._runtime.clock.monotonic() * 1000,
        )
        self._wake((message.workspace, message.operation_id))

    def _domain(self, operation: OperationId) -> str | None:
        domains = self._config.state.fleet.domains
        if operation.domain_index >= len(domains):
            return None
        return domains[operation.domain_index]

    def _begin_in_store(
        self, domain: str, message: BeginOperation
    ) -> OperationStatus:
        since = self._rosters.held_since(domain, message.operation_id)
        if since is None:
            return _unreachable_status()
        clock = self._runtime.clock
        wall_s = clock.wall()
        monotonic_s = clock.monotonic()
        since_wall_s = wall_s - (monotonic_s - since)
        return self._store.begin(
            message,
            now_ms=int(wall_s * 1000),
            monotonic_ms=monotonic_s * 1000,
            since_ms=math.ceil(since_wall_s * 1000),
            nonce=1 + secrets.randbits(_NONCE_BITS),
        )

    async def _wait_for_end(self, key: _Key, timeout_s: float) -> None:
        event = self._waiting.setdefault(key, asyncio.Event())
        try:
            async with asyncio.timeout(timeout_s):
                await event.wait()
        except TimeoutError:
            return
        finally:
            if self._waiting.get(key) is event:
                del self._waiting[key]

    def _wake(self, key: _Key) -> None:
        event = self._waiting.pop(key, None)
        if event is not None:
            event.set()

    async def _query_home(
        self, domain: str, message: BeginOperation
    ) -> OperationStatus | None:
        home = self._rosters.holder(domain, message.operation_id)
        if not home:
            return None
        if home == self._runtime.address:
            return await self.handle_begin(message, None)
        task = self._spawn(self._request(home, message))
        done, _ = await asyncio.wait([task], timeout=self._timeout_s)
        if done:
            return task.result()
        task.add_done_callback(
            lambda late: self._abort_late_start(home, message, late)
        )
        return None

    async def _request(
        self, home: str, message: BeginOperation
    ) -> OperationStatus | None:
        try:
            return await self._peers.request(
                home,
                message,
                OperationStatus,
                timeout_s=self._timeout_s * _LATE_REPLY_FACTOR,
            )
        except LinkError:
            return None

    def _abort_late_start(
        self,
        home: str,
        message: BeginOperation,
        late: 'asyncio.Task[OperationStatus | None]',
    ) -> None:
        """Abort a start whose reply came after the caller was refused."""
        status = None if late.cancelled() else late.result()
        if status is not None and status.nonce:
            abort = AbortOperation(
                message.workspace, message.operation_id, status.nonce
            )
            self._spawn(self._notify(home, abort))

    async def _send_result(
        self, operation: OperationId, message: AbortOperation | FinishOperation
    ) -> None:
        domain = self._domain(operation)
        home = self._rosters.holder(domain or '', operation.text)
        if home != self._runtime.address:
            if isinstance(message, AbortOperation):
                # Sent before the caller gets the answer, so that a resend
                # rarely overtakes the abort.
                await self._notify(home, message)
            else:
                self._spawn(self._finish_at(home, message))
        elif isinstance(message, AbortOperation):
            self.handle_abort(message, None)
        else:
            self.handle_finish(message, None)

    async def _notify(self, home: str, message: AbortOperation) -> None:
        try:
            await self._peers.notify(home, message)
        except LinkError as error:
            self._runtime.log.warning(
                'operation_abort_lost', home=home, error=str(error)
            )

    async def _finish_at(self, home: str, message: FinishOperation) -> None:
        for _ in range(_MAX_FINISH_ATTEMPTS):
            try:
                await self._peers.request(
                    home, message, EmptyReply, timeout_s=self._timeout_s
                )
            except LinkError:
                await asyncio.sleep(_FINISH_RETRY_DELAY_S)
            else:
                return
        self._runtime.log.warning(
            'operation_finish_lost', home=home, operation=message.operation_id
        )

    def _spawn(self, work: Coroutine[Any, Any, _T]) -> 'asyncio.Task[_T]':
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _unreachable_status() -> OperationStatus:
    return OperationStatus(
        OperationState.UNKNOWN, Reason.OPERATION_HOME_UNREACHABLE
    )


def _to_answer(status: OperationStatus) -> Answer:
    if status.state == OperationState.FINISHED and status.answer is not None:
        stored = status.answer
        return Answer(
            Verdict.RAN,
            Reason.REPLAYED,
            stored.status,
            stored.headers,
            stored.body,
        )
    is_certain = status.state == OperationState.REFUSED
    may_resend = status.reason in (
        Reason.OPERATION_IN_PROGRESS,
        Reason.OPERATION_HOME_UNREACHABLE,
        Reason.OPERATION_HOME_FULL,
    )
    return refuse(
        status.reason,
        Verdict.NOT_RUN if is_certain else Verdict.MAY_HAVE_RUN,
        retry_after_s=_RETRY_AFTER_S if may_resend else None,
    )
