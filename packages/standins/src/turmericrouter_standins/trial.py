"""Runs the fleet of a scenario under load and collects the attempts."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import pathlib
import time

import msgspec

from turmericrouter_standins.fleet import Fleet
from turmericrouter_standins.host import SettingsTree
from turmericrouter_standins.ledger import LedgerEntry
from turmericrouter_standins.load import Attempt
from turmericrouter_standins.load import Flow
from turmericrouter_standins.load import LoadSpec
from turmericrouter_standins.load import Phase
from turmericrouter_standins.load import read_attempts
from turmericrouter_standins.process import Process
from turmericrouter_standins.scenario import Scenario

_START_DELAY_S = 2.0
_LOAD_EXIT_TIMEOUT_S = 60.0

# Disables adaptive admission limits, load shedding and the retry budget.
BASELINE_SETTINGS: SettingsTree = {
    'overload': {
        'shedding': False,
        'adaptive': False,
        'retry_ratio': 1e6,
        'retry_floor_per_s': 1e6,
    }
}

FleetAction = Callable[[Fleet], Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class TrialResult:
    """Attempts of callers and ledger entries of targets of one trial.

    Args:
        started_at: Wall-clock second at which the first phase started.
        attempts: Attempts of all callers.
        ledger: Requests that the targets have started.
    """

    started_at: float
    attempts: Sequence[Attempt]
    ledger: Sequence[LedgerEntry]

    def served(self, flows: Iterable[str], start: float, end: float) -> int:
        """Return the number of useful answers between two times of the trial.

        Args:
            flows: Names of the flows to count.
            start: Seconds since the start of the trial.
            end: Seconds since the start of the trial.
        """
        names = frozenset(flows)
        return sum(
            attempt.is_served
            and attempt.flow in names
            and start <= attempt.ended_at - self.started_at < end
            for attempt in self.attempts
        )

    def offered(self, start: float, end: float) -> int:
        """Return the number of first attempts sent between two times.

        Args:
            start: Seconds since the start of the trial.
            end: Seconds since the start of the trial.
        """
        return sum(
            attempt.attempt == 0
            and start <= attempt.sent_at - self.started_at < end
            for attempt in self.attempts
        )

    def served_rates(
        self, flows: Iterable[str], *, seconds: float, step_s: float
    ) -> dict[float, float]:
        """Return useful answers per second by the start of each time step.

        Args:
            flows: Names of the flows to count.
            seconds: Duration to evaluate, from the start of the trial.
            step_s: Length of a time step.
        """
        names = frozenset(flows)
        counts = [0] * round(seconds / step_s)
        for attempt in self.attempts:
            step = int((attempt.ended_at - self.started_at) // step_s)
            if (
                attempt.is_served
                and attempt.flow in names
                and 0 <= step < len(counts)
            ):
                counts[step] += 1
        return {
            step * step_s: count / step_s for step, count in enumerate(counts)
        }


def split_flow(flow: Flow, parts: int) -> list[Flow]:
    """Split the rate of a flow evenly over several load processes."""
    phases = tuple(
        Phase(phase.seconds, phase.rate_per_s / parts) for phase in flow.phases
    )
    return [msgspec.structs.replace(flow, phases=phases)] * parts


async def run_load(
    fleet: Fleet, flows: Sequence[Flow], *, seed: int, processes: int
) -> tuple[float, list[Attempt]]:
    """Run flows in several load processes.

    Returns:
        The wall-clock second at which the first phase started, and all
        attempts.
    """
    started_at = time.time() + _START_DELAY_S
    parts_by_flow = [split_flow(flow, processes) for flow in flows]
    children: list[tuple[Process, pathlib.Path]] = []
    for index in range(processes):
        parts = tuple(parts[index] for parts in parts_by_flow)
        spec = LoadSpec(seed * 1000 + index, started_at, parts)
        spec_path = fleet.directory / f'load-{index}.json'
        result_path = fleet.directory / f'load-{index}.msgpack'
        spec_path.write_bytes(msgspec.json.encode(spec))
        module = 'turmericrouter_standins.load'
        child = Process(
            f'load-{index}',
            ['-m', module, str(spec_path), str(result_path)],
            fleet.directory,
        )
        child.start()
        children.append((child, result_path))
    duration_s = max(sum(p.seconds for p in flow.phases) for flow in flows)
    attempts: list[Attempt] = []
    for index, (child, result_path) in enumerate(children):
        await child.wait(duration_s + _LOAD_EXIT_TIMEOUT_S)
        for attempt in read_attempts(result_path):
            # Every process numbers its requests from 0; makes them unique.
            number = attempt.request * processes + index
            attempts.append(msgspec.structs.replace(attempt, request=number))
    return started_at, attempts


async def run_trial(
    scenario: Scenario,
    flows: Callable[[Fleet], Sequence[Flow]],
    *,
    directory: pathlib.Path,
    rate_per_s: float,
    seed: int,
    settings: SettingsTree | None = None,
    processes: int = 4,
    events: Sequence[tuple[float, FleetAction]] = (),
) -> TrialResult:
    """Start a fleet, run flows and events, and stop the fleet.

    Args:
        scenario: Deployment.
        flows: Returns the flows for a running fleet, whose addresses are
            known.
        directory: Empty directory for settings and output.
        rate_per_s: Total rate of all workspaces.
        seed: Seed of arrivals.
        settings: Daemon settings by section.
        processes: Number of load processes.
        events: Pairs of seconds after the start and an action.
    """
    directory.mkdir(parents=True, exist_ok=True)
    fleet = Fleet(
        directory,
        scenario.domains,
        scenario.service_specs(),
        settings=settings,
        links=True,
    )
    async with fleet:
        await fleet.set_link_rules(delay_ms=scenario.domain_delay_ms)
        await fleet.publish(scenario.configuration(rate_per_s))
        key = scenario.key(scenario.workspaces[0].name)
        for kind in scenario.kinds:
            if kind.idempotent:
                await fleet.wait_until_served(f'/{kind.name}', key=key)
        await fleet.wait_for_rosters()
        actions = asyncio.create_task(_run_events(fleet, events))
        started_at, attempts = await run_load(
            fleet, flows(fleet), seed=seed, processes=processes
        )
        await actions
        ledger = [e for host in fleet.hosts for e in fleet.ledger(host)]
    return TrialResult(started_at, attempts, ledger)


async def _run_events(
    fleet: Fleet, events: Sequence[tuple[float, FleetAction]]
) -> None:
    started = time.monotonic() + _START_DELAY_S
    for due_s, event in events:
        await asyncio.sleep(max(0.0, started + due_s - time.monotonic()))
        await event(fleet)
