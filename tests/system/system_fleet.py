"""Configuration, fleet and waits that system tests share."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import pathlib
import time

from turmericrouter_core.config import Fleet as FleetRecord
from turmericrouter_core.config import Key
from turmericrouter_core.config import Route
from turmericrouter_core.config import Value
from turmericrouter_core.config import Workspace
from turmericrouter_standins.fleet import digest_scope
from turmericrouter_standins.fleet import Fleet
from turmericrouter_standins.host import Host
from turmericrouter_standins.host import ServiceSpec

KEY = 'key-of-east'
DOMAINS = ('north', 'south')
# A step that did not happen within this time counts as a failure; it bounds
# the test, not the product.
PATIENCE_S = 30.0


def configuration(
    domains: Sequence[str], **routes: Route
) -> dict[str, Value | None]:
    """Return values with routes and a workspace that has `KEY`."""
    return {
        'fleet': FleetRecord(domains=tuple(domains)),
        'workspace/east': Workspace(rate_per_s=1000, burst=1000),
        digest_scope(KEY): Key('east'),
        **{f'route/{name}': route for name, route in routes.items()},
    }


def design_fleet(
    directory: pathlib.Path, *, links: bool = False, **settings
) -> Fleet:
    """Return two targets of a service in each of two domains."""
    services = [ServiceSpec('design', per_domain=2)]
    return Fleet(directory, DOMAINS, services, settings=settings, links=links)


def logged(host: Host, event: str) -> list[dict[str, str]]:
    """Return the fields of each line of a kind that a daemon has logged."""
    return [
        dict(part.partition('=')[::2] for part in line.split())
        for line in host.daemon.output.read_text().splitlines()
        if f'event={event} ' in line
    ]


async def wait_until(condition: Callable[[], bool], what: object) -> None:
    """Wait until a condition is true."""
    deadline = time.monotonic() + PATIENCE_S
    while not condition():
        assert time.monotonic() < deadline, what
        await asyncio.sleep(0.1)
