"""Workspace quota: slices, their token buckets and the tokens at entries.

The quota of a workspace is divided into slices. Each slice is a token bucket
at its holder, a daemon that the roster names. An entry, the daemon that
receives a top-level request, fetches tokens from holders and spends them.

Invariant: in every window of t seconds the fleet spends at most
rate*t + burst tokens of a workspace. This follows if each slice keeps the
bound for its own share of rate and burst. A token is spent at most
`lifetime` after its grant, so the tokens spent in a window of t were granted
in a window of t + lifetime. A bucket of depth d grants at most
d + rate*(t + lifetime) in that window, and d + rate*lifetime is the burst of
the slice.
"""

import collections
import dataclasses
import math

from turmericrouter_core.config import Workspace

MIN_SLICE_BURST = 4
# Below this burst, a bucket with the lifetime margin may hold no whole token.
_MIN_BURST_WITH_MARGIN = 2.0
# Unspent tokens can be returned for this many recent grants of a slice.
_MAX_RETURNABLE_GRANTS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class SliceShare:
    """Share of one slice in the quota of a workspace.

    Args:
        count: Number of slices.
        rate_per_s: Tokens per second of one slice.
        burst: Burst of one slice in tokens.
        lifetime_s: Seconds from the grant of a token to its expiry.
    """

    count: int
    rate_per_s: float
    burst: float
    lifetime_s: float

    @property
    def has_lifetime_margin(self) -> bool:
        """Return whether the depth is reduced by a token lifetime of rate."""
        return self.burst >= _MIN_BURST_WITH_MARGIN

    @property
    def depth(self) -> float:
        """Return the most tokens that the bucket of the slice holds."""
        if not self.has_lifetime_margin:
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
        domains: Number of failure domains of the fleet.
        holders: Maximum number of holders per failure domain.
        lifetime_s: Maximum lifetime of a token in seconds.
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


def stricter_share(old: SliceShare, new: SliceShare) -> SliceShare:
    """Return a share that is safe while daemons use either division.

    Until all holders have applied the new division, some grant by the old
    one. Only slices that exist in both are used, with the smaller share, so
    that the sum stays within the larger of both bounds.
    """
    lifetime_s = min(old.lifetime_s, new.lifetime_s)
    rate = min(old.rate_per_s, new.rate_per_s)
    burst = min(old.burst, new.burst)
    if rate > 0:
        lifetime_s = min(lifetime_s, burst / (2 * rate))
    return SliceShare(min(old.count, new.count), rate, burst, lifetime_s)


@dataclasses.dataclass(frozen=True, slots=True)
class TokenGrant:
    """Result of a token request to a slice.

    Args:
        count: Number of tokens granted.
        lifetime_s: Seconds until the tokens expire.
        retry_after_s: Seconds until the next token if none was granted.
        grant_id: Identifies the grant when tokens are returned.
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
        first_grant_id: Grant id not used by any earlier bucket of the slice.
    """

    def __init__(
        self, share: SliceShare, now: float, *, first_grant_id: int
    ) -> None:
        self._share = share
        self._tokens = 0.0
        self._filled_at = now
        self._next_grant_id = first_grant_id
        # Tokens granted, by grant id; those unspent may be returned.
        self._granted_counts: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )

    def available_tokens(self, now: float) -> float:
        """Return the number of tokens available."""
        self._fill(now)
        return self._tokens

    def set_share(self, share: SliceShare, now: float) -> None:
        """Change rate and burst; tokens above the new depth are dropped.

        Tokens granted earlier keep the former lifetime, which the new depth
        may not account for. No tokens accrue until they have expired.
        """
        if share == self._share:
            return
        self._fill(now)
        self._filled_at = max(self._filled_at, now + self._share.lifetime_s)
        self._share = share
        self._tokens = min(self._tokens, share.depth)

    def grant_tokens(self, count: int, now: float) -> TokenGrant:
        """Grant up to a number of tokens."""
        self._fill(now)
        share = self._share
        granted = min(count, math.floor(self._tokens))
        if granted <= 0:
            return TokenGrant(0, share.lifetime_s, self._retry_after_s(now))
        self._tokens -= granted
        if not share.has_lifetime_margin:
            # No tokens accrue before these have expired, which bounds a
            # small burst without the lifetime margin.
            self._filled_at = max(self._filled_at, now + share.lifetime_s)
        grant_id = self._next_grant_id
        self._next_grant_id += 1
        self._granted_counts[grant_id] = granted
        if len(self._granted_counts) > _MAX_RETURNABLE_GRANTS:
            self._granted_counts.popitem(last=False)
        return TokenGrant(granted, share.lifetime_s, grant_id=grant_id)

    def return_tokens(self, grant_id: int, count: int, now: float) -> int:
        """Accept unspent tokens of a grant; repeated returns have no effect.

        Returns:
            Number of tokens accepted.
        """
        granted = self._granted_counts.pop(grant_id, 0)
        self._fill(now)
        before = self._tokens
        added = min(max(0, count), granted)
        self._tokens = min(self._share.depth, before + added)
        return added

    def _fill(self, now: float) -> None:
        if now <= self._filled_at:
            return
        accrued = (now - self._filled_at) * self._share.rate_per_s
        self._tokens = min(self._share.depth, self._tokens + accrued)
        self._filled_at = now

    def _retry_after_s(self, now: float) -> float:
        rate = self._share.rate_per_s
        if rate <= 0 or self._share.depth < 1:
            return math.inf
        wait_s = (1 - self._tokens) / rate
        return wait_s + max(0.0, self._filled_at - now)


