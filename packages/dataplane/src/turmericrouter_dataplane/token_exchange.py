"""Gets tokens of workspaces from the hosts that own them."""

from collections.abc import Callable
import dataclasses

from turmericrouter_dataplane.frames import TokenGrant
from turmericrouter_dataplane.frames import TokenRequest
from turmericrouter_dataplane.links import Link
from turmericrouter_dataplane.policy.workspace_quota import WorkspaceQuota
from turmericrouter_dataplane.timers import TimerService

# A request waits this long for its owner, then the own reserve decides.
_WAIT_S = 0.15
# Tokens are asked ahead for the requests of this span, and expire after it.
_AHEAD_S = 0.25

# Told whether a token was taken, and if not when to come back, in seconds.
Resume = Callable[[bool, float], None]


@dataclasses.dataclass(slots=True)
class _Flow:
    """Requests of one workspace that begin at this host."""

    window_began: float
    arrivals: int = 0
    ahead: int = 0
    prepaid: int = 0
    prepaid_until: float = 0.0

    def count(self, now: float) -> None:
        """Count an arrival, and foresee those of the next span."""
        if now - self.window_began >= _AHEAD_S:
            # An empty span in between foretells no more than one request.
            is_recent = now - self.window_began < 2 * _AHEAD_S
            self.ahead = self.arrivals if is_recent else 0
            self.arrivals = 0
            self.window_began = now
        self.arrivals += 1

    def take_prepaid(self, now: float) -> bool:
        """Take a token that was asked ahead."""
        if not self.prepaid or now > self.prepaid_until:
            self.prepaid = 0
            return False
        self.prepaid -= 1
        return True


@dataclasses.dataclass(frozen=True, slots=True)
class _Waiter:
    workspace: str
    resume: Resume
    link: Link


class TokenExchange:
    """Takes a token for each request of a limited workspace.

    Args:
        quota: Buckets and owners of workspaces.
        timers: Timer service.
        link_of: Returns the open link to a host.
        host: Name of this host.
    """

    def __init__(
        self,
        quota: WorkspaceQuota,
        timers: TimerService,
        link_of: Callable[[str], Link | None],
        host: str,
    ) -> None:
        self._quota = quota
        self._timers = timers
        self._link_of = link_of
        self._host = host
        self._flows: dict[str, _Flow] = {}
        self._waiting: dict[int, _Waiter] = {}
        self._last_correlation = 0

    def take(self, workspace: str, resume: Resume) -> None:
        """Take a token, from this host or from the owner.

        Args:
            workspace: Workspace of the request.
            resume: Called once, now or within `_WAIT_S`.
        """
        if not self._quota.is_limited(workspace):
            resume(True, 0.0)
            return
        now = self._timers.now()
        flow = self._flows.get(workspace)
        if flow is None:
            flow = self._flows[workspace] = _Flow(now)
        flow.count(now)
        owner = self._quota.owner(workspace)
        if owner == self._host:
            grant = self._quota.grant(workspace, 0, now)
            resume(grant.tokens > 0, grant.wait_s)
            return
        if flow.take_prepaid(now):
            resume(True, 0.0)
            return
        link = self._link_of(owner)
        if link is None:
            self._use_reserve(workspace, resume, now)
            return
        self._ask(_Waiter(workspace, resume, link), flow.ahead, now)

    def settle(self, grant: TokenGrant) -> None:
        """Take in the answer of an owner."""
        waiter = self._waiting.pop(grant.correlation, None)
        if waiter is None:
            return
        if grant.tokens > 1:
            flow = self._flows[waiter.workspace]
            flow.prepaid = grant.tokens - 1
            flow.prepaid_until = self._timers.now() + _AHEAD_S
        waiter.resume(grant.tokens > 0, grant.wait_ms / 1000)

    def _ask(self, waiter: _Waiter, ahead: int, now: float) -> None:
        self._last_correlation += 1
        correlation = self._last_correlation
        self._waiting[correlation] = waiter
        waiter.link.send(TokenRequest(correlation, waiter.workspace, ahead))
        self._timers.at(now + _WAIT_S, lambda: self._run_out(correlation))

    def _run_out(self, correlation: int) -> None:
        waiter = self._waiting.pop(correlation, None)
        if waiter is not None:
            now = self._timers.now()
            waiter.link.probe(now)
            self._use_reserve(waiter.workspace, waiter.resume, now)

    def _use_reserve(self, workspace: str, resume: Resume, now: float) -> None:
        resume(self._quota.take_fallback_token(workspace, now), 0.0)
