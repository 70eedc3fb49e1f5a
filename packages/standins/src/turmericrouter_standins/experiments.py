"""Runs the experiments and writes their report. Run it with `python -m`."""

import argparse
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import pathlib
import shutil
import time

import uvloop

from turmericrouter_core.config import Fleet as FleetRecord
from turmericrouter_core.config import Key
from turmericrouter_core.config import Route
from turmericrouter_core.config import Workspace
from turmericrouter_standins.control_cost import measure_control_cost
from turmericrouter_standins.fairness import measure_fairness
from turmericrouter_standins.fleet import digest_scope
from turmericrouter_standins.fleet import Fleet
from turmericrouter_standins.host import ServiceSpec
from turmericrouter_standins.latency import measure_added_latency
from turmericrouter_standins.overload import measure_overload
from turmericrouter_standins.propagation import CHANGES_PER_S
from turmericrouter_standins.propagation import measure_config_in_force
from turmericrouter_standins.propagation import measure_key_withdrawn
from turmericrouter_standins.propagation import percentile
from turmericrouter_standins.report import command_line
from turmericrouter_standins.report import Figure
from turmericrouter_standins.report import source_version
from turmericrouter_standins.report import Summary
from turmericrouter_standins.report import write_report
from turmericrouter_standins.scenario import load_scenario
from turmericrouter_standins.scenario import Scenario
from turmericrouter_standins.trial import BASELINE_SETTINGS

Figures = dict[str, Figure]

GOALS = {
    'added_latency_p99_ms': 'at most 0.34',
    'goodput_ratio_10x': 'at least 0.95',
    'recovery_s': 'under 2',
    'worst_workspace_share': 'at least 0.95',
    'wrongful_refusal_ratio_normal': 'under 0.001',
    'wrongful_refusal_ratio_skewed': 'under 0.001',
    'overadmission_ratio': 'at most 1.0',
    'importance_inversions': '0',
    'config_in_force_p99_s': 'under 10, aim 2',
    'key_withdrawn_p99_s': 'within seconds',
    'control_cpu_percent': 'at most 2.9 at 20,000 daemons, by slope',
    'control_bytes_per_s': 'at most 3,000 at 20,000 daemons, by slope',
    'control_rss_mb': 'at most 128 at 20,000 daemons, by slope',
}

_LATENCY_CALLS = 3000
_DAEMON_RATE_PER_S = 55.0
_KEY = 'experiment-key'


@dataclasses.dataclass(frozen=True, slots=True)
class Conditions:
    """What all experiments of a run share.

    Args:
        scenario: Deployment.
        directory: Directory for settings and output of the processes.
        seed: Seed.
    """

    scenario: Scenario
    directory: pathlib.Path
    seed: int


async def run_latency(conditions: Conditions) -> Figures:
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
                digest_scope(_KEY): Key('east'),
                'route/served': Route('served', '/served'),
            }
        )
        await fleet.wait_served('/served/1', key=_KEY)
        entry, target = (
            fleet.host('other-north-0'),
            fleet.host('served-north-0'),
        )
        figures: Figures = {}
        for suffix, rate in (('', 0.0), ('_at_55_per_s', _DAEMON_RATE_PER_S)):
            calls = _LATENCY_CALLS if not rate else _LATENCY_CALLS // 3
            used = [host.daemon.cpu_s() for host in (entry, target)]
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
            figures[f'added_latency_p50_ms{suffix}'] = added.added_p50_ms
            figures[f'added_latency_p99_ms{suffix}'] = added.added_p99_ms
            figures[f'direct_latency_p50_ms{suffix}'] = added.direct_p50_ms
            figures[f'direct_latency_p99_ms{suffix}'] = added.direct_p99_ms
            if not rate:
                # The warm-up calls are a tenth more.
                sent = calls * 1.1
                for name, host, before in zip(
                    ('entry', 'gate'), (entry, target), used, strict=True
                ):
                    spent_us = (host.daemon.cpu_s() - before) * 1e6
                    figures[f'cpu_us_per_call_{name}'] = spent_us / sent
    return figures


