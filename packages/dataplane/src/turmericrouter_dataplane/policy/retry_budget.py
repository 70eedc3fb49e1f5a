"""Bounds what the fleet sends to a service beyond first attempts."""

# Part of the allowed ratio that one level of a call chain may use: a call
# made by a repeated run counts as a repeat at the service it calls, so the
# levels of a chain add up.
_LEVEL_SHARE = 0.3
# Part of the fleet's slack that is handed out; hosts that start anew begin
# with a full share again.
_SLACK_SHARE = 0.4


class RetryBudget:
    """Repeats by service, paid for by first attempts from this host.

    Args:
        ratio: Repeats for each request that the fleet may make.
        slack: Repeats in a window that the fleet may make besides.
    """

    def __init__(self, *, ratio: float, slack: float) -> None:
        self.set_limits(ratio=ratio, slack=slack)
        self._hosts = 1
        self._balances: dict[str, float] = {}

    def set_limits(self, *, ratio: float, slack: float) -> None:
        """Set what the whole fleet may repeat."""
        self._ratio = ratio * _LEVEL_SHARE
        self._slack = slack * _SLACK_SHARE

    def set_hosts(self, hosts: int) -> None:
        """Divide the slack between this number of hosts."""
        self._hosts = max(1, hosts)

    def first_attempt(self, service: str) -> None:
        """Count a request that is sent for the first time."""
        balance = self._balances.get(service, self._cap())
        self._balances[service] = min(self._cap(), balance + self._ratio)

    def take(self, service: str) -> bool:
        """Take one repeat, and return whether there was one."""
        balance = self._balances.get(service, 0.0)
        if balance < 1.0:
            return False
        self._balances[service] = balance - 1.0
        return True

    def _cap(self) -> float:
        return max(2.0, self._slack / self._hosts)
