"""Refuses new requests where they enter while the end of their chain is full.

Each gate reports its load with each outcome. A daemon whose target makes
nested calls passes on the highest load that they met, so the daemon that a
request entered learns the load of the narrowest service behind its route.
Work that would be refused deep in the chain is refused before it costs
anything.
"""

import dataclasses

# Load is requests at a gate over its limit; above 1 they wait.
# The least important requests are refused from the first load on, the most
# important from the second.
_FIRST_LOAD = 1.02
_LAST_LOAD = 1.5
# Span of load over which the refused part grows from none to all.
_SPAN = 0.35
_LEAST_RANK = 8
# Weight of a new report.
_WEIGHT = 0.12
# A report loses its meaning over this time, so that a route without traffic
# opens again.
_HALF_LIFE_S = 0.5


@dataclasses.dataclass(slots=True)
class _Pressure:
    load: float
    as_of: float


class AdmissionPressure:
    """Load of the narrowest service behind each route."""

    def __init__(self) -> None:
        self._pressures: dict[str, _Pressure] = {}

    def report(self, route: str, load: float, now: float) -> None:
        """Take in the highest load that a request of a route has met."""
        pressure = self._pressures.get(route)
        if pressure is None:
            self._pressures[route] = _Pressure(load, now)
            return
        pressure.load += _WEIGHT * (load - pressure.load)
        pressure.as_of = now

    def load(self, route: str, now: float) -> float:
        """Return the load behind a route."""
        pressure = self._pressures.get(route)
        if pressure is None:
            return 0.0
        age = now - pressure.as_of
        return pressure.load * float(0.5 ** (age / _HALF_LIFE_S))

    def admits(self, route: str, rank: int, now: float, draw: float) -> bool:
        """Return whether a new request may enter.

        Args:
            route: Name of its route.
            rank: Its importance, 0 first.
            now: Monotonic seconds.
            draw: Number from 0 to 1 that stays the same for a request.
        """
        pressure = self._pressures.get(route)
        if pressure is None or pressure.load <= _FIRST_LOAD:
            return True
        share = min(rank, _LEAST_RANK) / _LEAST_RANK
        threshold = _LAST_LOAD - share * (_LAST_LOAD - _FIRST_LOAD)
        excess = self.load(route, now) - threshold
        return draw * _SPAN >= excess
