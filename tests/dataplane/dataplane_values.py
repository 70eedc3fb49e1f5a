"""Values that the tests of the request path share."""

from turmericrouter_dataplane.fleet_config import CallerLimits
from turmericrouter_dataplane.fleet_config import FleetConfig
from turmericrouter_dataplane.fleet_config import Route
from turmericrouter_dataplane.fleet_config import WeightedService
from turmericrouter_dataplane.fleet_config import Workspace
from turmericrouter_dataplane.frames import HostRecord
from turmericrouter_dataplane.header_names import HeaderNames

NAMES = HeaderNames(
    request_id=b'X-Id',
    deadline_ms=b'X-Left',
    target_id=b'X-Target',
    workspace=b'X-Workspace',
    caller_service=b'X-Caller',
    not_run=b'X-Not-Run',
    load=b'X-Load',
    signature=b'X-Sign',
    rate_limit=b'X-Rate',
    leaving=b'X-Leaving',
)


def make_route(
    name: str = 'read',
    *,
    prefix: bytes = b'/a/',
    services: tuple[tuple[str, float], ...] = (('design', 1.0),),
    is_idempotent: bool = True,
) -> Route:
    return Route(
        name=name,
        hostname=b'host.example',
        path_prefix=prefix,
        services=tuple(WeightedService(n, w) for n, w in services),
        is_idempotent=is_idempotent,
        max_attempts=2,
        timeout_s=1.0,
        latency_objective_s=0.8,
        priority=1,
        is_open_to_all=False,
    )


def make_workspace(
    name: str = 'east',
    *,
    rate_per_s: float = 100.0,
    burst: float = 100.0,
    keys: tuple[bytes, ...] = (b'key-1',),
) -> Workspace:
    return Workspace(name, keys, 0, rate_per_s, burst)


def make_config(
    *routes: Route, version: int = 1, workspaces: tuple[Workspace, ...] = ()
) -> FleetConfig:
    return FleetConfig(
        version, routes, workspaces, {'design': 10}, CallerLimits()
    )


def make_record(
    name: str,
    *,
    domain: str = 'north',
    service: str = 'design',
    state: int = 1,
) -> HostRecord:
    return HostRecord(
        name,
        f'127.0.0.1:{len(name)}',
        domain,
        service,
        f'id-{name}',
        10,
        state,
    )
