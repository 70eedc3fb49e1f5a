"""Adaptive concurrency limit of a target, with a cold start ramp."""

import dataclasses
import enum
import math

# The ramp starts at this share of the limit.
_RAMP_START = 0.25
# Mean latency over reference latency above which the target is congested.
_TOLERANCE = 2.0
# The limit counts as used from this share on.
_USED_SHARE = 0.8
_LATENCY_CUT = 0.9
_SHED_CUT = 0.7
# Share of timeouts or refusals in a window that lowers the limit; below it
# one caller with tiny deadlines could lower the limit of all.
_BAD_SHARE = 0.1
_MIN_SAMPLES = 5
_STEPS_TO_MAXIMUM = 50
_SMALL_LIMIT = 10
_REFERENCE_WEIGHT = 0.05
_LEARNING_SAMPLES = 20
# After the limit was halved, latency caused by concurrency has fallen at
# least to this share.
_PROBE_SHARE = 0.75
_MIN_REFERENCE_S = 1e-6
# Service time estimates follow low values fast and high values slowly, so
# they stay near the lower end of what a kind of request needs.
_FASTER_WEIGHT = 0.3
_SLOWER_WEIGHT = 0.03
# Without samples an estimate is halved this often, or a route whose
# estimate exceeds its deadline would never be tried again.
_HALF_LIFE_S = 1.0
_MAX_ROUTES = 1024


class Sample(enum.Enum):
    """How a request at the target ended."""

    SERVED = 'served'
    TIMEOUT = 'timeout'
    SHED = 'shed'


@dataclasses.dataclass(frozen=True, slots=True)
class LimitSettings:
    """Bounds of the limit.

    Args:
        initial: Limit of a target without known slots.
        maximum: Upper bound.
        minimum: Lower bound.
        cold_start_s: Seconds over which the limit of a new target ramps.
        window_s: Shortest time between two changes.
        adaptive: Whether to change the limit at all.
    """

    initial: int = 16
    maximum: int = 1000
    minimum: int = 1
    cold_start_s: float = 5.0
    window_s: float = 0.1
    adaptive: bool = True


@dataclasses.dataclass(slots=True)
class _Probe:
    """Finds out whether a lower limit lowers latency.

    Args:
        restored: Limit to go back to if it does not.
        value: Limit at the first whole window after the first cut.
        ratio: Latency ratio of that window, 0 before it.
    """

    restored: float
    value: float = 0.0
    ratio: float = 0.0


