"""Structured log lines with a bounded volume, written without blocking."""

import os
import time
from typing import Any

import structlog

# Lines per second and event; further ones are only counted.
ROUTINE_LINES_PER_S = 10
REFUSAL_LINES_PER_S = 60
_MAX_PENDING_BYTES = 256 * 1024
STDOUT_FD = 1


class DecisionLog:
    """Collects lines and writes them by batches.

    Lines on decisions about requests have a budget per event; lines on state
    changes (members, configuration, stop) are always written. Omitted lines
    are counted in a line of their own.

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
        self._remaining_lines: dict[str, int] = {}
        self._omitted: dict[str, int] = {}
        self._unwritten = b''
        self._refilled_at = time.monotonic()

    def event(self, event: str, **fields: object) -> None:
        """Write a line on a state change of the process."""
        self._write({'time': round(time.time(), 3), 'event': event, **fields})

    def decision(
        self, event: str, *, budget: int = REFUSAL_LINES_PER_S, **fields: Any
    ) -> None:
        """Write a line on a request, within the budget of its kind."""
        remaining = self._remaining_lines.get(event, budget)
        if remaining <= 0:
            self._omitted[event] = self._omitted.get(event, 0) + 1
            return
        self._remaining_lines[event] = remaining - 1
        self._write({'time': round(time.time(), 3), 'event': event, **fields})

    def may_write(self, event: str, budget: int) -> bool:
        """Return whether the budget allows a line, and count it if not.

        Callers on the request path ask first, to spare building the line.
        """
        if self._remaining_lines.get(event, budget) > 0:
            return True
        self._omitted[event] = self._omitted.get(event, 0) + 1
        return False

    def flush(self) -> None:
        """Write what was collected; a full pipe delays it, never blocks."""
        now = time.monotonic()
        if now - self._refilled_at >= 1.0:
            self._refilled_at = now
            self._remaining_lines.clear()
            if self._omitted:
                omitted, self._omitted = self._omitted, {}
                self.event('lines_omitted', **omitted)
        data = self._unwritten + b''.join(self._pending)
        if not data:
            return
        self._pending = []
        self._pending_bytes = 0
        try:
            written = os.write(self._fd, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader has closed the pipe, so the error cannot be logged.
            self._unwritten = b''
            return
        self._unwritten = data[written:][:_MAX_PENDING_BYTES]

    def _write(self, fields: dict[str, object]) -> None:
        if self._pending_bytes > _MAX_PENDING_BYTES:
            event = str(fields['event'])
            self._omitted[event] = self._omitted.get(event, 0) + 1
            return
        fields['host'] = self._host
        line = str(self._render(None, '', fields)).encode() + b'\n'
        self._pending.append(line)
        self._pending_bytes += len(line)
