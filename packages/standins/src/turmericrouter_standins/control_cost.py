"""Measures the control-plane cost of an idle daemon."""

import asyncio
import collections
import dataclasses
import pathlib

from turmericrouter_core.config import Fleet as FleetRecord
from turmericrouter_standins.fleet import Fleet
from turmericrouter_standins.host import ServiceSpec
from turmericrouter_standins.host import SettingsTree

_SETTLE_S = 15.0
_MEASURE_S = 20.0
_STATSD_PORT = 8125
_SENT_METRIC = 'turmeric.control.sent_bytes'


@dataclasses.dataclass(frozen=True, slots=True)
class ControlCost:
    """Mean cost of a daemon without data traffic.

    Args:
        daemons: Number of daemons in the fleet.
        cpu_percent: Processor time as a percentage of one core.
        bytes_per_s: Bytes sent a second.
        rss_mb: Resident memory in megabytes.
    """

    daemons: int
    cpu_percent: float
    bytes_per_s: float
    rss_mb: float


class _StatsdListener(asyncio.DatagramProtocol):
    """Sums the statsd counters that daemons send."""

    def __init__(self) -> None:
        self.totals: collections.Counter[str] = collections.Counter()

    def datagram_received(self, data: bytes, addr: object) -> None:
        for line in data.decode().splitlines():
            name, _, rest = line.partition(':')
            value, _, kind = rest.partition('|')
            if kind.startswith('c'):
                self.totals[name] += int(value)


async def measure_control_cost(
    *, domains: int, targets_per_domain: int, directory: pathlib.Path
) -> ControlCost:
    """Run an idle fleet and return the mean cost of its daemons.

    Args:
        domains: Number of failure domains.
        targets_per_domain: Number of daemons in each of them.
        directory: Empty directory for settings and output.
    """
    directory.mkdir(parents=True, exist_ok=True)
    loop = asyncio.get_running_loop()
    transport, listener = await loop.create_datagram_endpoint(
        _StatsdListener, local_addr=('127.0.0.1', _STATSD_PORT)
    )
    settings: SettingsTree = {
        'metrics': {'host': '127.0.0.1', 'port': _STATSD_PORT}
    }
    names = tuple(f'domain{index}' for index in range(domains))
    fleet = Fleet(
        directory,
        names,
        [ServiceSpec('idle', targets_per_domain=targets_per_domain)],
        settings=settings,
    )
    try:
        async with fleet:
            await fleet.publish({'fleet': FleetRecord(domains=names)})
            await asyncio.sleep(_SETTLE_S)
            before_s = sum(host.daemon.cpu_s() for host in fleet.hosts)
            before_bytes = listener.totals[_SENT_METRIC]
            await asyncio.sleep(_MEASURE_S)
            after_s = sum(host.daemon.cpu_s() for host in fleet.hosts)
            after_bytes = listener.totals[_SENT_METRIC]
            total_rss_bytes = sum(
                h.daemon.resident_bytes() for h in fleet.hosts
            )
            daemon_count = len(fleet.hosts)
    finally:
        transport.close()
    return ControlCost(
        daemon_count,
        100 * (after_s - before_s) / _MEASURE_S / daemon_count,
        (after_bytes - before_bytes) / _MEASURE_S / daemon_count,
        total_rss_bytes / daemon_count / 1e6,
    )
