"""Requests quota tokens from slice holders, and grants tokens as holder."""

import asyncio
from collections.abc import Coroutine
import contextvars
import dataclasses
import math
from typing import Any

from turmericrouter_core.config import ApplyResult
from turmericrouter_core.errors import LinkError
from turmericrouter_core.messages import Hello
from turmericrouter_core.messages import RequestTokens
from turmericrouter_core.messages import ReturnTokens
from turmericrouter_core.messages import TokensGranted
from turmericrouter_core.quota import DemandRate
from turmericrouter_core.quota import TokenBatch
from turmericrouter_core.quota import TokenPool
from turmericrouter_core.verdict import Reason
from turmericrouter_core.verdict import Refusal
from turmericrouter_daemon.config_sync import ConfigSync
from turmericrouter_daemon.peer import PeerPool
from turmericrouter_daemon.quota_division import QuotaDivisions
from turmericrouter_daemon.quota_holder import HeldSlices
from turmericrouter_daemon.quota_holder import MAX_GRANT
from turmericrouter_daemon.roster_service import RosterService
from turmericrouter_daemon.runtime import Runtime

# Slices that are queried one after the other for one shared token request.
_MAX_TOKEN_REQUESTS = 16
_MAINTENANCE_DELAY_S = 0.02
# Tokens are returned when this fraction of their lifetime remains.
_RETURN_LIFETIME_FRACTION = 0.3
# With a shorter window, two requests close together count as high demand and
# tokens are requested that are never spent.
_DEMAND_WINDOW_S = 1.0
# Limits the entry's capacity that waiting requests of a workspace take from
# others. With 32, all requests of a workspace at ten times its rate waited.
_MAX_WAITING = 4
_UNREACHABLE_RETRY_S = 0.25

_taken: contextvars.ContextVar[TokenBatch | None] = contextvars.ContextVar(
    'taken_token', default=None
)


@dataclasses.dataclass(slots=True)
class _WorkspaceDemand:
    """Tokens of one workspace at this entry, and its demand for them."""

    pool: TokenPool = dataclasses.field(default_factory=TokenPool)
    rate: DemandRate = dataclasses.field(
        default_factory=lambda: DemandRate(_DEMAND_WINDOW_S)
    )
    waiting: int = 0
    # Monotonic second until which a slice is not queried, by index.
    retry_at: dict[int, float] = dataclasses.field(default_factory=dict)
    unreachable: set[int] = dataclasses.field(default_factory=set)
    token_request: 'asyncio.Task[int] | None' = None


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaUsage:
    """Quota of a workspace as recorded by this daemon.

    Args:
        workspace: Name of the workspace.
        rate_per_s: Rate over the whole fleet.
        burst: Burst over the whole fleet.
        slices_held: Slices that this daemon holds.
        tokens_held: Tokens in these slices.
        tokens_pooled: Unspent tokens granted to the entry of this daemon.
    """

    workspace: str
    rate_per_s: float
    burst: float
    slices_held: int
    tokens_held: float
    tokens_pooled: int


