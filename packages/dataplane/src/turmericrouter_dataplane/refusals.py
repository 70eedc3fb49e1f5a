"""Error answers of the daemon for requests that it refuses."""

import random
from typing import Any

from turmericrouter_core.verdict import Reason
from turmericrouter_dataplane.call import Call
from turmericrouter_dataplane.decision_log import DecisionLog
from turmericrouter_dataplane.decision_log import REFUSAL_LINES_PER_S
from turmericrouter_dataplane.http_server import HttpRequest
from turmericrouter_dataplane.http_server import status_line
from turmericrouter_dataplane.metrics import Metrics
from turmericrouter_dataplane.policy import retry_after

_EARLY_STATUS = {
    Reason.KEY_MISSING: 401,
    Reason.KEY_UNKNOWN: 401,
    Reason.ROUTE_UNKNOWN: 404,
    Reason.QUOTA_EXCEEDED: 429,
}


class Refusals:
    """Answers, counts and logs refused requests.

    Args:
        log: Decision log.
        metrics: Counters.
        rng: Source of jitter.
    """

    def __init__(
        self, log: DecisionLog, metrics: Metrics, rng: random.Random
    ) -> None:
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self.config_version = -1

    def refuse_early(
        self,
        request: HttpRequest,
        reason: Reason,
        request_id: bytes = b'',
        wait_s: float = 0.0,
        **inputs: Any,
    ) -> None:
        """Refuse a request that was sent to no target.

        Args:
            request: The request.
            reason: Why it is refused.
            request_id: Id of the caller's attempt.
            wait_s: Retry-After in seconds; 0 for the one after overload.
            inputs: Log fields that explain the refusal.
        """
        status = _EARLY_STATUS.get(reason, 503)
        self._respond(request, status, reason, wait_s)
        self._metrics.refuse('', reason.value)
        if self._log.may_write('request_refused', REFUSAL_LINES_PER_S):
            self._log.decision(
                'request_refused',
                request_id=request_id.decode('latin-1'),
                path=request.target.decode('latin-1'),
                status=status,
                reason=reason.value,
                config_version=self.config_version,
                **inputs,
            )

    def refuse(self, call: Call, reason: Reason, now: float) -> None:
        """Answer a request whose attempts have failed.

        Args:
            call: The request; its verdict decides the status.
            reason: Why the last attempt failed.
            now: Monotonic seconds.
        """
        if not call.may_have_run:
            status = 503
        elif reason is Reason.DEADLINE_EXPIRED:
            status = 504
        else:
            status = 502
        wait_s = 0.0
        if reason is Reason.TARGET_RATE_LIMITED:
            wait_s = retry_after.after_overload(
                self._rng.random(), call.rate_wait_s
            )
        self._respond(call.request, status, reason, wait_s)
        self._metrics.refuse(call.route.name, reason.value)
        if self._log.may_write('request_refused', REFUSAL_LINES_PER_S):
            self._log.decision(
                'request_refused',
                request_id=call.request_id.decode('latin-1'),
                route=call.route.name,
                workspace=call.workspace,
                service=call.service,
                target_host=call.host,
                status=status,
                reason=reason.value,
                attempts=call.attempt,
                rank=call.rank,
                age_ms=int((now - call.arrived_at) * 1000),
                config_version=self.config_version,
            )

    def _respond(
        self,
        request: HttpRequest,
        status: int,
        reason: Reason,
        wait_s: float = 0.0,
    ) -> None:
        head = status_line(status) + b'Content-Type: text/plain\r\n'
        if status in (429, 503):
            if not wait_s:
                wait_s = retry_after.after_overload(self._rng.random())
            head += b'Retry-After: %.2f\r\n' % wait_s
        request.connection.respond(request, head, reason.value.encode())
