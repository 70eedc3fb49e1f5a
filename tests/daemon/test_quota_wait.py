"""Tests waiting for quota tokens, and token requests to holders."""

import asyncio
from collections.abc import Callable
import random
from typing import Any
from unittest import mock

import pytest

from turmericrouter_core.config import Fleet
from turmericrouter_core.config import Workspace
from turmericrouter_core.verdict import Reason
from turmericrouter_core.verdict import Refusal
from turmericrouter_daemon.quota_service import QuotaService
from turmericrouter_daemon.settings import HostSettings
from turmericrouter_daemon.settings import PlatformSettings
from turmericrouter_daemon.settings import Settings
from turmericrouter_daemon.timers import SystemClock


class _Clock:
    """Clock that moves only when the test says so."""

    def __init__(self) -> None:
        self.now = 100.0

    def monotonic(self) -> float:
        return self.now


class _World:
    """A quota service that holds all slices itself; they start empty."""

    def __init__(self, workspace: Workspace, clock: Any) -> None:
        settings = Settings(
            HostSettings('127.0.0.1', 'north', 1, 2, 3, 4),
            PlatformSettings('http://127.0.0.1'),
        )
        runtime: Any = mock.Mock(
            settings=settings,
            clock=clock,
            address='own',
            rng=random.Random(1),
        )
        self.planned: list[Callable[[], None]] = []
        runtime.timers.after = lambda delay_s, work, name: self.planned.append(
            work
        )
        config: Any = mock.Mock()
        config.state.fleet = Fleet(('north',))
        config.state.workspace = lambda name: workspace
        rosters: Any = mock.Mock()
        rosters.holder.return_value = 'own'
        rosters.held_since.return_value = 0.0
        self.runtime = runtime
        self.service = QuotaService(runtime, config, mock.AsyncMock(), rosters)

    async def take(self) -> Refusal | None:
        return await self.service.acquire('east')


def test_request_waits_for_a_token_that_is_due() -> None:
    """Guards against 429 for a request shortly before the next token.

    Each slice gets a token every 40 ms, so one is due within the wait.
    """

    async def check() -> None:
        world = _World(Workspace(rate_per_s=50, burst=8), SystemClock())
        assert [await world.take() for _ in range(10)] == [None] * 10

    asyncio.run(check())


def test_request_does_not_wait_beyond_its_deadline() -> None:
    """Guards against an answer after the deadline of its caller."""

    async def check() -> None:
        clock = _Clock()
        world = _World(Workspace(rate_per_s=50, burst=8), clock)
        refusal = await world.service.acquire('east', clock.now + 0.01)
        assert refusal is not None
        assert refusal.reason is Reason.QUOTA_EXCEEDED
        assert refusal.retry_after_s is not None
        assert refusal.retry_after_s > 0.01

    asyncio.run(check())


@pytest.mark.parametrize(('rate_per_s', 'limit'), [(20, 3), (1000, 4)])
def test_few_wait_and_no_more_than_tokens_are_due(
    rate_per_s: float, limit: int
) -> None:
    """Guards against a flood that fills the entry with waiting requests.

    20 a second make 2 tokens within the 100 ms of `quota.max_wait_ms`.
    """

    async def check() -> None:
        world = _World(Workspace(rate_per_s, burst=4), _Clock())
        tasks = [asyncio.create_task(world.take()) for _ in range(40)]
        for _ in range(10):
            await asyncio.sleep(0)
        waiting = [task for task in tasks if not task.done()]
        # The slice grants none at once and one within the wait.
        assert len(waiting) == limit
        for task in waiting:
            task.cancel()
        done = await asyncio.gather(*tasks, return_exceptions=True)
        refusals = [answer for answer in done if isinstance(answer, Refusal)]
        assert len(refusals) == 40 - limit
        assert {r.reason for r in refusals} == {Reason.QUOTA_EXCEEDED}

    asyncio.run(check())


def test_token_requests_rotate_over_the_slices() -> None:
    """Guards against full slices that lose tokens beside empty ones."""

    async def check() -> None:
        clock = _Clock()
        world = _World(Workspace(rate_per_s=32, burst=32), clock)
        asked: list[int] = []
        grant = world.service.handle_token_request

        def handle_draw(message: Any, sender: None) -> Any:
            asked.append(message.slice_index)
            return grant(message, sender)

        world.service.handle_token_request = handle_draw  # type: ignore[method-assign]
        await world.take()
        asked.clear()
        clock.now += 60
        for _ in range(16):
            clock.now += 0.5
            assert await world.take() is None
        assert sorted(asked) == sorted([*range(8)] * 2)

    asyncio.run(check())


def test_close_requests_of_a_small_workspace_draw_no_spare_tokens() -> None:
    """Guards against tokens that lie unspent at one of many entries."""

    async def check() -> None:
        clock = _Clock()
        world = _World(Workspace(rate_per_s=32, burst=32), clock)
        await world.take()
        clock.now += 60
        for _ in range(3):
            clock.now += 0.02
            assert await world.take() is None
            assert world.service.usage()[0].tokens_pooled == 0

    asyncio.run(check())


def test_entry_without_tokens_has_no_upkeep() -> None:
    """Guards against a timer that costs an idle daemon processor time."""

    async def check() -> None:
        clock = _Clock()
        world = _World(Workspace(rate_per_s=32, burst=32), clock)
        world.runtime.timers.every.assert_not_called()
        await world.take()
        assert world.planned == []
        clock.now += 60
        assert await world.take() is None
        assert len(world.planned) == 1
        world.planned.pop()()
        assert len(world.planned) == 1
        clock.now += 1
        world.planned.pop()()
        assert world.planned == []

    asyncio.run(check())
