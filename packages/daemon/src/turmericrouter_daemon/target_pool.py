"""Kept-alive connections to the local target."""

import asyncio
import dataclasses

from turmericrouter_core.errors import TargetBrokenError
from turmericrouter_core.errors import TargetStaleError
from turmericrouter_core.errors import TargetUnreachableError
from turmericrouter_daemon.target_connection import serialize
from turmericrouter_daemon.target_connection import TargetAnswer
from turmericrouter_daemon.target_connection import TargetConnection
from turmericrouter_daemon.target_connection import TargetRequest

# The target is likely to close connections that are idle for longer.
_MAX_IDLE_S = 10.0


@dataclasses.dataclass(slots=True)
class SendProgress:
    """Progress of sending a request.

    Args:
        written: Whether any byte of it may have reached the target.
    """

    written: bool = False


class TargetPool:
    """Kept-alive connections to one target.

    Args:
        ip: IP address of the target.
        port: TCP port of the target.
        connect_timeout_s: Seconds to open a connection.
        max_answer_bytes: Maximum length of an answer body.
        max_connections: Connections that the target accepts, 0 if unknown.
    """

    def __init__(
        self,
        ip: str,
        port: int,
        *,
        connect_timeout_s: float,
        max_answer_bytes: int,
        max_connections: int = 0,
    ) -> None:
        self._ip = ip
        self._port = port
        self._connect_timeout_s = connect_timeout_s
        self._max_answer_bytes = max_answer_bytes
        self.max_connections = max_connections
        self._idle: list[TargetConnection] = []
        self._in_use = 0
        self._closed = False
        self._broken_since_connect = False
        self._crash_epoch = 0

    @property
    def open_connections(self) -> int:
        """Return the number of open connections, including idle ones."""
        return self._in_use + len(self._idle)

    @property
    def crash_epoch(self) -> int:
        """Return a number that all connections broken by one crash share.

        It increases with the first connection opened after one broke.
        """
        return self._crash_epoch

    async def send(
        self, request: TargetRequest, progress: SendProgress | None = None
    ) -> TargetAnswer:
        """Send a request and return the complete answer.

        Args:
            request: The request.
            progress: Updated when the first byte may be written.

        Raises:
            RequestInvalidError: Nothing was sent.
            TargetUnreachableError: Nothing was sent.
            TargetStaleError: The target had closed the connection as it
                was reused; the request may have run.
            TargetBrokenError: The request may have run.
            AnswerInvalidError: The request may have run.
            AnswerTooLargeError: The request ran; its answer is too long.
        """
        data = serialize(request, f'{self._ip}:{self._port}')
        self._in_use += 1
        try:
            connection = self._take_idle() or await self._connect()
            if progress is not None:
                progress.written = True
            try:
                return await self._exchange(connection, request, data)
            except TargetBrokenError as error:
                if not connection.used or connection.has_received_bytes:
                    self._broken_since_connect = True
                    raise
                return await self._resend(request, data, error)
        finally:
            self._in_use -= 1

    def close(self) -> None:
        """Close idle connections, and the others after their answer."""
        self._closed = True
        while self._idle:
            self._idle.pop().close()

    async def _resend(
        self, request: TargetRequest, data: bytes, error: TargetBrokenError
    ) -> TargetAnswer:
        """Distinguish a connection closed while idle from a crash.

        A target that still accepts connections has not crashed.
        """
        try:
            connection = await self._connect()
        except TargetUnreachableError:
            self._broken_since_connect = True
            raise error from None
        if not request.idempotent:
            connection.reusable = True
            self._release(connection)
            raise TargetStaleError(str(error)) from error
        try:
            return await self._exchange(connection, request, data)
        except TargetBrokenError:
            self._broken_since_connect = True
            raise

    async def _exchange(
        self, connection: TargetConnection, request: TargetRequest, data: bytes
    ) -> TargetAnswer:
        try:
            return await connection.exchange(
                data, request.method, self._max_answer_bytes
            )
        finally:
            self._release(connection)

    def _take_idle(self) -> TargetConnection | None:
        now = asyncio.get_running_loop().time()
        while self._idle:
            connection = self._idle.pop()
            fresh = now - connection.idle_since < _MAX_IDLE_S
            if connection.is_open and connection.reusable and fresh:
                return connection
            connection.close()
        return None

    async def _connect(self) -> TargetConnection:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, connection = await loop.create_connection(
                    lambda: TargetConnection(loop), self._ip, self._port
                )
        except (OSError, TimeoutError) as error:
            raise TargetUnreachableError(repr(error)) from error
        if self._broken_since_connect:
            self._broken_since_connect = False
            self._crash_epoch += 1
        return connection

    def _release(self, connection: TargetConnection) -> None:
        full = self.max_connections and (
            self.open_connections > self.max_connections
        )
        if (
            connection.reusable
            and connection.is_open
            and not self._closed
            and not full
        ):
            connection.idle_since = asyncio.get_running_loop().time()
            self._idle.append(connection)
        else:
            connection.close()
