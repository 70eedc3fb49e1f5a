"""Test fixture: a gate in front of a scripted target."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import random
import time
from types import SimpleNamespace
from typing import Any

import msgspec

from turmericrouter_core.config import Change
from turmericrouter_core.config import ConfigState
from turmericrouter_core.config import encode_record
from turmericrouter_core.config import Key
from turmericrouter_core.config import Publication
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
from turmericrouter_daemon.metrics import NullMetrics
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
    """Records the reported crashes and successes."""

    def __init__(self) -> None:
        self.crashes: list[tuple[str, str]] = []
        self.successes: list[str] = []
        self.blocked: set[str] = set()

    def record_crash(
        self, messages: Sequence[Dispatch], crash_id: str
    ) -> None:
        self.crashes += [(each.path, crash_id) for each in messages]

    def record_success(self, message: Dispatch) -> None:
        self.successes.append(message.path)

    def is_message_blocked(self, message: Dispatch) -> bool:
        return message.path in self.blocked


class Bench:
    """Gate in front of a scripted target that can hold requests."""

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
            NullMetrics(),
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

    def fall_silent(self) -> None:
        """Let the target miss its announcements."""
        self.clock.skipped_s += 5.1
        self.timers[0]()

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
            await request.wait_closed()
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


Check = Callable[[Bench], Awaitable[None]]


def run_bench(check: Check, **overload: Any) -> None:
    """Run a check and make sure that nothing stays in flight."""
    values = {'cold_start_s': 0.001, 'queue_per_limit': 4.0} | overload

    async def run() -> None:
        bench = Bench(OverloadSettings(**values))
        async with bench.target, asyncio.timeout(30):
            bench.announce()
            bench.clock.skipped_s += 1
            await check(bench)
            bench.opened.set()
            bench.gate.start_draining()
            await bench.gate.wait_until_drained()
            load = bench.gate.load
            assert (load.in_flight, load.queued) == (0, 0)
            assert len(bench.gate.contexts) == 0

    asyncio.run(run())


def result(outcome: Outcome) -> tuple[Verdict, Reason]:
    """Return what a test compares of an outcome."""
    return outcome.verdict, outcome.reason


NOT_RUN = Verdict.NOT_RUN
MAY = Verdict.MAY_HAVE_RUN
