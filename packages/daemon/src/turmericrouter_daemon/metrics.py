"""Metrics by statsd."""

from typing import Protocol

import statsd

from turmericrouter_daemon.settings import MetricsSettings


class Metrics(Protocol):
    """Counters, gauges and timings."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Add to a counter."""

    def gauge(self, stat: str, value: float) -> None:
        """Set a gauge."""

    def timing(self, stat: str, delta: float) -> None:
        """Record a duration in milliseconds."""


class NoMetrics:
    """Drops everything; used without a statsd host."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Drop a count."""

    def gauge(self, stat: str, value: float) -> None:
        """Drop a value."""

    def timing(self, stat: str, delta: float) -> None:
        """Drop a duration."""


def open_metrics(settings: MetricsSettings) -> Metrics:
    """Return the metrics client of the process."""
    if not settings.host:
        return NoMetrics()
    client: Metrics = statsd.StatsClient(
        settings.host, settings.port, prefix=settings.prefix
    )
    return client
