"""Finds the route and the workspace of a request."""

from turmericrouter_dataplane.fleet_config import FleetConfig
from turmericrouter_dataplane.fleet_config import Route
from turmericrouter_dataplane.fleet_config import Workspace


class RouteTable:
    """Routes by hostname and longest path prefix, and workspaces by key.

    Args:
        config: Configuration in force.
        previous: Preceding table, whose round-robin weights of split routes
            are kept.
    """

    def __init__(
        self, config: FleetConfig, previous: 'RouteTable | None' = None
    ) -> None:
        self.version = config.version
        self._routes: dict[bytes, dict[bytes, Route]] = {}
        self._current_weights: dict[str, list[float]] = {}
        for route in config.routes:
            prefixes = self._routes.setdefault(route.hostname, {})
            prefixes[route.path_prefix] = route
            self._carry_over_weights(route, previous)
        self._workspaces = {
            key: workspace
            for workspace in config.workspaces
            for key in workspace.keys
        }
        self.has_workspaces = bool(config.workspaces)

    def find(self, hostname: bytes, target: bytes) -> Route | None:
        """Return the route of a request.

        Args:
            hostname: Host header, with or without port.
            target: Path with query.
        """
        prefixes = self._routes.get(hostname)
        if prefixes is None:
            name = hostname.partition(b':')[0].lower()
            prefixes = self._routes.get(name)
            if prefixes is None:
                return None
        path = target.partition(b'?')[0]
        end = len(path)
        while (slash := path.rfind(b'/', 0, end)) >= 0:
            route = prefixes.get(path[: slash + 1])
            if route is not None:
                return route
            end = slash
        return None

    def find_workspace(self, key: bytes) -> Workspace | None:
        """Return the workspace of an API key."""
        return self._workspaces.get(key)

    def pick_service(self, route: Route) -> str:
        """Return the service for the next request of a route.

        Split routes use smooth weighted round robin, so that the shares are
        exact over a few requests already.
        """
        services = route.services
        if len(services) == 1:
            return services[0].name
        current = self._current_weights[route.name]
        best = 0
        total = 0.0
        for index, service in enumerate(services):
            current[index] += service.weight
            total += service.weight
            if current[index] > current[best]:
                best = index
        current[best] -= total
        return services[best].name

    def _carry_over_weights(
        self, route: Route, previous: 'RouteTable | None'
    ) -> None:
        weights = (
            previous._current_weights.get(route.name) if previous else None
        )
        if weights is None or len(weights) != len(route.services):
            weights = [0.0] * len(route.services)
        self._current_weights[route.name] = weights
