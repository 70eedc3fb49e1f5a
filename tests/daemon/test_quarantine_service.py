"""Tests the exchange and clearing of crash records between daemons."""

import asyncio
import dataclasses
import random
from typing import Any

from turmericrouter_core.config import Route
from turmericrouter_core.directory import Directory
from turmericrouter_core.directory import MemberState
from turmericrouter_core.errors import NotSentError
from turmericrouter_core.messages import CrashRecords
from turmericrouter_core.messages import DirectoryEntry
from turmericrouter_core.messages import Dispatch
from turmericrouter_core.messages import Hello
from turmericrouter_core.routing import NamedRoute
from turmericrouter_core.verdict import Importance
from turmericrouter_daemon.call import Call
from turmericrouter_daemon.decisions import DecisionLog
from turmericrouter_daemon.logs import open_log
from turmericrouter_daemon.metrics import NullMetrics
from turmericrouter_daemon.quarantine_service import QuarantineService
from turmericrouter_daemon.runtime import Runtime
from turmericrouter_daemon.settings import HostSettings
from turmericrouter_daemon.settings import LogSettings
from turmericrouter_daemon.settings import PlatformSettings
from turmericrouter_daemon.settings import Settings
from turmericrouter_daemon.timers import SystemClock
from turmericrouter_daemon.timers import TimerService

MEMBERS = 12


class _Network:
    """Delivers messages in process; counts them and can lose them."""

    def __init__(self) -> None:
        self.services: dict[str, QuarantineService] = {}
        self.messages = 0
        self.cut: set[str] = set()

    async def notify(self, address: str, message: CrashRecords) -> None:
        if address in self.cut:
            raise NotSentError(address)
        self.messages += 1
        sender = Hello(1, 'unknown', 'north', 1)
        self.services[address].handle(message, sender)


def _runtime(number: int) -> Runtime:
    host = HostSettings('127.0.0.1', 'north', 1, 1000 + number, 2, 3)
    log = open_log(LogSettings(level='error'))
    rng = random.Random(number)
    return Runtime(
        settings=Settings(host, PlatformSettings('http://127.0.0.1')),
        clock=SystemClock(),
        timers=TimerService(log, rng),
        rng=rng,
        log=log,
        decisions=DecisionLog(log, enabled=False),
        metrics=NullMetrics(),
        incarnation=1,
    )


def _make_network() -> _Network:
    network = _Network()
    directory = Directory()
    for number in range(MEMBERS):
        runtime = _runtime(number)
        peers: Any = network
        service = QuarantineService(runtime, directory, peers)
        network.services[runtime.address] = service
        directory.merge(
            [
                DirectoryEntry(
                    runtime.address, 'north', 1, 1, MemberState.SERVING
                )
            ]
        )
    return network


CALL = Call(
    request_id='0' * 32,
    method='POST',
    path='/plots?x=1',
    headers=(),
    body=b'bad',
    named_route=NamedRoute('plots', Route('mapping', '/plots')),
    workspace='east',
    key_digest='',
    importance=Importance.HIGH,
    bucket=0,
    deadline=0.0,
)
MESSAGE = Dispatch(
    request_id='1' * 32,
    target='t',
    workspace='east',
    route='plots',
    method='POST',
    path='/plots?x=1',
    headers=(('X', 'other'),),
    body=b'bad',
    importance=Importance.HIGH,
    bucket=0,
    timeout_ms=1,
    depth=0,
    retries_left=0,
)


async def _settle(network: _Network) -> None:
    seen = -1
    while seen != network.messages:
        seen = network.messages
        for _ in range(20):
            await asyncio.sleep(0)


async def _check_spread() -> None:
    network = _make_network()
    services = list(network.services.values())
    services[0].record_crash([MESSAGE], 't/1')
    # One crash, reported in two parts, does not block the request yet.
    services[0].record_crash([MESSAGE], 't/1')
    await _settle(network)
    assert not any(service.is_blocked(CALL) for service in services)
    services[5].record_crash([MESSAGE], 'u/1')
    await _settle(network)
    assert all(service.is_blocked(CALL) for service in services)
    other = dataclasses.replace(CALL, body=b'good')
    assert not any(service.is_blocked(other) for service in services)
    before = network.messages
    services[7].record_success(MESSAGE)
    await _settle(network)
    assert not any(service.is_blocked(CALL) for service in services)
    # Guards against crash records that are forwarded forever.
    assert network.messages - before <= 4 * MEMBERS


async def _check_lost_messages_are_repaired() -> None:
    network = _make_network()
    first, *others = network.services
    network.cut = set(others)
    service = network.services[first]
    service.record_crash([MESSAGE], 't/1')
    service.record_crash([MESSAGE], 'u/1')
    await _settle(network)
    assert network.messages == 0
    network.cut = set()
    await service.start()
    async with asyncio.timeout(30):
        while not all(
            one.is_blocked(CALL) for one in network.services.values()
        ):
            await asyncio.sleep(0.05)
    await service.stop()


def test_two_crashes_block_everywhere_and_a_success_clears() -> None:
    asyncio.run(_check_spread())


def test_lost_marks_are_sent_again() -> None:
    asyncio.run(_check_lost_messages_are_repaired())
