"""Takes tokens for requests, and grants those of the slices held here."""

import asyncio
from collections.abc import Coroutine
import contextvars
import dataclasses
import math
from typing import Any

from turmericrouter_core.config import Applied
from turmericrouter_core.errors import LinkError
from turmericrouter_core.messages import DrawTokens
from turmericrouter_core.messages import Hello
from turmericrouter_core.messages import ReturnTokens
from turmericrouter_core.messages import TokensGranted
from turmericrouter_core.quota import Batch
from turmericrouter_core.quota import DemandRate
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

# Draws that one request waits for at most, one after the other.
_MAX_DRAWS = 16
_UPKEEP_PERIOD_S = 0.02
# Tokens are returned when this share of their lifetime is left.
_RETURN_SHARE = 0.3
# A shorter window takes two requests that happen to be close for a high
# demand, and draws tokens that nobody spends.
_DEMAND_WINDOW_S = 1.0
# Waiting requests of a workspace take places at the entry that others need.
# With 32, all requests of a workspace at ten times its rate waited.
_MAX_WAITING = 4
_UNREACHABLE_PAUSE_S = 0.25

_taken: contextvars.ContextVar[Batch | None] = contextvars.ContextVar(
    'taken_token', default=None
)


@dataclasses.dataclass(slots=True)
class _Demand:
    """Tokens of one workspace at this entry."""

    pool: TokenPool = dataclasses.field(default_factory=TokenPool)
    rate: DemandRate = dataclasses.field(
        default_factory=lambda: DemandRate(_DEMAND_WINDOW_S)
    )
    waiting: int = 0
    # Monotonic second until which a slice is not asked.
    closed_until: dict[int, float] = dataclasses.field(default_factory=dict)
    unreachable: set[int] = dataclasses.field(default_factory=set)
    drawing: 'asyncio.Task[int] | None' = None


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaUse:
    """Quota of a workspace as this daemon knows it.

    Args:
        workspace: Name of the workspace.
        rate_per_s: Rate over the whole fleet.
        burst: Burst over the whole fleet.
        slices_held: Slices that this daemon holds.
        tokens_held: Tokens in these slices now.
        tokens_pooled: Tokens that this daemon's entry has drawn.
    """

    workspace: str
    rate_per_s: float
    burst: float
    slices_held: int
    tokens_held: float
    tokens_pooled: int


