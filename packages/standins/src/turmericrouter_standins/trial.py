"""Runs a scenario's fleet under load and returns what callers saw."""

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
_LOAD_GRACE_S = 60.0

# The same daemons with admission, shedding and the retry budget off.
BASELINE_SETTINGS: SettingsTree = {
    'overload': {
        'shedding': False,
        'adaptive': False,
        'retry_ratio': 1e6,
        'retry_floor_per_s': 1e6,
    }
}

Event = Callable[[Fleet], Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class TrialResult:
    """What came of a trial.

    Args:
        started_at: Wall-clock second at which the first phase started.
        attempts: Attempts of all callers.
        ledger: What the targets have started.
    """

    started_at: float
    attempts: Sequence[Attempt]
    ledger: Sequence[LedgerEntry]

    def served(self, flows: Iterable[str], start: float, end: float) -> int:
        """Return useful answers between two seconds of the trial."""
        names = frozenset(flows)
        return sum(
            attempt.is_served
            and attempt.flow in names
            and start <= attempt.ended_at - self.started_at < end
            for attempt in self.attempts
        )

    def offered(self, start: float, end: float) -> int:
        """Return first attempts sent between two seconds of the trial."""
        return sum(
            attempt.attempt == 0
            and start <= attempt.sent_at - self.started_at < end
            for attempt in self.attempts
        )

    def served_rates(
        self, flows: Iterable[str], *, seconds: float, step_s: float
    ) -> dict[float, float]:
        """Return useful answers a second by the start of each time step.

        Args:
            flows: Names of the flows to count.
            seconds: Length of the part of the trial to look at.
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
    """Split a flow's rate over several load processes."""
    phases = tuple(
        Phase(phase.seconds, phase.rate_per_s / parts) for phase in flow.phases
    )
    return [msgspec.structs.replace(flow, phases=phases)] * parts


async def run_load(
    fleet: Fleet, flows: Sequence[Flow], *, seed: int, processes: int
) -> tuple[float, list[Attempt]]:
    """Run flows from several processes.

    Returns:
        The wall-clock second at which the first phase started, and all
        attempts.
    """
    started_at = time.time() + _START_DELAY_S
    split = [split_flow(flow, processes) for flow in flows]
    children: list[tuple[Process, pathlib.Path]] = []
    for index in range(processes):
        parts = tuple(parts[index] for parts in split)
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
    longest_s = max(sum(p.seconds for p in flow.phases) for flow in flows)
    attempts: list[Attempt] = []
    for index, (child, result_path) in enumerate(children):
        await child.wait(longest_s + _LOAD_GRACE_S)
        for attempt in read_attempts(result_path):
            # Each process counts its requests from 0.
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
    events: Sequence[tuple[float, Event]] = (),
) -> TrialResult:
    """Start a fleet, run flows and faults, and stop it.

    Args:
        scenario: Deployment.
        flows: Returns the flows once the addresses are known.
        directory: Empty directory for settings and output.
        rate_per_s: Rate of all workspaces together.
        seed: Seed of arrivals.
        settings: Daemon settings by section.
        processes: Load processes.
        events: (seconds after the start, action) pairs.
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
        await fleet.set_links(delay_ms=scenario.domain_delay_ms)
        await fleet.publish(scenario.configuration(rate_per_s))
        key = scenario.key(scenario.workspaces[0].name)
        for kind in scenario.kinds:
            if kind.idempotent:
                await fleet.wait_served(f'/{kind.name}', key=key)
        await fleet.wait_rosters()
        actions = asyncio.create_task(_act(fleet, events))
        started_at, attempts = await run_load(
            fleet, flows(fleet), seed=seed, processes=processes
        )
        await actions
        ledger = [e for host in fleet.hosts for e in fleet.ledger(host)]
    return TrialResult(started_at, attempts, ledger)


async def _act(fleet: Fleet, events: Sequence[tuple[float, Event]]) -> None:
    started = time.monotonic() + _START_DELAY_S
    for due_s, event in events:
        await asyncio.sleep(max(0.0, started + due_s - time.monotonic()))
        await event(fleet)
