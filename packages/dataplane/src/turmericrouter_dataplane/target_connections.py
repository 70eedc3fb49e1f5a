"""Pool of HTTP connections to the target of this host."""

import time

from turmericrouter_dataplane import http_client
from turmericrouter_dataplane.header_names import HeaderNames
from turmericrouter_dataplane.http_client import HttpClientConnection
from turmericrouter_dataplane.receive_budget import ReceiveBudget
from turmericrouter_dataplane.settings import Address

CONNECT_TIMEOUT_S = 1.0
# Idle connections are reused within this time unless the target announces a
# shorter keep-alive time.
_MAX_IDLE_S = 4.0
# A request that must not run twice gets a connection that was idle for at most
# this long, since a reset of an older one leaves open whether the request ran.
_MAX_NON_IDEMPOTENT_IDLE_S = 1.0
# A connection is not reused within this time before its keep-alive time ends,
# when the target closes it.
_KEEP_ALIVE_MARGIN_S = 0.5


class TargetConnections:
    """Opens, pools and closes connections to the target.

    Args:
        headers: Header names of the deployment.
    """

    def __init__(self, headers: HeaderNames) -> None:
        self._dropped_headers = frozenset({headers.load.lower()})
        self._id_header = headers.request_id.lower()
        self._budget = ReceiveBudget(http_client.MAX_UNFINISHED_BYTES)
        self._idle: list[HttpClientConnection] = []
        self._all: set[HttpClientConnection] = set()
        # Number of calls of `close_after_use`, to notice one while a
        # connection is opened.
        self._close_count = 0

    async def open(self, address: Address) -> HttpClientConnection:
        """Open a connection.

        Raises:
            OSError: The connection could not be opened; nothing was sent.
        """
        close_count = self._close_count
        connection = await http_client.connect(
            address.ip,
            address.port,
            self._all.discard,
            timeout_s=CONNECT_TIMEOUT_S,
            dropped_headers=self._dropped_headers,
            id_header=self._id_header,
            budget=self._budget,
        )
        self._all.add(connection)
        if close_count != self._close_count:
            connection.end_reuse()
        return connection

    def take(
        self, is_idempotent: bool, request_id: bytes
    ) -> HttpClientConnection | None:
        """Remove and return an idle connection that a request may use.

        Args:
            is_idempotent: Whether the request may run twice.
            request_id: Id of the request; without one, or with one that the
                connection has sent, its answer could be a late copy.

        Returns:
            None if a new connection is needed.
        """
        idle = self._idle
        now = time.monotonic()
        is_other_needed = False
        for index in reversed(range(len(idle))):
            connection = idle[index]
            idle_s = now - connection.idle_since
            max_idle_s = _max_idle_s(connection)
            if not connection.is_reusable or idle_s > max_idle_s:
                idle.pop(index).close()
                continue
            if not is_idempotent and idle_s > min(
                _MAX_NON_IDEMPOTENT_IDLE_S, max_idle_s / 2
            ):
                break
            if connection.can_attribute(request_id):
                return idle.pop(index)
            is_other_needed = True
        if is_other_needed:
            # The new connection takes the place of the oldest idle one, as
            # targets accept a limited number.
            idle.pop(0).close()
        return None

    def give_back(self, connection: HttpClientConnection) -> None:
        """Return a connection to the pool, or close it if not reusable."""
        if connection.is_reusable:
            self._idle.append(connection)
        else:
            connection.close()

    def prune(self) -> None:
        """Close connections that have been idle for too long."""
        oldest = time.monotonic() - _MAX_IDLE_S
        while self._idle and self._idle[0].idle_since < oldest:
            self._idle.pop(0).close()

    def close_idle(self) -> None:
        """Close all idle connections."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.close()

    def close_after_use(self) -> None:
        """Close all connections, those in use after their answer.

        One that is being opened carries one request at most, as it may still
        lead to the target that had the address before.
        """
        self._close_count += 1
        for connection in self._all:
            connection.end_reuse()
        self.close_idle()

    def stop(self) -> None:
        """Abort all connections, idle or in use."""
        for connection in list(self._all):
            connection.abort()


def _max_idle_s(connection: HttpClientConnection) -> float:
    """Return how long a connection may have been idle when it is reused."""
    if not connection.keep_alive_s:
        return _MAX_IDLE_S
    return min(_MAX_IDLE_S, connection.keep_alive_s - _KEEP_ALIVE_MARGIN_S)
