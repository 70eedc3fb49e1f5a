"""Client of the platform's append-only log service.

The service speaks HTTP and JSON: `POST /streams/NAME/records` appends the
request body and answers `{"offset": N}`; `GET /streams/NAME/records` takes
`after`, `limit` and `wait_ms` and answers `{"first", "head", "records"}`.
"""

import base64
from typing import Protocol

import aiohttp
import msgspec

from turmericrouter_core.errors import AppendUnknownError
from turmericrouter_core.errors import LogServiceError

DEFAULT_TIMEOUT_S = 5.0
DEFAULT_PAGE_RECORDS = 500


class StoredRecord(msgspec.Struct, frozen=True):
    """A record as the service returns it.

    Args:
        offset: Position in the stream.
        payload: Record content, base64-encoded.
    """

    offset: int
    payload: str

    def decode_payload(self) -> bytes:
        """Return the decoded payload."""
        return base64.b64decode(self.payload)


class LogPage(msgspec.Struct, frozen=True):
    """A range of consecutive records of a stream.

    Args:
        first: Offset of the oldest retained record.
        head: Offset of the newest record, -1 if none was ever appended.
        records: Records after the requested offset, in offset order.
    """

    first: int
    head: int
    records: tuple[StoredRecord, ...]


class _AppendReply(msgspec.Struct, frozen=True):
    offset: int


class LogService(Protocol):
    """Append-only log whose records are addressed by offset."""

    async def append(self, stream: str, payload: bytes) -> int:
        """Append a record and return its offset."""

    async def read(
        self,
        stream: str,
        after: int,
        *,
        limit: int = DEFAULT_PAGE_RECORDS,
        wait_s: float = 0.0,
    ) -> LogPage:
        """Return records after an offset.

        If there are none, wait up to `wait_s` seconds for one.
        """


class LogClient:
    """HTTP client of the log service.

    Args:
        url: Base URL of the service.
        timeout_s: Response timeout in seconds; a read adds its `wait_s`.
    """

    def __init__(
        self, url: str, *, timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> None:
        self._url = url.rstrip('/')
        self._timeout_s = timeout_s
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the HTTP session and its connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def append(self, stream: str, payload: bytes) -> int:
        """Append a record and return its offset.

        Raises:
            AppendUnknownError: The request timed out, the connection failed
                after it was opened, or the service answered with a 5xx
                status; the record may or may not be stored.
            LogServiceError: The connection could not be opened, or the
                service refused the request; the record is not stored.
        """
        url = f'{self._url}/streams/{stream}/records'
        timeout = aiohttp.ClientTimeout(total=self._timeout_s)
        try:
            async with self._get_session().post(
                url, data=payload, timeout=timeout
            ) as response:
                content = await response.read()
                status = response.status
        except aiohttp.ClientConnectorError as error:
            raise LogServiceError(f'log service: {error}') from error
        except (TimeoutError, aiohttp.ClientError) as error:
            raise AppendUnknownError(f'log service: {error!r}') from error
        if status >= 500:
            raise AppendUnknownError(
                f'log service: append answered with status {status}'
            )
        if status >= 300:
            raise LogServiceError(
                f'log service: append answered with status {status}'
            )
        try:
            return msgspec.json.decode(content, type=_AppendReply).offset
        except (msgspec.MsgspecError, RecursionError) as error:
            raise AppendUnknownError(f'log service: {error}') from error

    async def read(
        self,
        stream: str,
        after: int,
        *,
        limit: int = DEFAULT_PAGE_RECORDS,
        wait_s: float = 0.0,
    ) -> LogPage:
        """Return records after an offset.

        Args:
            stream: Name of the stream.
            after: Offset of the last record that the caller has, -1 for
                none.
            limit: Maximum number of records to return.
            wait_s: Longest time to wait for a record if there is none
                (long poll).

        Raises:
            LogServiceError: The service cannot be reached, refused the
                request, or sent a page that cannot be decoded.
        """
        url = f'{self._url}/streams/{stream}/records'
        query = {
            'after': str(after),
            'limit': str(limit),
            'wait_ms': str(int(wait_s * 1000)),
        }
        timeout = aiohttp.ClientTimeout(total=self._timeout_s + wait_s)
        try:
            async with self._get_session().get(
                url, params=query, timeout=timeout
            ) as response:
                content = await response.read()
                status = response.status
        except (TimeoutError, aiohttp.ClientError) as error:
            raise LogServiceError(f'log service: {error!r}') from error
        if status != 200:
            raise LogServiceError(
                f'log service: read answered with status {status}'
            )
        try:
            return msgspec.json.decode(content, type=LogPage)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise LogServiceError(
                f'log service: page cannot be decoded: {error}'
            ) from error

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession()
        return self._session
