"""Hosts of a test fleet: addresses, ports, settings and replies."""

from collections.abc import Mapping
import contextlib
import dataclasses
import json
import random
import socket
from typing import Any

from turmericrouter_standins.process import FleetError
from turmericrouter_standins.process import Process

TARGET_PORT = 8000
ENTRY_PORT = 8001
PEER_PORT = 8002
LOCAL_PORT = 8003
ADMIN_PORT = 8004
LOG_PORT = 8080
PEER_LISTEN_PORT = 8012
RELAY_PORT = 8081

SettingsTree = Mapping[str, Mapping[str, object]]


def _toml_value(value: object) -> str:
    if isinstance(value, bool):
        return 'true' if value else 'false'
    if isinstance(value, str):
        return json.dumps(value)
    if isinstance(value, list | tuple):
        return '[' + ', '.join(_toml_value(item) for item in value) + ']'
    return str(value)


def to_toml(tree: SettingsTree) -> str:
    """Encode sections of scalars and lists as TOML."""
    lines: list[str] = []
    for section, values in tree.items():
        lines.append(f'[{section}]')
        lines += [f'{key} = {_toml_value(v)}' for key, v in values.items()]
    return '\n'.join(lines) + '\n'


def choose_network() -> int:
    """Return an unused second octet for the addresses of a fleet.

    Raises:
        FleetError: All loopback networks are in use.
    """
    candidates = list(range(2, 250))
    random.SystemRandom().shuffle(candidates)
    for octet in candidates:
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((f'127.{octet}.0.1', LOG_PORT))
            return octet
    raise FleetError('all loopback networks from 127.2 to 127.249 are in use')


@dataclasses.dataclass(slots=True)
class Host:
    """A host with its daemon and its target.

    Args:
        name: Name of the target.
        service: Service of the target.
        domain: Failure domain.
        ip: Loopback address.
        daemon: Daemon process.
        target: Target process.
    """

    name: str
    service: str
    domain: str
    ip: str
    daemon: Process
    target: Process

    @property
    def entry_url(self) -> str:
        """Return the URL at which the daemon accepts calls."""
        return f'http://{self.ip}:{ENTRY_PORT}'

    @property
    def target_url(self) -> str:
        """Return the URL at which the target serves without a daemon."""
        return f'http://{self.ip}:{TARGET_PORT}'

    @property
    def address(self) -> str:
        """Return `IP:PORT` of the daemon's peer listener."""
        return f'{self.ip}:{PEER_PORT}'


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSpec:
    """Specification of a service of a fleet.

    Args:
        name: Name of the service.
        targets_per_domain: Number of targets in each failure domain.
        slots: Requests that a target runs concurrently.
        work_ms: Default service time of a request in milliseconds.
        extra_arguments: Further command-line arguments of the target stand-in.
    """

    name: str
    targets_per_domain: int = 1
    slots: int = 16
    work_ms: float = 1.0
    extra_arguments: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Reply of an entry to a call."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    @property
    def verdict(self) -> str:
        """Return the verdict header."""
        return self.headers.get('Turmeric-Verdict', '')

    @property
    def reason(self) -> str:
        """Return the reason header, empty for a target's own answer."""
        return self.headers.get('Turmeric-Reason', '')

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body)
