"""Tests quota tokens of an entry that also holds some slices."""

import asyncio
import random
from typing import Any
from unittest import mock

import pytest

from turmericrouter_core.config import ApplyResult
from turmericrouter_core.config import ApplyStatus
from turmericrouter_core.config import Fleet
from turmericrouter_core.config import Workspace
from turmericrouter_core.errors import LinkLostError
from turmericrouter_core.messages import RequestTokens
from turmericrouter_core.verdict import Reason
from turmericrouter_daemon.quota_service import QuotaService
from turmericrouter_daemon.settings import HostSettings
from turmericrouter_daemon.settings import PlatformSettings
from turmericrouter_daemon.settings import Settings

CHANGED = ApplyResult(ApplyStatus.ACCEPTED, ('workspace/east',))


class _World:
    """A quota service with two domains; this daemon is in the first."""

    def __init__(self, workspace: Workspace) -> None:
        self.now = 100.0
        self.workspace: Workspace | None = workspace
        settings = Settings(
            HostSettings('127.0.0.1', 'north', 1, 2, 3, 4),
            PlatformSettings('http://127.0.0.1'),
        )
        runtime: Any = mock.Mock(
            settings=settings, address='own', rng=random.Random(1)
        )
        runtime.clock.monotonic = lambda: self.now
        config: Any = mock.Mock()
        config.state.fleet = Fleet(('north', 'south'))
        config.state.workspace = lambda name: self.workspace
        self.peers: Any = mock.AsyncMock()
        self.peers.request.side_effect = LinkLostError('lost')
        self.rosters: Any = mock.Mock()
        self.rosters.holder = lambda domain, item: (
            'own' if domain == 'north' else 'other'
        )
        self.rosters.held_since.return_value = 0.0
        self.service = QuotaService(runtime, config, self.peers, self.rosters)
        self.service._on_config(CHANGED)
        self.now += 60

    async def take(self, count: int) -> list[Reason | None]:
        refusals = [await self.service.acquire('east') for _ in range(count)]
        return [refusal and refusal.reason for refusal in refusals]


def test_own_slices_are_used_first_and_then_all_are_asked() -> None:
    """Guards against remote token requests while local slices have tokens."""

    async def check() -> None:
        world = _World(Workspace(rate_per_s=8, burst=64))
        # Half of the burst of 64 is in the own domain, less the reserve of
        # the 8 slices.
        reasons = await world.take(24)
        assert reasons == [None] * 24
        world.peers.request.assert_not_awaited()
        reasons = await world.take(20)
        assert Reason.QUOTA_EXCEEDED in reasons
        assert world.peers.request.await_count == 8

    asyncio.run(check())


def test_fenced_and_cut_off_holders_are_told_from_empty_ones() -> None:
    """Guards against 429 for a workspace that is within its rate."""

    async def check() -> None:
        world = _World(Workspace(rate_per_s=8, burst=64))
        world.rosters.held_since.return_value = None
        assert await world.take(1) == [Reason.QUOTA_UNREACHABLE]

    asyncio.run(check())


@pytest.mark.parametrize('burst', [64, 8])
def test_decrease_applies_at_once(burst: float) -> None:
    """Guards against grants by the former quota after a decrease."""
    world = _World(Workspace(rate_per_s=64, burst=640))
    draw = RequestTokens('east', 0, 1, 0)
    assert world.service.handle_token_request(draw, None).count == 1
    world.workspace = Workspace(rate_per_s=0, burst=burst)
    world.service._on_config(CHANGED)
    world.now += 60
    granted = world.service.handle_token_request(
        RequestTokens('east', 0, 99, 0), None
    )
    assert granted.count <= burst
    assert world.service.handle_token_request(draw, None).count == 0


def test_slice_restarts_empty_when_it_comes_back() -> None:
    """Guards against two holders' tokens for one slice."""
    world = _World(Workspace(rate_per_s=64, burst=640))
    draw = RequestTokens('east', 0, 99, 0)
    assert world.service.handle_token_request(draw, None).count > 0
    world.now += 60
    world.rosters.held_since.return_value = world.now
    assert world.service.handle_token_request(draw, None).count == 0


def test_token_of_a_request_that_did_not_run_is_used_again() -> None:
    """Guards against refusals that cost tokens."""

    async def check() -> None:
        world = _World(Workspace(rate_per_s=1, burst=4))
        for _ in range(20):
            assert await world.take(1) == [None]
            world.service.return_token('east')

    asyncio.run(check())
