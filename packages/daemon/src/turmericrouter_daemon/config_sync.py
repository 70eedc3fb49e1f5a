"""Keeps the daemon's copy of the configuration and control streams."""

import asyncio
from collections.abc import Callable

from turmericrouter_client.log_service import LogService
from turmericrouter_core.config import Applied
from turmericrouter_core.config import CONFIG_STREAM
from turmericrouter_core.config import ConfigState
from turmericrouter_core.config import CONTROL_STREAM
from turmericrouter_core.config import NO_OFFSET
from turmericrouter_core.config import Route
from turmericrouter_core.control import ControlRecord
from turmericrouter_core.control import decode_control
from turmericrouter_core.control import RosterChange
from turmericrouter_core.errors import ConfigError
from turmericrouter_core.errors import LogServiceError
from turmericrouter_core.routing import RouteTable
from turmericrouter_daemon.runtime import Runtime

_RETRY_S = 0.5


class ConfigSync:
    """Reads the log and applies its records.

    Args:
        runtime: Services of the process.
        log_service: The platform's log.
    """

    def __init__(self, runtime: Runtime, log_service: LogService) -> None:
        self._runtime = runtime
        self._log_service = log_service
        self._state = ConfigState()
        self._routes = RouteTable()
        self._control_offset = NO_OFFSET
        self._log_read_at: float | None = None
        self._config_subscribers: list[Callable[[Applied], None]] = []
        self._control_subscribers: list[Callable[[ControlRecord], None]] = []
        self._roster_subscribers: list[
            Callable[[int, RosterChange], None]
        ] = []
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def state(self) -> ConfigState:
        """Return the configuration in force."""
        return self._state

    @property
    def routes(self) -> RouteTable:
        """Return the routes in force."""
        return self._routes

    @property
    def log_age_s(self) -> float:
        """Return seconds since the log is known to have been read."""
        if self._log_read_at is None:
            return float('inf')
        return self._runtime.clock.monotonic() - self._log_read_at

    @property
    def is_stale(self) -> bool:
        """Return whether newer configuration may exist."""
        return self.log_age_s > self._runtime.settings.config.stale_after_s

    def on_config(self, callback: Callable[[Applied], None]) -> None:
        """Subscribe to applied configuration records."""
        self._config_subscribers.append(callback)

    def on_control(self, callback: Callable[[ControlRecord], None]) -> None:
        """Subscribe to control records."""
        self._control_subscribers.append(callback)

    def on_roster(self, callback: Callable[[int, RosterChange], None]) -> None:
        """Subscribe to roster changes with their offsets."""
        self._roster_subscribers.append(callback)

    async def start(self) -> None:
        """Start reading."""
        self._tasks = [
            asyncio.create_task(self._follow(CONFIG_STREAM)),
            asyncio.create_task(self._follow(CONTROL_STREAM)),
        ]

    async def stop(self) -> None:
        """Stop reading."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _follow(self, stream: str) -> None:
        while True:
            try:
                await self._read(stream)
            except LogServiceError as error:
                self._runtime.log.warning(
                    'log_read_failed', stream=stream, error=str(error)
                )
                await asyncio.sleep(_RETRY_S)

    async def _read(self, stream: str) -> None:
        is_config = stream == CONFIG_STREAM
        after = self._state.offset if is_config else self._control_offset
        page = await self._log_service.read(
            stream,
            after,
            wait_s=self._runtime.settings.platform.long_poll_s,
        )
        self._log_read_at = self._runtime.clock.monotonic()
        for record in page.records:
            if is_config:
                self._apply_config(record.offset, record.content())
            else:
                self._apply_control(record.offset, record.content())

    def _apply_config(self, offset: int, payload: bytes) -> None:
        applied = self._state.apply(offset, payload)
        if any(scope.startswith('route/') for scope in applied.changed):
            self._rebuild_routes()
        self._runtime.log.info(
            'config_applied',
            offset=offset,
            status=applied.status,
            publication=applied.publication_id,
            scopes=','.join(applied.changed),
        )
        for callback in self._config_subscribers:
            callback(applied)

    def _apply_control(self, offset: int, payload: bytes) -> None:
        self._control_offset = offset
        try:
            record = decode_control(payload)
        except ConfigError as error:
            self._runtime.log.warning('control_invalid', error=str(error))
            return
        for callback in self._control_subscribers:
            callback(record)
        if isinstance(record, RosterChange):
            for notify in self._roster_subscribers:
                notify(offset, record)

    def _rebuild_routes(self) -> None:
        self._routes = RouteTable(
            (name, value)
            for name, value in self._state.named('route')
            if isinstance(value, Route)
        )
