"""The gate: admission control in front of the local target."""

import asyncio
from collections.abc import Callable

from turmericrouter_core.admission import DroppedRequest
from turmericrouter_core.admission import GateQueue
from turmericrouter_core.admission import Placement
from turmericrouter_core.admission import QueueSettings
from turmericrouter_core.admission import ReleaseResult
from turmericrouter_core.config import ApplyResult
from turmericrouter_core.context import ContextTable
from turmericrouter_core.fair_queue import Ticket
from turmericrouter_core.messages import AdmissionLevel
from turmericrouter_core.messages import Dispatch
from turmericrouter_core.messages import GateLoad
from turmericrouter_core.messages import Hello
from turmericrouter_core.messages import Outcome
from turmericrouter_core.shedding import LevelController
from turmericrouter_core.shedding import LevelSettings
from turmericrouter_core.verdict import is_retryable
from turmericrouter_core.verdict import Reason
from turmericrouter_core.verdict import Verdict
from turmericrouter_daemon.config_sync import ConfigSync
from turmericrouter_daemon.crash_reporter import CrashReporter
from turmericrouter_daemon.delivery import CONTEXT_HEADER as CONTEXT_HEADER
from turmericrouter_daemon.delivery import Delivery
from turmericrouter_daemon.delivery import DeliveryResult
from turmericrouter_daemon.local_target import LocalTarget
from turmericrouter_daemon.local_target import TargetState
from turmericrouter_daemon.runtime import Runtime

# Admission levels change once per window, by default a tenth of a second; a
# retry has a better chance only after a few windows.
_SHED_RETRY_AFTER_S = 0.5
_CLOSED_RETRY_AFTER_S = 1.0


