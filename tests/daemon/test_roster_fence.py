"""The members that a running holder counts for its fence check."""

import asyncio
import random
from typing import Any
from unittest import mock

from turmericrouter_core.control import RosterChange
from turmericrouter_core.directory import Directory
from turmericrouter_core.directory import MemberHealth
from turmericrouter_core.directory import MemberState
from turmericrouter_core.directory import with_health
from turmericrouter_core.messages import DirectoryEntry
from turmericrouter_daemon.roster_service import RosterService
from turmericrouter_daemon.settings import HostSettings
from turmericrouter_daemon.settings import PlatformSettings
from turmericrouter_daemon.settings import Settings

OWN, *OTHERS = (f'127.0.0.{number}:2' for number in range(1, 5))
SETTINGS = Settings(
    HostSettings('127.0.0.1', 'north', 1, 2, 3, 4),
    PlatformSettings('http://127.0.0.1'),
)


def _entry(address: str, state: MemberState) -> DirectoryEntry:
    return DirectoryEntry(address, 'north', 1, 1, int(state))


async def _lose_log_alone(lost: MemberState) -> str:
    """Lose the others, read the log alone, and then lose the log.

    Args:
        lost: State of the others when they were lost.

    Returns:
        State of the fence.
    """
    now = 100.0
    runtime: Any = mock.Mock(
        settings=SETTINGS, address=OWN, rng=random.Random(1)
    )
    runtime.clock.monotonic = lambda: now
    config: Any = mock.Mock(log_age_s=0.0)
    directory = Directory()
    directory.merge([_entry(OWN, MemberState.SERVING)])
    directory.merge(_entry(address, lost) for address in OTHERS)
    service = RosterService(
        runtime,
        config,
        mock.Mock(directory=directory),
        mock.AsyncMock(),
        mock.AsyncMock(),
    )
    await service.start()
    service.apply(4, RosterChange('north', -1, (OWN, *OTHERS)))
    for log_age_s in (0.0, 1.0, 0.0, 30.0):
        now += 1.0
        config.log_age_s = log_age_s
        service._check_pause()
        service._check_members()
        if log_age_s:
            directory.merge(
                with_health(_entry(address, lost), MemberHealth.DEAD)
                for address in OTHERS
            )
    return service.fence_state


def test_members_lost_before_the_log_may_be_a_majority() -> None:
    """Guards against two holders once the log is lost after the peers."""
    state = asyncio.run(_lose_log_alone(MemberState.SERVING))
    assert state == 'cut-off'


def test_members_that_left_are_no_majority() -> None:
    """Guards against a stop of the last member that has not left."""
    state = asyncio.run(_lose_log_alone(MemberState.LEAVING))
    assert state == 'clear'
