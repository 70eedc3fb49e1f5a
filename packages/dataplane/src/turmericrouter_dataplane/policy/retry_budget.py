"""Bounds the retries that the fleet sends to a service."""

# Fraction of the allowed ratio that one level of a call chain may use. A call
# made by a retried request counts as a retry at the service it calls, so the
# retries of all levels add up.
_LEVEL_FRACTION = 0.3
# Fraction of the fleet's slack that is distributed to hosts. The rest covers
# restarted hosts, which begin with a full share again.
_SLACK_FRACTION = 0.4


class RetryBudget:
    """Keeps a retry balance by service, earned by first attempts.

    Args:
        ratio: Retries the fleet may send for each first attempt.
        slack: Retries in a window that the fleet may send in addition.
    """

    def __init__(self, *, ratio: float, slack: float) -> None:
        self.set_limits(ratio=ratio, slack=slack)
        self._host_count = 1
        self._balances: dict[str, float] = {}

    def set_limits(self, *, ratio: float, slack: float) -> None:
        """Set the retry limits of the whole fleet."""
        self._ratio = ratio * _LEVEL_FRACTION
        self._slack = slack * _SLACK_FRACTION

    def set_host_count(self, host_count: int) -> None:
        """Divide the slack between the hosts of the fleet."""
        self._host_count = max(1, host_count)

    def record_first_attempt(self, service: str) -> None:
        """Add to the balance of a service for a first attempt."""
        balance = self._balances.get(service, self._cap())
        self._balances[service] = min(self._cap(), balance + self._ratio)

    def take(self, service: str) -> bool:
        """Take one retry from the balance.

        Returns:
            Whether the balance allowed it.
        """
        balance = self._balances.get(service, 0.0)
        if balance < 1.0:
            return False
        self._balances[service] = balance - 1.0
        return True

    def _cap(self) -> float:
        return max(2.0, self._slack / self._host_count)
