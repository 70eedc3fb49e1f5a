"""Runs the experiments and writes their report. Run it with `python -m`."""

import argparse
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import pathlib
import shutil
import time
from typing import Any

import uvloop

from turmericrouter_core.config import Fleet as FleetRecord
from turmericrouter_core.config import Key
from turmericrouter_core.config import Route
from turmericrouter_core.config import Workspace
from turmericrouter_standins.control_cost import ControlCost
from turmericrouter_standins.control_cost import measure_control_cost
from turmericrouter_standins.fairness import measure_fairness
from turmericrouter_standins.fleet import Fleet
from turmericrouter_standins.fleet import key_scope
from turmericrouter_standins.host import ServiceSpec
from turmericrouter_standins.latency import AddedLatency
from turmericrouter_standins.latency import measure_added_latency
from turmericrouter_standins.overload import BEFORE_S
from turmericrouter_standins.overload import measure_overload
from turmericrouter_standins.overload import OverloadResult
from turmericrouter_standins.overload import SURGE_S
from turmericrouter_standins.propagation import CHANGES_PER_S
from turmericrouter_standins.propagation import measure_config_in_force
from turmericrouter_standins.propagation import measure_key_withdrawn
from turmericrouter_standins.propagation import percentile
from turmericrouter_standins.report import command_line
from turmericrouter_standins.report import CostPanel
from turmericrouter_standins.report import CostPlot
from turmericrouter_standins.report import ExperimentResult
from turmericrouter_standins.report import FigureValue
from turmericrouter_standins.report import merge_results
from turmericrouter_standins.report import PercentilePlot
from turmericrouter_standins.report import Plot
from turmericrouter_standins.report import RatePlot
from turmericrouter_standins.report import source_version
from turmericrouter_standins.report import Summary
from turmericrouter_standins.report import TrialFailures
from turmericrouter_standins.report import write_report
from turmericrouter_standins.scenario import load_scenario
from turmericrouter_standins.scenario import Scenario
from turmericrouter_standins.trial import BASELINE_SETTINGS

ADDED_LATENCY_GOAL_MS = 0.34
CONTROL_GOAL_CPU_PERCENT = 2.9
CONTROL_GOAL_BYTES_PER_S = 3000
CONTROL_GOAL_RSS_MB = 128

GOALS = {
    'added_latency_p99_ms': f'at most {ADDED_LATENCY_GOAL_MS}',
    'goodput_ratio_10x': 'at least 0.95',
    'recovery_s': 'under 2',
    'worst_workspace_share': 'at least 0.95',
    'wrongful_refusal_ratio_normal': 'under 0.001',
    'wrongful_refusal_ratio_skewed': 'under 0.001',
    'overadmission_ratio': 'at most 1.0',
    'importance_inversions': '0',
    'config_in_force_p99_s': 'under 10, aim 2',
    'key_withdrawn_p99_s': 'within seconds',
    'control_cpu_percent': (
        f'at most {CONTROL_GOAL_CPU_PERCENT} at 20,000 daemons, by slope'
    ),
    'control_bytes_per_s': (
        f'at most {CONTROL_GOAL_BYTES_PER_S:,} at 20,000 daemons, by slope'
    ),
    'control_rss_mb': (
        f'at most {CONTROL_GOAL_RSS_MB} at 20,000 daemons, by slope'
    ),
}

_LATENCY_CALLS = 3000
_DAEMON_RATE_PER_S = 55.0
_KEY = 'experiment-key'


@dataclasses.dataclass(frozen=True, slots=True)
class Conditions:
    """Parameters that all experiments of a run share.

    Args:
        scenario: Deployment.
        directory: Directory for settings and output of the processes.
        seed: Seed of arrivals and jitter.
    """

    scenario: Scenario
    directory: pathlib.Path
    seed: int


