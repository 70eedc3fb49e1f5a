"""Guards against reports that omit figures, failure reasons or plots."""

import pathlib

from hdrh.histogram import HdrHistogram
import msgspec
import pytest

from turmericrouter_standins.control_cost import ControlCost
from turmericrouter_standins.experiments import plot_control
from turmericrouter_standins.experiments import plot_latency
from turmericrouter_standins.experiments import plot_surge
from turmericrouter_standins.latency import AddedLatency
from turmericrouter_standins.latency import percentiles_ms
from turmericrouter_standins.load import Failure
from turmericrouter_standins.load import FailureCount
from turmericrouter_standins.overload import OverloadResult
from turmericrouter_standins.report import Plot
from turmericrouter_standins.report import Summary
from turmericrouter_standins.report import TrialFailures
from turmericrouter_standins.report import write_report


def _surge(rate: float) -> OverloadResult:
    rates = {float(second): rate for second in range(35)}
    return OverloadResult(0.9, 10.0, 1.0, 0, 10, 10, 240.0, rates)


def _latency() -> AddedLatency:
    direct = {0.0: 0.2, 50.0: 0.25, 90.0: 0.3, 99.0: 0.5}
    routed = {percent: ms + 1.0 for percent, ms in direct.items()}
    return AddedLatency(direct, routed)


@pytest.mark.parametrize(
    ('plot', 'labels'),
    [
        (
            plot_surge('surge', _surge(200.0), _surge(20.0)),
            [
                'turmericrouter',
                'baseline',
                'capacity',
                'surge starts',
                'surge ends',
                'useful answers a second',
            ],
        ),
        (
            plot_latency(_latency(), 'one at a time'),
            ['direct', 'through two daemons', 'added', '99', '0.34 ms'],
        ),
        (
            plot_control(
                [ControlCost(8, 0.5, 300, 60), ControlCost(32, 1, 400, 62)]
            ),
            [
                'percent of a core',
                'bytes sent a second',
                'resident MB',
                'goal at 20,000 daemons',
                '32',
            ],
        ),
    ],
)
def test_plot_labels_its_curves_and_goals(
    plot: Plot, labels: list[str], tmp_path: pathlib.Path
) -> None:
    path = tmp_path / 'plot.svg'
    plot.draw(path)
    svg = path.read_text()
    assert plot.title in svg
    for label in labels:
        assert label in svg


def test_goals_of_control_cost_are_those_of_the_design() -> None:
    plot = plot_control([ControlCost(8, 0.5, 300, 60)])
    assert [panel.goal for panel in plot.panels] == [2.9, 3000, 128]
    assert [dict(panel.by_daemons) for panel in plot.panels] == [
        {8: 0.5},
        {8: 300},
        {8: 60},
    ]


def test_summary_shows_failures_and_links_each_plot(
    tmp_path: pathlib.Path,
) -> None:
    refused = FailureCount(Failure.REFUSED, 429, 'quota-exceeded', 3)
    timed_out = FailureCount(Failure.CLIENT_TIMEOUT, 0, 'TimeoutError', 2)
    summary = Summary(
        'v1',
        'command',
        1,
        {'recovery_s': None},
        {},
        {},
        {
            'normal': TrialFailures(100, (refused, timed_out)),
            'skewed': TrialFailures(90, ()),
        },
    )
    plots = {'latency': plot_latency(_latency(), 'one at a time')}
    write_report(summary, plots, tmp_path)
    table = (tmp_path / 'summary.md').read_text()
    assert 'Trial `normal`: 5 of 100 requests' in table
    assert '| refused | 429 | quota-exceeded | 3 |' in table
    assert '| client-timeout | none | TimeoutError | 2 |' in table
    assert 'Trial `skewed`: 0 of 90 requests' in table
    assert '(latency.svg)' in table
    assert (tmp_path / 'latency.svg').exists()
    written = msgspec.json.decode(
        (tmp_path / 'summary.json').read_bytes(), type=Summary
    )
    assert written.failures == summary.failures
    assert list(written.plots) == ['latency.svg']


def test_percentiles_end_below_the_last_sample() -> None:
    histogram = HdrHistogram(1, 60_000_000, 3)
    for sample_us in range(1, 1001):
        histogram.record_value(sample_us)
    percentiles = percentiles_ms(histogram)
    assert list(percentiles)[:3] == [0, 10, 20]
    assert list(percentiles)[-2:] == [99.8, 99.9]
    assert percentiles[50] == 0.5
    assert percentiles[99] == 0.99
