"""Announcements by which a target tells its daemon of itself."""

from collections.abc import Callable
import dataclasses

from turmericrouter_dataplane.decision_log import DecisionLog
from turmericrouter_dataplane.local_target import LocalTarget
from turmericrouter_dataplane.policy.target_chooser import TargetState


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """A target says that it is gone, or about to be."""

    target_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ignored:
    """An announcement that can't be used.

    Args:
        why: What is wrong with it.
    """

    why: str


class Announcements:
    """Keeps the newest announcement of the local target.

    A late announcement of an earlier start, or one that was overtaken on the
    way, changes nothing. A target that has said it leaves never comes back
    under the same start.

    Args:
        on_change: Told the target when it has changed.
        log: Decision log.
    """

    def __init__(
        self, on_change: Callable[[LocalTarget], None], log: DecisionLog
    ) -> None:
        self._on_change = on_change
        self._log = log
        self._target: LocalTarget | None = None

    def presume(self, target: LocalTarget) -> None:
        """Take what was last known before this daemon's start."""
        if self._target is None:
            self._accept(target)

    def announce(self, target: LocalTarget) -> None:
        """Take in a heartbeat."""
        held = self._target
        if held is not None:
            if target.born and held.born and target.born < held.born:
                return
            is_same = (
                target.target_id == held.target_id and target.born == held.born
            )
            if is_same and target.sequence <= held.sequence:
                return
            if is_same and held.state is TargetState.LEAVING:
                target = dataclasses.replace(target, state=TargetState.LEAVING)
        self._accept(target)

    def depart(self, departure: Departure) -> None:
        """Take in that the target leaves."""
        held = self._target
        if held is None or held.target_id != departure.target_id:
            return
        if held.state is not TargetState.LEAVING:
            self._accept(dataclasses.replace(held, state=TargetState.LEAVING))

    def _accept(self, target: LocalTarget) -> None:
        before, self._target = self._target, target
        if (
            before is None
            or before.target_id != target.target_id
            or before.state is not target.state
            or before.slots != target.slots
            or before.address != target.address
        ):
            self._log.event(
                'target_changed',
                target=target.target_id,
                service=target.service,
                state=target.state.name.lower(),
                slots=target.slots,
                born=target.born,
                sequence=target.sequence,
            )
            self._on_change(target)
