"""Starts a small fleet of real processes for tests and experiments.

Every host has its own loopback address, `127.N.D.H`: N is a random number for
the fleet, so that concurrent test runs do not share addresses, D counts
failure domains and H hosts. Ports are the same on all hosts.
"""

import asyncio
from collections.abc import Mapping
from collections.abc import Sequence
import contextlib
import pathlib
import re
import time
import uuid

import aiohttp
import msgspec

from turmericrouter_client.log_service import LogClient
from turmericrouter_core.config import Change
from turmericrouter_core.config import CONFIG_STREAM
from turmericrouter_core.config import encode_record
from turmericrouter_core.config import key_digest
from turmericrouter_core.config import NO_REVISION
from turmericrouter_core.config import Publication
from turmericrouter_core.config import Value
from turmericrouter_core.config import VersionedValue
from turmericrouter_standins.host import ADMIN_PORT
from turmericrouter_standins.host import choose_network
from turmericrouter_standins.host import ENTRY_PORT
from turmericrouter_standins.host import Host
from turmericrouter_standins.host import LOCAL_PORT
from turmericrouter_standins.host import LOG_PORT
from turmericrouter_standins.host import PEER_LISTEN_PORT
from turmericrouter_standins.host import PEER_PORT
from turmericrouter_standins.host import RELAY_PORT
from turmericrouter_standins.host import Reply
from turmericrouter_standins.host import ServiceSpec
from turmericrouter_standins.host import SettingsTree
from turmericrouter_standins.host import TARGET_PORT
from turmericrouter_standins.host import to_toml
from turmericrouter_standins.ledger import LedgerEntry
from turmericrouter_standins.ledger import read_ledger
from turmericrouter_standins.process import FleetError
from turmericrouter_standins.process import Process
from turmericrouter_standins.relay import PLATFORM
from turmericrouter_standins.relay import RelayRoute

READY_TIMEOUT_S = 20.0
_POLL_INTERVAL_S = 0.02


