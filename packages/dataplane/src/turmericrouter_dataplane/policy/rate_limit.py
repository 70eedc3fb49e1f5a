"""Limits how many requests a second a target gets from all hosts together.

A target in need names the rate in its answers, for as long as it holds. All
requests to a target pass the gate of its host, whichever host they come from.
So one bucket there holds the whole rate, and no host needs a share of it.
"""

import math
import re

# Reported for a target that has named no limit; part of the frames.
NO_RATE_LIMIT = -1.0
# A target that takes nothing still gets this rate, as only its answers tell
# that the limit has ended.
_MIN_RATE_PER_S = 0.5
# Requests that may be sent at once after a pause, as seconds of the rate.
_BURST_S = 0.25
_MIN_BURST = 1.0
# Weight of a new answer in the mean service time.
_SERVICE_TIME_WEIGHT = 0.1
_INITIAL_SERVICE_TIME_S = 0.1
_MAX_WAIT_S = 30.0
# Longer texts are no rate; a plain decimal number without an exponent is.
_match_rate = re.compile(
    rb'[0-9]{1,20}(\.[0-9]{0,20})?|\.[0-9]{1,20}'
).fullmatch


def parse_rate(value: bytes) -> float | None:
    """Return the rate in requests a second, None if the text is no rate.

    Args:
        value: Value of the header.
    """
    text = value.strip()
    return float(text) if _match_rate(text) else None


class RateLimit:
    """The limit that the target of this host has named."""

    def __init__(self) -> None:
        self._rate_per_s: float | None = None
        self._named_at = -math.inf
        self._tokens = 0.0
        self._refilled_at = 0.0
        self._service_time_s = _INITIAL_SERVICE_TIME_S
        self._has_answer = False

    @property
    def rate_per_s(self) -> float | None:
        """Return the rate that is granted, None without a limit."""
        return self._rate_per_s

    @property
    def reported_rate_per_s(self) -> float:
        """Return the rate as it is told to peers, or `NO_RATE_LIMIT`."""
        return NO_RATE_LIMIT if self._rate_per_s is None else self._rate_per_s

    def observe_answer(
        self, value: bytes | None, *, sent_at: float, now: float
    ) -> None:
        """Handle what an answer of the target names.

        A value that is no rate changes nothing. An answer that names no limit
        ends one only if its request was sent after the limit was named, as
        answers overtake one another.

        Args:
            value: Value of the header, None if the answer has none.
            sent_at: When the request was sent, in monotonic seconds.
            now: Monotonic seconds.
        """
        self._has_answer = True
        self._service_time_s += _SERVICE_TIME_WEIGHT * (
            now - sent_at - self._service_time_s
        )
        if value is None:
            if sent_at > self._named_at:
                self._rate_per_s = None
            return
        rate_per_s = parse_rate(value)
        if rate_per_s is not None:
            self._named_at = now
            self._set_rate(rate_per_s, now)

    def restore(self, rate_per_s: float, now: float) -> None:
        """Use the rate that a peer remembers, until the target answers.

        Args:
            rate_per_s: Requests a second.
            now: Monotonic seconds.
        """
        if not self._has_answer and math.isfinite(rate_per_s):
            self._set_rate(rate_per_s, now)

    def take(self, now: float) -> bool:
        """Return whether a request may be sent now, and count it."""
        if self._rate_per_s is None:
            return True
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def wait_s(self, ahead: int, now: float) -> float:
        """Return the seconds until a request may be sent.

        Args:
            ahead: Requests that go before it.
            now: Monotonic seconds.
        """
        if self._rate_per_s is None:
            return 0.0
        self._refill(now)
        missing = ahead + 1 - self._tokens
        return min(_MAX_WAIT_S, max(0.0, missing / self._rate_per_s))

    def max_running(self, slots: int) -> int:
        """Return how many requests run at once at the full rate.

        Peers divide the requests at the gate by it, so that a limited target
        counts as loaded although most of its slots are free.

        Args:
            slots: Requests that the gate lets run at once.
        """
        if self._rate_per_s is None:
            return slots
        usual = math.ceil(self._rate_per_s * self._service_time_s)
        return min(slots, max(1, usual))

    def _set_rate(self, rate_per_s: float, now: float) -> None:
        if self._rate_per_s is None:
            self._tokens = _MIN_BURST
            self._refilled_at = now
        else:
            self._refill(now)
        self._rate_per_s = max(_MIN_RATE_PER_S, rate_per_s)
        self._tokens = min(self._tokens, self._burst)

    @property
    def _burst(self) -> float:
        assert self._rate_per_s is not None
        return max(_MIN_BURST, self._rate_per_s * _BURST_S)

    def _refill(self, now: float) -> None:
        assert self._rate_per_s is not None
        gained = (now - self._refilled_at) * self._rate_per_s
        self._tokens = min(self._burst, self._tokens + gained)
        self._refilled_at = now
