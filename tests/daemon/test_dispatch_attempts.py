"""Tests the number of attempts of a dispatcher when all targets shed."""

import asyncio
import random
from typing import Any
from unittest import mock

from turmericrouter_core.config import Route
from turmericrouter_core.directory import Directory
from turmericrouter_core.directory import MemberState
from turmericrouter_core.identity import OperationId
from turmericrouter_core.messages import AdmissionLevel
from turmericrouter_core.messages import DirectoryEntry
from turmericrouter_core.messages import GateLoad
from turmericrouter_core.messages import Outcome
from turmericrouter_core.routing import NamedRoute
from turmericrouter_core.verdict import Importance
from turmericrouter_core.verdict import Reason
from turmericrouter_core.verdict import Verdict
from turmericrouter_daemon.call import Call
from turmericrouter_daemon.dispatch import Dispatcher
from turmericrouter_daemon.settings import HostSettings
from turmericrouter_daemon.settings import PlatformSettings
from turmericrouter_daemon.settings import Settings

TARGETS = 8
NOW_S = 100.0
SETTINGS = Settings(
    HostSettings('127.0.0.1', 'north', 1, 2, 3, 4),
    PlatformSettings('http://127.0.0.1'),
)
MAX_RETRIES = SETTINGS.overload.max_retries
# Without successes, a budget holds ten seconds of its floor rate.
SAVED_RETRIES = 10 * SETTINGS.overload.retry_floor_per_s
SHED = Outcome(
    Verdict.NOT_RUN,
    Reason.TARGET_SHED,
    0,
    (),
    b'',
    GateLoad(AdmissionLevel(), 0, 0, 9),
)


def _call(**changes: Any) -> Call:
    return Call(
        request_id='1',
        method='GET',
        path='/works',
        headers=(),
        body=b'',
        named_route=NamedRoute('works', Route('works', '/works')),
        workspace='east',
        key_digest='',
        importance=Importance.CRITICAL,
        bucket=0,
        deadline=NOW_S + 60,
        **{'retries_left': MAX_RETRIES, **changes},
    )


def _dispatcher(operations: Any = None) -> tuple[Dispatcher, Any]:
    """Return a dispatcher and its links to the targets' daemons."""
    runtime: Any = mock.Mock(
        settings=SETTINGS, address='127.0.0.1:2', rng=random.Random(1)
    )
    runtime.clock.monotonic = lambda: NOW_S
    config: Any = mock.Mock()
    config.state.fleet.regions = {}
    directory = Directory()
    directory.merge(
        DirectoryEntry(
            f'127.0.1.{number}:2',
            'north',
            1,
            1,
            int(MemberState.SERVING),
            'works',
            f'works-{number}',
        )
        for number in range(TARGETS)
    )
    peers: Any = mock.AsyncMock()
    peers.request.return_value = SHED
    quota: Any = mock.Mock(acquire=mock.AsyncMock(return_value=None))
    blocklist: Any = mock.Mock()
    blocklist.is_blocked.return_value = False
    dispatcher = Dispatcher(
        runtime,
        config,
        directory,
        mock.Mock(),
        peers,
        quota,
        operations,
        blocklist,
    )
    return dispatcher, peers


async def _attempts(calls: list[Call]) -> int:
    """Return the number of attempts at targets for some calls."""
    dispatcher, peers = _dispatcher()
    for call in calls:
        answer = await dispatcher.serve(call)
        assert answer.verdict is Verdict.NOT_RUN
    return int(peers.request.await_count)


def test_entry_tries_no_more_targets_than_its_allowance() -> None:
    """Guards against a request that is retried at every target."""
    assert asyncio.run(_attempts([_call()])) == 1 + MAX_RETRIES


def test_entry_retries_stay_within_the_budget() -> None:
    """Guards against retries of every request while all targets shed."""
    calls = [_call() for _ in range(50)]
    attempts = asyncio.run(_attempts(calls))
    assert attempts == len(calls) + SAVED_RETRIES


def test_nested_call_is_tried_once() -> None:
    """Guards against retries at each level, which would multiply."""
    assert asyncio.run(_attempts([_call(parent=mock.Mock())])) == 1


async def _check_abandoned(*, is_abandoned: bool) -> int:
    """Return the attempts of an operation whose home daemon replies late."""
    begun = asyncio.Event()

    async def begin(_: Call) -> int:
        await begun.wait()
        return 7

    operations: Any = mock.AsyncMock()
    operations.begin = begin
    dispatcher, peers = _dispatcher(operations)
    operation = OperationId.mint(NOW_S, 0, random.Random(1))
    request = asyncio.create_task(dispatcher.serve(_call(operation=operation)))
    await asyncio.sleep(0.01)
    if is_abandoned:
        request.cancel()
    await asyncio.sleep(0)
    begun.set()
    await dispatcher.wait_until_drained()
    await asyncio.wait([request])
    return int(peers.request.await_count)


def test_abandoned_operation_is_not_dispatched() -> None:
    """Guards against a start after another entry answered not-run."""
    assert asyncio.run(_check_abandoned(is_abandoned=True)) == 0
    assert asyncio.run(_check_abandoned(is_abandoned=False)) > 0
