"""Shares of each workspace's rate and burst between the hosts.

Every host publishes the demand that begins at it and computes its own share
from the demand that all hosts published, its own included. Since all use the
same figures, the shares add up to the limit without a message a request.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from turmericrouter_dataplane.model import Workspace

# Weight of the newest second in the published demand.
_DEMAND_WEIGHT = 0.6
# Demand is published anew once it differs by this part, or by this rate;
# what others use for the shares is the published figure, so they stay exact.
_DEMAND_STEP = 0.15
_LEAST_STEP_PER_S = 0.4
# Demand is published in requests in this time.
DEMAND_UNIT_S = 10.0
# Part of a contested rate that is divided evenly, so that a host whose first
# request of a workspace is yet to come isn't without any.
_EVEN_SHARE = 0.1
# Shortest and longest wait that a refused caller is told, in seconds.
_SHORTEST_WAIT_S = 0.15
_LONGEST_WAIT_S = 2.0


@dataclasses.dataclass(slots=True)
class _Bucket:
    """Tokens of one workspace at this host."""

    rate_per_s: float
    burst: float
    tokens: float
    as_of: float
    arrivals: int = 0
    demand_per_s: float = 0.0
    published_per_s: float = 0.0


@dataclasses.dataclass(slots=True)
class _Peer:
    """What another host published, and its share when it was last heard."""

    demand: Mapping[str, float]
    is_reachable: bool = True
    frozen_shares: dict[str, float] = dataclasses.field(default_factory=dict)


class WorkspaceQuota:
    """Token buckets of this host, sized by its share of the fleet's demand.

    A host that can't be heard keeps the share that it had, because it may
    still be serving callers on its side of a partition.
    """

    def __init__(self) -> None:
        self._least_hosts = 1
        self._limits: dict[str, tuple[float, float]] = {}
        self._buckets: dict[str, _Bucket] = {}
        self._peers: dict[str, _Peer] = {}

    def configure(self, workspaces: Iterable[Workspace], now: float) -> None:
        """Apply the limits of a configuration."""
        self._limits = {
            workspace.name: (
                workspace.rate_per_s,
                workspace.burst or workspace.rate_per_s,
            )
            for workspace in workspaces
            if workspace.rate_per_s > 0
        }
        for name in list(self._buckets):
            if name not in self._limits:
                del self._buckets[name]
        for name in self._limits:
            self._divide(name, now)

    def assume_hosts(self, count: int, now: float) -> None:
        """Take the fleet to have at least this many hosts."""
        self._least_hosts = count
        for name in self._limits:
            self._divide(name, now)

    def admit(self, workspace: str, now: float) -> float:
        """Take a token.

        Returns:
            0 if the request may go on, else the seconds until a token is
            due.
        """
        bucket = self._buckets.get(workspace)
        if bucket is None:
            return 0.0
        bucket.arrivals += 1
        self._refill(bucket, now)
        if bucket.tokens >= 1.0:
            bucket.tokens -= 1.0
            return 0.0
        missing = 1.0 - bucket.tokens
        wait_s = missing / bucket.rate_per_s if bucket.rate_per_s else 1.0
        return min(_LONGEST_WAIT_S, max(_SHORTEST_WAIT_S, wait_s))

    def count(self, workspace: str) -> None:
        """Count a request that is refused for another reason."""
        bucket = self._buckets.get(workspace)
        if bucket is not None:
            bucket.arrivals += 1

    def take(self, workspace: str, now: float) -> bool:
        """Take a token for a request that has been counted already."""
        bucket = self._buckets.get(workspace)
        if bucket is None:
            return True
        self._refill(bucket, now)
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def lend(self, workspace: str, wanted: int, now: float) -> int:
        """Give tokens away, at most half of those that are here."""
        bucket = self._buckets.get(workspace)
        if bucket is None:
            return 0
        self._refill(bucket, now)
        given = max(0, min(wanted, int(bucket.tokens / 2)))
        bucket.tokens -= given
        return given

    def receive(self, workspace: str, tokens: int, now: float) -> None:
        """Take in tokens that another host gave away."""
        bucket = self._buckets.get(workspace)
        if bucket is not None:
            self._refill(bucket, now)
            bucket.tokens += tokens

    def demand(self, workspace: str) -> float:
        """Return the requests a second that begin at this host."""
        bucket = self._buckets.get(workspace)
        return bucket.demand_per_s if bucket else 0.0

    def refund(self, workspace: str) -> None:
        """Give back the token of a request that did not run."""
        bucket = self._buckets.get(workspace)
        if bucket is not None:
            bucket.tokens += 1.0

    def publish(self, period_s: float, now: float) -> dict[str, int]:
        """Close a period and return the demand that others have to be told.

        Args:
            period_s: Seconds since the last call.
            now: Monotonic seconds.

        Returns:
            Requests in `DEMAND_UNIT_S` by workspace, where they changed.
        """
        changes: dict[str, int] = {}
        for name, bucket in self._buckets.items():
            rate = bucket.arrivals / period_s
            bucket.arrivals = 0
            bucket.demand_per_s += _DEMAND_WEIGHT * (
                rate - bucket.demand_per_s
            )
            count = round(bucket.demand_per_s * DEMAND_UNIT_S)
            step = abs(bucket.demand_per_s - bucket.published_per_s)
            if step > max(
                _LEAST_STEP_PER_S, _DEMAND_STEP * bucket.published_per_s
            ) or (bucket.published_per_s and not count):
                changes[name] = count
                bucket.published_per_s = count / DEMAND_UNIT_S
                self._divide(name, now)
        return changes

    def published(self) -> dict[str, int]:
        """Return all demand that was published."""
        return {
            name: round(bucket.published_per_s * DEMAND_UNIT_S)
            for name, bucket in self._buckets.items()
            if bucket.published_per_s
        }

    def hear_changes(
        self, peer: str, changes: Mapping[str, int], now: float
    ) -> None:
        """Take in what has changed of the demand that a host published."""
        held = self._peers.get(peer)
        if held is None or (not changes and held.is_reachable):
            return
        demand = dict(held.demand)
        for name, count in changes.items():
            demand[name] = count / DEMAND_UNIT_S
        self._hear(peer, demand, now)

    def hear(self, peer: str, demand: Mapping[str, int], now: float) -> None:
        """Take in all demand that a host published."""
        rates = {name: n / DEMAND_UNIT_S for name, n in demand.items()}
        self._hear(peer, rates, now)

    def _hear(
        self, peer: str, demand: Mapping[str, float], now: float
    ) -> None:
        held = self._peers.get(peer)
        before: Mapping[str, float] = {} if held is None else held.demand
        self._peers[peer] = _Peer(demand)
        if held is None or not held.is_reachable:
            changed = set(self._limits)
        else:
            changed = {
                name
                for name in before.keys() | demand.keys()
                if before.get(name) != demand.get(name)
            }
        for name in changed & self._limits.keys():
            self._divide(name, now)

    def expect(self, peer: str, now: float) -> None:
        """Count a host that is known but has not been heard yet."""
        if peer not in self._peers:
            self.hear(peer, {}, now)

    def lose(self, peer: str, now: float) -> None:
        """Freeze the shares of a host that can't be heard any more."""
        held = self._peers.get(peer)
        if held is None or not held.is_reachable:
            return
        held.frozen_shares = {
            name: self._share_of(name, held.demand.get(name, 0.0))
            for name in self._limits
        }
        held.is_reachable = False
        for name in self._limits:
            self._divide(name, now)

    def forget(self, peer: str, now: float) -> None:
        """Drop a host that has left for good."""
        if self._peers.pop(peer, None) is not None:
            for name in self._limits:
                self._divide(name, now)

    def describe(self, workspace: str) -> dict[str, float]:
        """Return what a refusal was decided by, for its log line."""
        bucket = self._buckets.get(workspace)
        if bucket is None:
            return {}
        rate, burst = self._limits[workspace]
        heard = [p for p in self._peers.values() if p.is_reachable]
        total = sum(p.demand.get(workspace, 0.0) for p in heard)
        return {
            'rate_per_s': rate,
            'burst': burst,
            'own_rate_per_s': round(bucket.rate_per_s, 2),
            'own_burst': round(bucket.burst, 1),
            'own_demand_per_s': bucket.published_per_s,
            'fleet_demand_per_s': round(total + bucket.published_per_s, 1),
            'hosts_heard': len(heard) + 1,
        }

    def share(self, workspace: str) -> float:
        """Return this host's share of a workspace's limit, from 0 to 1."""
        bucket = self._buckets.get(workspace)
        demand = bucket.published_per_s if bucket else 0.0
        return self._share_of(workspace, demand)

    def _divide(self, name: str, now: float) -> None:
        rate, burst = self._limits[name]
        share = self.share(name)
        bucket = self._buckets.get(name)
        if bucket is None:
            self._buckets[name] = _Bucket(
                rate * share, burst * share, burst * share, now
            )
            return
        self._refill(bucket, now)
        bucket.rate_per_s = rate * share
        bucket.burst = max(1.0, burst * share)
        bucket.tokens = min(bucket.tokens, bucket.burst)

    def _share_of(self, name: str, demand: float) -> float:
        rate, _ = self._limits[name]
        available = 1.0
        own = self._buckets.get(name)
        total = own.published_per_s if own else 0.0
        hosts = 1
        for peer in self._peers.values():
            if peer.is_reachable:
                total += peer.demand.get(name, 0.0)
                hosts += 1
            else:
                available -= peer.frozen_shares.get(name, 0.0)
        available = max(0.0, available)
        hosts = max(hosts, self._least_hosts)
        spare = rate * available - total
        if spare >= 0:
            return (demand + spare / hosts) / rate
        even = available * _EVEN_SHARE / hosts
        return even + available * (1 - _EVEN_SHARE) * demand / total

    def _refill(self, bucket: _Bucket, now: float) -> None:
        earned = (now - bucket.as_of) * bucket.rate_per_s
        if bucket.tokens < bucket.burst:
            bucket.tokens = min(bucket.burst, bucket.tokens + earned)
        bucket.as_of = now
