"""Measures the delay until configuration and key withdrawals take effect."""

import asyncio
import datetime
import pathlib
import re
import secrets
import time

from turmericrouter_core.config import Key
from turmericrouter_core.config import Route
from turmericrouter_standins.fleet import Fleet
from turmericrouter_standins.fleet import key_scope
from turmericrouter_standins.host import Host
from turmericrouter_standins.scenario import Scenario

# 36,000 changes per day.
CHANGES_PER_S = 0.42
SETTLE_S = 3.0
_POLL_INTERVAL_S = 0.02
_WITHDRAWAL_TIMEOUT_S = 20.0
_APPLIED_LINE = re.compile(
    r'timestamp=(?P<at>\S+) .*event=config_applied .*offset=(?P<offset>\d+)'
)


def percentile(values: list[float], percent: float) -> float:
    """Return the smallest value that a percentage of values do not exceed."""
    ordered = sorted(values)
    index = max(0, -(-len(ordered) * percent // 100) - 1)
    return ordered[int(index)]


def _applied_at(path: pathlib.Path) -> dict[int, float]:
    """Return the wall-clock second at which each offset was applied."""
    times: dict[int, float] = {}
    for line in path.read_text().splitlines():
        match = _APPLIED_LINE.search(line)
        if match:
            at = datetime.datetime.fromisoformat(match['at'])
            times.setdefault(int(match['offset']), at.timestamp())
    return times


async def measure_config_in_force(
    scenario: Scenario,
    *,
    directory: pathlib.Path,
    changes_per_s: float,
    changes: int,
) -> list[float]:
    """Publish changes and return the seconds until daemons applied them.

    There is one value for each pair of a change and a daemon.

    Args:
        scenario: Deployment.
        directory: Empty directory for settings and output.
        changes_per_s: Publications per second.
        changes: Number of publications.

    Raises:
        RuntimeError: A daemon did not apply a change during the run.
    """
    directory.mkdir(parents=True, exist_ok=True)
    fleet = Fleet(
        directory, scenario.domains, scenario.service_specs(), links=True
    )
    published: dict[int, float] = {}
    async with fleet:
        await fleet.set_link_rules(delay_ms=scenario.domain_delay_ms)
        await fleet.publish(scenario.configuration(1000.0))
        await asyncio.sleep(SETTLE_S)
        for number in range(changes):
            sent_at = time.time()
            service = scenario.services[0].name
            route = Route(service, f'/changing/{number}')
            offset = await fleet.publish({'route/changing': route})
            published[offset] = sent_at
            await asyncio.sleep(1 / changes_per_s)
        await asyncio.sleep(SETTLE_S)
    delays: list[float] = []
    for host in fleet.hosts:
        applied = _applied_at(host.daemon.output)
        missing = published.keys() - applied.keys()
        if missing:
            raise RuntimeError(f'{host.name} did not apply offsets {missing}')
        delays += [applied[o] - at for o, at in published.items()]
    return delays


async def measure_key_withdrawn(
    scenario: Scenario, *, directory: pathlib.Path, rounds: int
) -> list[float]:
    """Withdraw keys and return the seconds until each entry refused them.

    Callers keep their connections open and send a request every 20 ms.

    Args:
        scenario: Deployment.
        directory: Empty directory for settings and output.
        rounds: Number of keys to withdraw, one after the other.
    """
    directory.mkdir(parents=True, exist_ok=True)
    fleet = Fleet(
        directory, scenario.domains, scenario.service_specs(), links=True
    )
    kind = next(kind for kind in scenario.kinds if kind.idempotent)
    path = f'/{kind.name}/1?work_ms=1'
    delays: list[float] = []
    async with fleet:
        await fleet.set_link_rules(delay_ms=scenario.domain_delay_ms)
        await fleet.publish(scenario.configuration(10_000.0))
        workspace = scenario.workspaces[0].name
        for _ in range(rounds):
            key = secrets.token_urlsafe()
            scope = key_scope(key)
            await fleet.publish({scope: Key(workspace)})
            await fleet.wait_until_served(path, key=key)
            withdrawn_at = time.time()
            await fleet.publish({scope: Key(workspace, withdrawn=True)})
            delays += await asyncio.gather(
                *(
                    _measure_refusal_delay(
                        fleet, host, path, key, withdrawn_at
                    )
                    for host in fleet.hosts
                )
            )
    return delays


async def _measure_refusal_delay(
    fleet: Fleet, host: Host, path: str, key: str, withdrawn_at: float
) -> float:
    """Return the seconds until an entry answers 401 to a key.

    Raises:
        RuntimeError: The entry still accepts the key after the timeout.
    """
    while time.time() - withdrawn_at < _WITHDRAWAL_TIMEOUT_S:
        sent_at = time.time()
        reply = await fleet.call(host, path, key=key)
        if reply.status == 401:
            return sent_at - withdrawn_at
        await asyncio.sleep(_POLL_INTERVAL_S)
    raise RuntimeError(f'{host.name} still accepts a withdrawn key')
