"""Handles each request of a caller from admission to its answer."""

from collections.abc import Callable
import random

from turmericrouter_core.verdict import Reason
from turmericrouter_core.verdict import Verdict
from turmericrouter_dataplane.call import Call
from turmericrouter_dataplane.call_factory import AUTHORIZATION
from turmericrouter_dataplane.call_factory import CallFactory
from turmericrouter_dataplane.call_factory import find_workspace
from turmericrouter_dataplane.decision_log import DecisionLog
from turmericrouter_dataplane.decision_log import REFUSAL_LINES_PER_S
from turmericrouter_dataplane.decision_log import ROUTINE_LINES_PER_S
from turmericrouter_dataplane.fleet_config import FleetConfig
from turmericrouter_dataplane.fleet_config import Workspace
from turmericrouter_dataplane.frames import Dispatch
from turmericrouter_dataplane.frames import Outcome
from turmericrouter_dataplane.gate import Gate
from turmericrouter_dataplane.header_names import HeaderNames
from turmericrouter_dataplane.http_server import HttpRequest
from turmericrouter_dataplane.links import Link
from turmericrouter_dataplane.metrics import Metrics
from turmericrouter_dataplane.policy import retry_after
from turmericrouter_dataplane.policy.crash_records import CrashRecords
from turmericrouter_dataplane.policy.downstream_load import DownstreamLoad
from turmericrouter_dataplane.policy.planned_stop import CutRequests
from turmericrouter_dataplane.policy.planned_stop import StopGuard
from turmericrouter_dataplane.policy.retry_budget import RetryBudget
from turmericrouter_dataplane.policy.route_table import RouteTable
from turmericrouter_dataplane.policy.target_chooser import TargetChooser
from turmericrouter_dataplane.policy.workspace_quota import WorkspaceQuota
from turmericrouter_dataplane.refusals import Refusals
from turmericrouter_dataplane.timers import TimerService
from turmericrouter_dataplane.token_exchange import TokenExchange

# Time to wait beyond the deadline for an answer that the target sends at it.
_ANSWER_GRACE_S = 0.06
# Longest queue wait as a fraction of the latency objective. Nested calls may
# wait longer, since refusing one wastes the work of the whole call chain.
_MAX_WAIT_FRACTION = 0.125
_NESTED_MAX_WAIT_FRACTION = 0.5
_MAX_QUEUE_WAIT_S = 0.4
# Hosts that are tried for one request; the attempts of a route count only
# those that sent it to their target.
_MAX_HOSTS_TRIED = 4
# A target over its rate limit is avoided until it takes another request, but
# not longer, so that the end of the limit is noticed.
_MAX_RATE_LIMIT_PAUSE_S = 0.5
LinkLookup = Callable[[str], Link | None]


