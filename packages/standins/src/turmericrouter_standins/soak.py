"""Soak test: random load and faults, then checks of all invariants.

The printed seed determines the load and the faults. Run it with `python -m`.
"""

import argparse
import asyncio
import collections
import pathlib
import random
import secrets
import shutil
import sys
import time

import aiohttp
import msgspec
import uvloop

from turmericrouter_core.config import Fleet as FleetRecord
from turmericrouter_core.config import Key
from turmericrouter_core.config import Route
from turmericrouter_core.config import Value
from turmericrouter_core.config import Workspace
from turmericrouter_core.errors import LogServiceError
from turmericrouter_core.verdict import Importance
from turmericrouter_standins import invariants
from turmericrouter_standins.fairness import max_overadmission_ratio
from turmericrouter_standins.faults import FaultInjector
from turmericrouter_standins.fleet import Fleet
from turmericrouter_standins.fleet import key_scope
from turmericrouter_standins.host import ServiceSpec
from turmericrouter_standins.invariants import StartedRequest
from turmericrouter_standins.load import Attempt
from turmericrouter_standins.load import Flow
from turmericrouter_standins.load import Phase
from turmericrouter_standins.load import send_attempt
from turmericrouter_standins.soak_report import print_violations
from turmericrouter_standins.trial import run_load

DOMAINS = ('north', 'south', 'west')
RECOVERY_TIMEOUT_S = 25.0
MAX_KEY_WITHDRAWAL_S = 10.0
MAX_RETIREMENT_S = 3.0
MAX_ATTEMPTS = 3
LOAD_PROCESSES = 2
_RATES_PER_S = {'alpha': 60.0, 'beta': 30.0, 'gamma': 20.0}
_KEYS = {name: f'soak-key-of-{name}' for name in _RATES_PER_S}
# Shorter than the timeout of callers: a caller without an answer shows that a
# daemon hangs, is unreachable or has ended.
_ROUTE_TIMEOUT_MS = 4000
_CALLER_TIMEOUT_S = 6.0
_POISON_PERIOD_S = 20.0
_POISON_ATTEMPTS = 6
_ROTATION_PERIOD_S = 8.0

Problems = dict[str, list[str]]


def _route(service: str, path: str, **options: object) -> Route:
    return Route(
        service,
        path,
        timeout_ms=_ROUTE_TIMEOUT_MS,
        **options,  # type: ignore[arg-type]
    )


def _configuration() -> dict[str, Value | None]:
    values: dict[str, Value | None] = {
        'fleet': FleetRecord(domains=DOMAINS),
        'route/lookup': _route('front', '/lookup', importance=Importance.LOW),
        'route/chain': _route('front', '/chain'),
        'route/deep': _route('deep', '/deep'),
        'route/open': _route('front', '/open', open_to_all=True),
        'route/rotate': _route('front', '/rotate'),
        'route/poison': _route('deep', '/poison'),
        'route/book': _route(
            'booking',
            '/book',
            importance=Importance.CRITICAL,
            idempotent=False,
        ),
    }
    for name, rate in _RATES_PER_S.items():
        values[f'workspace/{name}'] = Workspace(rate, rate)
        values[key_scope(_KEYS[name])] = Key(name)
    return values


def _flows(fleet: Fleet, seconds: float) -> list[Flow]:
    entries = tuple(host.entry_url for host in fleet.hosts)

    def flow(
        workspace: str, path: str, rate: float, **options: object
    ) -> Flow:
        return Flow(
            name=f'{workspace}{path.partition("?")[0]}',
            path=path,
            phases=(Phase(seconds, rate),),
            entries=entries,
            key=_KEYS.get(workspace, ''),
            retries=3,
            retry_wait_s=0.3,
            timeout_s=_CALLER_TIMEOUT_S,
            **options,  # type: ignore[arg-type]
        )

    operation = {
        'method': 'POST',
        'body_bytes': 64,
        'operation': True,
        'domains': len(DOMAINS),
    }
    return [
        flow('alpha', '/lookup/1?work_ms=5', 25.0),
        flow('alpha', '/book/1?work_ms=5', 10.0, **operation),
        flow('beta', '/book/1?work_ms=5', 10.0, **operation),
        flow('beta', '/chain/1?nested=/deep/1', 8.0),
        # Ten times the rate of the workspace.
        flow('gamma', '/lookup/1', 200.0),
        flow('', '/open/1', 5.0),
    ]


