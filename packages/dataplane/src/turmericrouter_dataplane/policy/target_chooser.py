"""Chooses the host whose target (its local service process) runs a request."""

from collections.abc import Collection
import dataclasses
import enum
import random

import msgspec

from turmericrouter_core.verdict import Reason
from turmericrouter_dataplane.frames import HostRecord
from turmericrouter_dataplane.policy.rate_limit import NO_RATE_LIMIT

# Load below which a target of the own failure domain is preferred. A short
# wait there costs less than a hop to another domain.
_PREFERRED_MAX_LOAD = 1.15
_MAX_LOAD = 1.3
# Weight of a new result in the failure rate, which decays over time.
_FAILURE_WEIGHT = 0.2
_FAILURE_HALF_LIFE_S = 2.0
_UNHEALTHY_FAILURE_RATE = 0.45
# A target that could not be reached gets no requests for this time.
_UNREACHABLE_PAUSE_S = 0.5
# An unhealthy target gets one trial request per period.
_TRIAL_PERIOD_S = 0.7
# Older load reports are ignored.
_MAX_REPORT_AGE_S = 1.5

# Outcomes that count as failures of the target.
_FAILURE_REASONS = frozenset(
    {
        Reason.TARGET_CRASHED,
        Reason.TARGET_ANSWER_INVALID,
        Reason.TARGET_SHED,
        Reason.LINK_LOST,
        Reason.TARGET_UNREACHABLE,
        Reason.TARGET_RETIRED,
    }
)
_UNREACHABLE_REASONS = frozenset(
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
    """Lifecycle state of a target."""

    UNKNOWN = 0
    SERVING = 1
    LEAVING = 2


@dataclasses.dataclass(slots=True)
class HostView:
    """State of a host and its target as seen from this host."""

    record: HostRecord
    is_linked: bool = False
    is_leaving: bool = False
    protocol: int = 0
    reads_log: bool = True
    is_serving: bool = True
    last_seen_at: float = -1e9
    added_at: float = -1e9
    running: int = 0
    waiting: int = 0
    limit: int = 0
    reported_at: float = -1e9
    # Rate that its target has named, see `Outcome`, and id and start of that
    # target. A daemon that restarts may not know its target at first.
    rate_limit: float = NO_RATE_LIMIT
    rate_limited_target: tuple[str, int] = ('', 0)
    in_flight: int = 0
    failure_rate: float = 0.0
    failure_rate_at: float = 0.0
    avoid_until: float = -1e9
    next_trial_at: float = -1e9
    # Id and start of the last target that was reported as leaving.
    departed_target: tuple[str, int] | None = None

    def record_rate_limit(self, rate_per_s: float) -> None:
        """Record the rate that the target has named, or `NO_RATE_LIMIT`."""
        self.rate_limit = rate_per_s
        self.rate_limited_target = (
            self.record.target_id,
            self.record.started_at_ms,
        )

    def with_known_departure(self, record: HostRecord) -> HostRecord:
        """Return a record whose target is leaving if it is known to be.

        A target that leaves never serves again under the same start, but a
        host that restarts may have an older record of it, or none at first.
        """
        target = (record.target_id, record.started_at_ms)
        if record.state == TargetState.LEAVING:
            self.departed_target = target
        elif target == self.departed_target:
            return msgspec.structs.replace(
                record, state=int(TargetState.LEAVING)
            )
        return record

    def load(self, now: float) -> float:
        """Return the requests at the gate divided by its limit."""
        limit = self.limit or self.record.slots or 1
        count = self.in_flight
        if now - self.reported_at < _MAX_REPORT_AGE_S:
            count = max(count, self.running + self.waiting)
        return count / limit

    def current_failure_rate(self, now: float) -> float:
        """Return the failure rate, decayed since its last update."""
        age = now - self.failure_rate_at
        return self.failure_rate * float(0.5 ** (age / _FAILURE_HALF_LIFE_S))


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Result of choosing a host.

    Args:
        host: Name of the host; None if no host is available.
        reason: Why no host is available.
        candidates: Number of usable hosts.
        load: Load of the chosen host.
    """

    host: str | None
    reason: Reason
    candidates: int
    load: float = 0.0


class TargetChooser:
    """Chooses among the targets of a service by their load and health.

    Args:
        own_host: Name of this host.
        domain: Failure domain of this host.
        rng: Random number generator.
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
        """Add or update a host from its record."""
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
            view.failure_rate = 0.0
            view.avoid_until = -1e9
        view.record = view.with_known_departure(record)
        self._by_service.setdefault(record.service, {})[record.name] = view
        return view

    def remove(self, host: str) -> None:
        """Remove a host."""
        view = self._views.pop(host, None)
        if view is not None:
            self._by_service.get(view.record.service, {}).pop(host, None)

    def choose(
        self,
        service: str,
        *,
        now: float,
        allows_full_target: bool,
        tried: Collection[str],
    ) -> Choice:
        """Choose a host.

        Args:
            service: Service of the request.
            now: Monotonic seconds.
            allows_full_target: Whether to send the request to a full target
                if there is no other, since less important requests are
                evicted for it there.
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
            return self._select(trial, usable, now)
        healthy = [
            view
            for view in usable
            if view.avoid_until <= now
            and view.current_failure_rate(now) < _UNHEALTHY_FAILURE_RATE
        ]
        pool = healthy or usable
        local = [v for v in pool if v.record.domain == self._domain]
        best = self._least_loaded(local, now)
        if best is not None and best.load(now) < _PREFERRED_MAX_LOAD:
            return self._select(best, usable, now)
        remote = [v for v in pool if v.record.domain != self._domain]
        other = self._least_loaded(self._sample(remote), now)
        if other is not None and other.load(now) < _PREFERRED_MAX_LOAD:
            return self._select(other, usable, now)
        if best is None or (
            other is not None and other.load(now) < best.load(now)
        ):
            best = other
        if best is None or not (
            allows_full_target or best.load(now) < _MAX_LOAD
        ):
            return Choice(None, Reason.NO_ROOM, len(usable))
        return self._select(best, usable, now)

    def avoid(self, host: str, until: float) -> None:
        """Prefer other hosts for a while.

        Args:
            host: Name of the host.
            until: Monotonic seconds.
        """
        view = self._views.get(host)
        if view is not None:
            view.avoid_until = max(view.avoid_until, until)

    def finish(self, host: str, reason: Reason, now: float) -> None:
        """Update the health of a host with the result of a request."""
        view = self._views.get(host)
        if view is None:
            return
        view.in_flight -= 1
        failed = reason in _FAILURE_REASONS
        if failed or view.failure_rate:
            faded = view.current_failure_rate(now)
            view.failure_rate = faded + _FAILURE_WEIGHT * (failed - faded)
            view.failure_rate_at = now
        if reason in _UNREACHABLE_REASONS:
            view.avoid_until = now + _UNREACHABLE_PAUSE_S

    def _due_trial(
        self, usable: list[HostView], now: float
    ) -> HostView | None:
        for view in usable:
            if (
                view.record.domain == self._domain
                and view.current_failure_rate(now) >= _UNHEALTHY_FAILURE_RATE
                and view.next_trial_at <= now
                and view.avoid_until <= now
            ):
                view.next_trial_at = now + _TRIAL_PERIOD_S
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

    def _select(
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
