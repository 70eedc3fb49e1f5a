"""Rosters: which addresses hold quota slices and operations."""

import msgspec

from turmericrouter_core.control import RosterChange

NO_EPOCH = -1


class Roster(msgspec.Struct, frozen=True, array_like=True):
    """Holders of a failure domain.

    Args:
        epoch: Offset of the control record that set them, -1 before the
            first.
        holders: Addresses in no particular order.
    """

    epoch: int = NO_EPOCH
    holders: tuple[str, ...] = ()


class RosterState:
    """Rosters of all failure domains, as of one offset of the log.

    The log's order and the base epoch decide between changes that were
    proposed at the same time, so all daemons agree on the holders.
    """

    def __init__(self) -> None:
        self._rosters: dict[str, Roster] = {}

    def roster(self, domain: str) -> Roster:
        """Return the roster of a failure domain."""
        return self._rosters.get(domain, Roster())

    def apply(self, offset: int, change: RosterChange) -> bool:
        """Apply a change; return whether it was accepted."""
        if change.base_epoch != self.roster(change.domain).epoch:
            return False
        self._rosters[change.domain] = Roster(offset, change.holders)
        return True

    def snapshot(self) -> dict[str, Roster]:
        """Return all rosters by failure domain."""
        return dict(self._rosters)

    def restore(self, rosters: dict[str, Roster]) -> tuple[str, ...]:
        """Take over newer rosters and return the domains that changed."""
        changed = tuple(
            domain
            for domain, roster in rosters.items()
            if roster.epoch > self.roster(domain).epoch
        )
        for domain in changed:
            self._rosters[domain] = rosters[domain]
        return changed
