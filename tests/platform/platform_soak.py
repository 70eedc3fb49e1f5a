"""Long randomised run of real daemons with stand-ins of the platform.

A seed determines the load and the faults. The records of callers and upstreams
are checked every few seconds and at the end.
"""

import argparse
import asyncio
import collections
import contextlib
import functools
import itertools
import pathlib
import random
import shutil
import sys
import time

import aiohttp
import yarl

from fault_proxy import FaultProxy
from platform_fleet import Fleet
from platform_fleet import Host
from platform_fleet import make_config
from platform_fleet import OPERATOR_TOPIC
import soak_checks
from soak_checks import Attempt
from soak_faults import FaultInjector
from soak_faults import STOP_GRACE_S
from standin_store import StandinStore
from standin_upstream import Arrival
from turmericrouter_standins.soak_report import print_violations

DOMAINS = ('north', 'south', 'west')
RECOVERY_S = 15.0
DRAIN_S = 2.0
RETRY_SLACK = 49.0
CONFIG_APPLY_S = 2.0
# Time after a fault in which a host may not have reconnected.
STABLE_S = 3.0
# Time of load after the faults in which no fault is an excuse any more.
_CALM_S = 2.0
ROLLBACK_SLACK_S = 0.25
_CHECK_PERIOD_S = 5.0
_VERSION_PERIOD_S = 4.0
_READY_PERIOD_S = 1.0
# Timeout of most routes, and of those with long requests.
_TIMEOUT_S = 2.0
_LONG_TIMEOUT_S = 8.0
# Time by which the time limits of callers exceed the timeouts of routes.
_PATIENCE_S = 2.0
_WORK_S = 0.02
# Rate per second and burst by workspace.
LIMITS = {'east': (90.0, 90.0), 'west': (30.0, 30.0), 'hot': (10.0, 10.0)}
# Workspace, path, method and requests per second.
_FLOWS = (
    ('east', '/read/item', 'GET', 20.0),
    ('east', '/read/nested', 'GET', 10.0),
    ('east', '/book/item', 'POST', 15.0),
    ('west', '/read/item', 'GET', 10.0),
    ('west', '/book/item', 'POST', 5.0),
    ('hot', '/read/item', 'GET', 40.0),
)
_VERSION_RATE_PER_S = 8.0
# Records of operators beside each version.
_OTHER_RECORDS = 3
# Requests during a stop: path, method, longest work in ms and pause in s.
_STOP_FLOWS = (
    ('/read/item', 'GET', 0, 0.1),
    ('/book/item', 'POST', 0, 0.1),
    ('/book/work-{}', 'POST', 1900, 0.0),
    ('/long-design/work-{}', 'GET', 7500, 0.0),
    ('/long-works/work-{}', 'GET', 3500, 0.0),
    ('/long-design/nested-work-{}', 'GET', 4500, 0.0),
    ('/long-works/nested-work-{}', 'GET', 4500, 0.0),
)
_CALLERS_PER_STOP_FLOW = 2
# Longest work of half of the nested calls.
_NESTED_WORK_MS = 1900

Problems = dict[str, list[str]]


def _config(version: int) -> dict[str, object]:
    """Return a configuration with a route and a key of this version alone."""
    config = make_config(version)
    routes = config['routes']['rows']
    routes.append(
        [f'v{version}', 'api.example', f'/v{version}/', 'idempotent', 2, 1, 2,
         2, False, 'design']
    )  # fmt: skip
    routes += [
        [f'long-{service}', 'api.example', f'/long-{service}/', 'idempotent',
         _LONG_TIMEOUT_S, 1, 2, 2, False, service]
        for service in ('design', 'works')
    ]  # fmt: skip
    tenants = [
        [name, [f'key-of-{name}'], 0, rate, burst]
        for name, (rate, burst) in LIMITS.items()
    ]
    tenants[0][1] = ['key-of-east', f'key-{version}']
    config['tenants']['rows'] = tenants
    return config


