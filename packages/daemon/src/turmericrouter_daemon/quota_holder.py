"""Token buckets of the quota slices that this daemon holds."""

from collections.abc import Iterable
import math

from turmericrouter_core.messages import RequestTokens
from turmericrouter_core.messages import ReturnTokens
from turmericrouter_core.messages import TokensGranted
from turmericrouter_core.quota import QuotaSlice
from turmericrouter_core.quota import SliceShare
from turmericrouter_daemon.quota_division import QuotaDivisions
from turmericrouter_daemon.roster_service import RosterService
from turmericrouter_daemon.runtime import Runtime

MAX_GRANT = 1000
_MAX_RETRY_AFTER_S = 60.0
_GRANT_ID_BITS = 53


class HeldSlices:
    """Grants tokens of the slices that this daemon holds.

    Args:
        runtime: Services of the process.
        divisions: Shares of slices.
        rosters: Holders of slices.
    """

    def __init__(
        self,
        runtime: Runtime,
        divisions: QuotaDivisions,
        rosters: RosterService,
    ) -> None:
        self._runtime = runtime
        self._divisions = divisions
        self._rosters = rosters
        # Bucket and start of the holding period by (workspace, slice).
        self._slices: dict[tuple[str, int], tuple[QuotaSlice, float]] = {}

    def available_tokens(self, workspace: str, now: float) -> list[float]:
        """Return the tokens in each held slice of a workspace."""
        return [
            bucket.available_tokens(now)
            for (name, index), (bucket, _) in self._slices.items()
            if name == workspace and self._held_since(name, index) is not None
        ]

    def grant_tokens(self, message: RequestTokens) -> TokensGranted:
        """Handle a token request."""
        share = self._divisions.share(message.workspace)
        domain = self._divisions.domain(message.slice_index)
        self._rosters.handle_epoch(domain, message.epoch)
        if share is None or message.slice_index >= share.count:
            return TokensGranted(0, 0, fenced=True)
        held = self._find_held_slice(
            message.workspace, message.slice_index, share
        )
        if held is None:
            return TokensGranted(0, 0, fenced=True)
        grant = held.grant_tokens(
            min(message.count, MAX_GRANT), self._runtime.clock.monotonic()
        )
        wait_ms = min(grant.retry_after_s, _MAX_RETRY_AFTER_S) * 1000
        return TokensGranted(
            grant.count,
            math.floor(grant.lifetime_s * 1000),
            retry_after_ms=math.ceil(wait_ms),
            grant_id=grant.grant_id,
        )

    def return_tokens(self, message: ReturnTokens) -> None:
        """Handle the return of unspent tokens."""
        held = self._slices.get((message.workspace, message.slice_index))
        if held is not None:
            held[0].return_tokens(
                message.grant_id,
                message.count,
                self._runtime.clock.monotonic(),
            )

    def update(self, workspaces: Iterable[str]) -> None:
        """Apply changed shares at once, not at the next token request."""
        names = frozenset(workspaces)
        now = self._runtime.clock.monotonic()
        for (name, _), (held, _) in self._slices.items():
            if name in names and (share := self._divisions.share(name)):
                held.set_share(share, now)

    def _held_since(self, workspace: str, index: int) -> float | None:
        domain = self._divisions.domain(index)
        return self._rosters.held_since(domain, f'{workspace}/{index}')

    def _find_held_slice(
        self, workspace: str, index: int, share: SliceShare
    ) -> QuotaSlice | None:
        """Return the bucket of a slice, or None if it is not held here."""
        key = (workspace, index)
        since = self._held_since(workspace, index)
        if since is None:
            return None
        now = self._runtime.clock.monotonic()
        held = self._slices.get(key)
        if held is None or held[1] != since:
            # Another holder may have granted tokens before, so the new
            # bucket starts empty.
            begin = max(since, self._divisions.changed_at(workspace))
            first = self._runtime.rng.getrandbits(_GRANT_ID_BITS)
            held = QuotaSlice(share, begin, first_grant_id=first), since
            self._slices[key] = held
        held[0].set_share(share, now)
        return held[0]
