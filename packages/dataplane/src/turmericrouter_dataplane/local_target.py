"""The target of a host."""

import dataclasses

from turmericrouter_dataplane.frames import HostRecord
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

    @property
    def start(self) -> tuple[str, int]:
        """Return what names the present start, its id and its time."""
        return self.target_id, self.started_at_ms


def with_target(record: HostRecord, target: LocalTarget) -> HostRecord:
    """Return the record of a host with its present target."""
    return HostRecord(
        record.name,
        record.address,
        record.domain,
        target.service,
        target.target_id,
        target.slots,
        int(target.state),
        target.started_at_ms,
        str(target.address),
    )


def target_of(record: HostRecord) -> LocalTarget | None:
    """Return the target of a host's record, None if it names none.

    Raises:
        ValueError: The record has an invalid address or state.
    """
    if not record.target_id or not record.target_address:
        return None
    return LocalTarget(
        record.target_id,
        record.service,
        Address.parse(record.target_address),
        record.slots,
        TargetState(record.state),
        record.started_at_ms,
    )
