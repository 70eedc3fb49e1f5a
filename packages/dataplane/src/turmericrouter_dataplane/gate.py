"""The gate: admission control in front of the target of this host."""

import asyncio
from collections.abc import Callable
import math

from turmericrouter_core.verdict import Reason
from turmericrouter_core.verdict import Verdict
from turmericrouter_dataplane.answer_verdict import AnswerVerdict
from turmericrouter_dataplane.decision_log import DecisionLog
from turmericrouter_dataplane.frames import Dispatch
from turmericrouter_dataplane.frames import Outcome
from turmericrouter_dataplane.gate_job import GateJob
from turmericrouter_dataplane.gate_job import Phase
from turmericrouter_dataplane.gate_job import ReplyCallback
from turmericrouter_dataplane.header_names import HeaderNames
from turmericrouter_dataplane.http_client import Failure
from turmericrouter_dataplane.http_client import HttpClientConnection
from turmericrouter_dataplane.http_client import HttpResponse
from turmericrouter_dataplane.local_target import LocalTarget
from turmericrouter_dataplane.policy.gate_queue import GateQueue
from turmericrouter_dataplane.policy.planned_stop import CutRequests
from turmericrouter_dataplane.policy.planned_stop import StopGuard
from turmericrouter_dataplane.policy.rate_limit import RateLimit
from turmericrouter_dataplane.policy.target_chooser import TargetState
from turmericrouter_dataplane.target_connections import TargetConnections
from turmericrouter_dataplane.target_notices import TargetNotices
from turmericrouter_dataplane.timers import Deadline
from turmericrouter_dataplane.timers import TimerService

# Fraction of the slots in use at most, since targets slow down when nearly all
# are taken.
_LIMIT_FRACTION = 0.94
_EXPIRY_GRACE_S = 0.15
# A request of a peer that a stopping daemon cannot give this time is refused;
# the peer, which knows the latency objective, sends it to another host.
_MIN_SERVICE_TIME_S = 0.5


