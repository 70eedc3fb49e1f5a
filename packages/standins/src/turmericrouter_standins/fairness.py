"""Quota experiments: fairness, wrongful refusals and over-admission."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import itertools
import pathlib

from turmericrouter_standins.fleet import Fleet
from turmericrouter_standins.host import SettingsTree
from turmericrouter_standins.ledger import LedgerEntry
from turmericrouter_standins.load import Attempt
from turmericrouter_standins.load import count_failures
from turmericrouter_standins.load import FailureCount
from turmericrouter_standins.load import Flow
from turmericrouter_standins.load import Phase
from turmericrouter_standins.scenario import Scenario
from turmericrouter_standins.trial import FleetAction
from turmericrouter_standins.trial import run_trial
from turmericrouter_standins.trial import TrialResult

DURATION_S = 15.0
# Token buckets start empty and fill in these seconds.
WARM_UP_S = 3.0
NORMAL_RATE_RATIO = 0.8
FLOOD_FACTOR = 10.0
TOTAL_LOAD_RATIO = 0.6
# Longer than the 2 s deadline of the routes, so that a refusal at the deadline
# differs from a daemon that does not answer.
CLIENT_TIMEOUT_S = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class FairnessResult:
    """Figures of one trial.

    Args:
        worst_workspace_share: Lowest ratio of useful answers to requests of
            any workspace within its rate.
        wrongful_refusal_ratio: Ratio of failed requests to all requests of
            workspaces within their rate, whatever the reason.
        requests_within_rate: Number of requests of workspaces within their
            rate.
        failures: Those requests without a useful answer, by reason.
        overadmission_ratio: Ratio of requests started to rate * t + burst,
            in the worst window of any workspace.
    """

    worst_workspace_share: float
    wrongful_refusal_ratio: float
    requests_within_rate: int
    failures: tuple[FailureCount, ...]
    overadmission_ratio: float


def _rates(scenario: Scenario, rate_per_s: float) -> dict[str, float]:
    return {w.name: rate_per_s * w.share for w in scenario.workspaces}


def _idempotent_kind(scenario: Scenario) -> str:
    return next(kind.name for kind in scenario.kinds if kind.idempotent)


async def measure_fairness(
    scenario: Scenario,
    *,
    directory: pathlib.Path,
    seed: int,
    flooding: bool = False,
    skewed: bool = False,
    events: Sequence[tuple[float, FleetAction]] = (),
    settings: SettingsTree | None = None,
) -> FairnessResult:
    """Run all workspaces within their rate; the largest may exceed it.

    Args:
        scenario: Deployment.
        directory: Empty directory for settings and output.
        seed: Seed of arrivals.
        flooding: Whether the largest workspace sends ten times its rate.
        skewed: Whether all callers use the entries of one failure domain.
        events: Pairs of seconds after the start and an action.
        settings: Daemon settings by section.
    """
    kind = _idempotent_kind(scenario)
    service = next(k.service for k in scenario.kinds if k.name == kind)
    total = TOTAL_LOAD_RATIO * scenario.capacity_per_s(service)
    rates = _rates(scenario, total)
    flooder = max(rates, key=lambda name: rates[name]) if flooding else ''

    def flows(fleet: Fleet) -> list[Flow]:
        hosts = (
            fleet.hosts_in_domain(scenario.domains[0])
            if skewed
            else fleet.hosts
        )
        return [
            Flow(
                name=name,
                path=f'/{kind}/1',
                phases=(
                    Phase(
                        DURATION_S,
                        rate
                        * (
                            FLOOD_FACTOR
                            if name == flooder
                            else NORMAL_RATE_RATIO
                        ),
                    ),
                ),
                entries=tuple(host.entry_url for host in hosts),
                key=scenario.key(name),
                delay_s=scenario.client_delay_ms / 1000,
                timeout_s=CLIENT_TIMEOUT_S,
            )
            for name, rate in rates.items()
        ]

    result = await run_trial(
        scenario,
        flows,
        directory=directory,
        rate_per_s=total,
        seed=seed,
        events=events,
        settings=settings,
    )
    return evaluate(result, rates, flooder)


def evaluate(
    result: TrialResult, rates: Mapping[str, float], flooder: str
) -> FairnessResult:
    """Return the figures of a trial.

    Args:
        result: Result of the trial.
        rates: Rate of each workspace.
        flooder: Workspace that exceeds its rate, empty for none.
    """
    attempts_by_workspace: dict[str, list[Attempt]] = {
        name: [] for name in rates if name != flooder
    }
    for attempt in result.attempts:
        if (
            attempt.flow in attempts_by_workspace
            and attempt.sent_at - result.started_at >= WARM_UP_S
        ):
            attempts_by_workspace[attempt.flow].append(attempt)
    shares = [
        sum(attempt.is_served for attempt in attempts) / len(attempts)
        for attempts in attempts_by_workspace.values()
        if attempts
    ]
    requests = sum(
        len(attempts) for attempts in attempts_by_workspace.values()
    )
    failures = count_failures(
        itertools.chain.from_iterable(attempts_by_workspace.values())
    )
    return FairnessResult(
        worst_workspace_share=min(shares),
        wrongful_refusal_ratio=sum(f.count for f in failures) / requests,
        requests_within_rate=requests,
        failures=failures,
        overadmission_ratio=max(
            max_overadmission_ratio(
                result.attempts, result.ledger, name, rate, rate
            )
            for name, rate in rates.items()
        ),
    )


def max_overadmission_ratio(
    attempts: Sequence[Attempt],
    ledger: Sequence[LedgerEntry],
    workspace: str,
    rate_per_s: float,
    burst: float,
) -> float:
    """Return the highest ratio of admitted to allowed requests.

    A request is admitted at an unknown time between its sending by the
    caller and its start by the target. A window counts only requests with
    both times inside, so that queueing alone never appears as an excess.

    Args:
        attempts: Attempts of callers.
        ledger: Requests that targets started.
        workspace: Workspace to evaluate.
        rate_per_s: Rate of the workspace.
        burst: Burst of the workspace.
    """
    started = {entry.tag: entry.at for entry in ledger if entry.tag}
    admission_spans = sorted(
        (attempt.sent_at, started[attempt.tag])
        for attempt in attempts
        if attempt.flow == workspace and attempt.tag in started
    )
    worst = 0.0
    for start in (
        span[0]
        for span in admission_spans[:: max(1, len(admission_spans) // 200)]
    ):
        window_ends = sorted(
            end for begin, end in admission_spans if begin >= start
        )
        for count, end in enumerate(window_ends, 1):
            allowed = rate_per_s * (end - start) + burst
            worst = max(worst, count / allowed)
    return worst