class Dispatcher:
    """Serves callers of this host.

    Args:
        host: Name of this host.
        service: Service of this host's target.
        headers: Header names of the deployment.
        gate: Gate of the local target.
        link_of: Returns the open link to a host.
        chooser: Chooses targets.
        quota: Limits of workspaces.
        budget: Retry budget.
        crash_records: Records of poison requests, which crash targets.
        downstream_load: Estimated load behind routes.
        exchange: Gets tokens of workspaces.
        parent_request_id: Returns the id of the request that makes a nested
            call, empty if the id of the call does not contain it.
        timers: Timer service.
        log: Decision log.
        metrics: Counters.
        rng: Source of jitter.
    """

    def __init__(
        self,
        *,
        host: str,
        service: str,
        headers: HeaderNames,
        gate: Gate,
        link_of: LinkLookup,
        chooser: TargetChooser,
        quota: WorkspaceQuota,
        budget: RetryBudget,
        crash_records: CrashRecords,
        downstream_load: DownstreamLoad,
        exchange: TokenExchange,
        parent_request_id: Callable[[bytes], bytes],
        timers: TimerService,
        log: DecisionLog,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._host = host
        self._gate = gate
        self._link_of = link_of
        self._chooser = chooser
        self._quota = quota
        self._budget = budget
        self._crash_records = crash_records
        self._downstream_load = downstream_load
        self._exchange = exchange
        self._timers = timers
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self._refusals = Refusals(log, metrics, rng)
        self._factory = CallFactory(headers, service, parent_request_id)
        self._table: RouteTable | None = None
        self._calls: set[Call] = set()
        self.stop_guard = StopGuard()

    @property
    def in_flight(self) -> int:
        """Return the number of requests that were taken and have no answer."""
        return len(self._calls)

    def set_service(self, service: str) -> None:
        """Set the service that requests of this host come from."""
        self._factory.set_service(service)

    def set_config(self, config: FleetConfig) -> None:
        """Put a configuration in force."""
        self._table = RouteTable(config, self._table)
        self._refusals.config_version = config.version

    def handle(self, request: HttpRequest) -> None:
        """Start to serve a request."""
        table = self._table
        if table is None:
            self._refusals.refuse_early(request, Reason.CONFIG_STALE)
            return
        values = {lower: value for lower, _, value in request.headers}
        request_id = self._factory.request_id(values)
        route = table.find(values.get(b'host', b''), request.target)
        if route is None:
            self._refusals.refuse_early(
                request, Reason.ROUTE_UNKNOWN, request_id
            )
            return
        authorization = values.get(AUTHORIZATION, b'')
        workspace = find_workspace(table, authorization)
        if (
            workspace is None
            and table.has_workspaces
            and not route.is_open_to_all
        ):
            reason = (
                Reason.KEY_UNKNOWN if authorization else Reason.KEY_MISSING
            )
            self._refusals.refuse_early(request, reason, request_id)
            return
        call = self._factory.make(
            request, values, route, workspace, self._timers.now()
        )
        if self._is_refused(call):
            return
        self._calls.add(call)
        if workspace is None:
            self._begin(call)
        else:
            self._admit(call, workspace)

    def _admit(self, call: Call, workspace: Workspace) -> None:
        """Start a request once its workspace has granted a token."""

        def resume(is_admitted: bool, wait_s: float) -> None:
            if is_admitted:
                self._begin(call)
            else:
                self._refuse_quota(call, wait_s)

        self._exchange.take(workspace.name, resume)

    def abandon(self, request: HttpRequest) -> None:
        """Stop a request whose caller has disconnected.

        A request that must not run twice continues at the target.
        """
        call = request.context
        if not isinstance(call, Call) or call.is_done:
            return
        self._metrics.count('requests_abandoned')
        self._abandon_attempt(call)
        self._close(call)

    def answer_all(self) -> CutRequests:
        """Answer the requests that have no answer when a stop ends.

        The status tells callers whether a target may have seen the request.

        Returns:
            The requests that were answered.
        """
        calls = list(self._calls)
        for call in calls:
            self._give_up(call, Reason.DAEMON_STOPPING)
        self._metrics.count('requests_cut', len(calls))
        return CutRequests.of(
            [call.arrived_at for call in calls], self._timers.now()
        )

    def _is_refused(self, call: Call) -> bool:
        """Refuse poison requests, and those that find no capacity here."""
        now = call.arrived_at
        if not self.stop_guard.takes(
            now,
            is_local=call.is_nested,
            expires_at=call.expires_at,
            service_time_s=call.route.latency_objective_s,
        ):
            self._refusals.refuse_early(
                call.request, Reason.DAEMON_STOPPING, call.request_id
            )
            return True
        if self._crash_records.is_blocked(call.digest, now):
            self._refusals.refuse_early(
                call.request, Reason.QUARANTINED, call.request_id
            )
            return True
        if call.is_nested or self._downstream_load.admits(
            call.route.name, call.rank - 1, now, self._rng.random()
        ):
            return False
        self._refusals.refuse_early(
            call.request,
            Reason.SHED_AT_ENTRY,
            call.request_id,
            route=call.route.name,
            rank=call.rank,
            load=round(self._downstream_load.load(call.route.name, now), 2),
        )
        return True

    def _refuse_quota(self, call: Call, wait_s: float) -> None:
        if call.is_done:
            return
        objective_s = call.route.latency_objective_s
        self._refusals.refuse_early(
            call.request,
            Reason.QUOTA_EXCEEDED,
            call.request_id,
            retry_after.after_quota_refusal(
                wait_s, objective_s, self._rng.random()
            ),
            workspace=call.workspace,
            **self._quota.describe(call.workspace),
        )
        self._close(call)

    def _begin(self, call: Call) -> None:
        if call.is_done:
            return
        table = self._table
        assert table is not None
        call.service = table.pick_service(call.route)
        self._budget.record_first_attempt(call.service)
        call.deadline = self._timers.at(
            call.expires_at + _ANSWER_GRACE_S,
            lambda: self._give_up(call, Reason.DEADLINE_EXPIRED),
        )
        self._attempt(call)

    def _attempt(self, call: Call) -> None:
        now = self._timers.now()
        if not self.stop_guard.may_send(
            now,
            expires_at=call.expires_at,
            service_time_s=call.route.latency_objective_s,
        ):
            self._refuse(call, Reason.DAEMON_STOPPING)
            return
        choice = self._chooser.choose(
            call.service,
            now=now,
            allows_full_target=call.is_nested or call.route.priority == 0,
            tried=call.tried,
        )
        if choice.host is None:
            reason = call.last_reason if call.tried else choice.reason
            self._refuse(call, reason)
            return
        call.host = choice.host
        call.attempt += 1
        attempt = call.attempt

        def reply(outcome: Outcome) -> None:
            self._on_outcome(call, attempt, outcome)

        view = self._chooser.views[choice.host]
        target_id = view.record.target_id
        if choice.host == self._host:
            call.link = None
            job = self._gate.submit(self._frame(call, 0, target_id), reply)
            if call.attempt == attempt and not call.is_done:
                call.job = job
            return
        link = self._link_of(choice.host)
        if link is None:
            reply(Outcome(0, Verdict.NOT_RUN, Reason.LINK_NOT_SENT))
            return
        call.job = None
        call.link = link
        call.correlation = link.next_correlation()
        link.dispatch(self._frame(call, call.correlation, target_id), reply)

    def _frame(self, call: Call, correlation: int, target_id: str) -> Dispatch:
        route = call.route
        fraction = (
            _NESTED_MAX_WAIT_FRACTION if call.is_nested else _MAX_WAIT_FRACTION
        )
        now = self._timers.now()
        max_queue_wait_s = min(
            _MAX_QUEUE_WAIT_S, route.latency_objective_s * fraction
        )
        max_queue_wait_s -= now - call.arrived_at
        expires_at = self.stop_guard.limit(call.expires_at)
        return Dispatch(
            correlation,
            target_id,
            call.rank,
            route.is_idempotent,
            max(1, int((expires_at - now) * 1000)),
            max(0, int(max_queue_wait_s * 1000)),
            call.head,
            call.request.body,
            call.request_id,
            call.digest,
        )

    def _on_outcome(self, call: Call, attempt: int, outcome: Outcome) -> None:
        if call.attempt != attempt or call.is_done:
            return
        now = self._timers.now()
        view = self._chooser.views.get(call.host)
        if view is not None and outcome.limit:
            view.running = outcome.running
            view.waiting = outcome.waiting
            view.limit = outcome.limit
            view.reported_at = now
            view.record_rate_limit(outcome.rate_limit)
        if outcome.reason is Reason.TARGET_RATE_LIMITED:
            wait_s = outcome.wait_ms / 1000
            self._chooser.avoid(
                call.host, now + min(wait_s, _MAX_RATE_LIMIT_PAUSE_S)
            )
            call.rate_wait_s = min(call.rate_wait_s, wait_s)
        elif outcome.limit:
            self._propagate_load(call, outcome.peak_load, now)
        self._chooser.finish(call.host, outcome.reason, now)
        if outcome.verdict is Verdict.RAN:
            self._answer(call, outcome, now)
            return
        call.last_reason = outcome.reason
        call.sends += outcome.was_sent
        if outcome.verdict is Verdict.MAY_HAVE_RUN:
            call.may_have_run = True
        if self._log.may_write('request_attempt_failed', REFUSAL_LINES_PER_S):
            self._log.decision(
                'request_attempt_failed',
                request_id=call.request_id.decode('latin-1'),
                route=call.route.name,
                service=call.service,
                target_host=call.host,
                attempt=attempt,
                verdict=outcome.verdict.value,
                reason=outcome.reason.value,
                running=outcome.running,
                waiting=outcome.waiting,
                limit=outcome.limit,
                age_ms=int((now - call.arrived_at) * 1000),
            )
        if self._may_retry(call, outcome, now):
            call.tried.add(call.host)
            self._metrics.count('retries')
            self._attempt(call)
            return
        self._refuse(call, outcome.reason)

    def _propagate_load(self, call: Call, load: float, now: float) -> None:
        """Propagate the load towards the entry of the call chain."""
        if not call.is_nested:
            self._downstream_load.report(call.route.name, load, now)
            return
        parent = self._gate.find(call.parent) if call.parent else None
        if parent is not None and load > parent.peak_load:
            parent.peak_load = load

    def _may_retry(self, call: Call, outcome: Outcome, now: float) -> bool:
        if now >= call.expires_at or not call.request.connection.is_open:
            return False
        if call.may_have_run and not call.route.is_idempotent:
            return False
        if len(call.tried) + 1 >= _MAX_HOSTS_TRIED:
            return False
        if outcome.reason is Reason.EVICTED and not call.is_nested:
            return False
        was_received = (
            outcome.was_sent or outcome.verdict is not Verdict.NOT_RUN
        )
        if not was_received:
            return True
        if call.sends >= call.route.max_attempts:
            return False
        return self._budget.take(call.service)

    def _answer(self, call: Call, outcome: Outcome, now: float) -> None:
        call.request.connection.respond(
            call.request, outcome.head, outcome.body
        )
        self._metrics.serve(call.route.name, now - call.arrived_at)
        if self._crash_records:
            self._crash_records.clear(call.digest)
        if self._log.may_write('request_served', ROUTINE_LINES_PER_S):
            self._log.decision(
                'request_served',
                budget=ROUTINE_LINES_PER_S,
                request_id=call.request_id.decode('latin-1'),
                route=call.route.name,
                service=call.service,
                target_host=call.host,
                status=outcome.status,
                attempts=call.attempt,
                latency_ms=int((now - call.arrived_at) * 1000),
            )
        self._close(call)

    def _refuse(self, call: Call, reason: Reason) -> None:
        self._refusals.refuse(call, reason, self._timers.now())
        self._close(call)

    def _give_up(self, call: Call, reason: Reason) -> None:
        """Answer a request that has no outcome yet."""
        if call.is_done:
            return
        if call.link is not None or (call.job and call.job.has_started):
            call.may_have_run = True
        self._abandon_attempt(call)
        self._refuse(call, reason)

    def _abandon_attempt(self, call: Call) -> None:
        """Cancel the current attempt."""
        job, call.job = call.job, None
        link, call.link = call.link, None
        if job is not None:
            self._gate.cancel(job)
        elif link is not None:
            link.cancel(call.correlation)
        if call.host:
            self._chooser.finish(
                call.host, Reason.CANCELLED, self._timers.now()
            )

    def _close(self, call: Call) -> None:
        if call.is_done:
            return
        call.is_done = True
        call.job = None
        call.link = None
        call.request.context = None
        if call.deadline is not None:
            call.deadline.cancel()
        self._calls.discard(call)
