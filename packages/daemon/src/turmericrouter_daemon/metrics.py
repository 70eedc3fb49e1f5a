"""Sends metrics to statsd over UDP.

Names and meanings are listed in docs/OPERATIONS.md.
"""

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


class NullMetrics:
    """Drops all metrics; used if no statsd host is set."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Drop a count."""

    def gauge(self, stat: str, value: float) -> None:
        """Drop a value."""

    def timing(self, stat: str, delta: float) -> None:
        """Drop a duration."""


class _NonBlockingClient(statsd.StatsClient):  # type: ignore[misc]
    """statsd client that drops metrics instead of blocking on the socket."""

    def __init__(self, host: str, port: int, prefix: str) -> None:
        super().__init__(host, port, prefix=prefix, ipv6=':' in host)
        # The statsd client ignores the error that a full buffer raises.
        self._sock.setblocking(False)


def open_metrics(settings: MetricsSettings) -> Metrics:
    """Return the metrics client of the process."""
    if not settings.host:
        return NullMetrics()
    client: Metrics = _NonBlockingClient(
        settings.host, settings.port, settings.prefix
    )
    return client
