"""Chooses the host whose target is to run a request."""

from collections.abc import Collection
import dataclasses
import enum
import random

from turmericrouter_core.verdict import Reason
from turmericrouter_dataplane.frames import HostRecord

# Load relative to the limit up to which the own failure domain is preferred;
# a short wait there costs less than the way to another domain.
_LOCAL_FULL = 1.15
_FULL = 1.3
# Failures weigh in with this factor, and halve over time.
_FAILURE_WEIGHT = 0.2
_FAILURE_HALF_LIFE_S = 2.0
_UNHEALTHY = 0.45
# A target that could not be reached is left alone for this time.
_UNREACHABLE_S = 0.5
# An unhealthy target gets one request in this time to show its state.
_TRIAL_PERIOD_S = 0.7
# A report of the load is taken at its word for this long.
_REPORT_S = 1.5

# Outcomes that speak against the target.
_FAILURES = frozenset(
    {
        Reason.TARGET_CRASHED,
        Reason.TARGET_ANSWER_INVALID,
        Reason.TARGET_SHED,
        Reason.LINK_LOST,
        Reason.TARGET_UNREACHABLE,
        Reason.TARGET_RETIRED,
    }
)
_UNREACHABLE = frozenset(
    {
        Reason.TARGET_UNREACHABLE,
        Reason.LINK_NOT_SENT,
        Reason.LINK_LOST,
        Reason.DAEMON_STOPPING,
        Reason.TARGET_LEAVING,
        Reason.TARGET_RETIRED,
    }
)


class TargetState(enum.IntEnum):
    """Life of a target."""

    UNKNOWN = 0
    SERVING = 1
    LEAVING = 2


@dataclasses.dataclass(slots=True)
class HostView:
    """What this host knows of another one and of its target."""

    record: HostRecord
    is_linked: bool = False
    is_leaving: bool = False
    heard_at: float = -1e9
    learned_at: float = -1e9
    running: int = 0
    waiting: int = 0
    limit: int = 0
    reported_at: float = -1e9
    in_flight: int = 0
    failure: float = 0.0
    failure_at: float = 0.0
    avoid_until: float = -1e9
    next_trial: float = -1e9

    def load(self, now: float) -> float:
        """Return requests at the gate over its limit."""
        limit = self.limit or self.record.slots or 1
        count = self.in_flight
        if now - self.reported_at < _REPORT_S:
            count = max(count, self.running + self.waiting)
        return count / limit

    def failure_now(self, now: float) -> float:
        """Return the share of failures, faded since the last one."""
        age = now - self.failure_at
        return self.failure * float(0.5 ** (age / _FAILURE_HALF_LIFE_S))


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Result of a choice.

    Args:
        host: Name of the host; none if there is none to send to.
        reason: Why there is none.
        candidates: Hosts that were weighed.
        load: Load of the chosen one.
    """

    host: str | None
    reason: Reason
    candidates: int
    load: float = 0.0


class TargetChooser:
    """Targets by service, with what is known of their load and health.

    Args:
        own_host: Name of this host.
        domain: Failure domain of this host.
        rng: Source of random choices.
    """

    def __init__(self, own_host: str, domain: str, rng: random.Random) -> None:
        self._own_host = own_host
        self._domain = domain
        self._rng = rng
        self._views: dict[str, HostView] = {}
        self._by_service: dict[str, dict[str, HostView]] = {}

    @property
    def views(self) -> dict[str, HostView]:
        """Return all hosts by name."""
        return self._views

    @property
    def serving(self) -> int:
        """Return the number of targets that may be chosen."""
        return sum(_is_usable(view) for view in self._views.values())

    def update(self, record: HostRecord) -> HostView:
        """Take in what a host says of itself."""
        view = self._views.get(record.name)
        if view is None:
            view = HostView(record)
            view.is_linked = record.name == self._own_host
            self._views[record.name] = view
        elif view.record.service != record.service:
            self._by_service.get(view.record.service, {}).pop(
                record.name, None
            )
        if view.record.target_id != record.target_id:
            view.failure = 0.0
            view.avoid_until = -1e9
        view.record = record
        self._by_service.setdefault(record.service, {})[record.name] = view
        return view

    def remove(self, host: str) -> None:
        """Forget a host."""
        view = self._views.pop(host, None)
        if view is not None:
            self._by_service.get(view.record.service, {}).pop(host, None)

    def choose(
        self,
        service: str,
        *,
        now: float,
        is_vital: bool,
        tried: Collection[str],
    ) -> Choice:
        """Choose a host.

        Args:
            service: Service of the request.
            now: Monotonic seconds.
            is_vital: Whether the request goes to a full target rather than
                to none, since others have to give way to it there.
            tried: Hosts that have been tried for this request.
        """
        usable = [
            view
            for name, view in self._by_service.get(service, {}).items()
            if name not in tried and _is_usable(view)
        ]
        if not usable:
            reason = Reason.NO_ROOM if tried else Reason.NO_TARGET
            return Choice(None, reason, 0)
        trial = self._due_trial(usable, now)
        if trial is not None:
            return self._chosen(trial, usable, now)
        healthy = [
            view
            for view in usable
            if view.avoid_until <= now and view.failure_now(now) < _UNHEALTHY
        ]
        pool = healthy or usable
        local = [v for v in pool if v.record.domain == self._domain]
        best = self._least_loaded(local, now)
        if best is not None and best.load(now) < _LOCAL_FULL:
            return self._chosen(best, usable, now)
        remote = [v for v in pool if v.record.domain != self._domain]
        other = self._least_loaded(self._sample(remote), now)
        if other is not None and other.load(now) < _LOCAL_FULL:
            return self._chosen(other, usable, now)
        if best is None or (
            other is not None and other.load(now) < best.load(now)
        ):
            best = other
        if best is None or not (is_vital or best.load(now) < _FULL):
            return Choice(None, Reason.NO_ROOM, len(usable))
        return self._chosen(best, usable, now)

    def finish(self, host: str, reason: Reason, now: float) -> None:
        """Learn how a request at a host ended."""
        view = self._views.get(host)
        if view is None:
            return
        view.in_flight -= 1
        failed = reason in _FAILURES
        if failed or view.failure:
            faded = view.failure_now(now)
            view.failure = faded + _FAILURE_WEIGHT * (failed - faded)
            view.failure_at = now
        if reason in _UNREACHABLE:
            view.avoid_until = now + _UNREACHABLE_S

    def _due_trial(
        self, usable: list[HostView], now: float
    ) -> HostView | None:
        for view in usable:
            if (
                view.record.domain == self._domain
                and view.failure_now(now) >= _UNHEALTHY
                and view.next_trial <= now
                and view.avoid_until <= now
            ):
                view.next_trial = now + _TRIAL_PERIOD_S
                return view
        return None

    def _sample(self, views: list[HostView]) -> list[HostView]:
        if len(views) <= 2:
            return views
        return self._rng.sample(views, 2)

    def _least_loaded(
        self, views: list[HostView], now: float
    ) -> HostView | None:
        if len(views) <= 1:
            return views[0] if views else None
        return min(views, key=lambda view: view.load(now))

    def _chosen(
        self, view: HostView, usable: list[HostView], now: float
    ) -> Choice:
        view.in_flight += 1
        return Choice(
            view.record.name, Reason.SERVED, len(usable), view.load(now)
        )


def _is_usable(view: HostView) -> bool:
    return (
        view.is_linked
        and not view.is_leaving
        and view.record.state == TargetState.SERVING
    )
