"""Token buckets of workspaces, each kept by one host for the whole fleet.

The owner of a workspace is found by rendezvous hashing over the reachable
hosts, so the hosts on one side of a partition agree on it without a message.
An owner grants the fraction of the limit that corresponds to its reachable
hosts; the sides of a partition together stay within the limit.
"""

from collections.abc import Iterable
import dataclasses
import random

from turmericrouter_core.rendezvous import first_by_hash
from turmericrouter_dataplane.fleet_config import Workspace

# Fraction of the burst that a new owner starts with, since the previous owner
# may just have granted a whole burst.
_INITIAL_FILL_FRACTION = 0.2
# Tokens are prefetched only while the bucket holds this fraction of its burst.
_PREFETCH_MIN_FILL_FRACTION = 0.5
_MAX_RETRY_AFTER_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class ReachableHosts:
    """The hosts from which the owner of a workspace is chosen.

    Args:
        hosts: Reachable hosts, including this host.
        reachable_fraction: Reachable fraction of the fleet, from 0 to 1.
        fleet_size: Number of hosts in the fleet.
    """

    hosts: frozenset[str]
    reachable_fraction: float
    fleet_size: int


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Answer of the owner to a token request.

    Args:
        tokens: Granted tokens.
        wait_s: Time until a token is available if none was granted.
        is_owner: Whether the host owns the workspace in its own view.
    """

    tokens: int
    wait_s: float = 0.0
    is_owner: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Handover:
    """Bucket of a workspace that this host no longer owns.

    Args:
        owner: The new owner.
        workspace: Name of the workspace.
        tokens: Tokens left in the bucket.
    """

    owner: str
    workspace: str
    tokens: float


class _TokenBucket:
    """Token bucket with a rate and a burst."""

    __slots__ = (
        'refilled_at',
        'burst',
        'rate_per_s',
        'refusal_backlog',
        'tokens',
    )

    def __init__(
        self, rate_per_s: float, burst: float, tokens: float, now: float
    ) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.tokens = tokens
        self.refilled_at = now
        # Refused requests that newer tokens have not compensated for yet.
        self.refusal_backlog = 0.0

    def resize(self, rate_per_s: float, burst: float, now: float) -> None:
        """Change rate and burst; tokens beyond the burst are dropped."""
        self.refill(now)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.tokens = min(self.tokens, burst)

    def refill(self, now: float) -> None:
        """Add the tokens earned since the last call."""
        earned = (now - self.refilled_at) * self.rate_per_s
        self.tokens = min(self.burst, self.tokens + earned)
        self.refusal_backlog = max(0.0, self.refusal_backlog - earned)
        self.refilled_at = now


class WorkspaceQuota:
    """Buckets of the workspaces that this host owns, and fallback buckets.

    A fallback bucket is this host's even share of a limit. It is used while
    the owner of the workspace does not answer.

    Args:
        host: Name of this host.
        rng: Random number generator.
    """

    def __init__(self, host: str, rng: random.Random) -> None:
        self._host = host
        self._rng = rng
        self._reachable = ReachableHosts(frozenset({host}), 1.0, 1)
        self._limits: dict[str, tuple[float, float]] = {}
        self._buckets: dict[str, _TokenBucket] = {}
        self._fallback_buckets: dict[str, _TokenBucket] = {}
        self._owners: dict[str, str] = {}
        # When each workspace was last known to have spent its burst.
        self._exhausted_at: dict[str, float] = {}

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
        for by_workspace in (
            self._buckets,
            self._fallback_buckets,
            self._owners,
            self._exhausted_at,
        ):
            for name in by_workspace.keys() - self._limits.keys():
                del by_workspace[name]
        self._resize_buckets(now)

    def set_reachable(
        self, reachable: ReachableHosts, now: float
    ) -> list[Handover]:
        """Set the reachable hosts, and resize the buckets.

        Returns:
            The buckets that now belong to other hosts.
        """
        previous, self._reachable = self._reachable, reachable
        if previous == reachable:
            return []
        handovers: list[Handover] = []
        if previous.hosts != reachable.hosts:
            self._update_owners(previous.hosts)
            handovers = self._release_buckets(now)
        self._resize_buckets(now)
        return handovers

    def accept_handover(
        self, workspace: str, tokens: float, now: float
    ) -> None:
        """Continue with the tokens that the previous owner had left.

        Args:
            workspace: Name of the workspace.
            tokens: Tokens left at the previous owner.
            now: Monotonic seconds.
        """
        if workspace not in self._limits:
            return
        bucket = self._buckets.get(workspace)
        if bucket is not None:
            bucket.tokens = min(bucket.tokens, tokens)
        elif tokens < 1.0:
            self._exhausted_at[workspace] = now

    def is_limited(self, workspace: str) -> bool:
        """Return whether requests of a workspace need tokens."""
        return workspace in self._limits

    def owner(self, workspace: str) -> str:
        """Return the owner: the host that keeps the bucket of a workspace."""
        owner = self._owners.get(workspace)
        if owner is None:
            owner = first_by_hash(workspace, self._reachable.hosts)
            self._owners[workspace] = owner
        return owner

    def grant(self, workspace: str, prefetch: int, now: float) -> Grant:
        """Take a token, and prefetch more if the bucket is full enough.

        Args:
            workspace: Workspace of the request.
            prefetch: Further tokens that the requesting host can use soon.
            now: Monotonic seconds.
        """
        bucket = self._buckets.get(workspace)
        if bucket is None:
            # Either the requesting host sees other reachable hosts, and both
            # this host and the owner in its own view would grant the whole
            # limit, or this host has an older configuration, or none yet.
            return Grant(0, is_owner=False)
        bucket.refill(now)
        if bucket.tokens < 1.0:
            self._exhausted_at[workspace] = now
            return self._refuse(bucket)
        spare = int(bucket.tokens - _PREFETCH_MIN_FILL_FRACTION * bucket.burst)
        tokens = 1 + max(0, min(prefetch, spare - 1))
        bucket.tokens -= tokens
        return Grant(tokens)

    def record_refusal(self, workspace: str, now: float) -> None:
        """Record that the owner refused a request of a workspace.

        Its burst is spent, so the fallback bucket must not add to it if the
        owner is lost.
        """
        self._exhausted_at[workspace] = now
        bucket = self._fallback_buckets.get(workspace)
        if bucket is not None:
            bucket.refill(now)
            bucket.tokens = 0.0

    def take_fallback_token(self, workspace: str, now: float) -> bool:
        """Take a token from the fallback bucket of this host.

        Less than one token is granted with the probability of its amount
        and used up either way, so that the fallback buckets of many hosts
        add up to the limit.
        """
        bucket = self._fallback_buckets.get(workspace)
        if bucket is None:
            return workspace not in self._limits
        bucket.refill(now)
        if bucket.tokens >= 1.0:
            bucket.tokens -= 1.0
            return True
        tokens, bucket.tokens = bucket.tokens, 0.0
        return self._rng.random() < tokens

    def describe(self, workspace: str) -> dict[str, object]:
        """Return the log fields that explain a refusal."""
        limit = self._limits.get(workspace)
        if limit is None:
            return {}
        return {
            'rate_per_s': limit[0],
            'burst': limit[1],
            'owner': self.owner(workspace),
            'reach': round(self._reachable.reachable_fraction, 3),
            'fleet': self._reachable.fleet_size,
        }

    @staticmethod
    def _refuse(bucket: _TokenBucket) -> Grant:
        bucket.refusal_backlog += 1.0
        if not bucket.rate_per_s:
            return Grant(0, _MAX_RETRY_AFTER_S)
        missing = max(bucket.refusal_backlog, 1.0) - bucket.tokens
        return Grant(0, min(_MAX_RETRY_AFTER_S, missing / bucket.rate_per_s))

    def _resize_buckets(self, now: float) -> None:
        """Resize the buckets of this host by its reachable hosts."""
        reachable_fraction = self._reachable.reachable_fraction
        for name, (rate, burst) in self._limits.items():
            self._resize_fallback_bucket(name, now)
            bucket = self._buckets.get(name)
            if bucket is None:
                if self.owner(name) == self._host:
                    self._create_bucket(name, now)
            else:
                bucket.resize(
                    rate * reachable_fraction, burst * reachable_fraction, now
                )

    def _update_owners(self, previous: frozenset[str]) -> None:
        """Adapt the known owners to changed hosts.

        Hosts join and leave one by one, so few workspaces change their owner
        and none is ranked anew over all hosts of a large fleet.
        """
        hosts = self._reachable.hosts
        added = hosts - previous
        for workspace, owner in list(self._owners.items()):
            if owner not in hosts:
                del self._owners[workspace]
            elif added:
                self._owners[workspace] = first_by_hash(
                    workspace, (owner, *added)
                )

    def _release_buckets(self, now: float) -> list[Handover]:
        """Remove the buckets of workspaces that this host no longer owns."""
        handovers = []
        for name in list(self._buckets):
            owner = self.owner(name)
            if owner == self._host:
                continue
            bucket = self._buckets.pop(name)
            bucket.refill(now)
            if bucket.tokens < 1.0:
                self._exhausted_at[name] = now
            handovers.append(Handover(owner, name, bucket.tokens))
        return handovers

    def _create_bucket(self, name: str, now: float) -> None:
        rate, burst = self._limits[name]
        reachable_fraction = self._reachable.reachable_fraction
        tokens = _INITIAL_FILL_FRACTION * burst
        exhausted_at = self._exhausted_at.get(name)
        if exhausted_at is not None:
            # The previous owner may have granted what has accrued since.
            tokens = min(tokens, rate * (now - exhausted_at))
        self._buckets[name] = _TokenBucket(
            rate * reachable_fraction,
            burst * reachable_fraction,
            tokens * reachable_fraction,
            now,
        )

    def _resize_fallback_bucket(self, name: str, now: float) -> None:
        rate, burst = self._limits[name]
        fleet_size = self._reachable.fleet_size
        bucket = self._fallback_buckets.get(name)
        if bucket is None:
            self._fallback_buckets[name] = _TokenBucket(
                rate / fleet_size, burst / fleet_size, 0, now
            )
        else:
            bucket.resize(rate / fleet_size, burst / fleet_size, now)
