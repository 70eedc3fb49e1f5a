"""Workspace quota: slices, their token buckets and the entries' tokens.

Claim: in every window of t seconds the fleet spends at most rate*t + burst
tokens of a workspace. It is enough that each slice keeps this bound for its
own share of rate and burst. A token is spent at most `lifetime` after it was
granted, so what is spent in a window of t was granted in one of
t + lifetime; a bucket of depth d grants at most d + rate*(t + lifetime) in
it, and d + rate*lifetime is the slice's burst.
"""

import collections
import dataclasses
import math

from turmericrouter_core.config import Workspace

MIN_SLICE_BURST = 4
# A burst below this leaves no whole token in a bucket with a reserve.
_MIN_RESERVED_BURST = 2.0
# Grants whose tokens may still come back.
_MAX_GRANTS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class SliceShare:
    """Share of one slice in a workspace's quota.

    Args:
        count: Number of slices.
        rate_per_s: Tokens a second of one slice.
        burst: Burst of one slice.
        lifetime_s: Seconds for which its tokens hold.
    """

    count: int
    rate_per_s: float
    burst: float
    lifetime_s: float

    @property
    def has_reserve(self) -> bool:
        """Return whether the bucket's depth leaves room for late tokens."""
        return self.burst >= _MIN_RESERVED_BURST

    @property
    def depth(self) -> float:
        """Return the depth of the slice's bucket."""
        if not self.has_reserve:
            return self.burst
        return self.burst - self.rate_per_s * self.lifetime_s


def slices_for(
    workspace: Workspace,
    *,
    domains: int,
    holders: int,
    lifetime_s: float,
) -> SliceShare:
    """Return the share of each slice of a workspace.

    Args:
        workspace: Rate and burst of the whole fleet.
        domains: Failure domains of the fleet.
        holders: Most holders of a domain.
        lifetime_s: Longest lifetime of a token in seconds.
    """
    count = min(
        max(1, domains * holders),
        max(1, math.floor(workspace.burst / MIN_SLICE_BURST)),
    )
    rate = workspace.rate_per_s / count
    burst = workspace.burst / count
    if rate > 0:
        lifetime_s = min(lifetime_s, burst / (2 * rate))
    return SliceShare(count, rate, burst, lifetime_s)


