"""Runs a store, upstreams and daemons on the loopback address for tests."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
from typing import Any

import aiohttp
import yarl

from standin_store import StandinStore
from standin_upstream import StandinUpstream

ROOT = pathlib.Path(__file__).parents[2]
KEY = 'key-of-east'
OPERATOR_TOPIC = 'keyed.op'
_START_TIMEOUT_S = 20.0
_PORTS_PER_HOST = 10
# First port of each host of this process. The ports are unbound while a daemon
# or an upstream restarts, so a check by binding does not find them in use.
_used_first_ports: set[int] = set()


def _find_free_ports(count: int) -> list[int]:
    """Return consecutive free ports below the ephemeral port range."""
    while True:
        first = random.randrange(12_000, 32_000, _PORTS_PER_HOST)
        if first in _used_first_ports:
            continue
        sockets = []
        try:
            for port in range(first, first + count):
                sockets.append(socket.socket())
                sockets[-1].bind(('127.0.0.1', port))
            _used_first_ports.add(first)
            return list(range(first, first + count))
        except OSError:
            continue
        finally:
            for each in sockets:
                each.close()


def make_config(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a configuration with three routes.

    `read` is idempotent, `book` is not, and `open` needs no key.
    """
    names = ['name', 'hostname', 'path_prefix', 'route_type', 'timeout_s',
             'target_latency_s', 'priority', 'max_attempts',
             'allow_anonymous', 'service']  # fmt: skip
    rows = [
        ['read', 'api.example', '/read/', 'idempotent', 2, 1, 2, 2, False,
         'design'],
        ['book', 'api.example', '/book/', 'non_idempotent', 2, 1, 0, 2, False,
         'works'],
        ['open', 'api.example', '/open/', 'idempotent', 2, 1, 1, 2, True,
         'works'],
    ]  # fmt: skip
    return {
        'version': version,
        'routes': {'columns': names, 'rows': rows},
        'services': {
            'columns': ['name', 'max_connections'],
            'rows': [['design', 100], ['works', 100]],
        },
        'limits': {'max_header_bytes': 16384, 'max_body_bytes': 1_000_000},
        'tenants': {
            'columns': ['name', 'api_keys', 'priority', 'rate_per_s', 'burst'],
            'rows': [['east', [KEY], 0, 1000, 1000]],
        },
    } | changes


def is_past_start(process: subprocess.Popen[bytes]) -> bool:
    """Return whether a daemon has got past the start of its interpreter.

    The daemon installs its signal handlers first and then loads libraries, so
    either shows it, also if a handler were missing or removed later. A process
    that has ended counts as past its start.
    """
    if process.poll() is not None:
        return True
    folder = pathlib.Path('/proc') / str(process.pid)
    status = (folder / 'status').read_text()
    match = re.search(r'^SigCgt:\s*([0-9a-f]+)$', status, re.MULTILINE)
    assert match is not None
    caught = int(match[1], 16)
    handles_stop = bool(caught >> (signal.SIGTERM - 1) & 1)
    has_libraries = '-packages/' in (folder / 'maps').read_text()
    return handles_stop or has_libraries


