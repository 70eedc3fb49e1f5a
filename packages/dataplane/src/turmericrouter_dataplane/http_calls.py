"""Calls to a server one after the other, over one kept connection."""

import asyncio

from turmericrouter_dataplane.http_client import connect
from turmericrouter_dataplane.http_client import Failure
from turmericrouter_dataplane.http_client import HttpClientConnection
from turmericrouter_dataplane.http_client import HttpResponse


class HttpClient:
    """Calls to one server over one kept connection.

    Args:
        ip: Address of the server.
        port: Port of the server.
    """

    def __init__(self, ip: str, port: int) -> None:
        self._ip = ip
        self._port = port
        self._connection: HttpClientConnection | None = None
        self._lock = asyncio.Lock()

    async def call(
        self, method: str, path: str, body: bytes, *, timeout_s: float
    ) -> HttpResponse:
        """Make a call; calls wait for one another.

        Raises:
            OSError: There was no whole answer in time; the call may have
                had its effect.
        """
        async with self._lock, asyncio.timeout(timeout_s):
            connection = await self._connect(timeout_s)
            future: asyncio.Future[HttpResponse | Failure] = (
                asyncio.get_running_loop().create_future()
            )
            host = f'{self._ip}:{self._port}'
            head = f'{method} {path} HTTP/1.1\r\nHost: {host}\r\n'
            if method != 'GET':
                head += f'Content-Length: {len(body)}\r\n'

            def complete(result: HttpResponse | Failure) -> None:
                if not future.done():
                    future.set_result(result)

            connection.send(head.encode() + b'\r\n' + body, complete)
            try:
                result = await future
            except BaseException:
                connection.abort()
                raise
            if isinstance(result, Failure):
                raise ConnectionError(f'{method} {path}: {result.value}')
            if not connection.is_reusable:
                connection.close()
            return result

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.abort()

    def close_idle(self) -> None:
        """Close the connection unless a call is in progress on it."""
        if self._connection is not None and not self._connection.is_busy:
            self._connection.abort()

    async def _connect(self, timeout_s: float) -> HttpClientConnection:
        connection = self._connection
        if connection is not None and connection.is_open:
            if connection.is_reusable and not connection.is_busy:
                return connection
            connection.abort()
        self._connection = await connect(
            self._ip, self._port, lambda _: None, timeout_s=timeout_s
        )
        return self._connection