def narrower(old: SliceShare, new: SliceShare) -> SliceShare:
    """Return a share that is safe while daemons use either division.

    Until all holders know the new division, some grant by the old one. Only
    the slices of both are used, with the smaller share, so that the sum
    stays within the larger of both bounds.
    """
    lifetime_s = min(old.lifetime_s, new.lifetime_s)
    rate = min(old.rate_per_s, new.rate_per_s)
    burst = min(old.burst, new.burst)
    if rate > 0:
        lifetime_s = min(lifetime_s, burst / (2 * rate))
    return SliceShare(min(old.count, new.count), rate, burst, lifetime_s)


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Decision of a slice on a draw.

    Args:
        count: Tokens granted, 0 if none.
        lifetime_s: Seconds for which they hold.
        retry_after_s: Seconds until the next token, if none.
        grant_id: Names the grant when tokens are returned.
    """

    count: int
    lifetime_s: float
    retry_after_s: float = 0.0
    grant_id: int = 0


class QuotaSlice:
    """Token bucket of one slice at its holder; it starts empty.

    Args:
        share: Share of the slice.
        now: Monotonic seconds.
        first_grant_id: Value that no earlier bucket of the slice has used.
    """

    def __init__(
        self, share: SliceShare, now: float, *, first_grant_id: int
    ) -> None:
        self._share = share
        self._level = 0.0
        self._filled_at = now
        self._next_grant_id = first_grant_id
        # Tokens of each grant that may come back.
        self._grants: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )

    def level(self, now: float) -> float:
        """Return the tokens that can be granted now."""
        self._fill(now)
        return self._level

    def set_share(self, share: SliceShare, now: float) -> None:
        """Change rate and burst; what is above the new depth is lost.

        Tokens granted before hold for the former lifetime, for which the
        new depth may leave no room; nothing accrues until they have expired.
        """
        if share == self._share:
            return
        self._fill(now)
        self._filled_at = max(self._filled_at, now + self._share.lifetime_s)
        self._share = share
        self._level = min(self._level, share.depth)

    def draw(self, count: int, now: float) -> Grant:
        """Grant up to a number of tokens."""
        self._fill(now)
        share = self._share
        granted = min(count, math.floor(self._level))
        if granted <= 0:
            return Grant(0, share.lifetime_s, self._retry_after_s(now))
        self._level -= granted
        if not share.has_reserve:
            # Nothing accrues before the tokens have expired, which bounds
            # a small burst without a reserve.
            self._filled_at = max(self._filled_at, now + share.lifetime_s)
        grant_id = self._next_grant_id
        self._next_grant_id += 1
        self._grants[grant_id] = granted
        if len(self._grants) > _MAX_GRANTS:
            self._grants.popitem(last=False)
        return Grant(granted, share.lifetime_s, grant_id=grant_id)

    def give_back(self, grant_id: int, count: int, now: float) -> int:
        """Take unspent tokens of a grant back, once.

        Returns:
            Tokens that were added.
        """
        granted = self._grants.pop(grant_id, 0)
        self._fill(now)
        before = self._level
        added = min(max(0, count), granted)
        self._level = min(self._share.depth, before + added)
        return added

    def _fill(self, now: float) -> None:
        if now <= self._filled_at:
            return
        accrued = (now - self._filled_at) * self._share.rate_per_s
        self._level = min(self._share.depth, self._level + accrued)
        self._filled_at = now

    def _retry_after_s(self, now: float) -> float:
        rate = self._share.rate_per_s
        if rate <= 0 or self._share.depth < 1:
            return math.inf
        wait_s = (1 - self._level) / rate
        return wait_s + max(0.0, self._filled_at - now)


class DemandRate:
    """Requests a second of one workspace at an entry, smoothed.

    Args:
        window_s: Seconds over which a request's weight falls to 1/e.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._weight = 0.0
        self._weighed_at = -math.inf

    def add(self, now: float) -> None:
        """Take in a request."""
        self._weight = 1 + self._weight * self._decay(now)
        self._weighed_at = now

    def per_s(self, now: float) -> float:
        """Return the requests a second."""
        return self._weight * self._decay(now) / self._window_s

    def _decay(self, now: float) -> float:
        return math.exp((self._weighed_at - now) / self._window_s)


@dataclasses.dataclass(slots=True)
class Batch:
    """Tokens of one grant at an entry.

    Args:
        source: Holder's address and slice index.
        grant_id: Id of the grant.
        left: Tokens not spent.
        expires_at: Monotonic seconds.
    """

    source: tuple[str, int]
    grant_id: int
    left: int
    expires_at: float


class TokenPool:
    """Tokens of one workspace at an entry; the oldest are spent first."""

    def __init__(self) -> None:
        self._batches: list[Batch] = []

    @property
    def is_empty(self) -> bool:
        """Return whether no batch is kept, not even an expired one."""
        return not self._batches

    def available(self, now: float) -> int:
        """Return the tokens that can be spent."""
        return sum(b.left for b in self._batches if now < b.expires_at)

    def add(self, batch: Batch) -> None:
        """Take in a grant; `expires_at` counts from its request."""
        self._batches.append(batch)
        self._batches.sort(key=lambda b: b.expires_at)

    def take(self, now: float) -> Batch | None:
        """Spend a token and return its batch, none if there is none."""
        for batch in self._batches:
            if batch.left > 0 and now < batch.expires_at:
                batch.left -= 1
                return batch
        return None

    def give_back(self, batch: Batch) -> None:
        """Return the token of a request that was not run to its batch.

        It keeps its expiry. A batch that was given up is out of the pool,
        so its token is lost.
        """
        batch.left += 1

    def drain(self, now: float, *, before: float) -> list[Batch]:
        """Remove batches that expire before a moment.

        Returns:
            Those with unspent tokens that have not expired; their tokens
            may be returned to the holder, once.
        """
        leaving = [b for b in self._batches if b.expires_at <= before]
        self._batches = [b for b in self._batches if b.expires_at > before]
        return [b for b in leaving if b.left > 0 and now < b.expires_at]
