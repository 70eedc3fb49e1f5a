"""Synchronizes the known hosts with their records in the platform's log."""

import asyncio
from collections.abc import Callable
import random

from turmericrouter_core.errors import LogServiceError
from turmericrouter_dataplane.decision_log import DecisionLog
from turmericrouter_dataplane.frames import HostRecord
from turmericrouter_dataplane.host_directory import HostDirectory
from turmericrouter_dataplane.timers import TimerService

_LOAD_PERIOD_S = 20.0
# The same for hosts that do not follow the log; a new host dials them itself.
_RARE_LOAD_PERIOD_S = 60.0
# The first load may miss a host that started at the same time, so that the
# second one follows this long after the first write.
_SECOND_LOAD_DELAY_S = 1.0
_MIN_LOAD_DELAY_S = 0.1
# Bounds of the time after which a first load that failed is tried again.
_MIN_LOAD_RETRY_S = 0.3
_MAX_LOAD_RETRY_S = 0.7
_STORE_RETRY_S = 0.5
# The first write of the host record waits this long for the announcement of
# the target, which saves a second write.
_FIRST_ANNOUNCEMENT_TIMEOUT_S = 1.8
# Hosts write their records again at this rate after a loss of the log, all
# together; the log refuses calls beyond some hundreds a second.
_REWRITES_PER_S = 100.0


class DirectorySync:
    """Loads the records of other hosts and stores the record of this one.

    Args:
        directory: The hosts' records in the log.
        restore_target: Called with the stored record of this host at the
            first load; raises `ValueError` if the record is invalid.
        on_first_load: Called once the hosts in the log are known.
        is_log_reader: Returns whether this host follows the log.
        timers: Timer service.
        log: Decision log.
        rng: Spreads the calls of the hosts over time.
    """

    def __init__(
        self,
        directory: HostDirectory,
        *,
        restore_target: Callable[[HostRecord], None],
        on_first_load: Callable[[], None],
        is_log_reader: Callable[[], bool],
        timers: TimerService,
        log: DecisionLog,
        rng: random.Random,
    ) -> None:
        self._directory = directory
        self._restore_target = restore_target
        self._on_first_load = on_first_load
        self._is_log_reader = is_log_reader
        self._timers = timers
        self._log = log
        self._rng = rng
        self._target_known = asyncio.Event()
        self._write_due = asyncio.Event()

    async def run(self) -> None:
        """Load and store until the task is cancelled."""
        await self._load_first()
        await self._wait_for_target()
        next_load_at = 0.0
        while True:
            self._write_due.clear()
            is_stored = await self._directory.store()
            now = self._timers.now()
            if not next_load_at:
                next_load_at = now + _SECOND_LOAD_DELAY_S
            wait_s = (
                max(_MIN_LOAD_DELAY_S, next_load_at - now)
                if is_stored
                else _STORE_RETRY_S
            )
            try:
                async with asyncio.timeout(wait_s):
                    await self._write_due.wait()
            except TimeoutError:
                if is_stored:
                    await self._load()
                    next_load_at = self._timers.now() + self._load_period_s()

    def handle_target_change(self) -> None:
        """Write the record of this host, whose target has changed."""
        self._target_known.set()
        self._write_due.set()

    def schedule_rewrite(self, host_count: int) -> None:
        """Write the record soon, as the log may have lost it.

        Args:
            host_count: Number of hosts that write at the same time.
        """
        spread_s = host_count / _REWRITES_PER_S
        self._timers.at(
            self._timers.now() + spread_s * self._rng.random(),
            self._write_due.set,
        )

    async def _load_first(self) -> None:
        while True:
            try:
                await self._directory.load(self._restore_target)
            except LogServiceError as error:
                self._log_not_loaded(error)
                await asyncio.sleep(
                    self._rng.uniform(_MIN_LOAD_RETRY_S, _MAX_LOAD_RETRY_S)
                )
            else:
                self._on_first_load()
                return

    async def _wait_for_target(self) -> None:
        try:
            async with asyncio.timeout(_FIRST_ANNOUNCEMENT_TIMEOUT_S):
                await self._target_known.wait()
        except TimeoutError:
            self._log.event('target_not_announced')

    async def _load(self) -> None:
        try:
            await self._directory.load()
        except LogServiceError as error:
            self._log_not_loaded(error)

    def _load_period_s(self) -> float:
        period_s = (
            _LOAD_PERIOD_S if self._is_log_reader() else _RARE_LOAD_PERIOD_S
        )
        return period_s * self._rng.uniform(0.8, 1.2)

    def _log_not_loaded(self, error: LogServiceError) -> None:
        self._log.event('hosts_not_loaded', error=str(error))
