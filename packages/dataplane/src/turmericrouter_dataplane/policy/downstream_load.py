"""Sheds new requests at their entry while a downstream service is overloaded.

Each gate (the admission control in front of a host's target) reports its load
with each outcome. A daemon whose target makes nested calls propagates the
highest load among them, so the entry daemon of a request gets the load of the
bottleneck behind the route. Requests that would be refused deep in the call
chain are refused before they use any capacity.
"""

import dataclasses

# Load is the number of requests at a gate divided by its limit; above 1,
# requests wait. Shedding starts at these loads for the least and the most
# important rank, and in between for the ranks between them.
_LEAST_IMPORTANT_THRESHOLD = 1.02
_MOST_IMPORTANT_THRESHOLD = 1.5
# Load above the threshold at which all requests of a rank are refused.
_RAMP_LOAD = 0.35
_LEAST_IMPORTANT_RANK = 8
# Weight of a new report in the moving average.
_REPORT_WEIGHT = 0.12
# Estimates decay with this half-life, so that a route without traffic is
# admitted again.
_ESTIMATE_HALF_LIFE_S = 0.5


@dataclasses.dataclass(slots=True)
class _LoadEstimate:
    load: float
    updated_at: float


class DownstreamLoad:
    """Estimates the load of the bottleneck service behind each route."""

    def __init__(self) -> None:
        self._estimates: dict[str, _LoadEstimate] = {}

    def report(self, route: str, load: float, now: float) -> None:
        """Add the highest load along the call chain of a request."""
        estimate = self._estimates.get(route)
        if estimate is None:
            self._estimates[route] = _LoadEstimate(load, now)
            return
        estimate.load += _REPORT_WEIGHT * (load - estimate.load)
        estimate.updated_at = now

    def load(self, route: str, now: float) -> float:
        """Return the decayed load estimate of a route, 0 without reports."""
        estimate = self._estimates.get(route)
        if estimate is None:
            return 0.0
        age = now - estimate.updated_at
        return estimate.load * float(0.5 ** (age / _ESTIMATE_HALF_LIFE_S))

    def admits(self, route: str, rank: int, now: float, sample: float) -> bool:
        """Return whether a new request is admitted.

        Args:
            route: Name of its route.
            rank: Its rank; 0 is the most important.
            now: Monotonic seconds.
            sample: Random fraction from 0 to 1.
        """
        estimate = self._estimates.get(route)
        if estimate is None or estimate.load <= _LEAST_IMPORTANT_THRESHOLD:
            return True
        importance_fraction = (
            min(rank, _LEAST_IMPORTANT_RANK) / _LEAST_IMPORTANT_RANK
        )
        threshold = _MOST_IMPORTANT_THRESHOLD - importance_fraction * (
            _MOST_IMPORTANT_THRESHOLD - _LEAST_IMPORTANT_THRESHOLD
        )
        excess = self.load(route, now) - threshold
        return sample * _RAMP_LOAD >= excess
