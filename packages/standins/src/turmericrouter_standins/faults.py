"""Injects random faults into a running fleet, reproducible by seed."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import random
import signal
import time
import uuid

import aiohttp

from turmericrouter_core.config import Change
from turmericrouter_core.config import CONFIG_STREAM
from turmericrouter_core.config import encode_record
from turmericrouter_core.config import NO_REVISION
from turmericrouter_core.config import Publication
from turmericrouter_core.config import Retirement
from turmericrouter_core.config import Route
from turmericrouter_core.errors import LogServiceError
from turmericrouter_standins.fleet import Fleet
from turmericrouter_standins.host import Host
from turmericrouter_standins.invariants import Interval
from turmericrouter_standins.process import FleetError

_MIN_GAP_S = 0.5
_MAX_GAP_S = 3.0
_STOP_TIMEOUT_S = 45.0


@dataclasses.dataclass(slots=True)
class FaultRecord:
    """Faults applied to the fleet; input of the checks after the run.

    Args:
        applied: Names of the faults in the order of their start.
        problems: Violations seen while a fault was applied.
        platform_faults: Spans in which the log service was faulty or a
            failure domain was disconnected from it.
        cuts: Spans in which two failure domains were disconnected.
        pauses: Spans in which a daemon was paused.
        retired: Spans in which a target was retired, by target.
        stops: Spans from SIGTERM to the exit of a daemon, by entry URL.
    """

    applied: list[str] = dataclasses.field(default_factory=list)
    problems: list[str] = dataclasses.field(default_factory=list)
    platform_faults: list[Interval] = dataclasses.field(default_factory=list)
    cuts: list[Interval] = dataclasses.field(default_factory=list)
    pauses: list[Interval] = dataclasses.field(default_factory=list)
    retired: dict[str, list[Interval]] = dataclasses.field(
        default_factory=dict
    )
    stops: dict[str, list[Interval]] = dataclasses.field(default_factory=dict)


class FaultInjector:
    """Applies random, overlapping faults and reverts each of them.

    Args:
        fleet: Running fleet with links.
        seed: Seed of the faults, their hosts and their times.
    """

    def __init__(self, fleet: Fleet, *, seed: int) -> None:
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._tasks: set[asyncio.Task[None]] = set()
        self._reserved: set[str] = set()
        self._cuts: set[tuple[str, str]] = set()
        self.record = FaultRecord()

    async def run(self, seconds: float) -> None:
        """Start faults for some seconds and wait until all are reverted."""
        faults: list[Callable[[], Awaitable[None]]] = [
            self._kill_daemon,
            self._kill_target,
            self._pause_daemon,
            self._stop_daemon,
            self._cut_domains,
            self._cut_platform,
            self._break_log,
            self._slow_target,
            self._retire_target,
            self._race_operators,
        ]
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            await asyncio.sleep(self._rng.uniform(_MIN_GAP_S, _MAX_GAP_S))
            fault = self._rng.choice(faults)
            task = asyncio.create_task(self._apply(fault))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        await asyncio.gather(*self._tasks)

    async def _apply(self, fault: Callable[[], Awaitable[None]]) -> None:
        name = getattr(fault, '__name__', '').strip('_')
        self.record.applied.append(name)
        try:
            await fault()
        except (aiohttp.ClientError, LogServiceError, FleetError) as error:
            self.record.problems.append(f'{name}: {error!r}')

    @contextlib.contextmanager
    def _reserve_host(self) -> Iterator[Host]:
        """Choose a host, preferably one without another fault."""
        free = [h for h in self._fleet.hosts if h.name not in self._reserved]
        host = self._rng.choice(free or self._fleet.hosts)
        self._reserved.add(host.name)
        try:
            yield host
        finally:
            self._reserved.discard(host.name)

    async def _kill_daemon(self) -> None:
        with self._reserve_host() as host:
            host.daemon.kill()
            await asyncio.sleep(self._rng.uniform(0.2, 4.0))
            host.daemon.start()
            await self._fleet.wait_for(host.entry_url)

    async def _kill_target(self) -> None:
        with self._reserve_host() as host:
            host.target.kill()
            await asyncio.sleep(self._rng.uniform(0.2, 3.0))
            host.target.start()

    async def _pause_daemon(self) -> None:
        with self._reserve_host() as host:
            started_at = time.time()
            host.daemon.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self._rng.uniform(0.5, 8.0))
            host.daemon.send_signal(signal.SIGCONT)
            self.record.pauses.append(Interval(started_at, time.time()))

    async def _stop_daemon(self) -> None:
        with self._reserve_host() as host:
            started_at = time.time()
            host.daemon.send_signal(signal.SIGTERM)
            status = await host.daemon.wait(_STOP_TIMEOUT_S)
            span = Interval(started_at, time.time())
            self.record.stops.setdefault(host.entry_url, []).append(span)
            if status != 0:
                self.record.problems.append(
                    f'{host.daemon.name} ended with status {status}'
                )
            host.daemon.start()
            await self._fleet.wait_for(host.entry_url)

    async def _cut_domains(self) -> None:
        first, second = self._rng.sample(self._fleet.domains, 2)
        await self._cut(first, second, self.record.cuts)

    async def _cut_platform(self) -> None:
        domain = self._rng.choice(self._fleet.domains)
        await self._cut(domain, 'platform', self.record.platform_faults)

    async def _cut(
        self, first: str, second: str, spans: list[Interval]
    ) -> None:
        started_at = time.time()
        self._cuts.add((first, second))
        await self._set_links()
        await asyncio.sleep(self._rng.uniform(1.0, 10.0))
        self._cuts.discard((first, second))
        await self._set_links()
        spans.append(Interval(started_at, time.time()))

    async def _set_links(self) -> None:
        await self._fleet.set_link_rules(delay_ms=1.0, cuts=sorted(self._cuts))

    async def _break_log(self) -> None:
        if 'log' in self._reserved:
            return
        self._reserved.add('log')
        started_at = time.time()
        choice = self._rng.randrange(3)
        await self._fleet.set_log_faults(
            down=choice == 0,
            delay_ms=1500 if choice == 1 else 0,
            lose_answers=0.7 if choice == 2 else 0.0,
        )
        await asyncio.sleep(self._rng.uniform(1.0, 12.0))
        await self._fleet.set_log_faults()
        self.record.platform_faults.append(Interval(started_at, time.time()))
        self._reserved.discard('log')

    async def _slow_target(self) -> None:
        with self._reserve_host() as host:
            url = f'{host.target_url}/_speed'
            async with self._fleet.session.put(url, data=b'5.0'):
                pass
            await asyncio.sleep(self._rng.uniform(1.0, 6.0))
            async with self._fleet.session.put(url, data=b'1.0'):
                pass

    async def _retire_target(self) -> None:
        with self._reserve_host() as host:
            scope = f'retirement/{host.name}'
            await self._fleet.publish({scope: Retirement('soak')})
            started_at = time.time()
            await asyncio.sleep(self._rng.uniform(4.0, 8.0))
            span = Interval(started_at, time.time())
            self.record.retired.setdefault(host.name, []).append(span)
            await self._fleet.publish({scope: None})

    async def _race_operators(self) -> None:
        """Publish two changes of the same revision concurrently."""
        scope = f'route/race-{uuid.uuid4()}'
        publications = [
            Publication(
                str(uuid.uuid4()),
                (Change(scope, NO_REVISION, Route('front', f'/race/{side}')),),
            )
            for side in ('left', 'right')
        ]
        await asyncio.gather(
            *(
                self._fleet.log_client.append(
                    CONFIG_STREAM, encode_record(publication)
                )
                for publication in publications
            )
        )