class QuotaService:
    """Quota tokens of workspaces, for the entry and as slice holder.

    Args:
        runtime: Services of the process.
        config: Current configuration.
        peers: Links to other daemons.
        rosters: Holders of slices.
    """

    def __init__(
        self,
        runtime: Runtime,
        config: ConfigSync,
        peers: PeerPool,
        rosters: RosterService,
    ) -> None:
        self._runtime = runtime
        self._config = config
        self._peers = peers
        self._rosters = rosters
        settings = runtime.settings.quota
        self._lifetime_s = settings.token_lifetime_ms / 1000
        self._timeout_s = settings.draw_timeout_ms / 1000
        self._max_wait_s = settings.max_wait_ms / 1000
        self._divisions = QuotaDivisions(config, runtime.clock, settings)
        self._held_slices = HeldSlices(runtime, self._divisions, rosters)
        self._demands: dict[str, _WorkspaceDemand] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_maintenance_scheduled = False
        config.on_config(self._on_config)

    async def acquire(
        self, workspace: str, deadline: float = math.inf
    ) -> Refusal | None:
        """Take a token, or return why there is none.

        Slices also hold fractions of a token. All may have less than one
        token although the workspace is within its rate, so a request waits
        up to `quota.max_wait_ms` for a token that is due by then.

        Args:
            workspace: Name of the workspace.
            deadline: Monotonic second until which the request may wait.
        """
        demand = self._demands.setdefault(workspace, _WorkspaceDemand())
        now = self._runtime.clock.monotonic()
        demand.rate.add(now)
        if self._take(demand):
            return None
        demand.waiting += 1
        try:
            until = min(deadline, now + self._max_wait_s)
            return await self._wait_token(workspace, demand, until)
        finally:
            demand.waiting -= 1

    async def _wait_token(
        self, workspace: str, demand: _WorkspaceDemand, until: float
    ) -> Refusal | None:
        while True:
            granted = 0
            # Requests that wait at the same time share one token request.
            # It is repeated if later requests have taken its tokens.
            if token_request := self._shared_token_request(workspace, demand):
                granted = await asyncio.shield(token_request)
            if self._take(demand):
                return None
            if granted:
                continue
            now = self._runtime.clock.monotonic()
            due_at = max(now, self._next_token_at(workspace, demand))
            if due_at > until or not self._may_wait(workspace, demand):
                return self._refusal(workspace, demand)
            await asyncio.sleep(due_at - now)
            if self._take(demand):
                return None

    def _next_token_at(
        self, workspace: str, demand: _WorkspaceDemand
    ) -> float:
        """Return the monotonic second at which a slice may be queried."""
        share = self._divisions.share(workspace)
        return min(
            (
                demand.retry_at.get(index, 0.0)
                for index in range(share.count if share else 0)
                if index not in demand.unreachable
            ),
            default=math.inf,
        )

    def _may_wait(self, workspace: str, demand: _WorkspaceDemand) -> bool:
        """Return whether the tokens due suffice for the waiting requests."""
        share = self._divisions.share(workspace)
        if share is None:
            return False
        due = share.count * share.rate_per_s * self._max_wait_s
        return demand.waiting <= min(1 + due, _MAX_WAITING)

    def return_token(self, workspace: str) -> None:
        """Return the token of this task's request, which was not run."""
        batch = _taken.get()
        _taken.set(None)
        demand = self._demands.get(workspace)
        if batch is not None and demand is not None:
            demand.pool.return_token(batch)

    def usage(self) -> list[QuotaUsage]:
        """Return the quota of all workspaces, for operators."""
        return [self._usage(name) for name in self._divisions.names]

    def _usage(self, name: str) -> QuotaUsage:
        now = self._runtime.clock.monotonic()
        quota = self._divisions.workspace(name)
        levels = self._held_slices.available_tokens(name, now)
        demand = self._demands.get(name)
        return QuotaUsage(
            name,
            quota.rate_per_s,
            quota.burst,
            len(levels),
            sum(levels),
            demand.pool.available(now) if demand else 0,
        )

    def handle_token_request(
        self, message: RequestTokens, sender: Hello | None
    ) -> TokensGranted:
        """Grant tokens as holder."""
        return self._held_slices.grant_tokens(message)

    def handle_return(
        self, message: ReturnTokens, sender: Hello | None
    ) -> None:
        """Accept returned unspent tokens as holder."""
        self._held_slices.return_tokens(message)

    def _on_config(self, applied: ApplyResult) -> None:
        self._held_slices.update(self._divisions.apply_change(applied))

    def _take(self, demand: _WorkspaceDemand) -> bool:
        batch = demand.pool.take(self._runtime.clock.monotonic())
        _taken.set(batch)
        return batch is not None

    def _refusal(self, workspace: str, demand: _WorkspaceDemand) -> Refusal:
        share = self._divisions.share(workspace)
        count = share.count if share else 0
        if len(demand.unreachable) >= count:
            return Refusal(Reason.QUOTA_UNREACHABLE, retry_after_s=1.0)
        now = self._runtime.clock.monotonic()
        waits = [
            until - now
            for index, until in demand.retry_at.items()
            if index not in demand.unreachable
        ]
        retry_after_s = max(0.0, min(waits, default=0.0))
        return Refusal(Reason.QUOTA_EXCEEDED, retry_after_s=retry_after_s)

    def _shared_token_request(
        self, workspace: str, demand: _WorkspaceDemand
    ) -> 'asyncio.Task[int] | None':
        """Return the token request in progress or a new one, if any."""
        if demand.token_request is None or demand.token_request.done():
            demand.token_request = None
            if self._open_slices(workspace, demand):
                demand.token_request = asyncio.create_task(
                    self._request_tokens(workspace, demand)
                )
        return demand.token_request

    def _spawn(self, work: Coroutine[Any, Any, None]) -> 'asyncio.Task[None]':
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _open_slices(
        self, workspace: str, demand: _WorkspaceDemand
    ) -> list[int]:
        """Return the slices to query: own domain, own region, the rest.

        Among equally near slices, the least recently queried comes first.
        This keeps their levels similar, so that few slices are full and
        lose the tokens that accrue while others are empty.
        """
        share = self._divisions.share(workspace)
        if share is None:
            return []
        now = self._runtime.clock.monotonic()
        fleet = self._config.state.fleet
        own = self._runtime.settings.host.domain
        region = fleet.regions.get(own)

        def order(index: int) -> tuple[int, float, float]:
            domain = self._divisions.domain(index)
            is_near = region and fleet.regions.get(domain) == region
            distance = 0 if domain == own else 1 if is_near else 2
            asked_at = demand.retry_at.get(index, 0.0)
            return distance, asked_at, self._runtime.rng.random()

        open_slices = [
            index
            for index in range(share.count)
            if demand.retry_at.get(index, 0.0) <= now
        ]
        return sorted(open_slices, key=order)

    async def _request_tokens(
        self, workspace: str, demand: _WorkspaceDemand
    ) -> int:
        """Request tokens for the waiting requests until slices are empty.

        Tokens for the expected demand are requested from the same slices;
        no farther slice is queried for them.

        Returns:
            Tokens granted.
        """
        requested = self._tokens_to_request(workspace, demand)
        granted = 0
        for index in self._open_slices(workspace, demand)[
            :_MAX_TOKEN_REQUESTS
        ]:
            granted += await self._request_from_slice(
                workspace, demand, index, requested - granted
            )
            if granted >= min(requested, max(1, demand.waiting)):
                break
        return granted

    async def _request_from_slice(
        self, workspace: str, demand: _WorkspaceDemand, index: int, count: int
    ) -> int:
        domain = self._divisions.domain(index)
        holder = self._rosters.holder(domain, f'{workspace}/{index}')
        message = RequestTokens(
            workspace, index, count, self._rosters.roster(domain).epoch
        )
        sent_at = self._runtime.clock.monotonic()
        granted = await self._ask(holder, message)
        now = self._runtime.clock.monotonic()
        if granted is None or granted.fenced:
            demand.unreachable.add(index)
            demand.retry_at[index] = now + _UNREACHABLE_RETRY_S
            return 0
        demand.unreachable.discard(index)
        demand.retry_at[index] = now + granted.retry_after_ms / 1000
        if granted.count:
            expires_at = sent_at + granted.lifetime_ms / 1000
            source = (holder, index)
            demand.pool.add(
                TokenBatch(source, granted.grant_id, granted.count, expires_at)
            )
            self._schedule_maintenance()
        return granted.count

    async def _ask(
        self, holder: str, message: RequestTokens
    ) -> TokensGranted | None:
        if not holder:
            return None
        if holder == self._runtime.address:
            return self.handle_token_request(message, None)
        try:
            return await self._peers.request(
                holder, message, TokensGranted, timeout_s=self._timeout_s
            )
        except LinkError:
            return None

    def _tokens_to_request(
        self, workspace: str, demand: _WorkspaceDemand
    ) -> int:
        """Return the tokens to request: the demand of half a lifetime."""
        now = self._runtime.clock.monotonic()
        expected = (
            demand.rate.per_s(now) * self._token_lifetime_s(workspace) / 2
        )
        missing = max(int(expected), demand.waiting) - demand.pool.available(
            now
        )
        return min(max(1, missing), MAX_GRANT)

    def _token_lifetime_s(self, workspace: str) -> float:
        """Return the lifetime of a workspace's tokens."""
        share = self._divisions.share(workspace)
        return share.lifetime_s if share else self._lifetime_s

    def _schedule_maintenance(self) -> None:
        """Schedule maintenance; it is not needed while there are no tokens."""
        if not self._is_maintenance_scheduled:
            self._is_maintenance_scheduled = True
            self._runtime.timers.after(
                _MAINTENANCE_DELAY_S, self._maintain_pools, name='quota'
            )

    def _maintain_pools(self) -> None:
        """Return surplus tokens and request more before they run out."""
        self._is_maintenance_scheduled = False
        now = self._runtime.clock.monotonic()
        for workspace, demand in self._demands.items():
            if demand.pool.is_empty:
                continue
            lifetime_s = self._token_lifetime_s(workspace)
            self._return_unspent(workspace, demand, now, lifetime_s)
            if not demand.pool.is_empty:
                self._schedule_maintenance()
            low = demand.rate.per_s(now) * lifetime_s / 4
            if low >= 1 and demand.pool.available(now) < low:
                self._shared_token_request(workspace, demand)

    def _return_unspent(
        self,
        workspace: str,
        demand: _WorkspaceDemand,
        now: float,
        lifetime_s: float,
    ) -> None:
        before = now + lifetime_s * _RETURN_LIFETIME_FRACTION
        for batch in demand.pool.remove_expiring(now, before=before):
            holder, index = batch.source
            message = ReturnTokens(
                workspace, index, batch.grant_id, batch.remaining
            )
            batch.remaining = 0
            if holder == self._runtime.address:
                self.handle_return(message, None)
            else:
                self._spawn(self._send_return(holder, message))

    async def _send_return(self, holder: str, message: ReturnTokens) -> None:
        try:
            await self._peers.notify(holder, message)
        except LinkError:
            # The tokens expire, and the slice accrues new ones.
            self._runtime.metrics.incr('quota.returns_lost')
