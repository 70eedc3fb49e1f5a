"""Structured log lines with a bounded volume, written without blocking."""

import os
import time
from typing import Any

import structlog

# Lines of one kind a second; further ones are counted only.
ROUTINE_LINES_PER_S = 10
REFUSAL_LINES_PER_S = 60
_MAX_PENDING_BYTES = 256 * 1024
STDOUT_FD = 1


class DecisionLog:
    """Collects lines and writes them by batches.

    Lines on decisions about requests have a budget by kind; lines on changes
    of belief (members, configuration, stop) are always written. What was
    left out is counted in a line of its own.

    Args:
        host: Name of the host, stands in each line.
        fd: Descriptor that is written to.
    """

    def __init__(self, host: str, fd: int = STDOUT_FD) -> None:
        self._host = host
        self._fd = fd
        self._render = structlog.processors.KeyValueRenderer(
            key_order=['time', 'event']
        )
        self._pending: list[bytes] = []
        self._pending_bytes = 0
        self._left: dict[str, int] = {}
        self._omitted: dict[str, int] = {}
        self._rest = b''
        self._refilled_at = time.monotonic()

    def event(self, event: str, **fields: object) -> None:
        """Write a line on a change of what the process believes."""
        self._write({'time': round(time.time(), 3), 'event': event, **fields})

    def decision(
        self, event: str, *, budget: int = REFUSAL_LINES_PER_S, **fields: Any
    ) -> None:
        """Write a line on a request, within the budget of its kind."""
        left = self._left.get(event, budget)
        if left <= 0:
            self._omitted[event] = self._omitted.get(event, 0) + 1
            return
        self._left[event] = left - 1
        self._write({'time': round(time.time(), 3), 'event': event, **fields})

    def may_write(self, event: str, budget: int) -> bool:
        """Return whether the budget allows a line, and count it if not.

        Callers on the request path ask first, to spare building the line.
        """
        if self._left.get(event, budget) > 0:
            return True
        self._omitted[event] = self._omitted.get(event, 0) + 1
        return False

    def flush(self) -> None:
        """Write what was collected; a full pipe delays it, never blocks."""
        now = time.monotonic()
        if now - self._refilled_at >= 1.0:
            self._refilled_at = now
            self._left.clear()
            if self._omitted:
                omitted, self._omitted = self._omitted, {}
                self.event('lines_omitted', **omitted)
        data = self._rest + b''.join(self._pending)
        if not data:
            return
        self._pending = []
        self._pending_bytes = 0
        try:
            written = os.write(self._fd, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader has gone; there is nobody to tell.
            self._rest = b''
            return
        self._rest = data[written:][:_MAX_PENDING_BYTES]

    def _write(self, fields: dict[str, object]) -> None:
        if self._pending_bytes > _MAX_PENDING_BYTES:
            event = str(fields['event'])
            self._omitted[event] = self._omitted.get(event, 0) + 1
            return
        fields['host'] = self._host
        line = str(self._render(None, '', fields)).encode() + b'\n'
        self._pending.append(line)
        self._pending_bytes += len(line)