class QuotaService:
    """Tokens of workspaces, as entry and as holder.

    Args:
        runtime: Services of the process.
        config: Configuration in force.
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
        self._held = HeldSlices(runtime, self._divisions, rosters)
        self._demands: dict[str, _Demand] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_upkeep_planned = False
        config.on_config(self._on_config)

    async def acquire(
        self, workspace: str, deadline: float = math.inf
    ) -> Refusal | None:
        """Take a token, or return why there is none.

        Slices hold whole tokens and parts of them. All may be empty for a
        moment although the workspace is within its rate, so a request waits
        up to `quota.max_wait_ms` for a token that is due by then.

        Args:
            workspace: Name of the workspace.
            deadline: Monotonic second until which the request may wait.
        """
        demand = self._demands.setdefault(workspace, _Demand())
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
        self, workspace: str, demand: _Demand, until: float
    ) -> Refusal | None:
        while True:
            granted = 0
            # Requests that wait at the same time share one draw, and later
            # requests may take its tokens; then it is repeated.
            if drawing := self._shared_draw(workspace, demand):
                granted = await asyncio.shield(drawing)
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

    def _next_token_at(self, workspace: str, demand: _Demand) -> float:
        """Return the monotonic second at which a slice is asked again."""
        share = self._divisions.share(workspace)
        return min(
            (
                demand.closed_until.get(index, 0.0)
                for index in range(share.count if share else 0)
                if index not in demand.unreachable
            ),
            default=math.inf,
        )

    def _may_wait(self, workspace: str, demand: _Demand) -> bool:
        """Return whether the tokens due suffice for those that wait."""
        share = self._divisions.share(workspace)
        if share is None:
            return False
        due = share.count * share.rate_per_s * self._max_wait_s
        return demand.waiting <= min(1 + due, _MAX_WAITING)

    def give_back(self, workspace: str) -> None:
        """Return the token of this task's request, which was not run."""
        batch = _taken.get()
        _taken.set(None)
        demand = self._demands.get(workspace)
        if batch is not None and demand is not None:
            demand.pool.give_back(batch)

    def uses(self) -> list[QuotaUse]:
        """Return the quota of all workspaces, for operators."""
        return [self._use(name) for name in self._divisions.names]

    def _use(self, name: str) -> QuotaUse:
        now = self._runtime.clock.monotonic()
        quota = self._divisions.workspace(name)
        levels = self._held.levels(name, now)
        demand = self._demands.get(name)
        return QuotaUse(
            name,
            quota.rate_per_s,
            quota.burst,
            len(levels),
            sum(levels),
            demand.pool.available(now) if demand else 0,
        )

    def handle_draw(
        self, message: DrawTokens, sender: Hello | None
    ) -> TokensGranted:
        """Grant tokens as holder."""
        return self._held.draw(message)

    def handle_return(
        self, message: ReturnTokens, sender: Hello | None
    ) -> None:
        """Take unspent tokens back as holder."""
        self._held.give_back(message)

    def _on_config(self, applied: Applied) -> None:
        self._held.update(self._divisions.take_in(applied))

    def _take(self, demand: _Demand) -> bool:
        batch = demand.pool.take(self._runtime.clock.monotonic())
        _taken.set(batch)
        return batch is not None

    def _refusal(self, workspace: str, demand: _Demand) -> Refusal:
        share = self._divisions.share(workspace)
        count = share.count if share else 0
        if len(demand.unreachable) >= count:
            return Refusal(Reason.QUOTA_UNREACHABLE, retry_after_s=1.0)
        now = self._runtime.clock.monotonic()
        waits = [
            until - now
            for index, until in demand.closed_until.items()
            if index not in demand.unreachable
        ]
        retry_after_s = max(0.0, min(waits, default=0.0))
        return Refusal(Reason.QUOTA_EXCEEDED, retry_after_s=retry_after_s)

    def _shared_draw(
        self, workspace: str, demand: _Demand
    ) -> 'asyncio.Task[int] | None':
        """Return the draw that runs or a new one, none if all is empty."""
        if demand.drawing is None or demand.drawing.done():
            demand.drawing = None
            if self._open_slices(workspace, demand):
                demand.drawing = asyncio.create_task(
                    self._draw_any(workspace, demand)
                )
        return demand.drawing

    def _spawn(self, work: Coroutine[Any, Any, None]) -> 'asyncio.Task[None]':
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _open_slices(self, workspace: str, demand: _Demand) -> list[int]:
        """Return the slices to ask: own domain, own region, the rest.

        Among equally near ones the one that was asked longest ago comes
        first: the levels stay alike, so that few slices are full and lose
        what accrues while others are empty.
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
            far = 0 if domain == own else 1 if is_near else 2
            asked_at = demand.closed_until.get(index, 0.0)
            return far, asked_at, self._runtime.rng.random()

        open_slices = [
            index
            for index in range(share.count)
            if demand.closed_until.get(index, 0.0) <= now
        ]
        return sorted(open_slices, key=order)

    async def _draw_any(self, workspace: str, demand: _Demand) -> int:
        """Draw until those that wait are served or the slices are empty.

        Tokens for the expected demand come along from the same slices; no
        farther slice is asked for them.

        Returns:
            Tokens granted.
        """
        wanted = self._wanted(workspace, demand)
        granted = 0
        for index in self._open_slices(workspace, demand)[:_MAX_DRAWS]:
            granted += await self._draw(
                workspace, demand, index, wanted - granted
            )
            if granted >= min(wanted, max(1, demand.waiting)):
                break
        return granted

    async def _draw(
        self, workspace: str, demand: _Demand, index: int, count: int
    ) -> int:
        domain = self._divisions.domain(index)
        holder = self._rosters.holder(domain, f'{workspace}/{index}')
        message = DrawTokens(
            workspace, index, count, self._rosters.roster(domain).epoch
        )
        sent_at = self._runtime.clock.monotonic()
        granted = await self._ask(holder, message)
        now = self._runtime.clock.monotonic()
        if granted is None or granted.fenced:
            demand.unreachable.add(index)
            demand.closed_until[index] = now + _UNREACHABLE_PAUSE_S
            return 0
        demand.unreachable.discard(index)
        demand.closed_until[index] = now + granted.retry_after_ms / 1000
        if granted.count:
            expires_at = sent_at + granted.lifetime_ms / 1000
            source = (holder, index)
            demand.pool.add(
                Batch(source, granted.grant, granted.count, expires_at)
            )
            self._plan_upkeep()
        return granted.count

    async def _ask(
        self, holder: str, message: DrawTokens
    ) -> TokensGranted | None:
        if not holder:
            return None
        if holder == self._runtime.address:
            return self.handle_draw(message, None)
        try:
            return await self._peers.request(
                holder, message, TokensGranted, timeout_s=self._timeout_s
            )
        except LinkError:
            return None

    def _wanted(self, workspace: str, demand: _Demand) -> int:
        """Return the tokens to draw: the demand of half a lifetime."""
        now = self._runtime.clock.monotonic()
        expected = demand.rate.per_s(now) * self._token_s(workspace) / 2
        missing = max(int(expected), demand.waiting) - demand.pool.available(
            now
        )
        return min(max(1, missing), MAX_GRANT)

    def _token_s(self, workspace: str) -> float:
        """Return the lifetime of a workspace's tokens."""
        share = self._divisions.share(workspace)
        return share.lifetime_s if share else self._lifetime_s

    def _plan_upkeep(self) -> None:
        """Look after the pools once more; none is needed without tokens."""
        if not self._is_upkeep_planned:
            self._is_upkeep_planned = True
            self._runtime.timers.after(
                _UPKEEP_PERIOD_S, self._keep_up, name='quota'
            )

    def _keep_up(self) -> None:
        """Return what will not be spent and draw before tokens run out."""
        self._is_upkeep_planned = False
        now = self._runtime.clock.monotonic()
        for workspace, demand in self._demands.items():
            if demand.pool.is_empty:
                continue
            token_s = self._token_s(workspace)
            self._return_unspent(workspace, demand, now, token_s)
            if not demand.pool.is_empty:
                self._plan_upkeep()
            low = demand.rate.per_s(now) * token_s / 4
            if low >= 1 and demand.pool.available(now) < low:
                self._shared_draw(workspace, demand)

    def _return_unspent(
        self, workspace: str, demand: _Demand, now: float, token_s: float
    ) -> None:
        before = now + token_s * _RETURN_SHARE
        for batch in demand.pool.drain(now, before=before):
            holder, index = batch.source
            message = ReturnTokens(
                workspace, index, batch.grant_id, batch.left
            )
            batch.left = 0
            if holder == self._runtime.address:
                self.handle_return(message, None)
            else:
                self._spawn(self._send_return(holder, message))

    async def _send_return(self, holder: str, message: ReturnTokens) -> None:
        try:
            await self._peers.notify(holder, message)
        except LinkError:
            # The tokens expire; the slice accrues new ones.
            self._runtime.metrics.incr('quota.returns_lost')
