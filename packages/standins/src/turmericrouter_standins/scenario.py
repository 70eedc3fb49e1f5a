"""Scenario files: a deployment scaled down to one machine."""

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
from turmericrouter_standins.fleet import digest_scope
from turmericrouter_standins.host import ServiceSpec


class ServiceSize(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service at its full size.

    Args:
        name: Name of the service.
        upstreams: Targets over all failure domains.
        slots: Slots of each target.
        connections: Connections of each target.
    """

    name: str
    upstreams: int
    slots: int
    connections: int


class WorkspaceSize(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A workspace's share of the fleet's whole rate.

    Args:
        name: Name of the workspace.
        share: Share of the rate, all shares add up to 1.
    """

    name: str
    share: float


class Kind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A kind of request.

    Args:
        name: Name of the route.
        service: Service that serves it.
        importance: Name of an `Importance`.
        idempotent: Whether it may run more than once.
    """

    name: str
    service: str
    importance: str
    idempotent: bool


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A deployment.

    Args:
        name: Name of the deployment.
        domains: Failure domains.
        domain_delay_ms: One-way delay between failure domains.
        client_delay_ms: One-way delay to clients.
        scale: Factor on slots, stated with every result.
        work_ms: Service time of a request.
        services: Services at full size.
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
    kinds: tuple[Kind, ...]

    def slots(self, service: str) -> int:
        """Return the scaled slots of each target of a service."""
        size = next(s for s in self.services if s.name == service)
        return max(1, round(size.slots * self.scale))

    def capacity_per_s(self, service: str) -> float:
        """Return the requests a second that a service can run."""
        size = next(s for s in self.services if s.name == service)
        return size.upstreams * self.slots(service) / (self.work_ms / 1000)

    def service_specs(self) -> list[ServiceSpec]:
        """Return the services of a test fleet."""
        return [
            ServiceSpec(
                size.name,
                per_domain=size.upstreams // len(self.domains),
                slots=self.slots(size.name),
                work_ms=self.work_ms,
                extra=(f'--connections={size.connections}',),
            )
            for size in self.services
        ]

    def key(self, workspace: str) -> str:
        """Return the caller's key of a workspace in test runs."""
        return f'{self.name}-{workspace}-test-key'

    def configuration(self, rate_per_s: float) -> dict[str, Value | None]:
        """Return the configuration to publish.

        Args:
            rate_per_s: Rate of all workspaces together.
        """
        values: dict[str, Value | None] = {
            'fleet': FleetRecord(domains=self.domains)
        }
        for workspace in self.workspaces:
            rate = rate_per_s * workspace.share
            values[f'workspace/{workspace.name}'] = Workspace(rate, rate)
            scope = digest_scope(self.key(workspace.name))
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
    """Read a scenario by name, or from a path that ends in `.toml`."""
    if name.endswith('.toml'):
        text = pathlib.Path(name).read_text()
    else:
        package = importlib.resources.files('turmericrouter_standins')
        text = (package / 'scenarios' / f'{name}.toml').read_text()
    return msgspec.convert(tomllib.loads(text), Scenario)
