"""The target of a host."""

import dataclasses

from turmericrouter_dataplane.policy.target_chooser import TargetState
from turmericrouter_dataplane.settings import Address


@dataclasses.dataclass(frozen=True, slots=True)
class LocalTarget:
    """The target of this host as it announced itself.

    Args:
        target_id: Id of the target's present start.
        service: Its service.
        address: Where it listens.
        slots: Requests that it runs at once.
        state: Serving or leaving.
        started_at_ms: Start in milliseconds by the target's clock.
        sequence: Number of the announcement.
    """

    target_id: str
    service: str
    address: Address
    slots: int
    state: TargetState
    started_at_ms: int = 0
    sequence: int = -1
