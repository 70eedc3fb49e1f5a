"""Guards against records that are lost, half read or read twice."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import json
import struct
from typing import Any

import pytest

from turmericrouter_core.errors import AppendUnknownError
from turmericrouter_core.errors import LogServiceError
from turmericrouter_dataplane.http_client import HttpResponse
from turmericrouter_dataplane.log_service import KeyedRecord
from turmericrouter_dataplane.log_service import Stream
from turmericrouter_dataplane.policy.log_era import UNKNOWN_ERA
from turmericrouter_dataplane.settings import Address
from turmericrouter_platform.log_store import encode_record
from turmericrouter_platform.log_store import LogStore

RECORD = encode_record(KeyedRecord('config', b'value'))
APPENDED = b'{"offset": 4, "end": 5}'
EMPTY_RECORD = struct.pack('>I', 0)


class _Client:
    """Answers every call with one status and body."""

    def __init__(self, status: int, body: bytes) -> None:
        self._answer = HttpResponse(status, b'', {}, body)

    async def call(self, *arguments: Any, **options: Any) -> HttpResponse:
        return self._answer

    def close(self) -> None:
        """Do nothing; there is no connection."""


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


class _Answers:
    """Answers the calls in turn, and keeps their paths."""

    def __init__(self, *answers: HttpResponse) -> None:
        self._answers = list(answers)
        self.paths: list[str] = []

    async def call(
        self, method: str, path: str, *arguments: Any, **options: Any
    ) -> HttpResponse:
        self.paths.append(path)
        return self._answers.pop(0)


def _answer(
    body: bytes, era: bytes | None = b'3', status: int = 200
) -> HttpResponse:
    headers = {} if era is None else {b'store-era': era}
    return HttpResponse(status, b'', headers, body)


def _newest(*keys: str, more: bool = False) -> bytes:
    items = [{'key': key, 'value': ''} for key in keys]
    return json.dumps({'items': items, 'more': more, 'end': 9}).encode()


def _store_with(*answers: HttpResponse) -> tuple[LogStore, _Answers]:
    store = LogStore(Address('127.0.0.1', 1))
    answers_in_turn = _Answers(*answers)
    client: Any = answers_in_turn
    store._call_client = store._poll_client = client
    return store, answers_in_turn


@pytest.mark.parametrize('status', [200, 410, 429, 503])
def test_each_answer_reports_its_era(status: int) -> None:
    """Guards against a return of the store that no call notices."""
    store, _ = _store_with(
        _answer(_body(RECORD), b'3', status), _answer(APPENDED, b'3', status)
    )
    eras: list[int] = []
    store.on_era = eras.append
    record = KeyedRecord('host', b'value')

    async def work() -> None:
        if status == 200:
            page = await store.read(Stream.CONFIGURATION, 5, 0.0)
            assert page.era == 3
            assert await store.append(Stream.HOSTS, record) == 3
            return
        with pytest.raises(LogServiceError):
            await store.read(Stream.CONFIGURATION, 5, 0.0)
        with pytest.raises(LogServiceError):
            await store.append(Stream.HOSTS, record)

    asyncio.run(work())
    assert eras == [3, 3]


@pytest.mark.parametrize('era', [None, b'', b'-1', b'x', b'9' * 5000])
def test_era_that_is_no_number_is_unknown(era: bytes | None) -> None:
    """Guards against a header that ends the reader or raises the era."""
    store, _ = _store_with(_answer(_body(RECORD), era))
    eras: list[int] = []
    store.on_era = eras.append
    page = asyncio.run(store.read(Stream.CONFIGURATION, 5, 0.0))
    assert page.era == UNKNOWN_ERA
    assert not eras


def test_pages_of_two_eras_are_not_joined() -> None:
    """Guards against records before a return of the store beside new ones."""
    store, calls = _store_with(
        _answer(_newest('a', more=True), b'1'),
        _answer(_newest('z'), b'2'),
        _answer(_newest('b', more=True), b'2'),
        _answer(_newest('c'), b'2'),
    )
    page = asyncio.run(store.read_newest(Stream.HOSTS))
    assert [record.key for record in page.records] == ['b', 'c']
    assert page.era == 2
    assert len(calls.paths) == 4


def test_eras_that_change_at_each_page_are_an_error() -> None:
    """Guards against a read without end."""
    answers = [
        _answer(_newest('a', more=True), b'%d' % number) for number in range(6)
    ]
    store, _ = _store_with(*answers)
    with pytest.raises(LogServiceError):
        asyncio.run(store.read_newest(Stream.HOSTS))


def _http_answer(body: bytes) -> bytes:
    return b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b' % (
        len(body),
        body,
    )


class _TwiceAnsweringStore:
    """Writes each answer a second time.

    Args:
        answer: Returns the body for the n-th call of all connections,
            counted from 1.
        is_idle_copy: Whether the copy comes before the next call; else it
            comes in the place of the next answer.
    """

    def __init__(
        self, answer: Callable[[int], bytes], *, is_idle_copy: bool = False
    ) -> None:
        self._answer = answer
        self._is_idle_copy = is_idle_copy
        self._open_count = 0
        self.call_count = 0
        self.connection_count = 0

    @contextlib.asynccontextmanager
    async def client(self) -> AsyncIterator[LogStore]:
        """Serve, and return a client."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        store = LogStore(Address(*server.sockets[0].getsockname()[:2]))
        try:
            yield store
        finally:
            store._call_client.close()
            store._poll_client.close()
            server.close()
            async with asyncio.timeout(5.0):
                while self._open_count:
                    await asyncio.sleep(0.005)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connection_count += 1
        self._open_count += 1
        copy = b''
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                if head.startswith(b'POST'):
                    await reader.readexactly(len(RECORD))
                self.call_count += 1
                own = _http_answer(self._answer(self.call_count))
                writer.write(copy or own)
                if self._is_idle_copy:
                    await asyncio.sleep(0.02)
                    writer.write(own)
                else:
                    copy = own
        writer.close()
        self._open_count -= 1


