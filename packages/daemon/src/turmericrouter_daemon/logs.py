"""Structured logs: one line of key=value pairs per event."""

import logging
import pathlib
import sys
from typing import TextIO

import structlog

from turmericrouter_daemon.settings import LogSettings

Log = structlog.typing.FilteringBoundLogger

_LEVELS = {
    'debug': logging.DEBUG,
    'info': logging.INFO,
    'warning': logging.WARNING,
    'error': logging.ERROR,
}


def _open(settings: LogSettings) -> TextIO:
    if not settings.file:
        return sys.stderr
    return pathlib.Path(settings.file).open('a', buffering=1)


def open_log(settings: LogSettings, **fields: str) -> Log:
    """Return the logger of the process.

    Args:
        settings: Level and destination.
        **fields: Pairs that stand on every line.
    """
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.LogfmtRenderer(
                key_order=['timestamp', 'level', 'event'],
                bool_as_flag=False,
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            _LEVELS[settings.level]
        ),
        logger_factory=structlog.WriteLoggerFactory(_open(settings)),
        cache_logger_on_first_use=True,
    )
    log: Log = structlog.get_logger().bind(**fields)
    return log
