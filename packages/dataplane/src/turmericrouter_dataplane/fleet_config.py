"""Configuration of the fleet as the request path uses it."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """One service that a route leads to.

    Args:
        name: Name of the service.
        weight: Share of the route's requests, relative to the others.
    """

    name: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Rule for the requests under one path prefix of a hostname.

    Args:
        name: Unique name.
        hostname: Host header without port, lower case.
        path_prefix: Starts and ends with a slash.
        services: Where requests go; one entry unless the route is split.
        is_idempotent: Whether a request may run more than once.
        max_attempts: Targets that one request may be sent to.
        timeout_s: Maximum time until a caller is answered.
        latency_objective_s: Latency objective.
        priority: Rank, 0 is the most important.
        is_open_to_all: Whether a request needs no key.
    """

    name: str
    hostname: bytes
    path_prefix: bytes
    services: tuple[WeightedService, ...]
    is_idempotent: bool
    max_attempts: int
    timeout_s: float
    latency_objective_s: float
    priority: int
    is_open_to_all: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A customer with its API keys and its quota.

    Args:
        name: Unique name.
        keys: Keys that are accepted now.
        priority: Goes before the priority of a route; 0 is the highest.
        rate_per_s: Requests a second over the whole fleet; 0 is no limit.
        burst: Requests beyond the rate that may come at once.
    """

    name: str
    keys: tuple[bytes, ...]
    priority: int
    rate_per_s: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Size and time limits for callers.

    Args:
        max_header_bytes: Maximum size of a request head.
        max_body_bytes: Maximum size of a request body.
        header_timeout_s: Time for the head to come in.
        idle_timeout_s: Time a connection may stay without a request.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class FleetConfig:
    """One version of the whole configuration."""

    version: int
    routes: tuple[Route, ...]
    workspaces: tuple[Workspace, ...]
    max_connections: dict[str, int]
    limits: CallerLimits
