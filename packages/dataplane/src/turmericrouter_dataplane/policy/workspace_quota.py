"""Token buckets of workspaces, each kept by one host for the whole fleet.

The owner of a workspace is found by rendezvous hashing over the hosts that
can be reached, so the hosts on one side of a partition agree on one without
a message. An owner hands out the part of the limit that belongs to the hosts
in its reach; the sides of a partition together stay within the limit.
"""

from collections.abc import Iterable
import dataclasses
import random

from turmericrouter_core.rendezvous import ranked
from turmericrouter_dataplane.model import Workspace

# Part of the burst that a new owner starts with: the one before may have
# handed out a whole burst just now.
_FIRST_FILL = 0.2
# Tokens ahead of need are given while the bucket holds this part of its burst.
_AHEAD_FILL = 0.5
# Longest wait that a refused caller is told, in seconds.
_LONGEST_WAIT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Reach:
    """The hosts that an owner may be chosen from.

    Args:
        hosts: Hosts in reach, this one included.
        share: Part of the fleet that they are, from 0 to 1.
        fleet: Number of hosts in the fleet.
    """

    hosts: frozenset[str]
    share: float
    fleet: int


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Answer of an owner.

    Args:
        tokens: Tokens that were taken from the bucket.
        wait_s: When a token may be had, where there was none.
    """

    tokens: int
    wait_s: float = 0.0


class _Bucket:
    """Tokens that come at a rate, up to a burst."""

    __slots__ = ('as_of', 'burst', 'rate_per_s', 'refused', 'tokens')

    def __init__(
        self, rate_per_s: float, burst: float, tokens: float, now: float
    ) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.tokens = tokens
        self.as_of = now
        # Refusals that have not been made good by newer tokens.
        self.refused = 0.0

    def resize(self, rate_per_s: float, burst: float, now: float) -> None:
        """Change rate and burst; tokens beyond the burst are lost."""
        self.refill(now)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.tokens = min(self.tokens, burst)

    def refill(self, now: float) -> None:
        """Add the tokens that have come since the last call."""
        earned = (now - self.as_of) * self.rate_per_s
        self.tokens = min(self.burst, self.tokens + earned)
        self.refused = max(0.0, self.refused - earned)
        self.as_of = now


class WorkspaceQuota:
    """Buckets of the workspaces that this host owns, and its own reserve.

    The reserve is this host's even part of each limit. It is used while the
    owner of a workspace does not answer.

    Args:
        host: Name of this host.
        rng: Source of random choices.
    """

    def __init__(self, host: str, rng: random.Random) -> None:
        self._host = host
        self._rng = rng
        self._reach = Reach(frozenset({host}), 1.0, 1)
        self._limits: dict[str, tuple[float, float]] = {}
        self._buckets: dict[str, _Bucket] = {}
        self._reserves: dict[str, _Bucket] = {}
        self._owners: dict[str, str] = {}

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
        for held in (self._buckets, self._reserves, self._owners):
            for name in held.keys() - self._limits.keys():
                del held[name]
        self._divide(now)

    def set_reach(self, reach: Reach, now: float) -> None:
        """Take in which hosts can be reached."""
        before, self._reach = self._reach, reach
        if before.hosts != reach.hosts:
            self._owners.clear()
        if before != reach:
            self._divide(now)

    def is_limited(self, workspace: str) -> bool:
        """Return whether requests of a workspace need tokens."""
        return workspace in self._limits

    def owner(self, workspace: str) -> str:
        """Return the host that keeps the bucket of a workspace."""
        owner = self._owners.get(workspace)
        if owner is None:
            owner = ranked(workspace, self._reach.hosts)[0]
            self._owners[workspace] = owner
        return owner

    def grant(self, workspace: str, ahead: int, now: float) -> Grant:
        """Take a token, and some ahead of need if there are plenty.

        Args:
            workspace: Workspace of the request.
            ahead: Tokens that the host which asks can use soon.
            now: Monotonic seconds.
        """
        if workspace not in self._limits:
            return Grant(1 + ahead)
        bucket = self._buckets.get(workspace)
        if bucket is None:
            # A host that has another view of the fleet takes this one for
            # the owner.
            bucket = self._open(workspace, now)
        bucket.refill(now)
        if bucket.tokens < 1.0:
            return self._refuse(bucket)
        spare = int(bucket.tokens - _AHEAD_FILL * bucket.burst)
        tokens = 1 + max(0, min(ahead, spare - 1))
        bucket.tokens -= tokens
        return Grant(tokens)

    def take_reserve(self, workspace: str, now: float) -> bool:
        """Take a token of the own reserve.

        A reserve below one token is drawn for and used up either way, so
        that the reserves of many hosts add up to the limit.
        """
        reserve = self._reserves.get(workspace)
        if reserve is None:
            return workspace not in self._limits
        reserve.refill(now)
        if reserve.tokens >= 1.0:
            reserve.tokens -= 1.0
            return True
        tokens, reserve.tokens = reserve.tokens, 0.0
        return self._rng.random() < tokens

    def describe(self, workspace: str) -> dict[str, object]:
        """Return what a refusal was decided by, for its log line."""
        limit = self._limits.get(workspace)
        if limit is None:
            return {}
        return {
            'rate_per_s': limit[0],
            'burst': limit[1],
            'owner': self.owner(workspace),
            'reach': round(self._reach.share, 3),
            'fleet': self._reach.fleet,
        }

    @staticmethod
    def _refuse(bucket: _Bucket) -> Grant:
        bucket.refused += 1.0
        if not bucket.rate_per_s:
            return Grant(0, _LONGEST_WAIT_S)
        missing = max(bucket.refused, 1.0) - bucket.tokens
        return Grant(0, min(_LONGEST_WAIT_S, missing / bucket.rate_per_s))

    def _divide(self, now: float) -> None:
        """Size all buckets by the present reach, and drop those of others."""
        share = self._reach.share
        for name, (rate, burst) in self._limits.items():
            self._size_reserve(name, now)
            bucket = self._buckets.get(name)
            if self.owner(name) != self._host:
                self._buckets.pop(name, None)
            elif bucket is None:
                self._open(name, now)
            else:
                bucket.resize(rate * share, burst * share, now)

    def _open(self, name: str, now: float) -> _Bucket:
        rate, burst = self._limits[name]
        share = self._reach.share
        bucket = _Bucket(
            rate * share, burst * share, _FIRST_FILL * burst * share, now
        )
        self._buckets[name] = bucket
        return bucket

    def _size_reserve(self, name: str, now: float) -> None:
        rate, burst = self._limits[name]
        fleet = self._reach.fleet
        reserve = self._reserves.get(name)
        if reserve is None:
            self._reserves[name] = _Bucket(rate / fleet, burst / fleet, 0, now)
        else:
            reserve.resize(rate / fleet, burst / fleet, now)