class Gate:
    """Admits requests to the local target, in order of importance.

    Args:
        headers: Header names of the deployment.
        timers: Timer service.
        log: Decision log.
        on_crash: Called with the digest of a request and the id of the target
            that it crashed.
    """

    def __init__(
        self,
        headers: HeaderNames,
        timers: TimerService,
        log: DecisionLog,
        on_crash: Callable[[int, str], None],
    ) -> None:
        self._names = headers
        self._timers = timers
        self._log = log
        self._on_crash = on_crash
        self._target: LocalTarget | None = None
        self._is_reachable = True
        self._queue: GateQueue[GateJob] = GateQueue(64)
        self._jobs: dict[bytes, GateJob] = {}
        # All requests at the gate. `_jobs` may lack some of them, as requests
        # may share an id or have none.
        self._open: set[GateJob] = set()
        self._running = 0
        self._connections = TargetConnections(headers)
        self._limit = 0
        self._token_timer: Deadline | None = None
        self.notices = TargetNotices(headers, timers, log)
        self.stop_guard = StopGuard()
        self._answer_verdict = AnswerVerdict(headers)

    @property
    def target(self) -> LocalTarget | None:
        """Return the local target."""
        return self._target

    @property
    def running(self) -> int:
        """Return the number of requests at the target."""
        return self._running

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait for a slot."""
        return len(self._queue)

    @property
    def limit(self) -> int:
        """Return how many requests run at once when the target is full."""
        return self._rate_limit.max_running(self._limit)

    @property
    def load(self) -> float:
        """Return the requests at the gate divided by its limit."""
        if not self._limit:
            return 0.0
        return (self._running + len(self._queue)) / self.limit

    @property
    def rate_limit(self) -> float:
        """Return the rate that the target has named, or `NO_RATE_LIMIT`."""
        return self._rate_limit.reported_rate_per_s

    @property
    def _rate_limit(self) -> RateLimit:
        return self.notices.rate_limit

    def find(self, request_id: bytes) -> GateJob | None:
        """Return the request with an id, None if it is not at the gate."""
        return self._jobs.get(request_id)

    @property
    def is_idle(self) -> bool:
        """Return whether no request is at the gate."""
        return not self._open

    def set_target(self, target: LocalTarget) -> None:
        """Apply an announcement of the target."""
        before = self._target
        self._target = target
        self._is_reachable = True
        self._limit = max(1, int(target.slots * _LIMIT_FRACTION))
        self._queue.capacity = max(8, self._limit)
        if before is not None and before.target_id != target.target_id:
            self._connections.close_after_use()
        self.notices.set_target(target)
        if target.state is not TargetState.SERVING:
            for job in self._queue.clear():
                self._refuse(job, Reason.TARGET_LEAVING)

    def submit(self, frame: Dispatch, reply: ReplyCallback) -> 'GateJob':
        """Run a request at once or when a slot is free."""
        job = GateJob(frame, reply, self._timers.now())
        self._jobs[frame.request_id] = job
        self._open.add(job)
        job.peak_load = self.load
        target = self._target
        if not self.stop_guard.takes(
            job.received_at,
            is_local=job.is_local,
            expires_at=job.expires_at,
            service_time_s=_service_time_s(job),
        ):
            self._refuse(job, Reason.DAEMON_STOPPING)
        elif target is None or not self._is_reachable:
            self._refuse(job, Reason.TARGET_UNREACHABLE)
        elif target.state is not TargetState.SERVING:
            self._refuse(job, Reason.TARGET_LEAVING)
        elif frame.target_id and frame.target_id != target.target_id:
            self._refuse(job, Reason.TARGET_RETIRED)
        elif not len(self._queue) and self._takes_one(job.received_at):
            self._start(job)
        else:
            self._wait(job)
        return job

    def cancel(self, job: 'GateJob') -> None:
        """Cancel a request whose caller has disconnected or that timed out.

        A request that must not run twice continues at the target.
        """
        if job.phase is Phase.DONE:
            return
        if job.phase is Phase.RUNNING and not job.frame.is_idempotent:
            job.reply = _ignore
            return
        if job.phase is Phase.WAITING:
            self._queue.remove(job.frame.rank, job)
        self._release(job)

    def answer_all(self) -> CutRequests:
        """Answer the requests that have no answer when a stop ends.

        A peer sends those that only waited to another host.

        Returns:
            The requests that were answered, without those that run on after
            their caller has disconnected or has been answered.
        """
        jobs = list(self._open)
        answered = [job for job in jobs if job.reply is not _ignore]
        for job in self._queue.clear():
            self._refuse(job, Reason.DAEMON_STOPPING)
        for job in jobs:
            if job.has_started:
                self._reply(
                    job,
                    Verdict.MAY_HAVE_RUN,
                    Reason.DAEMON_STOPPING,
                    sent=True,
                )
            elif not job.is_done:
                self._refuse(job, Reason.DAEMON_STOPPING)
        return CutRequests.of(
            [job.received_at for job in answered], self._timers.now()
        )

    def prune(self) -> None:
        """Close connections that have been idle for long."""
        self._connections.prune()

    def stop(self) -> None:
        """Close all connections."""
        self._connections.stop()

    def _wait(self, job: GateJob) -> None:
        max_queue_wait_s = min(
            job.frame.max_queue_wait_ms / 1000, job.frame.remaining_ms / 1000
        )
        # The same time as for the attempt to start it, or the reason differs.
        token_wait_s = self._token_wait_s(job, job.received_at)
        if token_wait_s > max_queue_wait_s:
            self._refuse(job, Reason.TARGET_RATE_LIMITED)
            return
        if max_queue_wait_s <= 0:
            self._refuse(job, Reason.SHED_AT_GATE)
            return
        evicted = self._queue.push(job.frame.rank, job)
        if evicted is not job:
            job.wait_timer = self._timers.at(
                job.received_at + max_queue_wait_s,
                lambda: self._expire_wait(job),
            )
        if evicted is not None:
            self._refuse(evicted, Reason.EVICTED)
        self._start_next()

    def _expire_wait(self, job: GateJob) -> None:
        if job.phase is Phase.WAITING:
            self._queue.remove(job.frame.rank, job)
            is_limited = self._rate_limit.rate_per_s is not None
            self._refuse(
                job,
                Reason.TARGET_RATE_LIMITED
                if is_limited
                else Reason.SHED_AT_GATE,
            )

    def _start(self, job: GateJob) -> None:
        # From here on, the request has a slot, which its end frees.
        self._running += 1
        job.phase = Phase.CONNECTING
        if job.wait_timer is not None:
            job.wait_timer.cancel()
        connection = self._connections.take(
            job.frame.is_idempotent, job.frame.request_id
        )
        if connection is not None:
            self._run(job, connection)
            return
        asyncio.ensure_future(self._connect(job))

    async def _connect(self, job: GateJob) -> None:
        target = self._target
        assert target is not None
        try:
            connection = await self._connections.open(target.address)
        except (OSError, TimeoutError) as error:
            self._target_unreachable(target, error)
            if job.phase is not Phase.DONE:
                self._refuse(job, Reason.TARGET_UNREACHABLE)
            return
        if job.phase is Phase.DONE:
            self._connections.give_back(connection)
            return
        if not connection.is_open:
            # A target that serves resets connections beyond its limit.
            self._refuse(job, Reason.TARGET_SHED)
            return
        now_target = self._target
        if now_target is not None and now_target.target_id == target.target_id:
            self._run(job, connection)
            return
        connection.close()
        self._refuse(job, Reason.TARGET_RETIRED)

    def _target_unreachable(
        self, target: LocalTarget, error: Exception | str
    ) -> None:
        if self._target is target and self._is_reachable:
            self._is_reachable = False
            # Those in use show by their answers whether the target lives.
            self._connections.close_idle()
            self._log.event(
                'target_unreachable',
                target=target.target_id,
                error=repr(error),
            )
            self._timers.at(self._timers.now() + 0.5, self._mark_reachable)

    def _mark_reachable(self) -> None:
        self._is_reachable = True

    def _run(self, job: GateJob, connection: HttpClientConnection) -> None:
        frame = job.frame
        target = self._target
        assert target is not None
        remaining_ms = self._remaining_ms(job)
        refusal = self._find_refusal(job, remaining_ms)
        if refusal is not None:
            self._connections.give_back(connection)
            self._refuse(job, refusal)
            return
        names = self._names
        job.phase = Phase.RUNNING
        job.sent_at = self._timers.now()
        job.connection = connection
        job.deadline = self._timers.at(
            job.expires_at + _EXPIRY_GRACE_S, lambda: self._expire(job)
        )
        connection.send(
            b'%b%b: %d\r\n%b: %b\r\n\r\n%b'
            % (
                frame.head,
                names.deadline_ms,
                remaining_ms,
                names.target_id,
                target.target_id.encode(),
                frame.body,
            ),
            lambda result: self._answered(job, result, target),
            expected_id=frame.request_id,
            is_head=frame.head.startswith(b'HEAD '),
        )

    def _expire(self, job: GateJob) -> None:
        if job.phase is not Phase.RUNNING:
            return
        if job.frame.is_idempotent:
            self._reply(
                job, Verdict.MAY_HAVE_RUN, Reason.DEADLINE_EXPIRED, sent=True
            )
            return
        # The target stops by itself; its answer may still be on the way.
        job.deadline = self._timers.at(
            self._timers.now() + 5.0, lambda: self._abandon(job)
        )

    def _abandon(self, job: GateJob) -> None:
        if job.phase is Phase.RUNNING:
            self._reply(
                job, Verdict.MAY_HAVE_RUN, Reason.DEADLINE_EXPIRED, sent=True
            )

    def _answered(
        self, job: GateJob, result: HttpResponse | Failure, target: LocalTarget
    ) -> None:
        connection = job.connection
        job.connection = None
        if isinstance(result, Failure):
            reason = Reason.TARGET_ANSWER_INVALID
            if result is Failure.BROKEN:
                reason = Reason.TARGET_CRASHED
                self._start_crash_check(job)
            self._reply(job, Verdict.MAY_HAVE_RUN, reason, sent=True)
            return
        assert connection is not None
        self._connections.give_back(connection)
        if result.status == 421 and result.is_attributed:
            # Another target uses the address; the announced one is gone or
            # will send a new announcement.
            if self._target is target:
                self._connections.close_after_use()
            self._target_unreachable(target, 'another target answered')
        else:
            self.notices.read(result, target, job.sent_at)
        self._classify(job, result)

    def _classify(self, job: GateJob, answer: HttpResponse) -> None:
        verdict, reason = self._answer_verdict.classify(answer)
        if verdict is not Verdict.RAN:
            self._reply(job, verdict, reason, sent=True)
            return
        self._finish(
            job,
            Outcome(
                job.frame.correlation,
                verdict,
                reason,
                answer.status,
                answer.head,
                answer.body,
                self._running - 1,
                len(self._queue),
                self.limit,
                True,
                job.peak_load,
                self.rate_limit,
            ),
        )

    def _start_crash_check(self, job: GateJob) -> None:
        target = self._target
        if target is not None and job.frame.digest:
            asyncio.ensure_future(self._check_crash(job.frame.digest, target))

    async def _check_crash(self, digest: int, target: LocalTarget) -> None:
        """Report a crash if the target can no longer be reached."""
        try:
            connection = await self._connections.open(target.address)
        except (OSError, TimeoutError) as error:
            self._target_unreachable(target, error)
            self._on_crash(digest, target.target_id)
            return
        self._connections.give_back(connection)

    def _refuse(self, job: GateJob, reason: Reason) -> None:
        self._reply(job, Verdict.NOT_RUN, reason)

    def _reply(
        self,
        job: GateJob,
        verdict: Verdict,
        reason: Reason,
        *,
        sent: bool = False,
    ) -> None:
        wait_ms = 0
        if reason is Reason.TARGET_RATE_LIMITED:
            wait_s = self._token_wait_s(job, self._timers.now())
            wait_ms = max(1, math.ceil(wait_s * 1000))
        self._finish(
            job,
            Outcome(
                job.frame.correlation,
                verdict,
                reason,
                running=self._running,
                waiting=len(self._queue),
                limit=self.limit,
                was_sent=sent,
                peak_load=job.peak_load,
                rate_limit=self.rate_limit,
                wait_ms=wait_ms,
            ),
        )

    def _finish(self, job: GateJob, outcome: Outcome) -> None:
        reply = job.reply
        self._release(job)
        reply(outcome)

    def _release(self, job: GateJob) -> None:
        """Release the resources of a request, and start the next one."""
        phase, job.phase = job.phase, Phase.DONE
        self._open.discard(job)
        if self._jobs.get(job.frame.request_id) is job:
            del self._jobs[job.frame.request_id]
        if job.deadline is not None:
            job.deadline.cancel()
        if job.wait_timer is not None:
            job.wait_timer.cancel()
        connection, job.connection = job.connection, None
        if connection is not None:
            connection.abort()
        if phase in (Phase.CONNECTING, Phase.RUNNING):
            self._running -= 1
            self._start_next()

    def _start_next(self) -> None:
        while len(self._queue) and self._takes_one(self._timers.now()):
            job = self._queue.pop()
            assert job is not None
            refusal = self._find_refusal(job, self._remaining_ms(job))
            if refusal is None:
                self._start(job)
            else:
                self._refuse(job, refusal)
        if len(self._queue) and self._running < self._limit:
            self._wait_for_token()

    def _takes_one(self, now: float) -> bool:
        """Return whether a request may be started, and count it."""
        return self._running < self._limit and self._rate_limit.take(now)

    def _wait_for_token(self) -> None:
        """Start waiting requests once the rate limit lets one through."""
        if self._token_timer is not None:
            return

        def start() -> None:
            self._token_timer = None
            self._start_next()

        now = self._timers.now()
        self._token_timer = self._timers.at(
            now + self._rate_limit.wait_s(0, now), start
        )

    def _token_wait_s(self, job: GateJob, now: float) -> float:
        """Return the time until the rate limit lets a new request through."""
        return self._rate_limit.wait_s(
            self._queue.count_ahead(job.frame.rank), now
        )

    def _remaining_ms(self, job: GateJob) -> int:
        """Return the time limit that the target would get now."""
        expires_at = self.stop_guard.limit(job.expires_at)
        return int((expires_at - self._timers.now()) * 1000)

    def _find_refusal(self, job: GateJob, remaining_ms: int) -> Reason | None:
        """Return why a request must not be sent now, None if it may be."""
        if not self.stop_guard.may_send(
            self._timers.now(),
            expires_at=job.expires_at,
            service_time_s=_service_time_s(job),
        ):
            return Reason.DAEMON_STOPPING
        return Reason.DEADLINE_EXPIRED if remaining_ms <= 0 else None


def _service_time_s(job: GateJob) -> float:
    """Return the time that a stop must leave for a request.

    The dispatcher has decided on the requests of this host.
    """
    return 0.0 if job.is_local else _MIN_SERVICE_TIME_S


def _ignore(outcome: Outcome) -> None:
    """Discard the outcome of a request whose caller has disconnected."""
