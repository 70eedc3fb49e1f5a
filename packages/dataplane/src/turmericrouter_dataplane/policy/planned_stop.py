"""Decides which requests are still sent to a target during a planned stop."""

from collections.abc import Collection
import dataclasses
import math
from typing import Self

from turmericrouter_dataplane.intake import Intake

# Callers are routed to the daemon until two readiness checks have failed.
_NOTICE_S = 2.6
# Largest part of the time for answers that is spent on the notice, so that the
# last requests that are taken can be served.
_NOTICE_FRACTION = 0.6
# Time kept for closing connections before the process is killed, and its part
# of a short stop.
_CLOSE_MARGIN_S = 1.0
_CLOSE_FRACTION = 1 / 6
# A target answers at the time limit that it gets. The answer then has this
# part of the time for closing to pass through the gate and the link.
_ANSWER_FRACTION = 0.25
# Requests that were sent before callers could notice the end are still refused
# for this time, in a short stop for this part of the time for closing.
_LATE_REFUSAL_S = 0.1
_LATE_REFUSAL_FRACTION = 0.25
# Slow callers and peers may read their answers until this part of the time for
# closing is left; the process needs it to exit.
_EXIT_FRACTION = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class StopTimes:
    """Times of a planned stop, in monotonic seconds.

    Args:
        started_at: The signal arrived.
        notice_ends_at: Callers and peers have noticed.
        answers_due_at: Targets have answered what they got since the signal.
        ends_at: Connections are closed.
        late_refusal_s: Time for which requests are still refused then, in
            seconds.
        sent_by: Answers that callers and peers have not read are given up.
    """

    started_at: float
    notice_ends_at: float
    answers_due_at: float
    ends_at: float
    late_refusal_s: float
    sent_by: float

    @classmethod
    def plan(cls, started_at: float, stop_within_s: float) -> Self:
        """Return the times of a stop.

        Args:
            started_at: Monotonic seconds.
            stop_within_s: Time until the process must have ended.
        """
        close_s = min(_CLOSE_MARGIN_S, stop_within_s * _CLOSE_FRACTION)
        serve_s = stop_within_s - close_s
        answer_s = serve_s - close_s * _ANSWER_FRACTION
        notice_s = min(_NOTICE_S, answer_s * _NOTICE_FRACTION)
        return cls(
            started_at=started_at,
            notice_ends_at=started_at + notice_s,
            answers_due_at=started_at + answer_s,
            ends_at=started_at + serve_s,
            late_refusal_s=min(
                _LATE_REFUSAL_S, close_s * _LATE_REFUSAL_FRACTION
            ),
            sent_by=started_at + stop_within_s - close_s * _EXIT_FRACTION,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class CutRequests:
    """Requests that had no answer when a stop ended.

    Args:
        count: Number of requests.
        oldest_s: Age of the oldest one, 0 if there is none.
    """

    count: int
    oldest_s: float

    @classmethod
    def of(cls, arrived_at: Collection[float], now: float) -> Self:
        """Summarize requests.

        Args:
            arrived_at: When each request arrived, in monotonic seconds.
            now: Monotonic seconds.
        """
        oldest_s = now - min(arrived_at, default=now)
        return cls(len(arrived_at), round(oldest_s, 2))


class StopGuard:
    """Decides which requests are taken and sent; without a stop, all are."""

    def __init__(self) -> None:
        self._intake = Intake.OPEN
        self._answers_due_at = math.inf
        self._refused = 0

    @property
    def refused(self) -> int:
        """Return the number of requests that were refused."""
        return self._refused

    def begin(self, times: StopTimes) -> None:
        """Refuse from now on what cannot be served before the stop ends."""
        self._answers_due_at = times.answers_due_at

    def end_notice(self) -> None:
        """Take only local requests from now on.

        Requests that run at the local target still need their nested calls.
        """
        self._intake = Intake.LOCAL_ONLY

    def close(self) -> None:
        """Take no requests from now on."""
        self._intake = Intake.CLOSED

    def takes(
        self,
        now: float,
        *,
        is_local: bool,
        expires_at: float,
        service_time_s: float,
    ) -> bool:
        """Return whether a new request is taken, and count it if not.

        Args:
            now: Monotonic seconds.
            is_local: Whether it is a nested call or, at the gate, from this
                host.
            expires_at: When its answer is due, in monotonic seconds.
            service_time_s: Time that serving it takes at most, usually.
        """
        is_taken = self._intake.takes(is_local) and self._is_in_time(
            now, expires_at, service_time_s
        )
        self._refused += not is_taken
        return is_taken

    def may_send(
        self, now: float, *, expires_at: float, service_time_s: float
    ) -> bool:
        """Return whether a taken request is sent, and count it if not.

        It may have waited since it was taken.

        Args:
            now: Monotonic seconds.
            expires_at: When its answer is due, in monotonic seconds.
            service_time_s: Time that serving it takes at most, usually.
        """
        return self.takes(
            now,
            is_local=True,
            expires_at=expires_at,
            service_time_s=service_time_s,
        )

    def limit(self, expires_at: float) -> float:
        """Return when a target has to answer, in monotonic seconds.

        Args:
            expires_at: When the answer is due without a stop.
        """
        return min(expires_at, self._answers_due_at)

    def _is_in_time(
        self, now: float, expires_at: float, service_time_s: float
    ) -> bool:
        """Return whether the stop leaves the time that a request needs.

        A target that stops halfway has run a request that must not run again.
        """
        remaining_s = self._answers_due_at - now
        return remaining_s > 0 and remaining_s >= min(
            service_time_s, expires_at - now
        )