class Host:
    """A host with a daemon and an upstream beside it.

    Args:
        name: Name of the host.
        service: Service of the upstream.
        store_port: Port of the store.
        folder: Where settings and output are kept.
        domain: Failure domain of the host.
        has_proxies: Whether peers and the store are reached through the
            ports `peer_proxy_port` and `store_proxy_port`.
        grace_s: Time after SIGTERM until the platform kills the daemon.
    """

    def __init__(
        self,
        name: str,
        service: str,
        store_port: int,
        folder: pathlib.Path,
        domain: str = 'north',
        *,
        has_proxies: bool = False,
        grace_s: float = 6,
    ) -> None:
        self.name = name
        self.service = service
        self.domain = domain
        names = ('outbound', 'ready', 'control', 'inbound', 'app', 'peers',
                 'metrics', 'peer_proxy', 'store_proxy')  # fmt: skip
        ports = dict(zip(names, _find_free_ports(len(names)), strict=True))
        self.port = ports['outbound']
        self.ready_port = ports['ready']
        self.peers_port = ports['peers']
        self.metrics_port = ports['peers'] + 1
        self.peer_proxy_port = ports['peer_proxy']
        self.store_proxy_port = ports['store_proxy']
        self.settings = folder / f'{name}.toml'
        self.output = folder / f'{name}.log'
        self.process: subprocess.Popen[bytes] | None = None
        self.upstream = StandinUpstream(
            f'i-{name}',
            service,
            port=ports['app'],
            control=f'127.0.0.1:{ports["control"]}',
        )
        listen = '\n'.join(
            f'{key} = "127.0.0.1:{ports[key]}"' for key in names[:4]
        )
        self.settings.write_text(
            f'node_name = "{name}"\nzone = "{domain}"\nservice = "{service}"\n'
            f'ip = "127.0.0.1"\ninternal_ports = [{ports["peers"]}, 65535]\n'
            f'app_addr = "127.0.0.1:{ports["app"]}"\n'
            f'bounds = ["grace_s={grace_s}", "retry_slack=49"]\n'
            f'[listen]\n{listen}\n'
            f'[platform]\naddress = "127.0.0.1:'
            f'{self.store_proxy_port if has_proxies else store_port}"\n'
        )
        if has_proxies:
            with self.settings.open('a') as settings:
                settings.write(
                    '[turmericrouter]\nadvertise = '
                    f'"127.0.0.1:{self.peer_proxy_port}"\n'
                )
        self.upstream.host = name
        self.upstream.nested_port = self.port

    def launch(self) -> None:
        """Start the daemon."""
        paths = ('packages/core/src', 'packages/dataplane/src')
        environment = {
            **os.environ,
            'PYTHONPATH': os.pathsep.join(str(ROOT / p) for p in paths),
            'TURMERICROUTER_NODE_FILE': str(self.settings),
        }
        with self.output.open('ab') as output:
            self.process = subprocess.Popen(
                [sys.executable, 'platform/daemon.py'],
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the daemon."""
        assert self.process is not None
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the daemon if it is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def wait_for_exit(self) -> int:
        """Wait until the daemon ends, and return its exit status."""
        assert self.process is not None
        return await asyncio.to_thread(self.process.wait, 10.0)

    def log_lines(self, event: str) -> list[str]:
        """Return the daemon's log lines for an event."""
        wanted = f"event='{event}'"
        text = self.output.read_text()
        return [line for line in text.splitlines() if wanted in line]


class Fleet:
    """Hosts, their store and an HTTP client."""

    def __init__(self, store: StandinStore, hosts: list[Host]) -> None:
        self.store = store
        self.hosts = hosts
        self._next_id = 0
        self._session: aiohttp.ClientSession | None = None

    def publish(self, document: dict[str, Any]) -> None:
        """Publish a configuration."""
        body = json.dumps(document).encode()
        self.store.put(OPERATOR_TOPIC, 'config', body)

    async def request(
        self,
        host: Host,
        path: str,
        *,
        method: str = 'GET',
        key: str | None = KEY,
        headers: dict[str, str] | None = None,
        data: bytes | None = None,
    ) -> tuple[int, bytes, dict[str, str]]:
        """Send a request to a host's daemon.

        Returns:
            Status, body and headers of the answer.
        """
        self._next_id += 1
        sent = {
            'Host': 'api.example',
            'X-Request-Id': f'id-{self._next_id}',
            'X-Request-Deadline': '3000',
            **(headers or {}),
        }
        if key is not None:
            sent['Authorization'] = f'Bearer {key}'
        if self._session is None:
            self._session = aiohttp.ClientSession()
        async with self._session.request(
            method,
            yarl.URL(f'http://127.0.0.1:{host.port}{path}', encoded=True),
            headers=sent,
            data=data,
        ) as answer:
            return answer.status, await answer.read(), dict(answer.headers)

    async def wait_for_status(
        self, host: Host, path: str, status: int = 200, **options: Any
    ) -> None:
        """Wait until a request to a path is answered with a status."""
        async with asyncio.timeout(_START_TIMEOUT_S):
            while True:
                try:
                    answer = await self.request(host, path, **options)
                    if answer[0] == status:
                        return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(0.05)

    async def gauge(self, host: Host, name: str) -> float:
        """Return a gauge from a host's metrics, -1 if it is not available."""
        url = f'http://127.0.0.1:{host.metrics_port}/metrics'
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.get(url) as answer,
            ):
                lines = (await answer.text()).splitlines()
        except aiohttp.ClientError:
            return -1.0
        values = dict(line.rsplit(' ', 1) for line in lines)
        return float(values.get(f'turmeric_{name}', -1.0))

    async def wait_for_targets(self, host: Host) -> None:
        """Wait until a host lists the target of each host as serving."""
        async with asyncio.timeout(_START_TIMEOUT_S):
            while await self.gauge(host, 'targets_serving') < len(self.hosts):
                await asyncio.sleep(0.05)

    async def close(self) -> None:
        """Close the client's connections."""
        if self._session is not None:
            await self._session.close()


@contextlib.asynccontextmanager
async def run_fleet(
    folder: pathlib.Path,
    services: tuple[str, ...] = ('design', 'works'),
    domains: tuple[str, ...] = ('north',),
    *,
    grace_s: float = 6,
) -> AsyncIterator[Fleet]:
    """Run a fleet with one host per service, ready to serve.

    Args:
        folder: Where settings and output are kept.
        services: Service of each host.
        domains: Failure domains, assigned to the hosts in turn.
        grace_s: Time after SIGTERM until the platform kills a daemon.
    """
    store = StandinStore()
    await store.start()
    hosts = [
        Host(
            f'host-{number}',
            service,
            store.port,
            folder,
            domains[number % len(domains)],
            grace_s=grace_s,
        )
        for number, service in enumerate(services)
    ]
    fleet = Fleet(store, hosts)
    fleet.publish(make_config())
    try:
        for host in hosts:
            host.launch()
            await host.upstream.start()
        for host in hosts:
            await fleet.wait_for_targets(host)
            for path in ('/read/warm', '/open/warm'):
                await fleet.wait_for_status(host, path)
        yield fleet
    finally:
        await fleet.close()
        for host in hosts:
            host.kill()
            await host.upstream.stop()
        await store.stop()
