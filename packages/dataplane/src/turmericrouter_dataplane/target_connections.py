"""Kept connections to the target of this host."""

import time

from turmericrouter_dataplane import http_client
from turmericrouter_dataplane.dialect import HeaderNames
from turmericrouter_dataplane.http_client import HttpClientConnection
from turmericrouter_dataplane.settings import Address

CONNECT_TIMEOUT_S = 1.0
# Idle connections are reused within this time unless the target announces a
# shorter one.
_IDLE_REUSE_S = 4.0
# A request that must not run twice gets a connection that was used just now,
# since a reset of an older one leaves open whether the request has run.
_SAFE_REUSE_S = 1.0
# A connection is not used for this long before the target closes it.
_KEEP_ALIVE_MARGIN_S = 0.5


class TargetConnections:
    """Opens, lends and closes connections.

    Args:
        headers: Header names of the deployment.
    """

    def __init__(self, headers: HeaderNames) -> None:
        self._dropped = frozenset({headers.load.lower()})
        self._id_header = headers.request_id.lower()
        self._idle: list[HttpClientConnection] = []
        self._all: set[HttpClientConnection] = set()

    async def open(self, address: Address) -> HttpClientConnection:
        """Open a connection.

        Raises:
            OSError: It could not be opened; nothing was sent.
        """
        connection = await http_client.connect(
            address.ip,
            address.port,
            self._all.discard,
            timeout_s=CONNECT_TIMEOUT_S,
            dropped_headers=self._dropped,
            id_header=self._id_header,
        )
        self._all.add(connection)
        return connection

    def take(self, is_idempotent: bool) -> HttpClientConnection | None:
        """Return an idle connection that a request may use."""
        idle = self._idle
        now = time.monotonic()
        while idle:
            connection = idle[-1]
            idle_s = now - connection.idle_since
            max_idle_s = _IDLE_REUSE_S
            if connection.keep_alive_s:
                max_idle_s = min(
                    max_idle_s, connection.keep_alive_s - _KEEP_ALIVE_MARGIN_S
                )
            if not connection.is_reusable or idle_s > max_idle_s:
                idle.pop().close()
                continue
            if not is_idempotent and idle_s > min(
                _SAFE_REUSE_S, max_idle_s / 2
            ):
                return None
            return idle.pop()
        return None

    def give_back(self, connection: HttpClientConnection) -> None:
        """Keep a connection if it can be used again."""
        if connection.is_reusable:
            self._idle.append(connection)
        else:
            connection.close()

    def prune(self) -> None:
        """Close connections that have been idle for long."""
        oldest = time.monotonic() - _IDLE_REUSE_S
        while self._idle and self._idle[0].idle_since < oldest:
            self._idle.pop(0).close()

    def close_idle(self) -> None:
        """Close all idle connections."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.close()

    def stop(self) -> None:
        """Close all connections at once."""
        for connection in list(self._all):
            connection.abort()
