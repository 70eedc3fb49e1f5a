"""Limits of retries: retry budgets, allowances and back-off of callers."""

import collections
from collections.abc import Hashable
import dataclasses

# Seconds of the floor rate that a retry budget can accumulate.
_MAX_ACCUMULATED_S = 10.0
_REFUSAL_EXPIRY_S = 120.0
_MAX_CALLERS = 16_384
_MAX_REFUSALS = 5
FIRST_RETRY_AFTER_S = 1.0


class RetryBudget:
    """Retry budget per (workspace, service), earned by successes.

    Over any period the retries of a pair are at most
    ratio * successes + floor * seconds + 10 seconds of the floor.

    Args:
        ratio: Retries allowed per success.
        floor_per_s: Retries per second allowed without successes.
    """

    def __init__(self, *, ratio: float, floor_per_s: float) -> None:
        self._ratio = ratio
        self._floor_per_s = floor_per_s
        self._max_balance = max(1.0, _MAX_ACCUMULATED_S * floor_per_s)
        # Balance of each pair, with the time of its last update.
        self._balances: dict[Hashable, tuple[float, float]] = {}

    def __len__(self) -> int:
        return len(self._balances)

    def balance(self, workspace: str, service: str, now: float) -> float:
        """Return the number of retries available."""
        return self._balance((workspace, service), now)

    def record_success(self, workspace: str, service: str, now: float) -> None:
        """Record a success of a first or later attempt."""
        key = (workspace, service)
        balance = min(self._max_balance, self._balance(key, now) + self._ratio)
        self._balances[key] = balance, now

    def take(self, workspace: str, service: str, now: float) -> bool:
        """Take one retry, and return whether there was one."""
        key = (workspace, service)
        balance = self._balance(key, now)
        if balance < 1:
            return False
        self._balances[key] = balance - 1, now
        return True

    def prune(self, now: float) -> None:
        """Remove pairs whose balance has reached its maximum."""
        full = [
            key
            for key in self._balances
            if self._balance(key, now) >= self._max_balance
        ]
        for key in full:
            del self._balances[key]

    def _balance(self, key: Hashable, now: float) -> float:
        known = self._balances.get(key)
        if known is None:
            return self._max_balance
        balance, updated_at = known
        earned = max(0.0, now - updated_at) * self._floor_per_s
        return min(self._max_balance, balance + earned)


@dataclasses.dataclass(slots=True)
class RetryAllowance:
    """Retries that a request and all its nested calls may still make.

    The allowance is passed to a nested call, which returns the unspent part,
    so each retry is available in one place only at any time.

    Args:
        remaining: Number of retries available here.
        used: Number of retries spent, or passed to nested calls in flight.
    """

    remaining: int
    used: int = 0

    def take(self) -> bool:
        """Take one retry, and return whether there was one."""
        if self.remaining < 1:
            return False
        self.remaining -= 1
        self.used += 1
        return True

    def reserve_for_nested_call(self) -> int:
        """Move all retries to a nested call and return their number."""
        moved = self.remaining
        self.remaining = 0
        self.used += moved
        return moved

    def return_unspent(self, moved: int, used: int) -> None:
        """Take back the retries that a nested call has not spent.

        Args:
            moved: Result of `hand_down`.
            used: Number of retries that the call reported as spent. With a
                number out of range, all count as spent.
        """
        unspent = moved - used if 0 <= used <= moved else 0
        self.remaining += unspent
        self.used -= unspent


class CallerBackoff:
    """Exponential back-off that increases `Retry-After` per refused caller.

    Args:
        longest_s: Maximum retry-after in seconds.
    """

    def __init__(self, *, max_retry_after_s: float = 30.0) -> None:
        self._max_wait_s = max_retry_after_s
        # Number of refusals and time of the last one, by caller, with the
        # least recently refused caller first.
        self._refusals: collections.OrderedDict[
            Hashable, tuple[int, float]
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._refusals)

    def record_refusal(
        self,
        caller: Hashable,
        now: float,
        jitter: float,
        *,
        min_retry_after_s: float = 0.0,
    ) -> float:
        """Record a refusal and return the retry-after in seconds.

        Args:
            caller: Identifies the refused caller.
            now: Monotonic seconds.
            jitter: Random fraction from 0 to 1, which spreads the retries of
                callers that were refused at the same time.
            min_retry_after_s: Minimum from the refusal itself.
        """
        count, refused_at = self._refusals.pop(caller, (0, now))
        if now - refused_at > _REFUSAL_EXPIRY_S:
            count = 0
        self._refusals[caller] = min(count + 1, _MAX_REFUSALS), now
        if len(self._refusals) > _MAX_CALLERS:
            self._refusals.popitem(last=False)
        wait_s = FIRST_RETRY_AFTER_S * float(2**count) * (0.5 + jitter)
        return max(min(wait_s, self._max_wait_s), min_retry_after_s)

    def record_answer(self, caller: Hashable) -> None:
        """Record an answer, which halves the refusal count of the caller."""
        known = self._refusals.get(caller)
        if known is None:
            return
        count, refused_at = known
        if count > 1:
            self._refusals[caller] = count // 2, refused_at
        else:
            del self._refusals[caller]