async def run_overload(conditions: Conditions) -> Figures:
    """Measure goodput, recovery and inversions, with the baseline."""
    figures: Figures = {}
    for factor in (2, 10):
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
            figures[f'goodput_ratio_{factor}x{suffix}'] = result.goodput_ratio
            if factor == 10:
                figures[f'recovery_s{suffix}'] = result.recovery_s
                figures[f'importance_inversions{suffix}'] = (
                    result.importance_inversions
                )
                figures[f'critical_served_10x{suffix}'] = (
                    result.critical_served
                )
                figures[f'low_served_10x{suffix}'] = result.low_served
    return figures


async def _platform_down(fleet: Fleet) -> None:
    await fleet.set_log_faults(down=True)


async def run_fairness(conditions: Conditions) -> Figures:
    """Measure fair shares, wrongful refusals and over-admission."""
    scenario = conditions.scenario

    async def cut_off(fleet: Fleet) -> None:
        first = scenario.domains[0]
        others = [*scenario.domains[1:], 'platform']
        await fleet.set_links(
            delay_ms=scenario.domain_delay_ms,
            cuts=[(first, other) for other in others],
        )

    figures: Figures = {}
    worst_overadmission = 0.0
    trials = {
        'normal': {},
        'skewed': {'skewed': True},
        'domain_cut': {'events': [(4.0, cut_off)]},
        'platform_down': {'events': [(4.0, _platform_down)]},
        'flooded': {'flooding': True},
    }
    for name, options in trials.items():
        result = await measure_fairness(
            scenario,
            directory=conditions.directory / f'fairness-{name}',
            seed=conditions.seed,
            **options,  # type: ignore[arg-type]
        )
        figures[f'wrongful_refusal_ratio_{name}'] = (
            result.wrongful_refusal_ratio
        )
        worst_overadmission = max(
            worst_overadmission, result.overadmission_ratio
        )
        if name == 'flooded':
            figures['worst_workspace_share'] = result.worst_workspace_share
    figures['overadmission_ratio'] = worst_overadmission
    return figures


async def run_propagation(conditions: Conditions) -> Figures:
    """Measure how fast configuration and withdrawals are in force."""
    figures: Figures = {}
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
    return figures


async def run_control(conditions: Conditions) -> Figures:
    """Measure the cost of control at three sizes."""
    figures: Figures = {}
    for domains, per_domain in ((4, 2), (4, 8), (4, 32)):
        cost = await measure_control_cost(
            domains=domains,
            per_domain=per_domain,
            directory=conditions.directory / f'control-{domains * per_domain}',
        )
        suffix = f'_{cost.daemons}_daemons'
        figures[f'control_cpu_percent{suffix}'] = cost.cpu_percent
        figures[f'control_bytes_per_s{suffix}'] = cost.bytes_per_s
        figures[f'control_rss_mb{suffix}'] = cost.rss_mb
    return figures


Experiment = Callable[[Conditions], Awaitable[Figures]]

EXPERIMENTS: dict[str, Experiment] = {
    'latency': run_latency,
    'overload': run_overload,
    'fairness': run_fairness,
    'propagation': run_propagation,
    'control': run_control,
}


async def _run(options: argparse.Namespace) -> Figures:
    work = options.output / 'work'
    shutil.rmtree(work, ignore_errors=True)
    conditions = Conditions(
        load_scenario(options.scenario), work, options.seed
    )
    figures: Figures = {}
    for name in options.only or EXPERIMENTS:
        started_at = time.monotonic()
        print(f'{name}: running', flush=True)
        found = await EXPERIMENTS[name](conditions)
        for figure, value in found.items():
            print(f'  {figure} = {value}', flush=True)
        print(f'{name}: {time.monotonic() - started_at:.0f} s', flush=True)
        figures.update(found)
    return figures


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
    figures = uvloop.run(_run(options))
    scenario = load_scenario(options.scenario)
    summary = Summary(
        source_version(),
        command_line(),
        options.seed,
        figures,
        GOALS,
        {
            'scenario': scenario.name,
            'scale of slots': str(scenario.scale),
            'service time': f'{scenario.work_ms} ms',
        },
    )
    write_report(summary, options.output)
    print((options.output / 'summary.md').read_text())


if __name__ == '__main__':
    main()
