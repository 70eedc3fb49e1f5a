"""Lookup of routes by method and path."""

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


# Matches dot segments, encoded dots and slashes, backslashes, control
# characters and invalid escapes. A target may resolve such a path to that of
# another route.
_UNSAFE_PATH = re.compile(
    r'/\.{1,2}(?:/|;|$)|%2e|%2f|%5c|%[01][0-9a-f]|%7f|[\\\x00-\x20\x7f]'
    r'|%(?![0-9a-f]{2})',
    re.IGNORECASE,
)


def is_safe_path(path: str) -> bool:
    """Return whether targets interpret a path as the route table does.

    Args:
        path: Path as received, with or without a query.
    """
    if '#' in path or not path.startswith('/'):
        return False
    return _UNSAFE_PATH.search(path.partition('?')[0]) is None


def _segments(path: str) -> tuple[str, ...]:
    # Targets decode percent escapes: /%61 is the path /a.
    decoded = unquote(path) if '%' in path else path
    return tuple(part for part in decoded.split('/') if part)


class RouteTable:
    """Routes by path prefix; the longest matching prefix wins.

    Args:
        routes: (name, route) pairs.
    """

    def __init__(self, routes: Iterable[tuple[str, Route]] = ()) -> None:
        self._by_prefix: dict[tuple[str, ...], list[NamedRoute]] = {}
        self._max_segments = 0
        for name, route in sorted(routes, key=lambda pair: pair[0]):
            prefix = _segments(route.path_prefix)
            self._by_prefix.setdefault(prefix, []).append(
                NamedRoute(name, route)
            )
            self._max_segments = max(self._max_segments, len(prefix))

    def find(self, method: str, path: str) -> NamedRoute | None:
        """Return the route of a request, or None if no route matches.

        Args:
            method: HTTP method in upper case.
            path: Path, with or without a query.
        """
        segments = _segments(path.partition('?')[0])
        for length in range(min(len(segments), self._max_segments), -1, -1):
            for named in self._by_prefix.get(segments[:length], ()):
                if not named.route.methods or method in named.route.methods:
                    return named
        return None
