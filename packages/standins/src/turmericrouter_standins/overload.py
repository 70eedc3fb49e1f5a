"""Overload experiment: a surge on one service whose clients retry quickly."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import pathlib

from turmericrouter_core.verdict import Importance
from turmericrouter_standins.fleet import Fleet
from turmericrouter_standins.host import SettingsTree
from turmericrouter_standins.load import Flow
from turmericrouter_standins.load import Phase
from turmericrouter_standins.scenario import RequestKind
from turmericrouter_standins.scenario import Scenario
from turmericrouter_standins.trial import run_trial
from turmericrouter_standins.trial import TrialResult

# Longer than the cold start of a target.
BEFORE_S = 10.0
SURGE_S = 10.0
AFTER_S = 15.0
# Goodput excludes the first seconds of a surge, in which the system reacts.
SETTLING_S = 2.0
NORMAL_LOAD_RATIO = 0.7
CRITICAL_SHARE = 0.2
CLIENT_TIMEOUT_S = 2.0
CLIENT_RETRIES = 2
CLIENT_RETRY_WAIT_S = 0.1
RECOVERED_RATIO = 0.95
_RECOVERY_WINDOW_S = 0.5
_WARM_UP_S = 6.0
_INVERSION_INTERVAL_S = 0.1
_PLOT_STEP_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class OverloadResult:
    """Figures of one surge.

    Args:
        goodput_ratio: Useful answers per second during the surge, divided by
            the capacity of the service.
        offered_ratio: First attempts per second during the surge, divided by
            the capacity of the service. It is lower than the factor of
            the surge if the load processes cannot keep up; they then send
            late, and the surge lasts longer than planned.
        recovery_s: Seconds from the end of the surge until goodput reaches
            95% of its value before the surge, none if it never does.
        importance_inversions: Intervals of 100 ms during the surge in which
            a critical request was shed and a low one was served.
        critical_served: Critical requests served during the surge.
        low_served: Low requests served during the surge.
        capacity_per_s: Requests per second that the service can run.
        served_rates: Useful answers per second, by second of the trial.
    """

    goodput_ratio: float
    offered_ratio: float
    recovery_s: float | None
    importance_inversions: int
    critical_served: int
    low_served: int
    capacity_per_s: float
    served_rates: Mapping[float, float]


def _surged_kinds(scenario: Scenario) -> tuple[RequestKind, RequestKind]:
    """Return the critical and the low kind of the surged service.

    This is the service whose targets have the fewest slots.
    """
    slots = {size.name: size.slots for size in scenario.services}
    smallest = min(slots, key=lambda name: slots[name])
    kinds = [kind for kind in scenario.kinds if kind.service == smallest]
    critical = next(
        kind for kind in kinds if kind.importance == Importance.CRITICAL.name
    )
    low = next(
        kind for kind in kinds if kind.importance == Importance.LOW.name
    )
    return critical, low


def _flows(scenario: Scenario, fleet: Fleet, factor: float) -> Sequence[Flow]:
    critical, low = _surged_kinds(scenario)
    capacity = scenario.capacity_per_s(critical.service)
    entries = tuple(host.entry_url for host in fleet.hosts)
    flows = []
    for kind, share in (
        (critical, CRITICAL_SHARE),
        (low, 1 - CRITICAL_SHARE),
    ):
        for workspace in scenario.workspaces:
            rate = capacity * share * workspace.share
            phases = (
                Phase(BEFORE_S, NORMAL_LOAD_RATIO * rate),
                Phase(SURGE_S, factor * rate),
                Phase(AFTER_S, NORMAL_LOAD_RATIO * rate),
            )
            flows.append(
                Flow(
                    name=f'{kind.name}/{workspace.name}',
                    path=f'/{kind.name}/1',
                    phases=phases,
                    entries=entries,
                    key=scenario.key(workspace.name),
                    method='GET' if kind.idempotent else 'POST',
                    body_bytes=0 if kind.idempotent else 100,
                    operation=not kind.idempotent,
                    domains=len(scenario.domains),
                    retries=CLIENT_RETRIES,
                    retry_wait_s=CLIENT_RETRY_WAIT_S,
                    delay_s=scenario.client_delay_ms / 1000,
                    timeout_s=CLIENT_TIMEOUT_S,
                )
            )
    return flows


async def measure_overload(
    scenario: Scenario,
    *,
    factor: float,
    directory: pathlib.Path,
    seed: int,
    settings: SettingsTree | None = None,
) -> OverloadResult:
    """Run a surge on the service whose targets have the fewest slots.

    Args:
        scenario: Deployment.
        factor: Ratio of the offered load during the surge to the capacity.
        directory: Empty directory for settings and output.
        seed: Seed of arrivals.
        settings: Daemon settings by section.
    """
    critical, low = _surged_kinds(scenario)
    capacity = scenario.capacity_per_s(critical.service)
    result = await run_trial(
        scenario,
        lambda fleet: _flows(scenario, fleet, factor),
        directory=directory,
        # High enough that the service limits the load, not the quota.
        rate_per_s=100 * capacity,
        seed=seed,
        settings=settings,
    )
    names = {attempt.flow for attempt in result.attempts}
    critical_flows = {n for n in names if n.startswith(f'{critical.name}/')}
    start, end = BEFORE_S + SETTLING_S, BEFORE_S + SURGE_S
    served = result.served(names, start, end)
    critical_served = result.served(critical_flows, start, end)
    return OverloadResult(
        goodput_ratio=served / (end - start) / capacity,
        offered_ratio=result.offered(start, end) / (end - start) / capacity,
        recovery_s=_recovery_s(result, names),
        importance_inversions=_count_inversions(result, critical_flows),
        critical_served=critical_served,
        low_served=served - critical_served,
        capacity_per_s=capacity,
        served_rates=result.served_rates(
            names,
            seconds=BEFORE_S + SURGE_S + AFTER_S,
            step_s=_PLOT_STEP_S,
        ),
    )


def _recovery_s(result: TrialResult, names: set[str]) -> float | None:
    warm_at_s = _WARM_UP_S
    before = result.served(names, warm_at_s, BEFORE_S) / (BEFORE_S - warm_at_s)
    surge_end = BEFORE_S + SURGE_S
    steps = int((AFTER_S - _RECOVERY_WINDOW_S) / _RECOVERY_WINDOW_S)
    for step in range(steps):
        start = surge_end + step * _RECOVERY_WINDOW_S
        # Two windows, so that a short burst does not count as recovery.
        end = start + 2 * _RECOVERY_WINDOW_S
        rate = result.served(names, start, end) / (end - start)
        if rate >= RECOVERED_RATIO * before:
            return start - surge_end
    return None


def _count_inversions(result: TrialResult, critical_flows: set[str]) -> int:
    shed: set[int] = set()
    served: set[int] = set()
    for attempt in result.attempts:
        second = attempt.ended_at - result.started_at
        if not BEFORE_S + SETTLING_S <= second < BEFORE_S + SURGE_S:
            continue
        interval = int(second / _INVERSION_INTERVAL_S)
        if attempt.flow in critical_flows:
            if attempt.status == 503:
                shed.add(interval)
        elif attempt.is_served:
            served.add(interval)
    return len(shed & served)
