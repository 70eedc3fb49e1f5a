"""Demand estimate, from which entries compute their token requests."""

import pytest

from turmericrouter_core.quota import DemandRate


def test_steady_demand_is_estimated() -> None:
    """Guards against token requests too small for a busy workspace."""
    rate = DemandRate(window_s=1.0)
    for step in range(500):
        rate.add(step * 0.01)
    assert rate.per_s(5.0) == pytest.approx(100, rel=0.03)


def test_few_requests_give_a_low_estimate() -> None:
    """Guards against requests for tokens that remain unspent."""
    rate = DemandRate(window_s=1.0)
    assert rate.per_s(10.0) == 0
    rate.add(10.0)
    rate.add(10.0)
    assert rate.per_s(10.0) == 2
    assert rate.per_s(14.0) < 0.1