async def run_latency(conditions: Conditions) -> ExperimentResult:
    """Measure added latency and processor time per call."""
    directory = conditions.directory / 'latency'
    directory.mkdir(parents=True)
    services = [
        ServiceSpec('served', work_ms=0),
        ServiceSpec('other', work_ms=0),
    ]
    async with Fleet(directory, ['north'], services) as fleet:
        await fleet.publish(
            {
                'fleet': FleetRecord(domains=('north',)),
                'workspace/east': Workspace(1e5, 1e5),
                key_scope(_KEY): Key('east'),
                'route/served': Route('served', '/served'),
            }
        )
        await fleet.wait_until_served('/served/1', key=_KEY)
        entry, target = (
            fleet.host('other-north-0'),
            fleet.host('served-north-0'),
        )
        figures: dict[str, FigureValue] = {}
        plots: dict[str, Plot] = {}
        for suffix, rate in (('', 0.0), ('_at_55_per_s', _DAEMON_RATE_PER_S)):
            calls = _LATENCY_CALLS if not rate else _LATENCY_CALLS // 3
            cpu_s_before = [host.daemon.cpu_s() for host in (entry, target)]
            added = await measure_added_latency(
                fleet,
                entry=entry,
                target=target,
                path='/served/1',
                key=_KEY,
                calls=calls,
                rate_per_s=rate,
                seed=conditions.seed,
            )
            for percent in (50, 99):
                for kind, values in (
                    ('added', added.added_ms),
                    ('direct', added.direct_ms),
                ):
                    name = f'{kind}_latency_p{percent}_ms{suffix}'
                    figures[name] = values[percent]
            pace = f'{rate:g} calls a second' if rate else 'one call at a time'
            plots[f'added_latency{suffix}'] = plot_latency(added, pace)
            if not rate:
                # Includes the warm-up calls, a tenth of the measured calls.
                sent = calls * 1.1
                for name, host, before in zip(
                    ('entry', 'gate'),
                    (entry, target),
                    cpu_s_before,
                    strict=True,
                ):
                    cpu_us = (host.daemon.cpu_s() - before) * 1e6
                    figures[f'cpu_us_per_call_{name}'] = cpu_us / sent
    return ExperimentResult(figures, plots)


def plot_latency(added: AddedLatency, pace: str) -> PercentilePlot:
    """Return the plot of direct and routed calls."""
    return PercentilePlot(
        f'Latency of calls, {pace}',
        {
            'direct': added.direct_ms,
            'through two daemons': added.routed_ms,
            'added': added.added_ms,
        },
        ADDED_LATENCY_GOAL_MS,
        f'goal for added at p99, {ADDED_LATENCY_GOAL_MS} ms',
    )


async def run_overload(conditions: Conditions) -> ExperimentResult:
    """Measure goodput, recovery and inversions, also for the baseline."""
    figures: dict[str, FigureValue] = {}
    plots: dict[str, Plot] = {}
    for factor in (2, 10):
        results: dict[str, OverloadResult] = {}
        for suffix, settings in (
            ('', None),
            ('_baseline', BASELINE_SETTINGS),
        ):
            result = await measure_overload(
                conditions.scenario,
                factor=factor,
                directory=conditions.directory / f'overload{factor}{suffix}',
                seed=conditions.seed,
                settings=settings,
            )
            results[suffix] = result
            figures[f'goodput_ratio_{factor}x{suffix}'] = result.goodput_ratio
            figures[f'offered_ratio_{factor}x{suffix}'] = result.offered_ratio
            if factor == 10:
                figures[f'recovery_s{suffix}'] = result.recovery_s
                figures[f'importance_inversions{suffix}'] = (
                    result.importance_inversions
                )
                figures[f'critical_served_10x{suffix}'] = (
                    result.critical_served
                )
                figures[f'low_served_10x{suffix}'] = result.low_served
        plots[f'overload_{factor}x'] = plot_surge(
            f'Surge of {factor}x the capacity, scenario '
            f'{conditions.scenario.name}',
            results[''],
            results['_baseline'],
        )
    return ExperimentResult(figures, plots)


def plot_surge(
    title: str, ours: OverloadResult, baseline: OverloadResult
) -> RatePlot:
    """Return the plot of a surge with and without overload control."""
    return RatePlot(
        title,
        {
            'turmericrouter': ours.served_rates,
            'baseline': baseline.served_rates,
        },
        {'surge starts': BEFORE_S, 'surge ends': BEFORE_S + SURGE_S},
        ours.capacity_per_s,
        'capacity',
    )


async def _stop_log_service(fleet: Fleet) -> None:
    await fleet.set_log_faults(down=True)


async def run_fairness(conditions: Conditions) -> ExperimentResult:
    """Measure fairness, wrongful refusals and over-admission."""
    scenario = conditions.scenario

    async def cut_first_domain(fleet: Fleet) -> None:
        first = scenario.domains[0]
        others = [*scenario.domains[1:], 'platform']
        await fleet.set_link_rules(
            delay_ms=scenario.domain_delay_ms,
            cuts=[(first, other) for other in others],
        )

    figures: dict[str, FigureValue] = {}
    failures: dict[str, TrialFailures] = {}
    worst_overadmission = 0.0
    trials: dict[str, dict[str, Any]] = {
        'normal': {},
        'skewed': {'skewed': True},
        'domain_cut': {'events': [(4.0, cut_first_domain)]},
        'platform_down': {'events': [(4.0, _stop_log_service)]},
        'flooded': {'flooding': True},
        'flooded_baseline': {
            'flooding': True,
            'settings': BASELINE_SETTINGS,
        },
    }
    for name, options in trials.items():
        result = await measure_fairness(
            scenario,
            directory=conditions.directory / f'fairness-{name}',
            seed=conditions.seed,
            **options,
        )
        failures[name] = TrialFailures(
            result.requests_within_rate, result.failures
        )
        figures[f'wrongful_refusal_ratio_{name}'] = (
            result.wrongful_refusal_ratio
        )
        if name.startswith('flooded'):
            figures[f'worst_workspace_share{name.removeprefix("flooded")}'] = (
                result.worst_workspace_share
            )
        # Excludes the baseline: the bound holds for daemons with their
        # normal settings.
        if name != 'flooded_baseline':
            worst_overadmission = max(
                worst_overadmission, result.overadmission_ratio
            )
    figures['overadmission_ratio'] = worst_overadmission
    return ExperimentResult(figures, failures=failures)


