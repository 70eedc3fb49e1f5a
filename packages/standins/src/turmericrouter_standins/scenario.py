"""Scenario files, which describe a deployment scaled down to one machine."""

import importlib.resources
import pathlib
import tomllib

import msgspec

from turmericrouter_core.config import Fleet as FleetRecord
from turmericrouter_core.config import Key
from turmericrouter_core.config import Route
from turmericrouter_core.config import Value
from turmericrouter_core.config import Workspace
from turmericrouter_core.verdict import Importance
from turmericrouter_standins.fleet import key_scope
from turmericrouter_standins.host import ServiceSpec


class ServiceSize(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service at the size of the deployment.

    Args:
        name: Name of the service.
        upstreams: Number of targets in all failure domains.
        slots: Concurrent requests of each target.
        connections: Connections that each target accepts.
    """

    name: str
    upstreams: int
    slots: int
    connections: int


class WorkspaceSize(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The share of a workspace in the total rate of the fleet.

    Args:
        name: Name of the workspace.
        share: Fraction of the rate; all fractions add up to 1.
    """

    name: str
    share: float


class RequestKind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A kind of request.

    Args:
        name: Name of the route.
        service: Service that serves it.
        importance: Name of an `Importance` member.
        idempotent: Whether a request may run more than once.
    """

    name: str
    service: str
    importance: str
    idempotent: bool


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A deployment and the scale at which it is tested.

    Args:
        name: Name of the deployment.
        domains: Failure domains.
        domain_delay_ms: One-way delay between failure domains.
        client_delay_ms: One-way delay to clients.
        scale: Factor on the slots of targets, reported with every result.
        work_ms: Service time of a request.
        services: Services at the size of the deployment.
        workspaces: Workspaces.
        kinds: Kinds of request.
    """

    name: str
    domains: tuple[str, ...]
    domain_delay_ms: float
    client_delay_ms: float
    scale: float
    work_ms: float
    services: tuple[ServiceSize, ...]
    workspaces: tuple[WorkspaceSize, ...]
    kinds: tuple[RequestKind, ...]

    def slots(self, service: str) -> int:
        """Return the slots of each target of a service after scaling."""
        size = next(s for s in self.services if s.name == service)
        return max(1, round(size.slots * self.scale))

    def capacity_per_s(self, service: str) -> float:
        """Return the requests per second that a service can run."""
        size = next(s for s in self.services if s.name == service)
        return size.upstreams * self.slots(service) / (self.work_ms / 1000)

    def service_specs(self) -> list[ServiceSpec]:
        """Return the specifications of the services for a test fleet."""
        return [
            ServiceSpec(
                size.name,
                targets_per_domain=size.upstreams // len(self.domains),
                slots=self.slots(size.name),
                work_ms=self.work_ms,
                extra_arguments=(f'--connections={size.connections}',),
            )
            for size in self.services
        ]

    def key(self, workspace: str) -> str:
        """Return the caller's key of a workspace for test runs."""
        return f'{self.name}-{workspace}-test-key'

    def configuration(self, rate_per_s: float) -> dict[str, Value | None]:
        """Return the configuration to publish.

        Args:
            rate_per_s: Total rate of all workspaces.
        """
        values: dict[str, Value | None] = {
            'fleet': FleetRecord(domains=self.domains)
        }
        for workspace in self.workspaces:
            rate = rate_per_s * workspace.share
            values[f'workspace/{workspace.name}'] = Workspace(rate, rate)
            scope = key_scope(self.key(workspace.name))
            values[scope] = Key(workspace.name)
        for kind in self.kinds:
            values[f'route/{kind.name}'] = Route(
                kind.service,
                f'/{kind.name}',
                importance=Importance[kind.importance],
                idempotent=kind.idempotent,
                timeout_ms=2000,
            )
        return values


def load_scenario(name: str) -> Scenario:
    """Read a packaged scenario by name, or a file by its `.toml` path."""
    if name.endswith('.toml'):
        text = pathlib.Path(name).read_text()
    else:
        package = importlib.resources.files('turmericrouter_standins')
        text = (package / 'scenarios' / f'{name}.toml').read_text()
    return msgspec.convert(tomllib.loads(text), Scenario)
