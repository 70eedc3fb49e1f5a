"""Guards the gate: verdicts, waiting requests, target state, crashes."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import random
import time
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from turmericrouter_core.config import Change
from turmericrouter_core.config import ConfigState
from turmericrouter_core.config import encode_record
from turmericrouter_core.config import Key
from turmericrouter_core.config import Publication
from turmericrouter_core.config import Retirement
from turmericrouter_core.config import Route
from turmericrouter_core.messages import Dispatch
from turmericrouter_core.messages import Outcome
from turmericrouter_core.verdict import Importance
from turmericrouter_core.verdict import Reason
from turmericrouter_core.verdict import Verdict
from turmericrouter_daemon.decisions import DecisionLog
from turmericrouter_daemon.gate import Gate
from turmericrouter_daemon.local_target import TargetState
from turmericrouter_daemon.logs import open_log
from turmericrouter_daemon.metrics import NoMetrics
from turmericrouter_daemon.runtime import Runtime
from turmericrouter_daemon.settings import HostSettings
from turmericrouter_daemon.settings import LogSettings
from turmericrouter_daemon.settings import OverloadSettings
from turmericrouter_daemon.settings import PlatformSettings
from turmericrouter_daemon.settings import Settings
from turmericrouter_standins.scripted_target import ScriptedRequest
from turmericrouter_standins.scripted_target import ScriptedTarget

MESSAGE = Dispatch(
    request_id='0' * 32,
    target='design-0',
    workspace='east',
    route='catalogue',
    method='GET',
    path='/catalogue',
    headers=(),
    body=b'',
    importance=Importance.NORMAL,
    bucket=0,
    timeout_ms=60_000,
    depth=0,
    retries_left=0,
    key_digest='d1',
)


class Clock:
    """Real time plus what a test adds."""

    skipped_s = 0.0

    def monotonic(self) -> float:
        return time.monotonic() + self.skipped_s

    def wall(self) -> float:
        return time.time()


class Crashes:
    """Remembers what it was told."""

    def __init__(self) -> None:
        self.crashes: list[tuple[str, str]] = []
        self.successes: list[str] = []

    def crashed(self, messages: Sequence[Dispatch], crash_id: str) -> None:
        self.crashes += [(each.path, crash_id) for each in messages]

    def succeeded(self, message: Dispatch) -> None:
        self.successes.append(message.path)


class Bench:
    """A gate before a scripted target that holds requests on demand."""

    def __init__(self, overload: OverloadSettings) -> None:
        settings = Settings(
            HostSettings('127.0.0.1', 'north', 1, 2, 3, 4),
            PlatformSettings('http://127.0.0.1:1'),
            overload=overload,
        )
        log = open_log(LogSettings(level='error'))
        self.clock = Clock()
        self.timers: list[Callable[[], None]] = []
        self.config: Any = SimpleNamespace(
            state=ConfigState(), on_config=lambda callback: None
        )
        self.crashes = Crashes()
        self.states: list[TargetState] = []
        timers: Any = SimpleNamespace(
            every=lambda period, callback, name: self.timers.append(callback)
        )
        runtime = Runtime(
            settings,
            self.clock,
            timers,
            random.Random(1),
            log,
            DecisionLog(log, enabled=False),
            NoMetrics(),
            1,
        )
        self.gate = Gate(runtime, self.config, self.crashes)
        self.gate.on_target_state(self.states.append)
        self.target = ScriptedTarget(self._script)
        self.opened = asyncio.Event()
        self.lost = 0
        self.publish('key/d1', Key('east'))
        self.publish('route/catalogue', Route('design', '/catalogue'))

    def publish(self, scope: str, value: Any, base: int = -1) -> None:
        state = self.config.state
        change = Change(scope, base, value)
        record = encode_record(Publication(str(state.offset), (change,)))
        state.apply(state.offset + 1, record)

    def announce(self, **fields: Any) -> None:
        fields = {'slots': 1, 'connections': 8} | fields
        self.gate.set_target(
            'design-0', '127.0.0.1', self.target.port, **fields
        )

    def start(self, path: str = '/hold', **changes: Any) -> Any:
        message = msgspec.structs.replace(MESSAGE, path=path, **changes)
        return asyncio.ensure_future(self.gate.run(message))

    async def hold(self, count: int = 1, path: str = '/hold') -> list[Any]:
        """Start requests and wait until the target has them."""
        tasks = [self.start(f'{path}/{number}') for number in range(count)]
        wanted = len(self.target.requests) + count
        await self.until(lambda: len(self.target.requests) >= wanted)
        return tasks

    async def queue(self, *paths: str, **changes: Any) -> list[Any]:
        """Start requests that will wait."""
        tasks = [self.start(path, **changes) for path in paths]
        await asyncio.sleep(0)
        return tasks

    async def until(self, condition: Callable[[], bool]) -> None:
        for _ in range(10_000):
            if condition():
                return
            await asyncio.sleep(0.001)
        raise AssertionError('the condition did not come true')

    @property
    def paths(self) -> list[str]:
        return [request.path for request in self.target.requests]

    async def _script(self, request: ScriptedRequest) -> None:
        if request.path.startswith('/hold'):
            await self.opened.wait()
        elif request.path == '/forever':
            await request.closed()
            self.lost += 1
            return
        elif request.path == '/crash':
            self.target.stop()
            return
        if request.path.startswith('/status'):
            head = request.path.removeprefix('/status/').replace('_', '\r\n')
            await request.send(
                f'HTTP/1.1 {head}\r\nContent-Length: 0\r\n\r\n'.encode()
            )
            return
        await request.answer()


def _bench(check: Callable[[Bench], Awaitable[None]], **overload: Any) -> None:
    values = {'cold_start_s': 0.001, 'queue_per_limit': 4.0} | overload

    async def run() -> None:
        bench = Bench(OverloadSettings(**values))
        async with bench.target, asyncio.timeout(30):
            bench.announce()
            bench.clock.skipped_s += 1
            await check(bench)
            bench.opened.set()
            bench.gate.leave()
            await bench.gate.drained()
            load = bench.gate.load
            assert (load.in_flight, load.queued) == (0, 0)
            assert len(bench.gate.contexts) == 0

    asyncio.run(run())


def _result(outcome: Outcome) -> tuple[Verdict, Reason]:
    return outcome.verdict, outcome.reason


NOT_RUN = Verdict.NOT_RUN
MAY = Verdict.MAY_HAVE_RUN


def test_important_requests_start_first() -> None:
    """Fails if a slot goes to a less important request."""

    async def check(bench: Bench) -> None:
        await bench.hold()
        low = await bench.queue('/low', importance=Importance.LOW)
        high = await bench.queue('/high', importance=Importance.CRITICAL)
        assert bench.gate.load.queued == 2
        bench.opened.set()
        outcomes = [await task for task in low + high]
        assert [o.verdict for o in outcomes] == [Verdict.RAN] * 2
        assert bench.paths == ['/hold/0', '/high', '/low']
        left = int(bench.target.requests[1].headers['turmeric-timeout-ms'])
        assert left < MESSAGE.timeout_ms

    _bench(check)


async def _withdraw(bench: Bench) -> None:
    bench.publish('key/d1', Key('east', withdrawn=True))


async def _delete_key(bench: Bench) -> None:
    bench.publish('key/d1', None, base=0)


async def _retire(bench: Bench) -> None:
    bench.publish('retirement/design-0', Retirement())


async def _leave(bench: Bench) -> None:
    bench.gate.leave()


async def _target_leaves(bench: Bench) -> None:
    bench.announce(leaving=True)


async def _target_moves(bench: Bench) -> None:
    bench.announce(instance='second')


async def _target_falls_silent(bench: Bench) -> None:
    bench.clock.skipped_s += 5.1
    bench.timers[0]()


@pytest.mark.parametrize(
    ('event', 'reason'),
    [
        (_withdraw, Reason.KEY_WITHDRAWN),
        (_delete_key, Reason.KEY_WITHDRAWN),
        (_retire, Reason.TARGET_RETIRED),
        (_leave, Reason.TARGET_LEAVING),
        (_target_leaves, Reason.TARGET_LEAVING),
        (_target_moves, Reason.TARGET_UNREACHABLE),
        (_target_falls_silent, Reason.TARGET_UNREACHABLE),
    ],
)
def test_waiting_request_is_checked_again(
    event: Callable[[Bench], Awaitable[None]], reason: Reason
) -> None:
    """Fails if a request starts that has lost its right to while waiting."""

    async def check(bench: Bench) -> None:
        (running,) = await bench.hold()
        (waiting,) = await bench.queue('/later')
        await event(bench)
        bench.opened.set()
        assert _result(await waiting) == (NOT_RUN, reason)
        assert (await running).verdict is Verdict.RAN
        assert bench.paths == ['/hold/0']

    _bench(check)


def test_cancelling_frees_the_place() -> None:
    """Fails if a cancelled request keeps a slot, a place or a connection."""

    async def check(bench: Bench) -> None:
        running = bench.start('/forever')
        await bench.until(lambda: bool(bench.paths))
        (first,) = await bench.queue('/first')
        (second,) = await bench.queue('/second')
        first.cancel()
        await bench.until(lambda: bench.gate.load.queued == 1)
        running.cancel()
        assert (await second).verdict is Verdict.RAN
        await bench.until(lambda: bench.lost == 1)
        assert bench.paths == ['/forever', '/second']
        assert bench.crashes.crashes == []

    _bench(check)


def test_cancelled_request_may_be_dropped_at_the_same_moment() -> None:
    """Fails if the gate answers a request whose caller has just gone."""

    async def check(bench: Bench) -> None:
        (running,) = await bench.hold()
        (first,) = await bench.queue('/first')
        first.cancel()
        bench.gate.leave()
        bench.opened.set()
        assert (await running).verdict is Verdict.RAN
        assert bench.paths == ['/hold/0']

    _bench(check)


def test_deadline_decides_verdict() -> None:
    """Fails if an expired request at the target claims not to have run."""

    async def check(bench: Bench) -> None:
        running = bench.start('/forever', timeout_ms=500)
        await bench.until(lambda: bool(bench.paths))
        (waiting,) = await bench.queue('/later', timeout_ms=20)
        assert _result(await waiting) == (NOT_RUN, Reason.DEADLINE_EXPIRED)
        assert _result(await running) == (MAY, Reason.DEADLINE_EXPIRED)
        assert bench.paths == ['/forever']
        assert bench.crashes.crashes == []

    _bench(check)


@pytest.mark.parametrize(
    ('head', 'verdict', 'reason'),
    [
        ('503_Turmeric-Not-Run:1', NOT_RUN, Reason.TARGET_SHED),
        ('503_Turmeric-Not-Run:0', Verdict.RAN, Reason.SERVED),
        ('503', Verdict.RAN, Reason.SERVED),
        ('500_Turmeric-Not-Run:1', Verdict.RAN, Reason.SERVED),
    ],
)
def test_verdict_of_answers(
    head: str, verdict: Verdict, reason: Reason
) -> None:
    """Fails if an answer that ran counts as not run, or the reverse."""

    async def check(bench: Bench) -> None:
        outcome = await bench.start(f'/status/{head}')
        assert _result(outcome) == (verdict, reason)
        assert bool(outcome.retry_after_ms) == (verdict is NOT_RUN)

    _bench(check)


def test_all_requests_of_a_crash_are_told_with_one_id() -> None:
    """Fails if a crash is not told, told twice, or told as two."""

    async def check(bench: Bench) -> None:
        bench.announce(slots=4)
        await bench.start('/ok')
        bench.announce(slots=4, instance='second')
        bench.clock.skipped_s += 1
        held = await bench.hold(2)
        crash = bench.start('/crash')
        for task in [*held, crash]:
            assert _result(await task) == (MAY, Reason.TARGET_CRASHED)
        paths, ids = zip(*bench.crashes.crashes, strict=True)
        assert sorted(paths) == ['/crash', '/hold/0', '/hold/1']
        assert len(set(ids)) == 1
        refused = await bench.start('/ok')
        assert _result(refused) == (NOT_RUN, Reason.TARGET_UNREACHABLE)
        await bench.target.__aenter__()
        bench.announce(slots=4)
        assert (await bench.start('/ok')).verdict is Verdict.RAN
        assert _result(await bench.start('/crash'))[0] is MAY
        assert bench.crashes.crashes[-1][1] != ids[0]
        assert bench.crashes.successes == ['/ok', '/ok']

    _bench(check)


def test_silent_target_gets_nothing_until_it_returns() -> None:
    """Fails if work is sent to a target that no longer announces itself."""

    async def check(bench: Bench) -> None:
        await _target_falls_silent(bench)
        outcome = await bench.start('/a')
        assert _result(outcome) == (NOT_RUN, Reason.TARGET_UNREACHABLE)
        bench.announce()
        assert (await bench.start('/b')).verdict is Verdict.RAN
        assert bench.paths == ['/b']
        assert bench.states == ['serving', 'lost', 'serving']

    _bench(check)


def test_announced_connections_are_respected() -> None:
    """Fails if more connections are opened than the target accepts."""

    async def check(bench: Bench) -> None:
        bench.announce(slots=0, connections=2, instance='second')
        bench.clock.skipped_s += 1
        held = await bench.hold(2)
        more = await bench.queue(*['/more'] * 6)
        assert bench.gate.load.limit == 2
        bench.opened.set()
        for task in held + more:
            assert (await task).verdict is Verdict.RAN
        assert bench.target.most_open == 2

    _bench(check)


def test_full_queue_refuses_with_load_and_retry_after() -> None:
    """Fails if the queue grows without bound or a refusal says nothing."""

    async def check(bench: Bench) -> None:
        await bench.hold()
        await bench.queue(*['/a'] * 4)
        outcome = await bench.start('/b')
        assert _result(outcome) == (NOT_RUN, Reason.QUEUE_FULL)
        assert outcome.retry_after_ms > 0
        load = outcome.load
        assert (load.in_flight, load.queued, load.limit) == (1, 4, 1)

    _bench(check, queue_per_limit=1.0)


def test_baseline_neither_sheds_nor_adapts() -> None:
    """Fails if the baseline of experiments still has overload control."""

    async def check(bench: Bench) -> None:
        bench.announce(slots=1, connections=2, instance='second')
        await bench.hold(2)
        ranks = list(Importance) * 10
        tasks = [
            bench.start(f'/{number}', importance=rank)
            for number, rank in enumerate(ranks)
        ]
        await asyncio.sleep(0)
        assert bench.gate.load.queued == len(tasks)
        assert bench.gate.load.limit == 2
        bench.opened.set()
        for task in tasks:
            assert (await task).verdict is Verdict.RAN
        numbers = [int(path[1:]) for path in bench.paths[2:]]
        assert len(set(numbers)) == 40
        # Two connections may swap neighbours, no more.
        assert all(abs(n - i) <= 1 for i, n in enumerate(numbers))

    _bench(check, shedding=False, adaptive=False)


def test_invalid_header_never_reaches_the_target() -> None:
    """Fails if a line break in a header is written to the target."""

    async def check(bench: Bench) -> None:
        outcome = await bench.start('/a', headers=(('A', 'b\r\nC: d'),))
        assert _result(outcome) == (NOT_RUN, Reason.MALFORMED)
        assert bench.paths == []

    _bench(check)
