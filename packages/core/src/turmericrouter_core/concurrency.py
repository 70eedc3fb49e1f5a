"""Adaptive concurrency limit of a target, with a cold start ramp.

Also estimates the service time of each route at the target.
"""

import dataclasses
import enum
import math

# Fraction of the limit at which the ramp starts.
_MIN_RAMP_FRACTION = 0.25
# Ratio of latency to reference latency above which the target is congested.
_CONGESTED_RATIO = 2.0
# Fraction of the limit from which it counts as used.
_USED_FRACTION = 0.8
_LATENCY_CUT_FACTOR = 0.9
_FAILURE_CUT_FACTOR = 0.7
# Fraction of timeouts and refusals in a window that lowers the limit. With a
# lower fraction, one caller with tiny deadlines could lower it for everyone.
_FAILURE_FRACTION = 0.1
_MIN_SAMPLES = 5
_STEPS_TO_UPPER = 50
_SMALL_LIMIT = 10
_MIN_REFERENCE_WEIGHT = 0.05
_INITIAL_SAMPLES = 20
# Halving the limit reduces latency caused by concurrency at least to this
# fraction.
_PROBE_RATIO = 0.75
_MIN_REFERENCE_S = 1e-6
# Weights of a new service time sample. Estimates follow low values quickly and
# high values slowly, to stay near the minimum that a kind of request needs.
_FALL_WEIGHT = 0.3
_RISE_WEIGHT = 0.03
# An estimate without samples halves in this time. Otherwise a route whose
# estimate exceeds its deadline would never be tried again.
_ESTIMATE_HALF_LIFE_S = 1.0
_MAX_ROUTES = 1024


class Sample(enum.Enum):
    """How a request at the target ended."""

    SERVED = 'served'
    TIMEOUT = 'timeout'
    SHED = 'shed'


@dataclasses.dataclass(frozen=True, slots=True)
class LimitSettings:
    """Bounds and timing of the limit.

    Args:
        initial_limit: Limit of a target with an unknown number of slots.
        max_limit: Upper bound.
        min_limit: Lower bound.
        cold_start_s: Seconds over which the limit of a new target ramps up.
        window_s: Minimum seconds between two changes of the limit.
        adaptive: Whether the limit adapts; otherwise it is constant.
    """

    initial_limit: int = 16
    max_limit: int = 1000
    min_limit: int = 1
    cold_start_s: float = 5.0
    window_s: float = 0.1
    adaptive: bool = True


@dataclasses.dataclass(slots=True)
class _Probe:
    """State of a test whether a lower limit reduces latency.

    Args:
        initial_limit: Limit to restore if latency does not fall.
        base_limit: Limit in the window that later ones are compared with, 0
            before the first complete window after the first cut.
        base_ratio: Latency ratio of that window, 0 before it.
    """

    initial_limit: float
    base_limit: float = 0.0
    base_ratio: float = 0.0