class Gate:
    """Admits requests to the local target.

    Args:
        runtime: Services of the process.
        config: Current configuration.
        crashes: Records crashes and successes, blocks poison requests.
    """

    def __init__(
        self,
        runtime: Runtime,
        config: ConfigSync,
        crashes: CrashReporter,
    ) -> None:
        self._runtime = runtime
        self._clock = runtime.clock
        self._config = config
        overload = runtime.settings.overload
        self._shedding = overload.shedding
        delay_target_s = overload.queue_delay_target_ms / 1000
        self._queue = GateQueue(
            QueueSettings(
                per_limit=overload.queue_per_limit,
                delay_target_s=delay_target_s,
                interval_s=overload.queue_interval_ms / 1000,
                unbounded_fifo=not overload.shedding,
            )
        )
        self._levels = LevelController(
            LevelSettings(overload.level_window_ms / 1000, delay_target_s),
            self._clock.monotonic(),
        )
        self._target = LocalTarget(
            runtime, lambda: self._drop_waiting(Reason.TARGET_UNREACHABLE)
        )
        self._target.on_state(self._on_target_state)
        self._crashes = crashes
        self._delivery = Delivery(
            runtime,
            config,
            self._target,
            self._queue,
            self._crashes,
        )
        self._waiting: dict[int, asyncio.Future[DroppedRequest | None]] = {}
        self._last_number = 0
        self._leaving = False
        self._request_count = 0
        self._idle = asyncio.Event()
        self._idle.set()
        config.on_config(self._on_config)

    @property
    def contexts(self) -> ContextTable:
        """Return the requests at the target, for nested calls."""
        return self._delivery.contexts

    @property
    def load(self) -> GateLoad:
        """Return the load that is reported with every outcome."""
        now = self._clock.monotonic()
        return GateLoad(
            self._levels.level(now) if self._shedding else AdmissionLevel(),
            self._queue.in_flight,
            self._queue.queued,
            self._target.limit.limit(now),
        )

    @property
    def target(self) -> LocalTarget:
        """Return the local target."""
        return self._target

    def on_target_state(self, callback: Callable[[TargetState], None]) -> None:
        """Subscribe to changes of the state of the local target."""
        self._target.on_state(callback)

    def set_target(
        self,
        name: str,
        ip: str,
        port: int,
        *,
        slots: int = 0,
        connections: int = 0,
        leaving: bool = False,
        instance: str = '',
    ) -> None:
        """Handle an announcement of the target, including a repeated one.

        Args:
            name: Name of the target.
            ip: IP address where it listens.
            port: TCP port where it listens.
            slots: Requests it runs at once, 0 if unknown.
            connections: Connections it accepts, 0 if unknown.
            leaving: Whether it accepts no new requests.
            instance: Id that changes with each start of the target, or empty.
        """
        self._target.announce(
            (name, ip, port, instance),
            slots=slots,
            connections=connections,
            leaving=leaving,
        )

    def start_draining(self) -> None:
        """Start to refuse new requests, and refuse the waiting ones."""
        self._leaving = True
        self._drop_waiting(Reason.TARGET_LEAVING)

    async def wait_until_drained(self) -> None:
        """Wait until no request is in flight."""
        await self._idle.wait()

    async def handle(self, message: Dispatch, sender: Hello) -> Outcome:
        """Run a request of another daemon, or refuse it."""
        return await self.run(message)

    async def run(self, message: Dispatch) -> Outcome:
        """Run a request, or refuse it."""
        reason = self._refusal_reason(message)
        if reason is not None:
            return self._refuse(message, reason, _CLOSED_RETRY_AFTER_S)
        now = self._clock.monotonic()
        if self._shedding and not self._levels.record_arrival(
            now, message.importance, message.bucket, self._queue.queued
        ):
            return self._refuse(
                message, Reason.SHED_AT_GATE, _SHED_RETRY_AFTER_S
            )
        ticket = self._make_ticket(message, now)
        admission = self._queue.offer(
            now, ticket, self._target.limit.limit(now)
        )
        if admission.dropped:
            self._apply_release(now, ReleaseResult(dropped=admission.dropped))
        if admission.placement is Placement.REFUSED:
            if admission.reason is Reason.QUEUE_FULL:
                self._levels.record_overflow(now, 0.0)
            return self._refuse(
                message, admission.reason, admission.retry_after_s
            )
        return await self._run_admitted(
            message, ticket, admission.placement is Placement.WAITING
        )

    async def _run_admitted(
        self, message: Dispatch, ticket: Ticket, must_wait: bool
    ) -> Outcome:
        self._request_count += 1
        self._idle.clear()
        try:
            if must_wait:
                refused = await self._wait(message, ticket)
                if refused is not None:
                    return refused
            else:
                self._levels.record_start(ticket.arrived_at, 0.0, 0)
            delivery_result = await self._delivery.run(
                message, ticket.deadline
            )
        finally:
            self._release(ticket)
        return self._to_outcome(message, delivery_result)

    async def _wait(self, message: Dispatch, ticket: Ticket) -> Outcome | None:
        """Wait for a slot; return a refusal, or None to start."""
        key_was_known = self._config.state.key(message.key_digest) is not None
        future = asyncio.get_running_loop().create_future()
        self._waiting[ticket.number] = future
        # The limit may have risen since the last slot was released.
        self._start_waiting(ticket.arrived_at)
        try:
            async with asyncio.timeout(ticket.deadline - ticket.arrived_at):
                dropped = await future
        except TimeoutError:
            self._levels.record_overflow(
                self._clock.monotonic(), ticket.deadline - ticket.arrived_at
            )
            return self._refuse(message, Reason.DEADLINE_EXPIRED)
        finally:
            del self._waiting[ticket.number]
        if dropped is not None:
            return self._refuse(message, dropped.reason, dropped.retry_after_s)
        reason = self._refusal_reason(message)
        if (
            key_was_known
            and self._config.state.key(message.key_digest) is None
        ):
            reason = Reason.KEY_WITHDRAWN
        return self._refuse(message, reason) if reason else None

    def _make_ticket(self, message: Dispatch, now: float) -> Ticket:
        workspace = self._config.state.workspace(message.workspace)
        self._last_number += 1
        return Ticket(
            self._last_number,
            message.workspace,
            message.importance,
            now,
            now + message.timeout_ms / 1000,
            self._target.service_times.expected_s(now, message.route),
            workspace.weight if workspace else 1.0,
        )

    def _refusal_reason(self, message: Dispatch) -> Reason | None:
        target = self._target
        if self._leaving or target.state is TargetState.LEAVING:
            return Reason.TARGET_LEAVING
        if (
            target.state is not TargetState.SERVING
            or message.target != target.name
        ):
            return Reason.TARGET_UNREACHABLE
        state = self._config.state
        if state.is_retired(message.target):
            return Reason.TARGET_RETIRED
        if self._crashes.is_message_blocked(message):
            return Reason.QUARANTINED
        if message.key_digest:
            key = state.key(message.key_digest)
            # A key that is not in this daemon's configuration yet was
            # checked by the entry.
            if key is not None and key.withdrawn:
                return Reason.KEY_WITHDRAWN
        return None

    def _start_waiting(self, now: float) -> None:
        limit = self._target.limit.limit(now)
        if self._queue.in_flight < limit:
            self._apply_release(now, self._queue.start(now, limit))

    def _release(self, ticket: Ticket) -> None:
        now = self._clock.monotonic()
        limit = self._target.limit.limit(now)
        release = self._queue.release(now, ticket.number, limit)
        if release.started or release.dropped:
            self._apply_release(now, release)
        self._request_count -= 1
        if not self._request_count:
            self._idle.set()

    def _apply_release(self, now: float, release: ReleaseResult) -> None:
        """Wake the requests that the queue has started or dropped."""
        queued = self._queue.queued
        for ticket in release.started:
            self._levels.record_start(now, now - ticket.arrived_at, queued)
            self._wake(ticket.number, None)
        for dropped in release.dropped:
            self._levels.record_overflow(now, dropped.waited_s)
            self._wake(dropped.number, dropped)

    def _wake(self, number: int, dropped: DroppedRequest | None) -> None:
        future = self._waiting.get(number)
        # A request that was cancelled in between releases its slot itself.
        if future is not None and not future.done():
            future.set_result(dropped)

    def _drop_waiting(self, reason: Reason) -> None:
        now = self._clock.monotonic()
        for dropped in self._queue.drop_waiting(
            now, reason, _CLOSED_RETRY_AFTER_S
        ):
            self._wake(dropped.number, dropped)

    def _on_config(self, applied: ApplyResult) -> None:
        if self._config.state.is_retired(self._target.name):
            self._drop_waiting(Reason.TARGET_RETIRED)

    def _on_target_state(self, state: TargetState) -> None:
        if state is TargetState.LEAVING:
            self._drop_waiting(Reason.TARGET_LEAVING)
        elif state is TargetState.LOST:
            self._drop_waiting(Reason.TARGET_UNREACHABLE)

    def _to_outcome(
        self, message: Dispatch, delivery_result: DeliveryResult
    ) -> Outcome:
        answer = delivery_result.answer
        if answer is None:
            retryable = is_retryable(
                delivery_result.verdict, delivery_result.reason
            )
            return self._refuse(
                message,
                delivery_result.reason,
                _CLOSED_RETRY_AFTER_S if retryable else 0.0,
                verdict=delivery_result.verdict,
                retries_used=delivery_result.retries_used,
            )
        return Outcome(
            delivery_result.verdict,
            delivery_result.reason,
            answer.status,
            answer.headers,
            answer.body,
            self.load,
            retries_used=delivery_result.retries_used,
            service_ms=delivery_result.service_s * 1000,
        )

    def _refuse(
        self,
        message: Dispatch,
        reason: Reason,
        retry_after_s: float = 0.0,
        *,
        verdict: Verdict = Verdict.NOT_RUN,
        retries_used: int = 0,
    ) -> Outcome:
        self._runtime.metrics.incr(f'gate.refused.{reason}')
        self._runtime.decisions.record(
            'gate_refused',
            request_id=message.request_id,
            target=message.target,
            importance=message.importance.name,
            verdict=verdict,
            reason=reason,
        )
        return Outcome(
            verdict,
            reason,
            0,
            (),
            b'',
            self.load,
            retries_used=retries_used,
            retry_after_ms=int(retry_after_s * 1000),
        )
