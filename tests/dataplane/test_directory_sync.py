"""Guards against host records that are written late, or never read."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random
from typing import Any

import pytest

from dataplane_values import make_record
from turmericrouter_core.errors import LogServiceError
from turmericrouter_dataplane import directory_sync
from turmericrouter_dataplane.directory_sync import DirectorySync
from turmericrouter_dataplane.frames import HostRecord
from turmericrouter_dataplane.timers import TimerService

_LONG_S = 60.0


class _Directory:
    """Records in a log whose calls fail as often as a test says."""

    def __init__(self) -> None:
        self.failing_loads = 0
        self.failing_stores = 0
        # Calls in their order: `load` or `store`.
        self.calls: list[str] = []
        self.own = make_record('own')

    async def load(
        self, on_own: Callable[[HostRecord], None] = lambda record: None
    ) -> None:
        self.calls.append('load')
        if self.failing_loads:
            self.failing_loads -= 1
            raise LogServiceError('away')
        on_own(self.own)

    async def store(self) -> bool:
        self.calls.append('store')
        if self.failing_stores:
            self.failing_stores -= 1
            return False
        return True


class _Log:
    """Records events."""

    def __init__(self) -> None:
        self.events: list[str] = []

    def event(self, event: str, **fields: Any) -> None:
        self.events.append(event)


class _Fixture:
    """The synchronisation of one host with its directory."""

    def __init__(self) -> None:
        self.directory = _Directory()
        self.log = _Log()
        self.is_log_reader = True
        self.restored: list[HostRecord] = []
        # Number of calls of the directory before the report of the first load.
        self.loaded_after: list[int] = []
        self.timers = TimerService(lambda name, error: None)
        directory: Any = self.directory
        log: Any = self.log
        self.sync = DirectorySync(
            directory,
            restore_target=self.restored.append,
            on_first_load=lambda: self.loaded_after.append(
                len(self.directory.calls)
            ),
            is_log_reader=lambda: self.is_log_reader,
            timers=self.timers,
            log=log,
            rng=random.Random(1),
        )

    async def wait_for_calls(self, count: int) -> None:
        async with asyncio.timeout(5.0):
            while len(self.directory.calls) < count:
                await asyncio.sleep(0.005)


@pytest.fixture(autouse=True)
def _short_delays(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shorten the retries; the other delays outlast a test."""
    monkeypatch.setattr(directory_sync, '_MIN_LOAD_RETRY_S', 0.01)
    monkeypatch.setattr(directory_sync, '_MAX_LOAD_RETRY_S', 0.02)
    monkeypatch.setattr(directory_sync, '_STORE_RETRY_S', 0.02)
    monkeypatch.setattr(directory_sync, '_MIN_LOAD_DELAY_S', 0.01)
    for name in (
        '_FIRST_ANNOUNCEMENT_TIMEOUT_S',
        '_SECOND_LOAD_DELAY_S',
        '_LOAD_PERIOD_S',
        '_RARE_LOAD_PERIOD_S',
    ):
        monkeypatch.setattr(directory_sync, name, _LONG_S)


def play(scenario: Callable[[_Fixture], Awaitable[None]]) -> None:
    async def work() -> None:
        fixture = _Fixture()
        task = asyncio.create_task(fixture.sync.run())
        await scenario(fixture)
        task.cancel()
        fixture.timers.stop()

    asyncio.run(work())


def test_failed_first_load_is_tried_again() -> None:
    """Guards against a host that knows no others if the log was away."""

    async def scenario(fixture: _Fixture) -> None:
        fixture.directory.failing_loads = 2
        fixture.sync.handle_target_change()
        await fixture.wait_for_calls(4)
        assert fixture.directory.calls == ['load'] * 3 + ['store']
        assert fixture.log.events == ['hosts_not_loaded'] * 2
        assert fixture.loaded_after == [3], 'reported before it succeeded'
        assert fixture.restored == [fixture.directory.own]

    play(scenario)