class Soak:
    """One run of the soak test.

    Args:
        directory: Empty directory for settings and output.
        seed: Seed of load and faults.
        seconds: Duration of load and faults.
    """

    def __init__(
        self, directory: pathlib.Path, *, seed: int, seconds: float
    ) -> None:
        self._directory = directory
        self._seed = seed
        self._seconds = seconds
        self._rng = random.Random(seed)
        self._attempts: list[Attempt] = []
        self._withdrawn_at: dict[str, float] = {}
        self._rotated_keys: list[str] = []

    async def run(self) -> Problems:
        """Run load and faults and return the violations by check.

        Returns:
            A list for each check, empty if the invariant held.
        """
        services = [
            ServiceSpec('front', slots=8),
            ServiceSpec('booking', slots=4),
            ServiceSpec('deep', slots=8),
        ]
        fleet = Fleet(self._directory, DOMAINS, services, links=True)
        async with fleet:
            await fleet.set_link_rules(delay_ms=1.0)
            await fleet.publish(_configuration())
            await fleet.wait_until_served('/lookup/1', key=_KEYS['alpha'])
            await fleet.wait_for_rosters()
            injector = FaultInjector(fleet, seed=self._seed)
            _, (_, attempts), _, _ = await asyncio.gather(
                injector.run(self._seconds),
                run_load(
                    fleet,
                    _flows(fleet, self._seconds),
                    seed=self._seed,
                    processes=LOAD_PROCESSES,
                ),
                self._rotate_keys(fleet),
                self._send_poison(fleet),
            )
            self._attempts += attempts
            problems = await self._check_recovery(fleet)
        print(f'faults: {collections.Counter(injector.record.applied)}')
        problems |= self._check(fleet, injector)
        return problems

    async def _check_recovery(self, fleet: Fleet) -> Problems:
        """Check that every entry serves again after the faults ended."""
        violations: list[str] = []
        deadline = time.monotonic() + RECOVERY_TIMEOUT_S
        for host in fleet.hosts:
            status = 0
            while status != 200 and time.monotonic() < deadline:
                try:
                    reply = await fleet.call(
                        host, '/lookup/1', key=_KEYS['alpha'], timeout_s=5
                    )
                    status = reply.status
                except (aiohttp.ClientError, TimeoutError):
                    status = 0
                await asyncio.sleep(0.1)
            if status != 200:
                violations.append(
                    f'{host.name} answers {status} after the faults ended'
                )
        return {'recovery': violations}

    async def _rotate_keys(self, fleet: Fleet) -> None:
        """Publish keys, use them over open connections and withdraw them."""
        end = time.monotonic() + self._seconds
        number = 0
        while time.monotonic() < end:
            key = secrets.token_urlsafe()
            self._rotated_keys.append(key)
            name = f'rotate-{number}'
            number += 1
            try:
                await fleet.publish({key_scope(key): Key('beta')})
                key_task = asyncio.create_task(self._use_key(fleet, name, key))
                await asyncio.sleep(_ROTATION_PERIOD_S / 2)
                withdrawal = Key('beta', withdrawn=True)
                await self._publish_until_acknowledged(
                    fleet, {key_scope(key): withdrawal}
                )
                self._withdrawn_at[name] = time.time()
                await key_task
            except LogServiceError:
                await asyncio.sleep(1.0)

    async def _publish_until_acknowledged(
        self, fleet: Fleet, values: dict[str, Value | None]
    ) -> None:
        while True:
            try:
                await fleet.publish(values)
            except LogServiceError:
                await asyncio.sleep(0.5)
            else:
                return

    async def _use_key(self, fleet: Fleet, name: str, key: str) -> None:
        flow = Flow(
            name=name,
            path='/rotate/1',
            phases=(),
            entries=tuple(host.entry_url for host in fleet.hosts),
            key=key,
            timeout_s=_CALLER_TIMEOUT_S,
        )
        end = (
            time.monotonic() + 1.5 * _ROTATION_PERIOD_S + MAX_KEY_WITHDRAWAL_S
        )
        number = 0
        while time.monotonic() < end:
            result, _ = await send_attempt(
                fleet.session, flow, number, 0, b'', '', self._rng
            )
            self._attempts.append(result)
            number += 1
            await asyncio.sleep(0.1)

    async def _send_poison(self, fleet: Fleet) -> None:
        """Send poison requests, each of which crashes its target."""
        end = time.monotonic() + self._seconds
        number = 0
        while time.monotonic() + _POISON_PERIOD_S / 2 < end:
            flow = Flow(
                name='poison',
                path=f'/poison/{number}?crash=1',
                phases=(),
                entries=tuple(host.entry_url for host in fleet.hosts),
                key=_KEYS['beta'],
                timeout_s=_CALLER_TIMEOUT_S,
            )
            number += 1
            for attempt in range(_POISON_ATTEMPTS):
                result, _ = await send_attempt(
                    fleet.session, flow, number, attempt, b'', '', self._rng
                )
                self._attempts.append(result)
                await asyncio.sleep(0.5)
            await self._restart_targets(fleet)
            await asyncio.sleep(_POISON_PERIOD_S)

    async def _restart_targets(self, fleet: Fleet) -> None:
        for host in fleet.hosts:
            if host.service == 'deep' and not host.target.is_running:
                host.target.start()

    def _check(self, fleet: Fleet, injector: FaultInjector) -> Problems:
        started = [
            StartedRequest(host.name, entry)
            for host in fleet.hosts
            for entry in fleet.ledger(host)
        ]
        attempts = self._attempts
        record = injector.record
        exempt_spans = record.platform_faults + record.cuts + record.pauses
        outputs = [
            path
            for path in self._directory.glob('*.log')
            if not path.name.startswith('load-')
        ]
        daemon_logs = [host.daemon.output for host in fleet.hosts]
        flows = {a.flow for a in attempts}
        workspaces = {
            flow: flow.partition('/')[0] for flow in flows if '/' in flow
        }
        keys = [*_KEYS.values(), *self._rotated_keys]
        return {
            'whole answers': invariants.check_answers(attempts),
            'single execution': invariants.check_single_execution(started),
            'not-run': invariants.check_not_run(attempts, started),
            'workspaces': invariants.check_workspaces(
                attempts, started, workspaces
            ),
            'no key': invariants.check_key_leaks(outputs, keys, started),
            'attempts bounded': invariants.check_attempts_bounded(
                started,
                {'/lookup/1': MAX_ATTEMPTS, '/deep/1': MAX_ATTEMPTS**2},
            ),
            'configuration': invariants.check_config_never_reverts(
                daemon_logs
            ),
            'withdrawn keys': invariants.check_withdrawn_keys(
                attempts,
                self._withdrawn_at,
                exempt_spans,
                max_delay_s=MAX_KEY_WITHDRAWAL_S,
            ),
            'leaving targets': invariants.check_leaving_targets(
                started,
                record.retired,
                exempt_spans,
                max_delay_s=MAX_RETIREMENT_S,
            ),
            'graceful stops': invariants.check_graceful_stops(
                attempts, record.stops
            ),
            'quota': self._check_quota(started),
            'poison': self._check_poison(started),
            'faults': [p for p in record.problems if 'ended with' in p],
        }

    def _check_quota(self, started: list[StartedRequest]) -> list[str]:
        problems = []
        for name, rate in _RATES_PER_S.items():
            # Merges the flows of a workspace, so that all its paths count.
            workspace_attempts = [
                msgspec.structs.replace(attempt, flow=name)
                for attempt in self._attempts
                if attempt.flow.partition('/')[0] == name
            ]
            entries = [item.entry for item in started]
            ratio = max_overadmission_ratio(
                workspace_attempts, entries, name, rate, rate
            )
            if ratio > 1.0:
                problems.append(f'{name} got {ratio:.3f} of its quota')
        return problems

    def _check_poison(self, started: list[StartedRequest]) -> list[str]:
        crashes = collections.Counter(
            item.entry.path
            for item in started
            if item.entry.path.startswith('/poison/')
        )
        return [
            f'{path} crashed {count} targets'
            for path, count in crashes.items()
            if count > 2
        ]


def main() -> None:
    """Run the soak test and exit with status 1 if a check failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=60.0)
    parser.add_argument(
        '--output', type=pathlib.Path, default=pathlib.Path('build/soak')
    )
    options = parser.parse_args()
    directory = options.output / f'seed-{options.seed}'
    shutil.rmtree(directory, ignore_errors=True)
    directory.mkdir(parents=True)
    print(f'seed {options.seed}, {options.seconds:.0f} s', flush=True)
    soak = Soak(directory, seed=options.seed, seconds=options.seconds)
    problems = uvloop.run(soak.run())
    sys.exit(print_violations(problems))


if __name__ == '__main__':
    main()
