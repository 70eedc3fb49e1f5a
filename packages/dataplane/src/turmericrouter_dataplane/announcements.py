"""Announcements that a target sends to its daemon."""

from collections.abc import Callable
import dataclasses

from turmericrouter_dataplane.decision_log import DecisionLog
from turmericrouter_dataplane.local_target import LocalTarget
from turmericrouter_dataplane.policy.target_chooser import TargetState


@dataclasses.dataclass(frozen=True, slots=True)
class TargetDeparture:
    """Announcement that a target has stopped or is about to stop."""

    target_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidAnnouncement:
    """An announcement that is not valid.

    Args:
        why: What is wrong with it.
    """

    why: str


class Announcements:
    """Keeps the newest announcement of the local target.

    Announcements of an earlier start and announcements that arrive out of
    order are ignored. A leaving target never returns to serving under the
    same start.

    Args:
        on_change: Called with the target when it has changed.
        log: Decision log.
    """

    def __init__(
        self, on_change: Callable[[LocalTarget], None], log: DecisionLog
    ) -> None:
        self._on_change = on_change
        self._log = log
        self._target: LocalTarget | None = None

    def restore(self, target: LocalTarget) -> None:
        """Use the target of the stored host record until it is announced."""
        if self._target is None:
            self._accept(target)

    def restore_departure(self, target_id: str, started_at_ms: int) -> None:
        """Record that a target had left before this daemon restarted."""
        current = self._target
        if current is not None and current.started_at_ms == started_at_ms:
            self.handle_departure(TargetDeparture(target_id))

    def handle_announcement(self, target: LocalTarget) -> None:
        """Handle a heartbeat of the target."""
        current = self._target
        if current is not None:
            if (
                target.started_at_ms
                and current.started_at_ms
                and target.started_at_ms < current.started_at_ms
            ):
                return
            is_same = (
                target.target_id == current.target_id
                and target.started_at_ms == current.started_at_ms
            )
            if is_same and target.sequence <= current.sequence:
                return
            if is_same and current.state is TargetState.LEAVING:
                target = dataclasses.replace(target, state=TargetState.LEAVING)
        self._accept(target)

    def handle_departure(self, departure: TargetDeparture) -> None:
        """Handle the departure of the target."""
        current = self._target
        if current is None or current.target_id != departure.target_id:
            return
        if current.state is not TargetState.LEAVING:
            self._accept(
                dataclasses.replace(current, state=TargetState.LEAVING)
            )

    def _accept(self, target: LocalTarget) -> None:
        previous, self._target = self._target, target
        if (
            previous is None
            or previous.target_id != target.target_id
            or previous.state is not target.state
            or previous.slots != target.slots
            or previous.address != target.address
        ):
            self._log.event(
                'target_changed',
                target=target.target_id,
                service=target.service,
                state=target.state.name.lower(),
                slots=target.slots,
                born=target.started_at_ms,
                sequence=target.sequence,
            )
            self._on_change(target)
