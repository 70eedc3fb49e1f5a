"""What the target of this host says of itself in its answers."""

from collections.abc import Callable

from turmericrouter_dataplane.decision_log import DecisionLog
from turmericrouter_dataplane.header_names import HeaderNames
from turmericrouter_dataplane.http_client import HttpResponse
from turmericrouter_dataplane.local_target import LocalTarget
from turmericrouter_dataplane.policy.rate_limit import RateLimit
from turmericrouter_dataplane.timers import TimerService

_LEAVING = b'1'


class TargetNotices:
    """Keeps the rate limit of the target, and notices that it leaves.

    Args:
        headers: Header names of the deployment.
        timers: Timer service.
        log: Decision log.
    """

    def __init__(
        self, headers: HeaderNames, timers: TimerService, log: DecisionLog
    ) -> None:
        self._rate_limit_header = headers.rate_limit.lower()
        self._leaving_header = headers.leaving.lower()
        self._signature_header = headers.signature.lower()
        self._timers = timers
        self._log = log
        self._target: LocalTarget | None = None
        self._rate_limit = RateLimit()
        # Start of a target and the rate that a peer remembers of it.
        self._remembered: tuple[tuple[str, int], float] | None = None
        # Called with the target once its answers say that it leaves.
        self.on_leaving: Callable[[LocalTarget], None] = lambda target: None

    @property
    def rate_limit(self) -> RateLimit:
        """Return the limit that the present target has named."""
        return self._rate_limit

    def set_target(self, target: LocalTarget) -> None:
        """Apply an announcement; a new start has named nothing yet."""
        before, self._target = self._target, target
        if before is None or before.start != target.start:
            self._rate_limit = RateLimit()
            self._restore()

    def remember_rate(
        self, target_id: str, started_at_ms: int, rate_per_s: float
    ) -> None:
        """Apply a rate that the target had named to a peer.

        This daemon may have restarted since, and have no announcement of the
        target yet.

        Args:
            target_id: Id of the target.
            started_at_ms: Its start.
            rate_per_s: Requests a second.
        """
        self._remembered = (target_id, started_at_ms), rate_per_s
        self._restore()

    def read(
        self, answer: HttpResponse, target: LocalTarget, sent_at: float
    ) -> None:
        """Read the headers of an answer.

        Args:
            answer: A complete answer.
            target: The target that the request was sent to.
            sent_at: When it was sent, in monotonic seconds.
        """
        current = self._target
        if current is None or current.start != target.start:
            return
        self._read_rate(answer, target, sent_at)
        leaving = answer.headers.get(self._leaving_header, b'')
        if leaving.strip() == _LEAVING:
            self.on_leaving(current)

    def _read_rate(
        self, answer: HttpResponse, target: LocalTarget, sent_at: float
    ) -> None:
        value = answer.headers.get(self._rate_limit_header)
        is_signed = self._signature_header in answer.headers
        if value is None and not (answer.is_attributed and is_signed):
            # A refusal may name less than an answer, and a late copy of an
            # earlier answer says nothing of the present.
            return
        limit = self._rate_limit
        was_limited = limit.rate_per_s is not None
        limit.observe_answer(value, sent_at=sent_at, now=self._timers.now())
        if was_limited is (limit.rate_per_s is None):
            self._log.event(
                'target_rate_limited',
                target=target.target_id,
                rate_per_s=limit.rate_per_s,
            )

    def _restore(self) -> None:
        if self._target is None or self._remembered is None:
            return
        start, rate_per_s = self._remembered
        if start == self._target.start:
            self._rate_limit.restore(rate_per_s, self._timers.now())
