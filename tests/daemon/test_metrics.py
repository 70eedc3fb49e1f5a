"""Metrics over UDP."""

import socket

from turmericrouter_daemon.metrics import open_metrics
from turmericrouter_daemon.settings import MetricsSettings


def test_metrics_reach_the_server_with_their_prefix() -> None:
    """Guards against a wrong prefix or format."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(('127.0.0.1', 0))
        server.settimeout(5)
        port = server.getsockname()[1]
        metrics = open_metrics(MetricsSettings('127.0.0.1', port, 'tr'))
        metrics.incr('entry.refused.no-room')
        metrics.gauge('gate.in_flight', 3)
        assert server.recv(100) == b'tr.entry.refused.no-room:1|c'
        assert server.recv(100) == b'tr.gate.in_flight:3|g'


def test_metric_without_a_server_is_dropped() -> None:
    """Guards against a missing server that blocks or raises."""
    metrics = open_metrics(MetricsSettings('127.0.0.1', 1, 'tr'))
    for _ in range(100):
        metrics.incr('x')
    assert metrics._sock.gettimeout() == 0  # type: ignore[attr-defined]
    open_metrics(MetricsSettings()).incr('x')
