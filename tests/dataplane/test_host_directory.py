"""Guards against records that stop a host from reading the others."""

import asyncio
from typing import Any

import pytest

from dataplane_values import make_record
from turmericrouter_dataplane.frames import encode_record
from turmericrouter_dataplane.frames import HostRecord
from turmericrouter_dataplane.host_directory import HostDirectory
from turmericrouter_dataplane.log_service import KeyedRecord
from turmericrouter_dataplane.log_service import RecordPage


class _Members:
    """Records the hosts that are added."""

    def __init__(self, own: HostRecord) -> None:
        self.record = own
        self.added: list[str] = []
        self.silence_timeout_s = 2.0
        self.is_loaded = False

    def add(self, record: HostRecord) -> None:
        self.added.append(record.name)

    def mark_directory_loaded(self) -> None:
        self.is_loaded = True

    def silent_hosts(self, longer_than_s: float) -> list[str]:
        return []


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
    asyncio.run(HostDirectory(service, members, log).load())
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

    asyncio.run(HostDirectory(service, members, log).load(restore))
    assert members.is_loaded
    assert log.events == ['host_record_skipped']