def test_first_write_waits_for_the_announcement() -> None:
    """Guards against a record without the target, and a second write."""

    async def scenario(fixture: _Fixture) -> None:
        await fixture.wait_for_calls(1)
        await asyncio.sleep(0.05)
        assert fixture.directory.calls == ['load']
        fixture.sync.handle_target_change()
        await fixture.wait_for_calls(2)
        await asyncio.sleep(0.05)
        assert fixture.directory.calls == ['load', 'store']

    play(scenario)


def test_record_is_written_without_an_announcement(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a host that is unknown as long as it has no target."""
    monkeypatch.setattr(directory_sync, '_FIRST_ANNOUNCEMENT_TIMEOUT_S', 0.02)

    async def scenario(fixture: _Fixture) -> None:
        await fixture.wait_for_calls(2)
        assert fixture.directory.calls == ['load', 'store']
        assert fixture.log.events == ['target_not_announced']

    play(scenario)


def test_changed_record_is_written_at_once() -> None:
    """Guards against a departure that waits for the next load."""

    async def scenario(fixture: _Fixture) -> None:
        fixture.sync.handle_target_change()
        await fixture.wait_for_calls(2)
        fixture.sync.handle_target_change()
        await fixture.wait_for_calls(3)
        assert fixture.directory.calls == ['load', 'store', 'store']

    play(scenario)


def test_failed_write_is_tried_again_before_the_next_load() -> None:
    """Guards against a record that stays unwritten, and loads meanwhile."""

    async def scenario(fixture: _Fixture) -> None:
        fixture.directory.failing_stores = 3
        fixture.sync.handle_target_change()
        await fixture.wait_for_calls(5)
        await asyncio.sleep(0.05)
        assert fixture.directory.calls == ['load'] + ['store'] * 4

    play(scenario)


def test_lost_record_is_written_again() -> None:
    """Guards against a loss of the log that lasts until the next load."""

    async def scenario(fixture: _Fixture) -> None:
        fixture.sync.handle_target_change()
        await fixture.wait_for_calls(2)
        fixture.sync.schedule_rewrite(host_count=1)
        await fixture.wait_for_calls(3)
        assert fixture.directory.calls == ['load', 'store', 'store']

    play(scenario)


def test_rewrites_of_a_large_fleet_are_spread() -> None:
    """Guards against hosts that all write in the moment of the loss."""

    async def scenario(fixture: _Fixture) -> None:
        fixture.sync.handle_target_change()
        await fixture.wait_for_calls(2)
        fixture.sync.schedule_rewrite(host_count=100_000)
        await asyncio.sleep(0.1)
        assert fixture.directory.calls == ['load', 'store']

    play(scenario)


def test_second_load_follows_soon_after_the_first_write(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against hosts that start together and miss each other."""
    monkeypatch.setattr(directory_sync, '_SECOND_LOAD_DELAY_S', 0.05)

    async def scenario(fixture: _Fixture) -> None:
        fixture.sync.handle_target_change()
        await fixture.wait_for_calls(3)
        assert fixture.directory.calls[:3] == ['load', 'store', 'load']
        assert len(fixture.restored) == 1, 'only the first load restores'
        assert len(fixture.loaded_after) == 1

    play(scenario)


@pytest.mark.parametrize(
    ('name', 'is_log_reader'),
    [('_LOAD_PERIOD_S', True), ('_RARE_LOAD_PERIOD_S', False)],
)
def test_loads_go_on_after_one_that_failed(
    name: str, is_log_reader: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a host that never hears of later ones.

    The other period outlasts the test, so each kind of host keeps its own.
    """
    monkeypatch.setattr(directory_sync, '_SECOND_LOAD_DELAY_S', 0.02)
    monkeypatch.setattr(directory_sync, name, 0.02)

    async def scenario(fixture: _Fixture) -> None:
        fixture.is_log_reader = is_log_reader
        fixture.sync.handle_target_change()
        await fixture.wait_for_calls(2)
        fixture.directory.failing_loads = 1
        await fixture.wait_for_calls(8)
        assert fixture.directory.calls[:8] == ['load', 'store'] * 4
        assert fixture.log.events == ['hosts_not_loaded']

    play(scenario)
