"""Structured logs: one line of key=value pairs per event."""

import atexit
import collections
import contextlib
import logging
import os
import pathlib
import re
import threading
import time
from typing import Any

import structlog

from turmericrouter_daemon.settings import LogSettings

Log = structlog.typing.FilteringBoundLogger

FLUSH_PERIOD_S = 0.2
# Lines kept while a write to the file blocks; newer ones are dropped.
MAX_BUFFERED_LINES = 20_000
_CLOSE_TIMEOUT_S = 2.0
_STANDARD_ERROR_FD = 2
_FIRST_KEYS = ('timestamp', 'level', 'event')
_QUOTED_TYPES = frozenset({bool, type(None)})
_is_plain = re.compile(r'[^\s="\\]*').fullmatch

_LEVELS = {
    'debug': logging.DEBUG,
    'info': logging.INFO,
    'warning': logging.WARNING,
    'error': logging.ERROR,
}


class LogWriter:
    """Buffers lines and writes them in a separate thread.

    The event loop never waits for the file: a full pipe or a slow disk
    only fills the buffer. Lines that exceed it are dropped and counted.

    Args:
        file: Path of the log file; empty for standard error.
    """

    def __init__(self, file: str = '') -> None:
        self._file = file
        self._lines: collections.deque[str] = collections.deque()
        self._dropped = 0
        self._closing = False
        self._wake = threading.Event()
        self._lock = threading.Lock()
        self._descriptor = self._open()
        self._thread = threading.Thread(
            target=self._run, name='log-writer', daemon=True
        )
        self._thread.start()
        atexit.register(self.close)

    def write(self, line: str, *, urgent: bool = False) -> None:
        """Buffer a line; an urgent one wakes the writer thread at once."""
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self._dropped += 1
            return
        self._lines.append(line)
        if urgent:
            self._wake.set()

    def reopen(self) -> None:
        """Reopen the file, for log rotation.

        Raises:
            OSError: The file cannot be opened; the old one stays.
        """
        if not self._file:
            return
        new = self._open()
        with self._lock:
            old, self._descriptor = self._descriptor, new
        os.close(old)

    def close(self) -> None:
        """Write the buffered lines and stop the thread."""
        if not self._closing:
            self._closing = True
            self._wake.set()
            self._thread.join(_CLOSE_TIMEOUT_S)
            atexit.unregister(self.close)

    def _open(self) -> int:
        if not self._file:
            return _STANDARD_ERROR_FD
        path = pathlib.Path(self._file)
        return os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o640)

    def _run(self) -> None:
        while not self._closing:
            self._wake.wait(FLUSH_PERIOD_S)
            self._wake.clear()
            self._flush()
        self._flush()

    def _flush(self) -> None:
        lines = []
        with contextlib.suppress(IndexError):
            while True:
                lines.append(self._lines.popleft())
        if self._dropped:
            dropped, self._dropped = self._dropped, 0
            lines.append(
                f'level=error event=log_lines_dropped count={dropped}'
            )
        data = '\n'.join([*lines, '']).encode(errors='replace')
        with self._lock, contextlib.suppress(OSError):
            while lines and data:
                data = data[os.write(self._descriptor, data) :]


class _LineLogger:
    """Passes rendered lines from structlog to the writer."""

    def __init__(self, writer: LogWriter) -> None:
        self._writer = writer

    def msg(self, message: str) -> None:
        self._writer.write(message)

    def urgent(self, message: str) -> None:
        self._writer.write(message, urgent=True)

    debug = info = warning = warn = msg
    error = critical = exception = fatal = urgent


class LineRenderer:
    """Renders the key=value pairs of an event as a line.

    The renderer of structlog spends most of its time on checking every
    character of each key. Keys are fixed in the code, so only pairs whose
    value may need quotes go through it.
    """

    def __init__(self) -> None:
        self._quote = structlog.processors.LogfmtRenderer(bool_as_flag=False)

    def __call__(
        self,
        logger: structlog.typing.WrappedLogger,
        name: str,
        event_dict: structlog.typing.EventDict,
    ) -> str:
        """Return the line, starting with timestamp, level and event."""
        pairs = {key: event_dict.pop(key, '') for key in _FIRST_KEYS}
        return self.render(pairs | dict(event_dict))

    def render(self, pairs: dict[str, Any]) -> str:
        """Return the line for pairs that are already in order."""
        if _QUOTED_TYPES.isdisjoint(map(type, pairs.values())):
            line = ' '.join(
                [f'{key}={value!s}' for key, value in pairs.items()]
            )
            if _is_plain_line(line, len(pairs)):
                return line
        parts = []
        for key, value in pairs.items():
            text = str(value)
            if type(value) in _QUOTED_TYPES or not _is_plain(text):
                parts.append(self._quote(None, '', {key: value}))
            else:
                parts.append(f'{key}={text}')
        return ' '.join(parts)


def _is_plain_line(line: str, pairs: int) -> bool:
    """Return whether no value of a line needs quotes.

    Checking the whole line costs less than checking each value.
    """
    return (
        line.count(' ') == pairs - 1
        and line.count('=') == pairs
        and '"' not in line
        and '\\' not in line
        # Excludes white space other than blanks, and control characters.
        and line.isprintable()
    )


class _UtcClock:
    """Formats the current time as ISO 8601, each second only once."""

    def __init__(self) -> None:
        self._second = -1
        self._text = ''

    def now(self) -> str:
        """Return the current time with microseconds."""
        second, nanoseconds = divmod(time.time_ns(), 1_000_000_000)
        if second != self._second:
            self._second = second
            self._text = time.strftime(
                '%Y-%m-%dT%H:%M:%S', time.gmtime(second)
            )
        return f'{self._text}.{nanoseconds // 1000:06d}Z'


def _line_logger_class(level: str) -> type[Log]:
    """Return a structlog logger class that renders a line in one step.

    By default, structlog copies the pairs and calls each processor in
    turn, which costs as much as rendering the line.
    """
    base: Any = structlog.make_filtering_bound_logger(_LEVELS[level])
    render = LineRenderer().render
    clock = _UtcClock()

    class LineLogger(base):  # type: ignore[misc]
        def _proxy_to_logger(
            self, method_name: str, event: str | None = None, **pairs: Any
        ) -> None:
            line = render(
                {
                    'timestamp': clock.now(),
                    'level': method_name,
                    'event': event,
                    **self._context,
                    **pairs,
                }
            )
            getattr(self._logger, method_name)(line)

    return LineLogger


def open_log(
    settings: LogSettings, *, writer: LogWriter | None = None, **fields: str
) -> Log:
    """Configure structlog and return the logger of the process.

    Args:
        settings: Level and destination.
        writer: Writes the lines; a new one by default.
        **fields: Pairs that are added to every line.
    """
    lines = writer or LogWriter(settings.file)
    structlog.configure(
        wrapper_class=_line_logger_class(settings.level),
        logger_factory=lambda *_: _LineLogger(lines),
        cache_logger_on_first_use=True,
    )
    log: Log = structlog.get_logger().bind(**fields)
    return log