class ConcurrencyLimit:
    """Requests that a target may run at once.

    The limit rises by a step per window while it is used, and falls when
    latency grows, requests time out or the target refuses them. Latency is
    compared with a reference per route, as kinds of requests differ.

    Latency may also grow for reasons that a lower limit does not cure, such
    as a slow service deeper in the chain. If halving the limit has not
    lowered latency, the new latency becomes the reference and the limit is
    restored.

    Args:
        settings: Bounds.
        now: Monotonic seconds.
        slots: Announced slots, 0 if unknown.
        connections: Announced connections, 0 if unknown.
    """

    def __init__(
        self,
        settings: LimitSettings,
        now: float,
        *,
        slots: int = 0,
        connections: int = 0,
    ) -> None:
        self._settings = settings
        self._started_at = now
        self._upper = self._bound(slots, connections)
        self._value = float(min(slots or settings.initial, self._upper))
        self._whole = int(self._value)
        self._references: dict[str, list[float]] = {}
        self._scale = 1.0
        self._probe: _Probe | None = None
        self._cut_at = now
        self._peak = 0
        self._reset(now)

    @property
    def upper(self) -> int:
        """Return the bound by slots, connections and settings."""
        return self._upper

    def limit(self, now: float) -> int:
        """Return the limit in force."""
        settings = self._settings
        if not settings.adaptive:
            return self._upper
        age_s = now - self._started_at
        if age_s >= settings.cold_start_s:
            return self._whole
        ramp = _RAMP_START + (1 - _RAMP_START) * age_s / settings.cold_start_s
        return max(settings.minimum, math.ceil(self._value * ramp))

    def announce(self, *, slots: int, connections: int) -> None:
        """Take over changed bounds; higher slots only raise the bound."""
        self._upper = self._bound(slots, connections)
        self._set(self._value)

    def record(
        self,
        now: float,
        route: str,
        latency_s: float,
        in_flight: int,
        sample: Sample,
    ) -> None:
        """Take in the end of a request.

        Args:
            now: Monotonic seconds.
            route: Kind of request that has a latency of its own.
            latency_s: Seconds at the target.
            in_flight: Requests at the target, this one included.
            sample: How it ended.
        """
        if not self._settings.adaptive:
            return
        if now - latency_s < self._cut_at:
            # It started before the last cut and says nothing about it.
            return
        self._count += 1
        self._peak = max(self._peak, in_flight)
        if sample is Sample.SHED:
            self._bad += 1
        else:
            self._record_latency(route, latency_s, sample)
        if now >= self._window_end and self._count >= _MIN_SAMPLES:
            self._close(now)

    def _record_latency(
        self, route: str, latency_s: float, sample: Sample
    ) -> None:
        scaled_s = max(latency_s / self._scale, _MIN_REFERENCE_S)
        reference = self._references.get(route)
        if sample is Sample.TIMEOUT:
            # A deadline shorter than usual latency is no sign of overload.
            if reference and scaled_s > _TOLERANCE * reference[0]:
                self._bad += 1
            return
        if reference is None:
            if len(self._references) >= _MAX_ROUTES:
                self._references.clear()
            reference = self._references[route] = [scaled_s, 0]
        # The geometric mean keeps one slow request from deciding.
        self._log_sum += math.log(scaled_s / reference[0])
        self._ratios += 1
        reference[1] += 1
        if self._peak <= self._value / 2:
            weight = max(_REFERENCE_WEIGHT, 1 / reference[1])
            reference[0] += weight * (scaled_s - reference[0])
        elif reference[1] <= _LEARNING_SAMPLES:
            # Under load, the lowest value is the least congested one.
            reference[0] = min(reference[0], scaled_s)

    def _close(self, now: float) -> None:
        ratio = math.exp(self._log_sum / max(self._ratios, 1))
        limit = self.limit(now)
        if self._bad >= _BAD_SHARE * self._count:
            self._set(self._value * _SHED_CUT)
            self._cut_at = now
            self._reset(now)
            return
        if ratio < 1:
            # The target is faster than known; references come down.
            self._scale *= 1 + (ratio - 1) / 5
        used = self._peak >= _USED_SHARE * limit
        if ratio > _TOLERANCE and used:
            self._cut_for_latency(ratio)
            self._cut_at = now
        elif used:
            self._probe = None
            self._set(self._value + max(1, self._upper / _STEPS_TO_MAXIMUM))
        elif ratio <= _TOLERANCE:
            self._probe = None
        self._reset(now)

    def _cut_for_latency(self, ratio: float) -> None:
        if self._probe is None:
            # This window may hold requests from before the congestion, so
            # the next one gives the ratio to compare with.
            self._probe = _Probe(restored=self._value)
            self._set(self._value * _LATENCY_CUT)
            return
        probe = self._probe
        if not probe.ratio:
            probe.value, probe.ratio = self._value, ratio
        lowest = max(probe.value / 2, self._settings.minimum)
        if self._value > lowest:
            self._set(self._value * _LATENCY_CUT)
        elif ratio >= _PROBE_SHARE * probe.ratio:
            self._scale *= ratio
            self._set(probe.restored)
            self._probe = None
        else:
            probe.value, probe.ratio = self._value, ratio

    def _bound(self, slots: int, connections: int) -> int:
        settings = self._settings
        if not settings.adaptive:
            return connections or settings.maximum
        known = [bound for bound in (slots, connections) if bound]
        return max(settings.minimum, min([settings.maximum, *known]))

    def _set(self, value: float) -> None:
        lowest = min(self._settings.minimum, self._upper)
        self._value = min(max(value, lowest), float(self._upper))
        # Cutting off the fraction would make a cut of a tenth one of a third
        # for a target with three slots.
        is_small = self._value < _SMALL_LIMIT
        self._whole = round(self._value) if is_small else int(self._value)

    def _reset(self, now: float) -> None:
        self._window_end = now + self._settings.window_s
        self._count = 0
        self._bad = 0
        self._peak = 0
        self._ratios = 0
        self._log_sum = 0.0


class ServiceTimes:
    """Time that requests of a route need at the target, at least."""

    def __init__(self) -> None:
        self._estimates: dict[str, tuple[float, float]] = {}

    def expected(self, now: float, route: str) -> float:
        """Return seconds, 0 if nothing is known of the route."""
        known = self._estimates.get(route)
        if known is None:
            return 0.0
        estimate_s, updated_at = known
        age_s = now - updated_at
        if age_s <= _HALF_LIFE_S:
            return estimate_s
        return float(estimate_s * 0.5 ** (age_s / _HALF_LIFE_S))

    def record(self, now: float, route: str, service_s: float) -> None:
        """Take in the time of a request, or that after which it gave up."""
        expected_s = self.expected(now, route)
        if not expected_s:
            if len(self._estimates) >= _MAX_ROUTES:
                self._estimates.clear()
            expected_s = service_s
        faster = service_s < expected_s
        weight = _FASTER_WEIGHT if faster else _SLOWER_WEIGHT
        expected_s += weight * (service_s - expected_s)
        self._estimates[route] = (expected_s, now)
