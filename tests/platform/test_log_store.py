"""Guards against records that are lost, half read or read twice."""

import asyncio
import struct
from typing import Any

import pytest

from turmericrouter_core.errors import AppendUnknownError
from turmericrouter_core.errors import LogServiceError
from turmericrouter_dataplane.http_client import HttpResponse
from turmericrouter_dataplane.log_service import KeyedRecord
from turmericrouter_dataplane.log_service import Stream
from turmericrouter_dataplane.settings import Address
from turmericrouter_platform.log_store import encode_record
from turmericrouter_platform.log_store import LogStore

RECORD = encode_record(KeyedRecord('config', b'value'))
EMPTY_RECORD = struct.pack('>I', 0)


class _Client:
    """Answers every call with one status and body."""

    def __init__(self, status: int, body: bytes) -> None:
        self._answer = HttpResponse(status, b'', {}, body)

    async def call(self, *arguments: Any, **options: Any) -> HttpResponse:
        return self._answer


def _store(status: int, body: bytes) -> LogStore:
    store = LogStore(Address('127.0.0.1', 1))
    client: Any = _Client(status, body)
    store._call_client = store._poll_client = client
    return store


def _body(*records: bytes) -> bytes:
    return struct.pack('>QQ', 99, 0) + b''.join(records)


def test_records_without_content_count_as_read() -> None:
    """Guards against a reader that falls behind with each empty record."""
    store = _store(200, _body(EMPTY_RECORD, RECORD, EMPTY_RECORD))
    page = asyncio.run(store.read(Stream.CONFIGURATION, 5, 0.0))
    assert page.records == (KeyedRecord('config', b'value'),)
    assert page.next_offset == 8


@pytest.mark.parametrize('missing', [1, 5, len(RECORD) - 1])
def test_cut_record_is_an_error(missing: int) -> None:
    """Guards against a part of a configuration that is taken for all."""
    store = _store(200, _body(RECORD, RECORD[:-missing]))
    with pytest.raises(LogServiceError):
        asyncio.run(store.read(Stream.CONFIGURATION, 0, 0.0))


@pytest.mark.parametrize('key', [b'\xff', b'\xfe\xfe'])
def test_key_that_is_no_text_is_skipped(key: bytes) -> None:
    """Guards against a foreign record that stops the reader."""
    payload = bytes([len(key)]) + key + b'value'
    foreign = struct.pack('>I', len(payload)) + payload
    store = _store(200, _body(foreign, RECORD))
    page = asyncio.run(store.read(Stream.CONFIGURATION, 0, 0.0))
    assert page.next_offset == 2
    assert page.records[-1] == KeyedRecord('config', b'value')


@pytest.mark.parametrize('status', [400, 412, 429, 503, 507])
def test_refused_append_did_not_happen(status: int) -> None:
    """Guards against a refusal that counts as an unknown outcome."""
    store = _store(status, b'')
    record = KeyedRecord('host', b'value')
    with pytest.raises(LogServiceError) as caught:
        asyncio.run(store.append(Stream.HOSTS, record))
    assert not isinstance(caught.value, AppendUnknownError)
