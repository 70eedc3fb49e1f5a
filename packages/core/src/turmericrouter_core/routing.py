"""Finds the route of a request by method and path."""

from collections.abc import Iterable
import dataclasses
import re
from urllib.parse import unquote

from turmericrouter_core.config import Route


@dataclasses.dataclass(frozen=True, slots=True)
class NamedRoute:
    """A route with its name."""

    name: str
    route: Route


# Dot segments, encoded dots and slashes, backslashes and control
# characters: a target may resolve them to the path of another route.
_UNSAFE_PATH = re.compile(
    r'/\.{1,2}(?:/|;|$)|%2e|%2f|%5c|%[01][0-9a-f]|%7f|[\\\x00-\x20\x7f]'
    r'|%(?![0-9a-f]{2})',
    re.IGNORECASE,
)


def is_safe_path(path: str) -> bool:
    """Return whether every target reads a path as the route table does.

    Args:
        path: Path as it came, with or without a query.
    """
    if '#' in path or not path.startswith('/'):
        return False
    return _UNSAFE_PATH.search(path.partition('?')[0]) is None


def _segments(path: str) -> tuple[str, ...]:
    # A target decodes its path, so that /%61 is /a there.
    plain = unquote(path) if '%' in path else path
    return tuple(part for part in plain.split('/') if part)


class RouteTable:
    """Routes by path prefix; the longest matching prefix wins.

    Args:
        routes: (name, route) pairs.
    """

    def __init__(self, routes: Iterable[tuple[str, Route]] = ()) -> None:
        self._by_prefix: dict[tuple[str, ...], list[NamedRoute]] = {}
        self._longest = 0
        for name, route in sorted(routes, key=lambda pair: pair[0]):
            prefix = _segments(route.path_prefix)
            self._by_prefix.setdefault(prefix, []).append(
                NamedRoute(name, route)
            )
            self._longest = max(self._longest, len(prefix))

    def find(self, method: str, path: str) -> NamedRoute | None:
        """Return the route of a request, none if there is none.

        Args:
            method: HTTP method in capitals.
            path: Path, with or without a query.
        """
        parts = _segments(path.partition('?')[0])
        for length in range(min(len(parts), self._longest), -1, -1):
            for named in self._by_prefix.get(parts[:length], ()):
                if not named.route.methods or method in named.route.methods:
                    return named
        return None
