"""Bounds on attempts: budgets, allowances and the caller's back-off."""

import collections
from collections.abc import Hashable
import dataclasses

# Seconds of the floor rate that a budget can save up.
_SAVED_FLOOR_S = 10.0
_FORGET_S = 120.0
_MAX_CALLERS = 16_384
_MAX_REFUSALS = 5
FIRST_RETRY_AFTER_S = 1.0


class RetryBudget:
    """Retries per (workspace, service), paid for by successes.

    Over any period the retries of a pair are at most
    ratio * successes + floor * seconds + 10 seconds of the floor.

    Args:
        ratio: Retries allowed per success.
        floor_per_s: Retries a second allowed without successes.
    """

    def __init__(self, *, ratio: float, floor_per_s: float) -> None:
        self._ratio = ratio
        self._floor_per_s = floor_per_s
        self._cap = max(1.0, _SAVED_FLOOR_S * floor_per_s)
        # Balance and the time as of which it holds.
        self._balances: dict[Hashable, tuple[float, float]] = {}

    def __len__(self) -> int:
        return len(self._balances)

    def balance(self, workspace: str, service: str, now: float) -> float:
        """Return the retries that may be made now."""
        return self._balance((workspace, service), now)

    def succeed(self, workspace: str, service: str, now: float) -> None:
        """Count a success of a first or later attempt."""
        key = (workspace, service)
        balance = min(self._cap, self._balance(key, now) + self._ratio)
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
        """Forget pairs that have saved up all they can."""
        full = [
            key
            for key in self._balances
            if self._balance(key, now) >= self._cap
        ]
        for key in full:
            del self._balances[key]

    def _balance(self, key: Hashable, now: float) -> float:
        held = self._balances.get(key)
        if held is None:
            return self._cap
        balance, since = held
        earned = max(0.0, now - since) * self._floor_per_s
        return min(self._cap, balance + earned)


@dataclasses.dataclass(slots=True)
class RetryAllowance:
    """Retries that a request and all calls below it may still make.

    The allowance moves down with a nested call and its unspent part comes
    back, so at any moment each retry is held in one place only.

    Args:
        left: Retries held here.
        used: Retries spent or held further down.
    """

    left: int
    used: int = 0

    def take(self) -> bool:
        """Take one retry, and return whether there was one."""
        if self.left < 1:
            return False
        self.left -= 1
        self.used += 1
        return True

    def hand_down(self) -> int:
        """Move all that is left to a nested call."""
        moved = self.left
        self.left = 0
        self.used += moved
        return moved

    def take_back(self, moved: int, used: int) -> None:
        """Get back what a nested call has not spent.

        Args:
            moved: What `hand_down` returned.
            used: What the call reported as spent; a report out of range
                counts as all spent.
        """
        unspent = moved - used if 0 <= used <= moved else 0
        self.left += unspent
        self.used -= unspent


class CallerBackoff:
    """Grows `Retry-After` with how often a caller was refused.

    Args:
        longest_s: Upper bound of the wait in seconds.
    """

    def __init__(self, *, longest_s: float = 30.0) -> None:
        self._longest_s = longest_s
        # Refusals and the time of the last one, oldest caller first.
        self._refusals: collections.OrderedDict[
            Hashable, tuple[int, float]
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._refusals)

    def refuse(
        self,
        caller: Hashable,
        now: float,
        jitter: float,
        *,
        at_least_s: float = 0.0,
    ) -> float:
        """Count a refusal and return the seconds to wait.

        Args:
            caller: Who was refused.
            now: Monotonic seconds.
            jitter: Random number from 0 to 1; spreads callers that were
                refused at the same time.
            at_least_s: Lower bound known from the refusal itself.
        """
        count, last = self._refusals.pop(caller, (0, now))
        if now - last > _FORGET_S:
            count = 0
        self._refusals[caller] = min(count + 1, _MAX_REFUSALS), now
        if len(self._refusals) > _MAX_CALLERS:
            self._refusals.popitem(last=False)
        wait_s = FIRST_RETRY_AFTER_S * float(2**count) * (0.5 + jitter)
        return max(min(wait_s, self._longest_s), at_least_s)

    def serve(self, caller: Hashable) -> None:
        """Count an answer; it halves the caller's refusals."""
        held = self._refusals.get(caller)
        if held is None:
            return
        count, last = held
        if count > 1:
            self._refusals[caller] = count // 2, last
        else:
            del self._refusals[caller]
