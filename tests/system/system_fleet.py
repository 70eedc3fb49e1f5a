"""Configuration, test fleet and wait functions shared by system tests."""

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
from turmericrouter_standins.fleet import Fleet
from turmericrouter_standins.fleet import key_scope
from turmericrouter_standins.host import Host
from turmericrouter_standins.host import ServiceSpec

KEY = 'key-of-east'
DOMAINS = ('north', 'south')
# A test fails if a step takes longer; the product has no such limit.
STEP_TIMEOUT_S = 30.0


def configuration(
    domains: Sequence[str], **routes: Route
) -> dict[str, Value | None]:
    """Return configuration values for a fleet with one workspace.

    Args:
        domains: Names of the failure domains.
        routes: Routes by name; the workspace's key is `KEY`.
    """
    return {
        'fleet': FleetRecord(domains=tuple(domains)),
        'workspace/east': Workspace(rate_per_s=1000, burst=1000),
        key_scope(KEY): Key('east'),
        **{f'route/{name}': route for name, route in routes.items()},
    }


def design_fleet(
    directory: pathlib.Path, *, links: bool = False, **settings
) -> Fleet:
    """Return a fleet with two targets of one service in each domain."""
    services = [ServiceSpec('design', targets_per_domain=2)]
    return Fleet(directory, DOMAINS, services, settings=settings, links=links)


def logged_events(host: Host, event: str) -> list[dict[str, str]]:
    """Return the fields of each log line of a daemon with an event name."""
    return [
        dict(part.partition('=')[::2] for part in line.split())
        for line in host.daemon.output.read_text().splitlines()
        if f'event={event} ' in line
    ]


async def wait_until(
    condition: Callable[[], bool], description: object
) -> None:
    """Wait until a condition is true.

    Args:
        condition: Polled until it returns true.
        description: Shown if the wait times out.
    """
    deadline = time.monotonic() + STEP_TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, description
        await asyncio.sleep(0.1)
