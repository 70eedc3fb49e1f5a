"""Requests tokens of workspaces from the hosts that own them."""

from collections.abc import Callable
import dataclasses

from turmericrouter_dataplane.frames import TokenGrant
from turmericrouter_dataplane.frames import TokenRequest
from turmericrouter_dataplane.links import Link
from turmericrouter_dataplane.policy.workspace_quota import WorkspaceQuota
from turmericrouter_dataplane.timers import TimerService

# A request waits this long for the owner of its workspace; after that, the
# fallback bucket (the even share of this host) decides.
_OWNER_TIMEOUT_S = 0.15
# Tokens are prefetched for the requests of this window, and expire after it.
_PREFETCH_WINDOW_S = 0.25

# Called with whether a token was taken, and otherwise the seconds to wait.
TokenCallback = Callable[[bool, float], None]


@dataclasses.dataclass(slots=True)
class _WorkspaceFlow:
    """Requests of one workspace that enter at this host."""

    window_started_at: float
    arrivals: int = 0
    prefetch: int = 0
    prefetched: int = 0
    prefetched_until: float = 0.0

    def count(self, now: float) -> None:
        """Count an arrival, and predict the arrivals of the next window."""
        if now - self.window_started_at >= _PREFETCH_WINDOW_S:
            # After an empty window, only one request is expected.
            is_recent = now - self.window_started_at < 2 * _PREFETCH_WINDOW_S
            self.prefetch = self.arrivals if is_recent else 0
            self.arrivals = 0
            self.window_started_at = now
        self.arrivals += 1

    def take_prefetched(self, now: float) -> bool:
        """Take a prefetched token."""
        if not self.prefetched or now > self.prefetched_until:
            self.prefetched = 0
            return False
        self.prefetched -= 1
        return True


@dataclasses.dataclass(frozen=True, slots=True)
class _Waiter:
    workspace: str
    resume: TokenCallback
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
        self._flows: dict[str, _WorkspaceFlow] = {}
        self._waiting: dict[int, _Waiter] = {}
        self._last_correlation = 0

    def take(self, workspace: str, resume: TokenCallback) -> None:
        """Take a token, from this host or from the owner.

        Args:
            workspace: Workspace of the request.
            resume: Called once, at once or within `_OWNER_TIMEOUT_S`.
        """
        if not self._quota.is_limited(workspace):
            resume(True, 0.0)
            return
        now = self._timers.now()
        flow = self._flows.get(workspace)
        if flow is None:
            flow = self._flows[workspace] = _WorkspaceFlow(now)
        flow.count(now)
        owner = self._quota.owner(workspace)
        if owner == self._host:
            grant = self._quota.grant(workspace, 0, now)
            resume(grant.tokens > 0, grant.wait_s)
            return
        if flow.take_prefetched(now):
            resume(True, 0.0)
            return
        link = self._link_of(owner)
        if link is None:
            self._use_fallback_bucket(workspace, resume, now)
            return
        self._request_tokens(
            _Waiter(workspace, resume, link), flow.prefetch, now
        )

    def handle_grant(self, grant: TokenGrant) -> None:
        """Handle the answer of an owner."""
        waiter = self._waiting.pop(grant.correlation, None)
        if waiter is None:
            return
        now = self._timers.now()
        if not grant.is_owner:
            self._use_fallback_bucket(waiter.workspace, waiter.resume, now)
            return
        if not grant.tokens:
            self._quota.record_refusal(waiter.workspace, now)
        elif grant.tokens > 1:
            flow = self._flows[waiter.workspace]
            flow.prefetched = grant.tokens - 1
            flow.prefetched_until = now + _PREFETCH_WINDOW_S
        waiter.resume(grant.tokens > 0, grant.wait_ms / 1000)

    def _request_tokens(
        self, waiter: _Waiter, prefetch: int, now: float
    ) -> None:
        self._last_correlation += 1
        correlation = self._last_correlation
        self._waiting[correlation] = waiter
        waiter.link.send(TokenRequest(correlation, waiter.workspace, prefetch))
        self._timers.at(
            now + _OWNER_TIMEOUT_S, lambda: self._time_out(correlation)
        )

    def _time_out(self, correlation: int) -> None:
        waiter = self._waiting.pop(correlation, None)
        if waiter is not None:
            now = self._timers.now()
            waiter.link.probe(now)
            self._use_fallback_bucket(waiter.workspace, waiter.resume, now)

    def _use_fallback_bucket(
        self, workspace: str, resume: TokenCallback, now: float
    ) -> None:
        resume(self._quota.take_fallback_token(workspace, now), 0.0)