def test_copy_of_a_page_is_not_the_next_page() -> None:
    """Guards against records that are skipped as they seem to be read.

    A store that answers one call twice would shift all answers after it.
    """

    def answer(number: int) -> bytes:
        return struct.pack('>QQ', 4 + number, 0) + RECORD

    async def work() -> None:
        twice = _TwiceAnsweringStore(answer)
        async with twice.client() as store:
            page = await store.read(Stream.CONFIGURATION, 4, 0.0)
            assert page.next_offset == 5
            with pytest.raises(LogServiceError):
                await store.read(Stream.CONFIGURATION, 5, 0.0)
            await store.read(Stream.CONFIGURATION, 5, 0.0)
            assert twice.connection_count == 2

    asyncio.run(work())


def test_copy_of_a_page_acknowledges_no_append() -> None:
    """Guards against a record that counts as stored by another answer."""

    def answer(number: int) -> bytes:
        return _newest('a') if number == 1 else APPENDED

    async def work() -> None:
        twice = _TwiceAnsweringStore(answer)
        record = KeyedRecord('config', b'value')
        async with twice.client() as store:
            await store.read_newest(Stream.CONFIGURATION)
            with pytest.raises(AppendUnknownError):
                await store.append(Stream.HOSTS, record)
            await store.append(Stream.HOSTS, record)
            assert twice.connection_count == 2

    asyncio.run(work())


def test_acknowledgement_is_no_page_of_records() -> None:
    """Guards against a connection that stays one answer behind."""

    def answer(number: int) -> bytes:
        return APPENDED if number == 1 else _newest('a')

    async def work() -> None:
        twice = _TwiceAnsweringStore(answer)
        async with twice.client() as store:
            await store.append(Stream.HOSTS, KeyedRecord('config', b'value'))
            with pytest.raises(LogServiceError):
                await store.read_newest(Stream.CONFIGURATION)
            page = await store.read_newest(Stream.CONFIGURATION)
            assert [record.key for record in page.records] == ['a']
            assert twice.connection_count == 2

    asyncio.run(work())


def test_copy_of_a_page_on_an_idle_connection_closes_it() -> None:
    """Guards against surplus answers that stay unread until the next call."""

    def answer(number: int) -> bytes:
        # Nothing in the copy contradicts that it is the next page.
        return struct.pack('>QQ', 99, 0) + RECORD * number

    async def work() -> None:
        twice = _TwiceAnsweringStore(answer, is_idle_copy=True)
        async with twice.client() as store:
            for number in (1, 2, 3):
                page = await store.read(Stream.CONFIGURATION, 4, 0.0)
                assert page.next_offset == 4 + number
                client: Any = store._poll_client
                async with asyncio.timeout(5.0):
                    while client._connection.is_open:
                        await asyncio.sleep(0.005)
            assert twice.connection_count == 3

    asyncio.run(work())
