"""Guards against records that stop a host from reading the others."""

import asyncio
from typing import Any

import pytest

from dataplane_values import make_record
from turmericrouter_core.errors import LogServiceError
from turmericrouter_dataplane.frames import encode_record
from turmericrouter_dataplane.frames import HostRecord
from turmericrouter_dataplane.host_directory import HostDirectory
from turmericrouter_dataplane.log_service import KeyedRecord
from turmericrouter_dataplane.log_service import RecordPage
from turmericrouter_dataplane.policy.log_era import LogEra


class _Members:
    """Records the hosts that are added."""

    def __init__(self, own: HostRecord) -> None:
        self.record = own
        self.added: list[str] = []
        self.silence_timeout_s = 2.0
        self.is_loaded = False
        self.silent: list[str] = []
        self.removed: list[str] = []

    def add(self, record: HostRecord) -> None:
        self.added.append(record.name)

    def mark_directory_loaded(self) -> None:
        self.is_loaded = True

    def silent_hosts(self, longer_than_s: float) -> list[str]:
        return self.silent

    def remove(self, host: str) -> None:
        self.removed.append(host)


class _Log:
    def __init__(self) -> None:
        self.events: list[str] = []

    def event(self, event: str, **fields: Any) -> None:
        self.events.append(event)


class _LogService:
    def __init__(self, records: tuple[KeyedRecord, ...]) -> None:
        self._page = RecordPage(records, len(records))

    async def read_newest(self, stream: object) -> RecordPage:
        return self._page


@pytest.mark.parametrize('foreign', [b'', b'\xff', b'{"name": 1}', b'\x93'])
def test_foreign_record_is_skipped(foreign: bytes) -> None:
    """Guards against one malformed record that hides all the hosts."""
    own, other = make_record('own'), make_record('other')
    service: Any = _LogService(
        (
            KeyedRecord('foreign', foreign),
            KeyedRecord('other', encode_record(other)),
        )
    )
    members: Any = _Members(own)
    log: Any = _Log()
    asyncio.run(HostDirectory(service, LogEra(), members, log).load())
    assert members.added == ['other']
    assert members.is_loaded
    assert log.events == ['host_record_skipped']


def test_own_record_that_cannot_be_restored_is_skipped() -> None:
    """Guards against an own record that ends the directory's task."""
    own = make_record('own')
    service: Any = _LogService((KeyedRecord('own', encode_record(own)),))
    members: Any = _Members(own)
    log: Any = _Log()

    def restore(record: HostRecord) -> None:
        raise ValueError('no address')

    asyncio.run(HostDirectory(service, LogEra(), members, log).load(restore))
    assert members.is_loaded
    assert log.events == ['host_record_skipped']


class _RestoredLog:
    """Keeps one record; answers and acknowledges in a given era."""

    def __init__(self) -> None:
        self.era = 1
        self.record: KeyedRecord | None = None
        self.appends = 0

    async def read_newest(self, stream: object) -> RecordPage:
        records = () if self.record is None else (self.record,)
        return RecordPage(records, 0, self.era)

    async def append(self, stream: object, record: KeyedRecord) -> int:
        self.appends += 1
        self.record = record
        return self.era


def _make_directory() -> tuple[HostDirectory, _RestoredLog, LogEra]:
    service = _RestoredLog()
    log_service: Any = service
    era = LogEra()
    era.observe(1)
    members: Any = _Members(make_record('own'))
    log: Any = _Log()
    return HostDirectory(log_service, era, members, log), service, era


def test_record_is_written_again_after_a_return_of_the_log() -> None:
    """Guards against a host, or a departure, that stays lost."""
    directory, service, era = _make_directory()
    assert asyncio.run(directory.store())
    assert asyncio.run(directory.store())
    assert service.appends == 1
    service.era = 2
    service.record = None
    era.observe(2)
    assert asyncio.run(directory.store())
    assert service.record is not None
    assert asyncio.run(directory.store())
    assert service.appends == 2


def test_record_that_a_load_lacks_is_written_again() -> None:
    """Guards against a loss that no era gave away."""
    directory, service, _ = _make_directory()
    assert asyncio.run(directory.store())
    service.record = None
    asyncio.run(directory.load())
    assert asyncio.run(directory.store())
    assert service.record is not None


def test_record_that_outlived_the_return_is_not_written_again() -> None:
    """Guards against a write of each host that the log does not need."""
    directory, service, era = _make_directory()
    assert asyncio.run(directory.store())
    service.era = 2
    era.observe(2)
    asyncio.run(directory.load())
    assert asyncio.run(directory.store())
    assert service.appends == 1


def test_acknowledgement_of_an_earlier_era_does_not_count() -> None:
    """Guards against a record that was acknowledged and then lost."""
    directory, _, era = _make_directory()
    era.observe(2)
    assert not asyncio.run(directory.store())


def test_answer_of_an_earlier_era_is_not_used() -> None:
    """Guards against hosts of before the return that count as present."""
    directory, _, era = _make_directory()
    era.observe(2)
    with pytest.raises(LogServiceError):
        asyncio.run(directory.load())


def test_cut_off_domain_is_not_forgotten_after_a_return() -> None:
    """Guards against a minority that counts as a majority.

    The log lost the record of a host that is cut off and cannot write it.
    """
    directory, service, era = _make_directory()
    members: Any = directory._members
    service.record = KeyedRecord('far', encode_record(make_record('far')))
    asyncio.run(directory.load())
    members.silent = ['far']
    service.era = 2
    service.record = None
    era.observe(2)
    asyncio.run(directory.load())
    asyncio.run(directory.load())
    assert not members.removed
    # It writes its record again; later the record is removed.
    service.record = KeyedRecord('far', encode_record(make_record('far')))
    asyncio.run(directory.load())
    assert not members.removed
    service.record = None
    asyncio.run(directory.load())
    assert members.removed == ['far']