class Fleet:
    """Log service, daemons and targets as processes on loopback.

    Args:
        directory: Empty directory for settings and output.
        domains: Names of the failure domains.
        services: Services; each has targets in each domain.
        settings: Daemon settings by section; they override the defaults.
        log_options: Further arguments of the log service.
        links: Whether connections between daemons and to the log service
            go through a relay, which can delay and cut them.
    """

    def __init__(
        self,
        directory: pathlib.Path,
        domains: Sequence[str],
        services: Sequence[ServiceSpec],
        *,
        settings: SettingsTree | None = None,
        log_options: Sequence[str] = (),
        links: bool = False,
    ) -> None:
        self.directory = directory
        self._links = links
        self.domains = tuple(domains)
        self._network = choose_network()
        self._settings = settings or {}
        self.log_url = f'http://127.{self._network}.0.1:{LOG_PORT}'
        self.log_service = Process(
            'log-service',
            [
                '-m',
                'turmericrouter_standins.log_service',
                '--host',
                f'127.{self._network}.0.1',
                '--port',
                str(LOG_PORT),
                *log_options,
            ],
            directory,
        )
        self.hosts = [
            self._make_host(domain_index, host_index, spec, copy_index)
            for domain_index in range(len(domains))
            for host_index, (spec, copy_index) in enumerate(
                (spec, copy_index)
                for spec in services
                for copy_index in range(spec.targets_per_domain)
            )
        ]
        self.relay = Process(
            'relay',
            [
                '-m',
                'turmericrouter_standins.relay',
                f'--host=127.{self._network}.0.1',
                f'--port={RELAY_PORT}',
                f'--routes={directory / "relay.json"}',
            ],
            directory,
        )
        self.log_client = LogClient(self.log_url)
        self._session: aiohttp.ClientSession | None = None
        self._published: dict[str, VersionedValue] = {}

    @property
    def session(self) -> aiohttp.ClientSession:
        """Return an HTTP session for calls to the fleet."""
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=0)
            self._session = aiohttp.ClientSession(connector=connector)
        return self._session

    def host(self, name: str) -> Host:
        """Return a host by the name of its target."""
        return next(host for host in self.hosts if host.name == name)

    def hosts_in_domain(self, domain: str) -> list[Host]:
        """Return the hosts of a failure domain."""
        return [host for host in self.hosts if host.domain == domain]

    async def __aenter__(self) -> 'Fleet':
        await self.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.stop()

    async def start(self) -> None:
        """Start all processes and wait until they serve.

        Raises:
            FleetError: A process did not answer in time.
        """
        self.log_service.start()
        await self.wait_for(f'{self.log_url}/stats')
        if self._links:
            await self._start_relay()
        for host in self.hosts:
            host.daemon.start()
            host.target.start()
        for host in self.hosts:
            await self.wait_for(f'{host.target_url}/_health')
            await self.wait_for(host.entry_url)

    async def stop(self) -> None:
        """Kill all processes that still run."""
        if self._session is not None:
            await self._session.close()
            self._session = None
        await self.log_client.close()
        for host in self.hosts:
            host.daemon.kill()
            host.target.kill()
        self.log_service.kill()
        self.relay.kill()

    async def set_link_rules(
        self,
        *,
        delay_ms: float = 0.0,
        cuts: Sequence[tuple[str, str]] = (),
    ) -> None:
        """Set the delay and the cuts between failure domains.

        Args:
            delay_ms: One-way delay between different failure domains.
            cuts: Pairs of failure domains, or of a domain and `platform`.
        """
        rules = {'delay_ms': delay_ms, 'cuts': [list(cut) for cut in cuts]}
        url = f'http://127.{self._network}.0.1:{RELAY_PORT}/rules'
        async with self.session.put(url, json=rules):
            return

    async def _start_relay(self) -> None:
        routes = [
            RelayRoute(
                host.ip,
                PEER_PORT,
                host.ip,
                PEER_LISTEN_PORT,
                '',
                host.domain,
            )
            for host in self.hosts
        ]
        routes += [
            RelayRoute(
                self._platform_ip(domain),
                LOG_PORT,
                f'127.{self._network}.0.1',
                LOG_PORT,
                domain,
                PLATFORM,
            )
            for domain in self.domains
        ]
        path = self.directory / 'relay.json'
        path.write_bytes(msgspec.json.encode(routes))
        self.relay.start()
        await self.wait_for(
            f'http://127.{self._network}.0.1:{RELAY_PORT}/rules'
        )

    def _platform_ip(self, domain: str) -> str:
        """Return the address of the log service for a failure domain."""
        if not self._links:
            return f'127.{self._network}.0.1'
        index = self.domains.index(domain) + 1
        return f'127.{self._network}.{index}.254'

    async def wait_for(self, url: str) -> None:
        """Wait until a URL answers with any status.

        Raises:
            FleetError: It did not answer in time.
        """
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with self.session.get(
                    url, timeout=aiohttp.ClientTimeout(total=1)
                ):
                    return
            await asyncio.sleep(_POLL_INTERVAL_S)
        raise FleetError(f'{url} did not answer')

    async def publish(self, values: Mapping[str, Value | None]) -> int:
        """Publish values by scope and return the offset of the publication."""
        changes = tuple(
            Change(
                scope,
                self._published[scope].revision
                if scope in self._published
                else NO_REVISION,
                value,
            )
            for scope, value in values.items()
        )
        publication = Publication(str(uuid.uuid4()), changes)
        offset = await self.log_client.append(
            CONFIG_STREAM, encode_record(publication)
        )
        for change in changes:
            if change.value is None:
                self._published.pop(change.scope, None)
            else:
                self._published[change.scope] = VersionedValue(
                    offset, change.value
                )
        return offset

    async def call(
        self,
        host: Host,
        path: str,
        *,
        key: str = '',
        method: str = 'GET',
        body: bytes = b'',
        headers: Mapping[str, str] | None = None,
        timeout_s: float = 30.0,
    ) -> 'Reply':
        """Send a request to a daemon's entry and return the whole reply."""
        request_headers = dict(headers or {})
        if key:
            request_headers['Authorization'] = f'Bearer {key}'
        async with self.session.request(
            method,
            host.entry_url + path,
            data=body or None,
            headers=request_headers,
            timeout=aiohttp.ClientTimeout(total=timeout_s),
        ) as response:
            return Reply(
                response.status,
                dict(response.headers),
                await response.read(),
            )

    async def wait_until_served(
        self, path: str, *, key: str = '', hosts: Sequence[Host] | None = None
    ) -> None:
        """Wait until every entry serves a path.

        Raises:
            FleetError: An entry did not serve it in time.
        """
        deadline = time.monotonic() + READY_TIMEOUT_S
        for host in self.hosts if hosts is None else hosts:
            while (await self.call(host, path, key=key)).status != 200:
                if time.monotonic() > deadline:
                    raise FleetError(f'{host.name} does not serve {path}')
                await asyncio.sleep(_POLL_INTERVAL_S)

    async def call_until_targets_used(
        self, host: Host, path: str, count: int, *, key: str = ''
    ) -> None:
        """Call an entry until a number of different targets have answered.

        Raises:
            FleetError: Too few targets answered in time.
        """
        deadline = time.monotonic() + READY_TIMEOUT_S
        seen: set[str] = set()
        while len(seen) < count:
            if time.monotonic() > deadline:
                raise FleetError(f'{host.name} used only {sorted(seen)}')
            reply = await self.call(host, path, key=key)
            if reply.status == 200:
                seen.add(reply.json()['target'])

    async def wait_for_rosters(self) -> None:
        """Wait until every daemon has the roster of every failure domain.

        The roster of a domain lists the holders of its quota slices.

        Raises:
            FleetError: A daemon did not log it in time.
        """
        await self._wait_for_log_lines(
            [
                rf'event=roster_changed .*domain={domain} .*holders=\d'
                for domain in self.domains
            ]
        )

    async def wait_for_directory(self) -> None:
        """Wait until every daemon has logged every target as serving.

        Raises:
            FleetError: A daemon did not log it in time.
        """
        await self._wait_for_log_lines(
            [rf'target={host.name} state=SERVING' for host in self.hosts]
        )

    async def _wait_for_log_lines(self, patterns: Sequence[str]) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_S
        for host in self.hosts:
            for pattern in patterns:
                while not re.search(pattern, host.daemon.output.read_text()):
                    if time.monotonic() > deadline:
                        raise FleetError(f'{host.name} did not log {pattern}')
                    await asyncio.sleep(_POLL_INTERVAL_S)

    def ledger(self, host: Host) -> list[LedgerEntry]:
        """Return the requests that all processes of a target have started."""
        return list(read_ledger(self._ledger_path(host.name)))

    def _ledger_path(self, name: str) -> pathlib.Path:
        return self.directory / f'{name}.ledger'

    async def set_log_faults(self, **faults: object) -> None:
        """Replace the active faults of the log service."""
        async with self.session.put(f'{self.log_url}/faults', json=faults):
            return

    def _make_host(
        self,
        domain_index: int,
        host_index: int,
        spec: ServiceSpec,
        copy_index: int,
    ) -> Host:
        domain = self.domains[domain_index]
        ip = f'127.{self._network}.{domain_index + 1}.{host_index + 1}'
        name = f'{spec.name}-{domain}-{copy_index}'
        path = self.directory / f'{name}.toml'
        path.write_text(to_toml(self._daemon_settings(ip, domain)))
        daemon = Process(
            f'daemon-{name}',
            ['-m', 'turmericrouter_daemon', str(path)],
            self.directory,
        )
        target = Process(
            f'target-{name}',
            [
                '-m',
                'turmericrouter_standins.target',
                f'--host={ip}',
                f'--port={TARGET_PORT}',
                f'--name={name}',
                f'--service={spec.name}',
                f'--daemon=http://{ip}:{LOCAL_PORT}',
                f'--ledger={self._ledger_path(name)}',
                f'--slots={spec.slots}',
                f'--work-ms={spec.work_ms}',
                *spec.extra_arguments,
            ],
            self.directory,
        )
        return Host(name, spec.name, domain, ip, daemon, target)

    def _daemon_settings(self, ip: str, domain: str) -> SettingsTree:
        tree: dict[str, dict[str, object]] = {
            'host': {
                'ip': ip,
                'domain': domain,
                'entry_port': ENTRY_PORT,
                'peer_port': PEER_PORT,
                'local_port': LOCAL_PORT,
                'admin_port': ADMIN_PORT,
                'local_ip': ip,
            },
            'platform': {
                'log_url': f'http://{self._platform_ip(domain)}:{LOG_PORT}'
            },
        }
        if self._links:
            tree['host']['peer_listen_port'] = PEER_LISTEN_PORT
        for section, values in self._settings.items():
            tree.setdefault(section, {}).update(values)
        return tree


def key_scope(key: str) -> str:
    """Return the configuration scope of a caller's key."""
    return f'key/{key_digest(key)}'