async def run_propagation(conditions: Conditions) -> ExperimentResult:
    """Measure the delay until configuration and withdrawals take effect."""
    figures: dict[str, FigureValue] = {}
    for suffix, rate, changes in (
        ('', CHANGES_PER_S, 12),
        ('_at_10x', 10 * CHANGES_PER_S, 80),
    ):
        delays = await measure_config_in_force(
            conditions.scenario,
            directory=conditions.directory / f'config{suffix}',
            changes_per_s=rate,
            changes=changes,
        )
        figures[f'config_in_force_p99_s{suffix}'] = percentile(delays, 99)
    delays = await measure_key_withdrawn(
        conditions.scenario,
        directory=conditions.directory / 'keys',
        rounds=5,
    )
    figures['key_withdrawn_p99_s'] = percentile(delays, 99)
    return ExperimentResult(figures)


async def run_control(conditions: Conditions) -> ExperimentResult:
    """Measure the control-plane cost of fleets of three sizes."""
    figures: dict[str, FigureValue] = {}
    costs: list[ControlCost] = []
    for domains, targets_per_domain in ((4, 2), (4, 8), (4, 32)):
        cost = await measure_control_cost(
            domains=domains,
            targets_per_domain=targets_per_domain,
            directory=conditions.directory
            / f'control-{domains * targets_per_domain}',
        )
        costs.append(cost)
        suffix = f'_{cost.daemons}_daemons'
        figures[f'control_cpu_percent{suffix}'] = cost.cpu_percent
        figures[f'control_bytes_per_s{suffix}'] = cost.bytes_per_s
        figures[f'control_rss_mb{suffix}'] = cost.rss_mb
    return ExperimentResult(figures, {'control_cost': plot_control(costs)})


def plot_control(costs: Sequence[ControlCost]) -> CostPlot:
    """Return the plot of control-plane costs by size of the fleet."""
    return CostPlot(
        'Control cost of an idle daemon',
        (
            CostPanel(
                'percent of a core',
                {cost.daemons: cost.cpu_percent for cost in costs},
                CONTROL_GOAL_CPU_PERCENT,
            ),
            CostPanel(
                'bytes sent a second',
                {cost.daemons: cost.bytes_per_s for cost in costs},
                CONTROL_GOAL_BYTES_PER_S,
            ),
            CostPanel(
                'resident MB',
                {cost.daemons: cost.rss_mb for cost in costs},
                CONTROL_GOAL_RSS_MB,
            ),
        ),
        'goal at 20,000 daemons',
    )


Experiment = Callable[[Conditions], Awaitable[ExperimentResult]]

EXPERIMENTS: dict[str, Experiment] = {
    'latency': run_latency,
    'overload': run_overload,
    'fairness': run_fairness,
    'propagation': run_propagation,
    'control': run_control,
}


async def _run(options: argparse.Namespace) -> ExperimentResult:
    work = options.output / 'work'
    shutil.rmtree(work, ignore_errors=True)
    conditions = Conditions(
        load_scenario(options.scenario), work, options.seed
    )
    results: list[ExperimentResult] = []
    for name in options.only or EXPERIMENTS:
        started_at = time.monotonic()
        print(f'{name}: running', flush=True)
        result = await EXPERIMENTS[name](conditions)
        for figure, value in result.figures.items():
            print(f'  {figure} = {value}', flush=True)
        print(f'{name}: {time.monotonic() - started_at:.0f} s', flush=True)
        results.append(result)
    return merge_results(results)


def main() -> None:
    """Run the experiments and write the report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--output', type=pathlib.Path, default=pathlib.Path('build/bench')
    )
    parser.add_argument('--scenario', default='mosaic')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--only', nargs='*', choices=sorted(EXPERIMENTS))
    options = parser.parse_args()
    result = uvloop.run(_run(options))
    scenario = load_scenario(options.scenario)
    summary = Summary(
        source_version(),
        command_line(),
        options.seed,
        dict(result.figures),
        GOALS,
        {
            'scenario': scenario.name,
            'scale of slots': str(scenario.scale),
            'service time': f'{scenario.work_ms} ms',
        },
        dict(result.failures),
    )
    write_report(summary, result.plots, options.output)
    print((options.output / 'summary.md').read_text())


if __name__ == '__main__':
    main()
