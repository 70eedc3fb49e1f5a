"""The fence of a running daemon, with a simulated clock and log."""

import asyncio
import random
from typing import Any
from unittest import mock

from turmericrouter_client.log_service import LogPage
from turmericrouter_core.control import RosterChange
from turmericrouter_core.errors import LinkLostError
from turmericrouter_core.errors import LogServiceError
from turmericrouter_core.messages import RosterEpoch
from turmericrouter_daemon.roster_service import RosterService
from turmericrouter_daemon.settings import HostSettings
from turmericrouter_daemon.settings import PlatformSettings
from turmericrouter_daemon.settings import Settings

OWN = '127.0.0.1:2'
ITEM = 'item'


class _Fixture:
    """A roster service and what it depends on."""

    def __init__(self) -> None:
        self.now = 100.0
        settings = Settings(
            HostSettings('127.0.0.1', 'north', 1, 2, 3, 4),
            PlatformSettings('http://127.0.0.1'),
        )
        runtime: Any = mock.Mock(
            settings=settings, address=OWN, rng=random.Random(1)
        )
        runtime.clock.monotonic = lambda: self.now
        self.config: Any = mock.Mock(log_age_s=0.0)
        directory: Any = mock.Mock()
        directory.directory = []
        self.log: Any = mock.AsyncMock()
        self.log.read.side_effect = LogServiceError('down')
        self.peers: Any = mock.AsyncMock()
        self.peers.request.side_effect = LinkLostError('lost')
        self.service = RosterService(
            runtime, self.config, directory, self.peers, self.log
        )

    async def start(self) -> None:
        await self.service.start()
        self.service.apply(4, RosterChange('north', -1, (OWN,)))
        await self.tick(0.25)

    async def tick(self, passed_s: float) -> None:
        self.now += passed_s
        self.service._check_pause()
        self.service._check_members()
        for _ in range(5):
            await asyncio.sleep(0)

    @property
    def may_act(self) -> bool:
        return self.service.held_since('north', ITEM) is not None


def test_paused_holder_stops_until_it_has_asked_the_log() -> None:
    """Guards against a holder that acts on the roster of before a pause."""

    async def check() -> None:
        fixture = _Fixture()
        await fixture.start()
        assert fixture.may_act
        fixture.now += 5.1
        assert not fixture.may_act, 'even before the first timer runs'
        await fixture.tick(0.0)
        assert not fixture.may_act
        fixture.log.read.side_effect = None
        fixture.log.read.return_value = LogPage(0, 4, ())
        await fixture.tick(0.25)
        await fixture.tick(0.25)
        assert fixture.may_act

    asyncio.run(check())


def test_newer_epoch_stops_a_holder_until_the_roster_is_read() -> None:
    """Guards against a replaced holder that continues to act."""

    async def check() -> None:
        fixture = _Fixture()
        await fixture.start()
        fixture.service.handle_epoch('north', 9)
        assert not fixture.may_act
        fixture.service.apply(9, RosterChange('north', 4, (OWN, 'other')))
        assert fixture.service.fence_state == 'clear'

    asyncio.run(check())


def test_peer_with_another_epoch_does_not_clear_a_pause() -> None:
    """Guards against a clear after the reply of a peer that lags behind."""

    async def check() -> None:
        fixture = _Fixture()
        await fixture.start()
        fixture.service._members |= {'127.0.0.9:2'}
        fixture.peers.request.side_effect = [RosterEpoch(3), RosterEpoch(4)]
        fixture.now += 6.0
        for expected in (False, True):
            fixture.service._check_pause()
            for _ in range(5):
                await asyncio.sleep(0)
            assert fixture.may_act is expected

    asyncio.run(check())


def test_released_holder_stops_at_once_and_says_so() -> None:
    """Guards against grants after a release."""

    async def check() -> None:
        fixture = _Fixture()
        await fixture.start()

        async def append(stream: str, payload: bytes) -> int:
            assert not fixture.may_act
            fixture.service.apply(7, RosterChange('north', 4, (), (OWN,)))
            return 7

        fixture.log.append = append
        await fixture.service.release()
        assert fixture.service.roster('north').holders == ()

    asyncio.run(check())