class Soak:
    """One run of the soak.

    Args:
        folder: Empty folder for settings and output.
        seed: Seed of load and faults.
        seconds: Seconds with faults.
        hosts: Number of hosts.
        faults: Names of the faults to choose from; all if empty.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        *,
        seed: int,
        seconds: float,
        hosts: int = 6,
        faults: tuple[str, ...] = (),
    ) -> None:
        self._seconds = seconds
        self._faults = faults
        self._rng = random.Random(seed)
        self._store = StandinStore()
        self._folder = folder
        self._host_count = hosts
        self._cuts: set[frozenset[str]] = set()
        self._proxies: list[FaultProxy] = []
        self._attempts: list[Attempt] = []
        self._published: dict[int, float] = {}
        self._version = 0
        self._ids = itertools.count()
        self._sessions: dict[str, aiohttp.ClientSession] = {}
        self._ports: dict[str, int] = {}
        self._ready: dict[str, bool] = {}
        self._requests: set[asyncio.Task[Attempt]] = set()

    async def run(self) -> Problems:
        """Return the violations by check; no violations are an empty list."""
        await self._store.start()
        fleet, injector = await self._make_fleet()
        problems: Problems = {}
        try:
            await self._start(fleet, injector)
            names = list(self._faults or injector.faults)
            background = [
                asyncio.create_task(work)
                for work in (
                    self._send_flows(fleet, injector),
                    self._poll_readiness(fleet),
                    self._check_periodically(fleet, injector),
                )
            ]
            publisher = asyncio.create_task(
                self._publish_periodically(fleet, injector)
            )
            await injector.run(self._seconds, names)
            # Each version removes the route of the one before, so the last
            # one stays while the recovery is checked.
            publisher.cancel()
            await asyncio.sleep(STABLE_S + _CALM_S)
            recovery = await self._check_recovery(fleet)
            for task in background:
                task.cancel()
            await asyncio.gather(*self._requests)
            problems = self._check(fleet, injector) | {'recovery': recovery}
        finally:
            await self._close(fleet)
        self._report(fleet, injector)
        return problems

    async def _make_fleet(self) -> tuple[Fleet, FaultInjector]:
        hosts = [
            Host(
                f'host-{number}',
                ('design', 'works')[number % 2],
                self._store.port,
                self._folder,
                DOMAINS[number // 2 % len(DOMAINS)],
                has_proxies=True,
            )
            for number in range(self._host_count)
        ]
        domains = {host.name: host.domain for host in hosts}
        peer_proxies, store_proxies = {}, {}
        for host in hosts:
            peer_proxies[host.name] = FaultProxy(
                host.peer_proxy_port,
                host.peers_port,
                lambda source, own=host.domain: (
                    frozenset((domains.get(source, own), own)) in self._cuts
                ),
            )
            store_proxies[host.name] = FaultProxy(
                host.store_proxy_port, self._store.port
            )
        self._proxies = [*peer_proxies.values(), *store_proxies.values()]
        for proxy in self._proxies:
            await proxy.start()
        fleet = Fleet(self._store, hosts)
        return fleet, FaultInjector(
            fleet,
            peer_proxies,
            store_proxies,
            self._cuts,
            self._send_until_exit,
            functools.partial(self._publish_next_version, fleet),
            self._rng,
        )

    async def _start(self, fleet: Fleet, injector: FaultInjector) -> None:
        self._publish_next_version(fleet)
        for host in fleet.hosts:
            host.upstream.work_s = _WORK_S
            host.upstream.call_nested = functools.partial(
                self._call_nested, host
            )
            self._sessions[host.name] = aiohttp.ClientSession()
            self._ports[host.name] = host.port
            self._ready[host.name] = True
            injector.launch(host)
            await host.upstream.start()
        for host in fleet.hosts:
            await fleet.wait_for_targets(host)

    async def _close(self, fleet: Fleet) -> None:
        for host in fleet.hosts:
            host.kill()
            await host.upstream.stop()
        for session in self._sessions.values():
            await session.close()
        for proxy in self._proxies:
            proxy.stop()
        await fleet.close()
        await self._store.stop()

    def _publish_next_version(self, fleet: Fleet) -> None:
        self._version += 1
        fleet.publish(_config(self._version))
        for number in range(_OTHER_RECORDS):
            fleet.store.put(
                OPERATOR_TOPIC, f'other-{self._version}-{number}', b'value'
            )
        self._published[self._version] = time.monotonic()

    async def _publish_periodically(
        self, fleet: Fleet, injector: FaultInjector
    ) -> None:
        while True:
            await asyncio.sleep(_VERSION_PERIOD_S * self._rng.uniform(0.3, 2))
            while injector.is_store_settling:
                await asyncio.sleep(0.1)
            self._publish_next_version(fleet)

    async def _poll_readiness(self, fleet: Fleet) -> None:
        """Exclude hosts that failed two readiness checks in a row."""
        missed: collections.Counter[str] = collections.Counter()
        while True:
            for host in fleet.hosts:
                is_ready = await self._is_ready(host)
                missed[host.name] = 0 if is_ready else missed[host.name] + 1
                self._ready[host.name] = missed[host.name] < 2
            await asyncio.sleep(_READY_PERIOD_S)

    @staticmethod
    async def _is_ready(host: Host) -> bool:
        url = f'http://127.0.0.1:{host.ready_port}/-/ready'
        timeout = aiohttp.ClientTimeout(total=0.3)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.get(url) as answer,
            ):
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def _send_flows(self, fleet: Fleet, injector: FaultInjector) -> None:
        flows = [
            (workspace, path, method, f'key-of-{workspace}')
            for workspace, path, method, _ in _FLOWS
        ]
        rates = [rate for *_, rate in _FLOWS]
        total = sum(rates) + _VERSION_RATE_PER_S
        while True:
            await asyncio.sleep(self._rng.expovariate(total))
            ready = [h for h in fleet.hosts if self._ready[h.name]]
            host = self._rng.choice(ready or fleet.hosts)
            if self._rng.random() < _VERSION_RATE_PER_S / total:
                flow = self._version_flow()
            else:
                flow = self._rng.choices(flows, rates)[0]
            task = asyncio.create_task(self._send(host, *flow))
            self._requests.add(task)
            task.add_done_callback(self._requests.discard)

    def _version_flow(self) -> tuple[str, str, str, str]:
        """Use the newest route, or the withdrawn key of the version before."""
        version = self._version
        if self._rng.random() < 0.5 or version == 1:
            return 'east', f'/v{version}/item', 'GET', 'key-of-east'
        return 'east', f'/read/key-{version - 1}', 'GET', f'key-{version - 1}'

    async def _send_until_exit(self, host: Host) -> None:
        callers = [
            self._repeat_until_exit(host, *flow)
            for flow in _STOP_FLOWS * _CALLERS_PER_STOP_FLOW
        ]
        await asyncio.gather(*callers)

    async def _repeat_until_exit(
        self,
        host: Host,
        path: str,
        method: str,
        max_work_ms: int,
        pause_s: float,
    ) -> None:
        """Send one request after the other, over a kept connection."""
        assert host.process is not None
        limit_s = _LONG_TIMEOUT_S if path.startswith('/long') else _TIMEOUT_S
        async with aiohttp.ClientSession() as session:
            while host.process.poll() is None:
                path_with_work = path.format(self._rng.randint(0, max_work_ms))
                attempt = self._make_attempt(
                    host, 'east', path_with_work, method, limit_s
                )
                await self._exchange(session, attempt, 'key-of-east')
                refused_pause_s = 0.0 if attempt.status == 200 else 0.1
                await asyncio.sleep(max(pause_s, refused_pause_s))

    async def _call_nested(self, host: Host, request_id: str) -> bool:
        """Make a nested call, recorded as a request of the host."""
        work_ms = self._rng.choice((0, self._rng.randint(0, _NESTED_WORK_MS)))
        attempt = Attempt(
            f'{request_id}.1', f'/open/work-{work_ms}', '', host.name, True,
            time.monotonic(), limit_s=_TIMEOUT_S,
        )  # fmt: skip
        self._attempts.append(attempt)
        async with aiohttp.ClientSession() as session:
            await self._exchange(session, attempt)
        return attempt.status == 200

    async def _send(
        self, host: Host, workspace: str, path: str, method: str, key: str
    ) -> Attempt:
        attempt = self._make_attempt(host, workspace, path, method)
        await self._exchange(self._sessions[host.name], attempt, key)
        return attempt

    def _make_attempt(
        self,
        host: Host,
        workspace: str,
        path: str,
        method: str,
        limit_s: float = _TIMEOUT_S,
    ) -> Attempt:
        attempt = Attempt(
            f'id-{next(self._ids)}',
            f'{path}?n={self._rng.randrange(10**9)}',
            workspace,
            host.name,
            method == 'GET',
            time.monotonic(),
            limit_s=limit_s,
        )
        self._attempts.append(attempt)
        return attempt

    async def _exchange(
        self, session: aiohttp.ClientSession, attempt: Attempt, key: str = ''
    ) -> None:
        """Send a request and record its outcome; without a key if empty."""
        timeout_s = attempt.limit_s + _PATIENCE_S
        headers = {
            'Host': 'api.example',
            'X-Request-Id': attempt.request_id,
            'X-Request-Deadline': str(int(timeout_s * 1000)),
        }
        if key:
            headers['Authorization'] = f'Bearer {key}'
        port = self._ports[attempt.host]
        try:
            async with session.request(
                'GET' if attempt.is_idempotent else 'POST',
                yarl.URL(f'http://127.0.0.1:{port}{attempt.path}'),
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as answer:
                attempt.body = await answer.read()
                attempt.status = answer.status
                attempt.is_signed = 'X-Server-Signature' in answer.headers
        except aiohttp.ClientConnectorError as error:
            # Counts as a refusal, since nothing was sent.
            attempt.status, attempt.body = 503, repr(error).encode()
        except (aiohttp.ClientError, TimeoutError) as error:
            attempt.error = repr(error)
        attempt.ended_at = time.monotonic()

    async def _check_recovery(self, fleet: Fleet) -> list[str]:
        """Return what fails `RECOVERY_S` after the faults have ended."""
        found = []
        for host in fleet.hosts:
            for path, method in (
                ('/read/nested', 'GET'),
                ('/book/last', 'POST'),
                (f'/v{self._version}/last', 'GET'),
            ):
                try:
                    async with asyncio.timeout(RECOVERY_S):
                        await self._wait_until_served(host, path, method)
                except TimeoutError:
                    found.append(f'{host.name} does not serve {path}')
            if host.process is not None and host.process.poll() is not None:
                found.append(f'{host.name}: daemon ended unexpectedly')
        return found

    async def _wait_until_served(
        self, host: Host, path: str, method: str
    ) -> None:
        while True:
            attempt = await self._send(
                host, 'east', path, method, 'key-of-east'
            )
            if attempt.status == 200:
                return
            await asyncio.sleep(0.1)

    async def _check_periodically(
        self, fleet: Fleet, injector: FaultInjector
    ) -> None:
        """Print new violations during the run."""
        printed: set[str] = set()
        while True:
            await asyncio.sleep(_CHECK_PERIOD_S)
            for name, found in self._check(fleet, injector).items():
                for text in found:
                    if text not in printed:
                        printed.add(text)
                        print(f'{name}: {text}', flush=True)

    def _check(self, fleet: Fleet, injector: FaultInjector) -> Problems:
        arrivals = self._arrivals(fleet)
        record = injector.record
        ended = [a for a in self._attempts if a.ended_at]
        services = {host.name: host.service for host in fleet.hosts}
        return {
            'answers': soak_checks.check_answers(ended),
            'single runs': soak_checks.check_single_runs(
                self._attempts, arrivals
            ),
            'refusals': soak_checks.check_refusals(ended, arrivals),
            'asked': soak_checks.check_requests(
                self._attempts, arrivals, services
            ),
            'quota': soak_checks.check_quota(arrivals, LIMITS),
            'budget': soak_checks.check_retry_budget(arrivals, RETRY_SLACK),
            'drained': soak_checks.check_drained(
                arrivals, record.drained, DRAIN_S
            ),
            'rate limits': soak_checks.check_rate_limits(
                arrivals, record.limits
            ),
            'planned stops': soak_checks.check_planned_stops(
                ended,
                arrivals,
                record.stops,
                record.unplanned,
                margin_s=STABLE_S,
                grace_s=STOP_GRACE_S,
            ),
            'order of versions': soak_checks.check_version_order(
                ended, self._published, record.starts, ROLLBACK_SLACK_S
            ),
            'versions in force': soak_checks.check_versions_applied(
                ended,
                self._published,
                [*record.unplanned, *(span for _, span in record.stops)],
                apply_s=CONFIG_APPLY_S,
                stable_s=STABLE_S,
            ),
            'processes': list(record.problems),
        }

    @staticmethod
    def _arrivals(fleet: Fleet) -> list[Arrival]:
        return [
            arrival
            for host in fleet.hosts
            for arrival in host.upstream.arrivals
        ]

    def _report(self, fleet: Fleet, injector: FaultInjector) -> None:
        statuses = collections.Counter(
            str(a.status) if not a.error else a.error.partition('(')[0]
            for a in self._attempts
        )
        faults = collections.Counter(injector.record.applied)
        print(f'faults: {dict(faults)}')
        print(f'requests: {len(self._attempts)}, {dict(statuses)}')
        print(f'versions: {self._version}')


def main() -> None:
    """Run with one seed; exit status 1 if a check failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=30.0)
    parser.add_argument('--hosts', type=int, default=6)
    parser.add_argument('--faults', default='', help='names, with commas')
    parser.add_argument(
        '--output', type=pathlib.Path, default=pathlib.Path('build/soak')
    )
    options = parser.parse_args()
    folder = options.output / f'platform-seed-{options.seed}'
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    print(f'seed {options.seed}, {options.seconds:.0f} s', flush=True)
    soak = Soak(
        folder.resolve(),
        seed=options.seed,
        seconds=options.seconds,
        hosts=options.hosts,
        faults=tuple(filter(None, options.faults.split(','))),
    )
    problems = asyncio.run(soak.run())
    sys.exit(print_violations(problems))


if __name__ == '__main__':
    with contextlib.suppress(KeyboardInterrupt):
        main()