class DemandRate:
    """Request rate of a workspace at an entry, exponentially smoothed.

    Args:
        window_s: Seconds in which the weight of a request decays to 1/e.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._weight = 0.0
        self._updated_at = -math.inf

    def add(self, now: float) -> None:
        """Count a request."""
        self._weight = 1 + self._weight * self._decay(now)
        self._updated_at = now

    def per_s(self, now: float) -> float:
        """Return the smoothed rate in requests per second."""
        return self._weight * self._decay(now) / self._window_s

    def _decay(self, now: float) -> float:
        return math.exp((self._updated_at - now) / self._window_s)


@dataclasses.dataclass(slots=True)
class TokenBatch:
    """Tokens of one grant at an entry.

    Args:
        source: Address of the holder and slice index.
        grant_id: Id of the grant at the holder.
        remaining: Number of unspent tokens.
        expires_at: Expiry in monotonic seconds.
    """

    source: tuple[str, int]
    grant_id: int
    remaining: int
    expires_at: float


class TokenPool:
    """Tokens of a workspace at an entry, spent in the order of expiry."""

    def __init__(self) -> None:
        self._batches: list[TokenBatch] = []

    @property
    def is_empty(self) -> bool:
        """Return whether the pool has no batches, expired ones included."""
        return not self._batches

    def available(self, now: float) -> int:
        """Return the number of tokens that can be spent."""
        return sum(b.remaining for b in self._batches if now < b.expires_at)

    def add(self, batch: TokenBatch) -> None:
        """Add a grant, whose `expires_at` counts from the token request."""
        self._batches.append(batch)
        self._batches.sort(key=lambda b: b.expires_at)

    def take(self, now: float) -> TokenBatch | None:
        """Spend a token and return its batch, or None without tokens."""
        for batch in self._batches:
            if batch.remaining > 0 and now < batch.expires_at:
                batch.remaining -= 1
                return batch
        return None

    def return_token(self, batch: TokenBatch) -> None:
        """Put the token of a request that did not run back into its batch.

        The token keeps its expiry. It is lost if its batch has been removed
        from the pool.
        """
        batch.remaining += 1

    def remove_expiring(
        self, now: float, *, before: float
    ) -> list[TokenBatch]:
        """Remove the batches that expire up to a given time.

        Returns:
            Removed batches with unspent, unexpired tokens. The caller may
            return these tokens to the holder, once.
        """
        expiring = [b for b in self._batches if b.expires_at <= before]
        self._batches = [b for b in self._batches if b.expires_at > before]
        return [b for b in expiring if b.remaining > 0 and now < b.expires_at]
