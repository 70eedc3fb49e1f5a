"""Counters and latency histograms, served as text."""

import bisect

# Upper bounds of the latency buckets, in seconds.
BUCKETS_S = (
    0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 3.0, 5.0,
)  # fmt: skip


class Metrics:
    """Counts of one process."""

    def __init__(self) -> None:
        self._counters: dict[str, int] = {}
        self._refused: dict[tuple[str, str], int] = {}
        self._latency: dict[str, list[int]] = {}
        self._latency_sum: dict[str, float] = {}

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""
        self._counters[name] = self._counters.get(name, 0) + by

    def refuse(self, route: str, reason: str) -> None:
        """Count a refused request."""
        key = (route, reason)
        self._refused[key] = self._refused.get(key, 0) + 1

    def serve(self, route: str, latency_s: float) -> None:
        """Count an answered request."""
        buckets = self._latency.get(route)
        if buckets is None:
            buckets = [0] * (len(BUCKETS_S) + 1)
            self._latency[route] = buckets
            self._latency_sum[route] = 0.0
        buckets[bisect.bisect_left(BUCKETS_S, latency_s)] += 1
        self._latency_sum[route] += latency_s

    def render(self, gauges: dict[str, float]) -> bytes:
        """Return all figures in the Prometheus text format.

        Args:
            gauges: Present values, by name.
        """
        lines = [f'turmeric_{k} {v}' for k, v in sorted(gauges.items())]
        for name, value in sorted(self._counters.items()):
            lines.append(f'turmeric_{name}_total {value}')
        for (route, reason), value in sorted(self._refused.items()):
            lines.append(
                'turmeric_requests_refused_total'
                f'{{route="{route}",reason="{reason}"}} {value}'
            )
        for route, buckets in sorted(self._latency.items()):
            lines += self._histogram(route, buckets)
        return ('\n'.join(lines) + '\n').encode()

    def _histogram(self, route: str, buckets: list[int]) -> list[str]:
        name = 'turmeric_request_seconds'
        total = 0
        lines = []
        for bound, count in zip(
            (*map(str, BUCKETS_S), '+Inf'), buckets, strict=True
        ):
            total += count
            lines.append(
                f'{name}_bucket{{route="{route}",le="{bound}"}} {total}'
            )
        lines.append(f'{name}_count{{route="{route}"}} {total}')
        seconds = self._latency_sum[route]
        lines.append(f'{name}_sum{{route="{route}"}} {seconds:.3f}')
        return lines
