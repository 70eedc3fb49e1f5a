"""Injects random faults into a fleet of real daemons from outside."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import random
import signal
import time

import aiohttp

from fault_proxy import FaultProxy
from platform_fleet import Fleet
from platform_fleet import Host
from platform_fleet import is_past_start
from platform_fleet import OPERATOR_TOPIC
from soak_checks import RateLimitSpan
from soak_checks import Span
from standin_store import Fault

STOP_GRACE_S = 6.0
_MIN_GAP_S = 0.3
_MAX_GAP_S = 2.5
_DRAIN_S = 2.0
# A limit binds this long after an answer that names it was passed on.
_LIMIT_TOLD_S = 0.5
_MAX_ANSWER_WAIT_S = 2.0
# Silent connections count as a fault for this time.
_SILENT_S = 0.5
# Time after a return of the store without a new version, in which a version
# that a host has skipped is found.
_SETTLE_S = 4.0


@dataclasses.dataclass
class FaultRecord:
    """Record of the faults and planned stops of a run.

    Args:
        applied: Names of the faults in order.
        unplanned: Periods of faults that are not planned work.
        stops: Host and period of each planned stop.
        drained: Time by upstream id at which its drain was acknowledged.
        limits: Rate limits that upstreams have named in their answers.
        starts: Times at which each host's daemon was started.
        problems: Stops that failed or took too long.
    """

    applied: list[str] = dataclasses.field(default_factory=list)
    unplanned: list[Span] = dataclasses.field(default_factory=list)
    stops: list[tuple[str, Span]] = dataclasses.field(default_factory=list)
    drained: dict[str, float] = dataclasses.field(default_factory=dict)
    limits: list[RateLimitSpan] = dataclasses.field(default_factory=list)
    starts: dict[str, list[float]] = dataclasses.field(default_factory=dict)
    problems: list[str] = dataclasses.field(default_factory=list)


class FaultInjector:
    """Applies faults that may overlap, and ends all of them.

    Args:
        fleet: Running fleet.
        peer_proxies: Proxy in front of each host's peer listener.
        store_proxies: Proxy between each host and the store.
        cuts: Pairs of failure domains that are cut; read by the proxies.
        send_until_exit: Sends requests to a host until its daemon has ended.
        publish: Publishes the next version of the configuration.
        rng: Source of faults, hosts and times.
    """

    def __init__(
        self,
        fleet: Fleet,
        peer_proxies: dict[str, FaultProxy],
        store_proxies: dict[str, FaultProxy],
        cuts: set[frozenset[str]],
        send_until_exit: Callable[[Host], Awaitable[None]],
        publish: Callable[[], None],
        rng: random.Random,
    ) -> None:
        self._fleet = fleet
        self._peer_proxies = peer_proxies
        self._store_proxies = store_proxies
        self._cuts = cuts
        self._send_until_exit = send_until_exit
        self._publish = publish
        self._rng = rng
        self._faulty: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._next_upstream = 0
        self._is_restoring = False
        # Whether hosts may not know yet what the store lost and regained.
        self.is_store_settling = False
        self.record = FaultRecord()
        self.faults: dict[str, Callable[[], Awaitable[None]]] = {
            'kill': self._kill,
            'kill_all': self._kill_all,
            'stop': self._stop,
            'stop_under_load': self._stop_under_load,
            'pause': self._pause,
            'hup': self._hup,
            'reset_links': self._reset_links,
            'delay_links': self._delay_links,
            'one_way': self._one_way,
            'cut_domains': self._cut_domains,
            'cut_store': self._cut_store,
            'break_store': self._break_store,
            'restore_store': self._restore_store,
            'compact_store': self._compact_store,
            'crash_upstream': self._crash_upstream,
            'slow_upstream': self._slow_upstream,
            'grey_upstream': self._grey_upstream,
            'drain_upstream': self._drain_upstream,
            'leave_in_answers': self._leave_in_answers,
            'limit_upstream': self._limit_upstream,
            'silence_links': self._silence_links,
            'silence_store': self._silence_store,
        }

    async def run(self, seconds: float, names: list[str]) -> None:
        """Apply faults for some seconds and wait until all have ended.

        Args:
            seconds: Time in which faults begin.
            names: Faults to choose from.
        """
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            gap_s = self._rng.uniform(_MIN_GAP_S, _MAX_GAP_S)
            await asyncio.sleep(gap_s)
            name = self._rng.choice(names)
            self.record.applied.append(name)
            task = asyncio.create_task(self._apply(name))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        await asyncio.gather(*self._tasks)

    def launch(self, host: Host) -> None:
        """Start a host's daemon."""
        host.launch()
        starts = self.record.starts.setdefault(host.name, [])
        starts.append(time.monotonic())

    async def _apply(self, name: str) -> None:
        try:
            await self.faults[name]()
        except (aiohttp.ClientError, TimeoutError, OSError):
            # The daemon that an upstream announces its drain to may be down.
            return

    @contextlib.contextmanager
    def _record_unplanned(self) -> Iterator[None]:
        begin = time.monotonic()
        # Without an end at first, so that checks during the run include it.
        self.record.unplanned.append(Span(begin, float('inf')))
        position = len(self.record.unplanned) - 1
        try:
            yield
        finally:
            span = Span(begin, time.monotonic())
            self.record.unplanned[position] = span

    @contextlib.contextmanager
    def _take_host(self) -> Iterator[Host | None]:
        """Reserve a random host without a fault; None if there is none."""
        free = [h for h in self._fleet.hosts if h.name not in self._faulty]
        if not free:
            yield None
            return
        host = self._rng.choice(free)
        self._faulty.add(host.name)
        try:
            yield host
        finally:
            self._faulty.discard(host.name)

    async def _sleep_random(self, min_s: float, max_s: float) -> None:
        await asyncio.sleep(self._rng.uniform(min_s, max_s))

    async def _kill(self) -> None:
        with self._take_host() as host, self._record_unplanned():
            if host is None:
                return
            host.kill()
            await self._sleep_random(0.1, 3.0)
            self.launch(host)

    async def _kill_all(self) -> None:
        free = [h for h in self._fleet.hosts if h.name not in self._faulty]
        self._faulty.update(host.name for host in free)
        with self._record_unplanned():
            for host in free:
                host.kill()
            await self._sleep_random(0.2, 1.5)
            for host in free:
                self.launch(host)
                self._faulty.discard(host.name)

    async def _stop(self) -> None:
        with self._take_host() as host:
            if host is not None:
                await self._stop_daemon(host)
                await self._sleep_random(0.1, 1.0)
                self.launch(host)

    async def _stop_under_load(self) -> None:
        """Stop a daemon whose callers go on until the process has ended."""
        with self._take_host() as host:
            if host is None:
                return
            load = asyncio.ensure_future(self._send_until_exit(host))
            await self._sleep_random(0.2, 3.0)
            await self._stop_daemon(host)
            await load
            self.launch(host)

    async def _stop_daemon(self, host: Host) -> None:
        assert host.process is not None
        # Before the daemon's first line the signal has its default action,
        # which the daemon can't change.
        may_end_by_signal = not is_past_start(host.process)
        begin = time.monotonic()
        self.record.stops.append((host.name, Span(begin, float('inf'))))
        position = len(self.record.stops) - 1
        host.send_signal(signal.SIGTERM)
        status = await host.wait_for_exit()
        end = time.monotonic()
        self.record.stops[position] = (host.name, Span(begin, end))
        if may_end_by_signal and status == -signal.SIGTERM:
            status = 0
        if status != 0 or end - begin > STOP_GRACE_S:
            self.record.problems.append(
                f'{host.name} ended with {status} after {end - begin:.1f}'
            )

    async def _pause(self) -> None:
        with self._take_host() as host, self._record_unplanned():
            if host is None:
                return
            host.send_signal(signal.SIGSTOP)
            await self._sleep_random(0.3, 5.0)
            host.send_signal(signal.SIGCONT)

    async def _hup(self) -> None:
        with self._take_host() as host:
            if host is None or host.process is None:
                return
            # Before the daemon's first line the signal ends the process by
            # its default action, which the daemon can't change.
            while not is_past_start(host.process):
                await asyncio.sleep(0.001)
            host.send_signal(signal.SIGHUP)

    async def _reset_links(self) -> None:
        with self._take_host() as host, self._record_unplanned():
            if host is not None:
                self._peer_proxies[host.name].reset()

    async def _silence_links(self) -> None:
        """Let a host's open links carry nothing any more."""
        with self._take_host() as host, self._record_unplanned():
            if host is not None:
                self._peer_proxies[host.name].silence()
                await asyncio.sleep(_SILENT_S)

    async def _silence_store(self) -> None:
        """Let all open connections to the store carry nothing any more."""
        with self._record_unplanned():
            for proxy in self._store_proxies.values():
                proxy.silence()
            await asyncio.sleep(_SILENT_S)

    async def _delay_links(self) -> None:
        with self._take_host() as host, self._record_unplanned():
            if host is None:
                return
            proxy = self._peer_proxies[host.name]
            proxy.delay_s = self._rng.uniform(0.01, 0.4)
            await self._sleep_random(0.5, 5.0)
            proxy.delay_s = 0.0

    async def _one_way(self) -> None:
        """Hold back the bytes of a host's links in one direction."""
        with self._take_host() as host, self._record_unplanned():
            if host is None:
                return
            proxy = self._peer_proxies[host.name]
            if self._rng.random() < 0.5:
                proxy.holds_inbound = True
            else:
                proxy.holds_outbound = True
            await self._sleep_random(0.5, 5.0)
            proxy.holds_inbound = proxy.holds_outbound = False

    async def _cut_domains(self) -> None:
        domains = sorted({host.domain for host in self._fleet.hosts})
        pair = frozenset(self._rng.sample(domains, 2))
        with self._record_unplanned():
            self._cuts.add(pair)
            await self._sleep_random(1.0, 8.0)
            self._cuts.discard(pair)

    async def _cut_store(self) -> None:
        with self._take_host() as host, self._record_unplanned():
            if host is None:
                return
            proxy = self._store_proxies[host.name]
            proxy.holds_inbound = True
            await self._sleep_random(1.0, 8.0)
            proxy.holds_inbound = False

    async def _break_store(self) -> None:
        store = self._fleet.store
        if store.fault is not Fault.NONE:
            return
        kinds = (Fault.BUSY, Fault.RESET, Fault.SLOW, Fault.LOSE_ANSWERS)
        with self._record_unplanned():
            store.fault = self._rng.choice(kinds)
            await self._sleep_random(1.0, 8.0)
            store.fault = Fault.NONE

    async def _restore_store(self) -> None:
        """Return to a copy; the operator writes its lost records again."""
        store = self._fleet.store
        if self._is_restoring:
            return
        self._is_restoring = True
        copy = store.copy()
        end = copy[OPERATOR_TOPIC]
        await self._sleep_random(2.0, 5.0)
        while store.fault is not Fault.NONE:
            await asyncio.sleep(0.1)
        self.is_store_settling = True
        with self._record_unplanned():
            store.fault = Fault.RESET
            if self._rng.random() < 0.5:
                for proxy in self._store_proxies.values():
                    proxy.reset()
            await self._sleep_random(0.1, 1.5)
            lost = store.records[OPERATOR_TOPIC][end:]
            store.restore(copy)
            store.fault = Fault.NONE
            if self._rng.random() < 0.5:
                # Takes the offsets of lost records.
                self._publish()
            await self._sleep_random(0.1, 3.0)
            replaced = {key for key, _ in store.records[OPERATOR_TOPIC][end:]}
            for key, value in lost:
                if key not in replaced:
                    store.put(OPERATOR_TOPIC, key, value)
        await asyncio.sleep(_SETTLE_S)
        self.is_store_settling = self._is_restoring = False

    async def _compact_store(self) -> None:
        for topic in list(self._fleet.store.records):
            self._fleet.store.compact(topic)

    async def _crash_upstream(self) -> None:
        with self._take_host() as host, self._record_unplanned():
            if host is not None:
                await host.upstream.stop()
                await self._sleep_random(0.2, 2.0)
                await host.upstream.restart(self._new_id(host))

    async def _slow_upstream(self) -> None:
        with self._take_host() as host, self._record_unplanned():
            if host is None:
                return
            before = host.upstream.work_s
            host.upstream.work_s = self._rng.uniform(0.1, 1.5)
            await self._sleep_random(0.5, 4.0)
            host.upstream.work_s = before

    async def _grey_upstream(self) -> None:
        with self._take_host() as host, self._record_unplanned():
            if host is None:
                return
            host.upstream.reject_fraction = self._rng.uniform(0.2, 0.8)
            await self._sleep_random(0.5, 4.0)
            host.upstream.reject_fraction = 0.0

    async def _drain_upstream(self) -> None:
        """Replace an upstream after it has announced that it leaves."""
        with self._take_host() as host:
            if host is None:
                return
            upstream = host.upstream
            if await upstream.drain() == 200:
                drained = self.record.drained
                drained[upstream.upstream_id] = time.monotonic()
            await asyncio.sleep(_DRAIN_S + 0.5)
            await upstream.depart()
            with self._record_unplanned():
                await upstream.stop()
                await upstream.restart(self._new_id(host))

    async def _leave_in_answers(self) -> None:
        """Replace an upstream that tells in its answers that it leaves."""
        with self._take_host() as host:
            if host is None:
                return
            upstream = host.upstream
            upstream.says_leaving = True
            if await self._wait_for_answer(host):
                drained = self.record.drained
                drained[upstream.upstream_id] = time.monotonic()
            await asyncio.sleep(_DRAIN_S + 0.5)
            with self._record_unplanned():
                await upstream.stop()
                upstream.says_leaving = False
                await upstream.restart(self._new_id(host))

    async def _limit_upstream(self) -> None:
        """Let an upstream name a rate limit for a while."""
        with self._take_host() as host, self._record_unplanned():
            if host is None:
                return
            upstream = host.upstream
            upstream.rate_limit = self._rng.uniform(0.5, 10.0)
            if await self._wait_for_answer(host):
                begin = time.monotonic() + _LIMIT_TOLD_S
                await self._sleep_random(3.0, 8.0)
                self.record.limits.append(
                    RateLimitSpan(
                        upstream.upstream_id,
                        Span(begin, time.monotonic()),
                        upstream.rate_limit,
                    )
                )
            upstream.rate_limit = None

    async def _wait_for_answer(self, host: Host) -> bool:
        """Return whether the upstream answers a request soon."""
        begin = time.monotonic()
        while time.monotonic() < begin + _MAX_ANSWER_WAIT_S:
            await asyncio.sleep(0.05)
            if any(
                begin <= arrival.at and arrival.answered_at < time.monotonic()
                for arrival in host.upstream.arrivals
            ):
                return True
        return False

    def _new_id(self, host: Host) -> str:
        self._next_upstream += 1
        return f'i-{host.name}-{self._next_upstream}'