class ConcurrencyLimit:
    """Maximum number of concurrent requests at a target.

    The limit rises by a step per window while it is used. It falls when
    latency grows, requests time out or the target refuses them. Latency is
    compared with a reference per route, because kinds of requests differ.

    Latency may also grow for reasons that a lower limit does not remove, such
    as a slow service deeper in the call chain. If halving the limit does not
    reduce latency, the new latency becomes the reference and the limit is
    restored.

    Args:
        settings: Bounds and timing.
        now: Monotonic seconds.
        slots: Number of slots announced by the target, 0 if unknown.
        connections: Number of connections announced by the target, 0 if
            unknown.
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
        self._upper = self._upper_bound(slots, connections)
        self._value = float(min(slots or settings.initial_limit, self._upper))
        self._rounded = int(self._value)
        self._references: dict[str, list[float]] = {}
        self._reference_scale = 1.0
        self._probe: _Probe | None = None
        self._last_cut_at = now
        self._peak_in_flight = 0
        self._start_window(now)

    @property
    def upper(self) -> int:
        """Return the upper bound from slots, connections and settings."""
        return self._upper

    def limit(self, now: float) -> int:
        """Return the limit in force."""
        settings = self._settings
        if not settings.adaptive:
            return self._upper
        age_s = now - self._started_at
        if age_s >= settings.cold_start_s:
            return self._rounded
        ramp = (
            _MIN_RAMP_FRACTION
            + (1 - _MIN_RAMP_FRACTION) * age_s / settings.cold_start_s
        )
        return max(settings.min_limit, math.ceil(self._value * ramp))

    def set_bounds(self, *, slots: int, connections: int) -> None:
        """Apply announced bounds; more slots raise only the upper bound."""
        self._upper = self._upper_bound(slots, connections)
        self._set_value(self._value)

    def record(
        self,
        now: float,
        route: str,
        latency_s: float,
        in_flight: int,
        sample: Sample,
    ) -> None:
        """Record the end of a request.

        Args:
            now: Monotonic seconds.
            route: Route of the request, which has a reference latency.
            latency_s: Seconds spent at the target.
            in_flight: Number of requests at the target, this one included.
            sample: How the request ended.
        """
        if not self._settings.adaptive:
            return
        if now - latency_s < self._last_cut_at:
            # The request started before the last cut, so its latency does not
            # reflect the cut.
            return
        self._samples += 1
        self._peak_in_flight = max(self._peak_in_flight, in_flight)
        if sample is Sample.SHED:
            self._failures += 1
        else:
            self._record_latency(route, latency_s, sample)
        if now >= self._window_end and self._samples >= _MIN_SAMPLES:
            self._close_window(now)

    def _record_latency(
        self, route: str, latency_s: float, sample: Sample
    ) -> None:
        scaled_s = max(latency_s / self._reference_scale, _MIN_REFERENCE_S)
        reference = self._references.get(route)
        if sample is Sample.TIMEOUT:
            # A deadline shorter than the usual latency does not indicate
            # overload.
            if reference and scaled_s > _CONGESTED_RATIO * reference[0]:
                self._failures += 1
            return
        if reference is None:
            if len(self._references) >= _MAX_ROUTES:
                self._references.clear()
            reference = self._references[route] = [scaled_s, 0]
        # The geometric mean limits the influence of one slow request.
        self._log_ratio_sum += math.log(scaled_s / reference[0])
        self._ratio_count += 1
        reference[1] += 1
        if self._peak_in_flight <= self._value / 2:
            weight = max(_MIN_REFERENCE_WEIGHT, 1 / reference[1])
            reference[0] += weight * (scaled_s - reference[0])
        elif reference[1] <= _INITIAL_SAMPLES:
            # Under load, the lowest value is the least congested one.
            reference[0] = min(reference[0], scaled_s)

    def _close_window(self, now: float) -> None:
        ratio = math.exp(self._log_ratio_sum / max(self._ratio_count, 1))
        limit = self.limit(now)
        if self._failures >= _FAILURE_FRACTION * self._samples:
            self._set_value(self._value * _FAILURE_CUT_FACTOR)
            self._last_cut_at = now
            self._start_window(now)
            return
        if ratio < 1:
            # The target is faster than its references, which are lowered.
            self._reference_scale *= 1 + (ratio - 1) / 5
        used = self._peak_in_flight >= _USED_FRACTION * limit
        if ratio > _CONGESTED_RATIO and used:
            self._cut_for_latency(ratio)
            self._last_cut_at = now
        elif used:
            self._probe = None
            self._set_value(
                self._value + max(1, self._upper / _STEPS_TO_UPPER)
            )
        elif ratio <= _CONGESTED_RATIO:
            self._probe = None
        self._start_window(now)

    def _cut_for_latency(self, ratio: float) -> None:
        if self._probe is None:
            # This window may include requests from before the congestion, so
            # the next one provides the ratio to compare with.
            self._probe = _Probe(initial_limit=self._value)
            self._set_value(self._value * _LATENCY_CUT_FACTOR)
            return
        probe = self._probe
        if not probe.base_ratio:
            probe.base_limit, probe.base_ratio = self._value, ratio
        lowest = max(probe.base_limit / 2, self._settings.min_limit)
        if self._value > lowest:
            self._set_value(self._value * _LATENCY_CUT_FACTOR)
        elif ratio >= _PROBE_RATIO * probe.base_ratio:
            self._reference_scale *= ratio
            self._set_value(probe.initial_limit)
            self._probe = None
        else:
            probe.base_limit, probe.base_ratio = self._value, ratio

    def _upper_bound(self, slots: int, connections: int) -> int:
        settings = self._settings
        if not settings.adaptive:
            return connections or settings.max_limit
        known = [bound for bound in (slots, connections) if bound]
        return max(settings.min_limit, min([settings.max_limit, *known]))

    def _set_value(self, value: float) -> None:
        lowest = min(self._settings.min_limit, self._upper)
        self._value = min(max(value, lowest), float(self._upper))
        # Truncation would turn a cut by a tenth into a cut by a third for a
        # target with three slots.
        is_small = self._value < _SMALL_LIMIT
        self._rounded = round(self._value) if is_small else int(self._value)

    def _start_window(self, now: float) -> None:
        self._window_end = now + self._settings.window_s
        self._samples = 0
        self._failures = 0
        self._peak_in_flight = 0
        self._ratio_count = 0
        self._log_ratio_sum = 0.0


class ServiceTimeEstimator:
    """Estimates the minimum service time per route at the target."""

    def __init__(self) -> None:
        self._estimates: dict[str, tuple[float, float]] = {}

    def expected_s(self, now: float, route: str) -> float:
        """Return the expected seconds, 0 for a route without samples."""
        known = self._estimates.get(route)
        if known is None:
            return 0.0
        estimate_s, updated_at = known
        age_s = now - updated_at
        if age_s <= _ESTIMATE_HALF_LIFE_S:
            return estimate_s
        return float(estimate_s * 0.5 ** (age_s / _ESTIMATE_HALF_LIFE_S))

    def record(self, now: float, route: str, service_s: float) -> None:
        """Record the service time of a request, or the time to its timeout."""
        expected_s = self.expected_s(now, route)
        if not expected_s:
            if len(self._estimates) >= _MAX_ROUTES:
                self._estimates.clear()
            expected_s = service_s
        is_faster = service_s < expected_s
        weight = _FALL_WEIGHT if is_faster else _RISE_WEIGHT
        expected_s += weight * (service_s - expected_s)
        self._estimates[route] = (expected_s, now)
