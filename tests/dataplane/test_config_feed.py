"""Hosts that do not follow the log get the configuration all the same."""

import asyncio
import random
from typing import Any

from turmericrouter_core.errors import LogServiceError
from turmericrouter_dataplane.config_feed import ConfigFeed
from turmericrouter_dataplane.log_service import KeyedRecord
from turmericrouter_dataplane.log_service import RecordPage


class _Config:
    def __init__(self, version: int) -> None:
        self.version = version
        self.routes = ()
        self.workspaces = ()


class _Log:
    def event(self, event: str, **fields: Any) -> None:
        """Ignore events."""


class _LogService:
    """Holds one configuration and counts the calls."""

    def __init__(self) -> None:
        self.calls = 0
        self.version = 1
        self.is_down = False

    async def read_newest(self, stream: object) -> RecordPage:
        return self._page()

    async def read(
        self, stream: object, start: int, wait_s: float
    ) -> RecordPage:
        await asyncio.sleep(0.02)
        return self._page()

    def _page(self) -> RecordPage:
        self.calls += 1
        if self.is_down:
            raise LogServiceError('down')
        record = KeyedRecord('config', str(self.version).encode())
        return RecordPage((record,), self.version)


def _make_feed(service: _LogService) -> ConfigFeed:
    log_service: Any = service
    log: Any = _Log()

    def decode(document: bytes) -> Any:
        return _Config(int(document))

    return ConfigFeed(
        log_service, decode, lambda config: None, log, random.Random(1)
    )


async def _run(feed: ConfigFeed, seconds: float) -> None:
    try:
        async with asyncio.timeout(seconds):
            await feed.run()
    except TimeoutError:
        return


def test_host_without_the_duty_reads_once() -> None:
    """Guards against a call of each host for each change."""
    service = _LogService()
    feed = _make_feed(service)
    feed.is_reader = lambda: False
    asyncio.run(_run(feed, 0.5))
    assert feed.version == 1
    assert service.calls == 1
    feed.offer(b'4', 'peer')
    assert feed.version == 4


def test_reader_reports_each_change_once() -> None:
    """Guards against copies of a configuration that did not change."""
    service = _LogService()
    feed = _make_feed(service)
    copies: list[int] = []
    feed.on_read = lambda: copies.append(feed.version)

    async def work() -> None:
        task = asyncio.create_task(_run(feed, 0.6))
        await asyncio.sleep(0.2)
        service.version = 7
        await task

    asyncio.run(work())
    assert copies == [1, 7]


def test_host_that_gets_the_duty_reads_the_newest_record() -> None:
    """Guards against a change between the last reader and the next."""
    service = _LogService()
    feed = _make_feed(service)
    is_reader = False
    feed.is_reader = lambda: is_reader

    async def work() -> None:
        nonlocal is_reader
        task = asyncio.create_task(_run(feed, 1.2))
        await asyncio.sleep(0.3)
        service.version = 9
        is_reader = True
        await task

    asyncio.run(work())
    assert feed.version == 9


def test_lost_and_regained_log_is_reported() -> None:
    """Guards against a domain that waits for a reader without the log."""
    service = _LogService()
    feed = _make_feed(service)
    states: list[bool] = []
    feed.on_connection_change = lambda: states.append(feed.is_connected)

    async def work() -> None:
        task = asyncio.create_task(_run(feed, 1.5))
        await asyncio.sleep(0.1)
        service.is_down = True
        await asyncio.sleep(0.3)
        service.is_down = False
        await task

    asyncio.run(work())
    assert states == [False, True]
