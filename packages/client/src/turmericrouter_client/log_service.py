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
DEFAULT_LIMIT = 500


class StoredRecord(msgspec.Struct, frozen=True):
    """A record as the service returns it.

    Args:
        offset: Position in the stream.
        payload: Content in base64.
    """

    offset: int
    payload: str

    def content(self) -> bytes:
        """Return the decoded payload."""
        return base64.b64decode(self.payload)


class LogPage(msgspec.Struct, frozen=True):
    """Part of a stream.

    Args:
        first: Offset of the oldest record that is still kept.
        head: Offset of the newest record, -1 if there never was one.
        records: Records after the asked offset, in order.
    """

    first: int
    head: int
    records: tuple[StoredRecord, ...]


class _Appended(msgspec.Struct, frozen=True):
    offset: int


class LogService(Protocol):
    """Append-only log with offsets."""

    async def append(self, stream: str, payload: bytes) -> int:
        """Append a record and return its offset."""

    async def read(
        self,
        stream: str,
        after: int,
        *,
        limit: int = DEFAULT_LIMIT,
        wait_s: float = 0.0,
    ) -> LogPage:
        """Return records after an offset, waiting for some if asked."""


class LogClient:
    """Reaches the log service over HTTP.

    Args:
        url: Base URL of the service.
        timeout_s: Seconds to wait for an answer, beyond any `wait_s`.
    """

    def __init__(
        self, url: str, *, timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> None:
        self._url = url.rstrip('/')
        self._timeout_s = timeout_s
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def append(self, stream: str, payload: bytes) -> int:
        """Append a record and return its offset.

        Raises:
            AppendUnknownError: The record may or may not be stored.
            LogServiceError: The record is not stored.
        """
        url = f'{self._url}/streams/{stream}/records'
        timeout = aiohttp.ClientTimeout(total=self._timeout_s)
        try:
            async with self._open().post(
                url, data=payload, timeout=timeout
            ) as response:
                content = await response.read()
                status = response.status
        except aiohttp.ClientConnectorError as error:
            raise LogServiceError(f'log service: {error}') from error
        except (TimeoutError, aiohttp.ClientError) as error:
            raise AppendUnknownError(f'log service: {error!r}') from error
        if status >= 500:
            raise AppendUnknownError(f'log service answered {status}')
        if status >= 300:
            raise LogServiceError(f'log service answered {status}')
        return msgspec.json.decode(content, type=_Appended).offset

    async def read(
        self,
        stream: str,
        after: int,
        *,
        limit: int = DEFAULT_LIMIT,
        wait_s: float = 0.0,
    ) -> LogPage:
        """Return records after an offset.

        Args:
            stream: Name of the stream.
            after: Offset of the last record that the caller has, -1 for
                none.
            limit: Most records to return.
            wait_s: Seconds to wait for a record if there is none.

        Raises:
            LogServiceError: The service cannot be reached or refuses.
        """
        url = f'{self._url}/streams/{stream}/records'
        query = {
            'after': str(after),
            'limit': str(limit),
            'wait_ms': str(int(wait_s * 1000)),
        }
        timeout = aiohttp.ClientTimeout(total=self._timeout_s + wait_s)
        try:
            async with self._open().get(
                url, params=query, timeout=timeout
            ) as response:
                content = await response.read()
                status = response.status
        except (TimeoutError, aiohttp.ClientError) as error:
            raise LogServiceError(f'log service: {error!r}') from error
        if status != 200:
            raise LogServiceError(f'log service answered {status}')
        try:
            return msgspec.json.decode(content, type=LogPage)
        except msgspec.MsgspecError as error:
            raise LogServiceError(f'log service: {error}') from error

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession()
        return self._session
