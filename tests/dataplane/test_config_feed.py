"""Hosts that do not follow the log get the configuration all the same."""

import asyncio
import random
from typing import Any

import pytest

from turmericrouter_core.errors import LogServiceError
from turmericrouter_dataplane.config_feed import ConfigFeed
from turmericrouter_dataplane.config_feed import LONG_POLL_S
from turmericrouter_dataplane.log_service import KeyedRecord
from turmericrouter_dataplane.log_service import RecordPage
from turmericrouter_dataplane.policy.log_era import LogEra


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


def _make_feed(
    log_service: Any, era: LogEra | None = None, seed: int = 1
) -> ConfigFeed:
    log: Any = _Log()

    def decode(document: bytes) -> Any:
        return _Config(int(document.split()[0]))

    return ConfigFeed(
        log_service,
        era or LogEra(),
        decode,
        lambda config: None,
        log,
        random.Random(seed),
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


class _RestoredLog:
    """Restores an older copy; it gives offsets out again.

    `documents` are the records of the present era. A read answers once there
    is a record at its offset.
    """

    def __init__(self, era: LogEra) -> None:
        self._observe = era.observe
        self.era = 0
        self.documents = [b'1', b'2', b'3']
        # Eras of the next answers, for answers made before the return.
        self.answered_eras: list[int] = []
        self.read_offsets: list[int] = []

    async def read_newest(self, stream: object) -> RecordPage:
        return self._page(0)

    async def read(
        self, stream: object, start: int, wait_s: float
    ) -> RecordPage:
        self.read_offsets.append(start)
        while len(self.documents) <= start:
            await asyncio.sleep(0.01)
        return self._page(start)

    def restore(self, *documents: bytes) -> None:
        self.era += 1
        self.documents = list(documents)

    def _page(self, start: int) -> RecordPage:
        era = self.answered_eras.pop(0) if self.answered_eras else self.era
        self._observe(era)
        records = tuple(
            KeyedRecord('config', document)
            for document in self.documents[start:]
        )
        return RecordPage(records, len(self.documents), era)


async def _run_across(
    feed: ConfigFeed, log: _RestoredLog, *documents: bytes
) -> None:
    task = asyncio.create_task(_run(feed, 0.6))
    await asyncio.sleep(0.1)
    log.restore(*documents)
    await task


def test_record_below_the_offset_of_an_earlier_era_is_read() -> None:
    """Guards against a confirmed change that a waiting reader skips.

    Its read is answered across the return, once the log has grown past the
    offset again.
    """
    era = LogEra()
    log = _RestoredLog(era)
    feed = _make_feed(log, era)
    asyncio.run(_run_across(feed, log, b'1', b'7', b'4', b'4'))
    assert feed.version == 7


def test_read_across_the_return_ends_when_a_peer_reports_it() -> None:
    """Guards against a reader that waits at an offset that is not reached."""
    era = LogEra()
    log = _RestoredLog(era)
    feed = _make_feed(log, era)

    async def work() -> None:
        task = asyncio.create_task(_run(feed, 0.6))
        await asyncio.sleep(0.1)
        log.restore(b'1', b'7')
        era.observe(1)
        feed.handle_era_rise()
        await task

    asyncio.run(work())
    assert feed.version == 7
    assert log.read_offsets == [3, 2]


def test_answer_of_an_earlier_era_is_not_applied() -> None:
    """Guards against a late answer that counts as news of the newer log."""
    era = LogEra()
    log = _RestoredLog(era)
    feed = _make_feed(log, era)
    era.observe(2)
    log.answered_eras = [1]
    log.era = 2
    log.documents = [b'9']

    async def work() -> None:
        task = asyncio.create_task(_run(feed, 0.6))
        await asyncio.sleep(0.03)
        assert feed.version == -1
        await task

    asyncio.run(work())
    assert feed.version == 9


def test_version_that_was_lost_may_name_another_document() -> None:
    """Guards against hosts that keep a document that the log has lost."""
    era = LogEra()
    log = _RestoredLog(era)
    feed = _make_feed(log, era)
    copies: list[bytes] = []
    feed.on_read = lambda: copies.append(feed.document)
    asyncio.run(_run_across(feed, log, b'1', b'3 of another', b'0', b'0'))
    assert feed.document == b'3 of another'
    assert copies == [b'3', b'3 of another']


@pytest.mark.parametrize(
    ('document', 'era', 'is_applied'),
    [
        (b'5 other', 2, True),
        (b'5 other', 1, False),
        (b'5 other', 0, False),
        (b'5 other', -1, False),
        (b'4 other', 2, False),
        (b'6 other', 0, True),
    ],
)
def test_document_of_a_later_era_wins_at_the_same_version(
    document: bytes, era: int, is_applied: bool
) -> None:
    """Guards against versions that go back, and late copies of a lost one."""
    feed = _make_feed(_LogService())
    feed.offer(b'5', 'peer', 0)
    feed.offer(b'5', 'log', 1)
    feed.offer(document, 'peer', era)
    assert (feed.document == document) is is_applied


class _QuietLog:
    """Holds one configuration, and answers each read when its wait ends."""

    def __init__(self) -> None:
        self.waits_s: list[float] = []

    async def read_newest(self, stream: object) -> RecordPage:
        return RecordPage((KeyedRecord('config', b'1'),), 1)

    async def read(
        self, stream: object, start: int, wait_s: float
    ) -> RecordPage:
        self.waits_s.append(wait_s)
        await asyncio.sleep(0.01)
        return RecordPage((), start)


def test_reads_of_several_readers_do_not_end_together() -> None:
    """Guards against a return that all readers notice late.

    The reads of all readers begin together, as a record ends them together.
    The first that ends shows the return to all hosts.
    """
    first_waits_s = []
    for seed in range(8):
        log = _QuietLog()
        asyncio.run(_run(_make_feed(log, seed=seed), 0.05))
        first_wait_s, second_wait_s = log.waits_s[:2]
        first_waits_s.append(first_wait_s)
        assert second_wait_s == LONG_POLL_S
    assert max(first_waits_s) <= LONG_POLL_S
    assert min(first_waits_s) < LONG_POLL_S / 2 < max(first_waits_s)
