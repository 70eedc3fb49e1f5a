"""Keeps the newest configuration, from the log or from peers."""

import asyncio
from collections.abc import Callable
import random
import time

import xxhash

from turmericrouter_core.errors import ConfigError
from turmericrouter_core.errors import LogServiceError
from turmericrouter_dataplane.decision_log import DecisionLog
from turmericrouter_dataplane.fleet_config import FleetConfig
from turmericrouter_dataplane.log_service import HistoryLostError
from turmericrouter_dataplane.log_service import LogService
from turmericrouter_dataplane.log_service import RecordPage
from turmericrouter_dataplane.log_service import Stream
from turmericrouter_dataplane.policy.config_order import ConfigIdentity
from turmericrouter_dataplane.policy.config_order import may_supersede
from turmericrouter_dataplane.policy.config_order import UNKNOWN_DIGEST
from turmericrouter_dataplane.policy.log_era import LogEra
from turmericrouter_dataplane.policy.log_era import LogPosition
from turmericrouter_dataplane.policy.log_era import UNKNOWN_ERA

# Longest wait of one read for a change. A read that outlives a return of the
# log, or whose connection has gone silent, ends only after it. A confirmed
# change must be in force within two seconds.
LONG_POLL_S = 2.0
# How often a host that does not follow the log checks whether it must.
_DUTY_CHECK_PERIOD_S = 0.25
_INITIAL_PAUSE_S = 0.1
_MAX_PAUSE_S = 1.0
CONFIG_KEY = 'config'

ConfigDecoder = Callable[[bytes], FleetConfig]


class ConfigFeed:
    """Follows the configuration stream; versions never go back.

    Only some hosts follow the stream once they have a configuration. The
    others get copies from these.

    Args:
        log_service: The platform's log.
        era: Newest known era of the log.
        decode: Reads a published document; raises `ConfigError`.
        apply: Applies a configuration.
        log: Decision log.
        rng: Source of jitter.
    """

    def __init__(
        self,
        log_service: LogService,
        era: LogEra,
        decode: ConfigDecoder,
        apply: Callable[[FleetConfig], None],
        log: DecisionLog,
        rng: random.Random,
    ) -> None:
        self._log_service = log_service
        self._era = era
        self._era_risen = asyncio.Event()
        self._decode = decode
        self._apply = apply
        self._log = log
        self._rng = rng
        self._is_connected = True
        # Set by the owner: whether this host must follow the stream, and what
        # to call after a change in it and after the log is lost or regained.
        self.is_reader: Callable[[], bool] = lambda: True
        self.on_read: Callable[[], None] = lambda: None
        self.on_connection_change: Callable[[], None] = lambda: None
        self._refused_document = b''
        self.version = -1
        self.document = b''
        # Newest era of the log that held the document.
        self.document_era = UNKNOWN_ERA
        self._digest = UNKNOWN_DIGEST
        self.applied_at = 0.0

    @property
    def identity(self) -> ConfigIdentity:
        """Return what names the configuration among those of the fleet."""
        return ConfigIdentity(self.version, self.document_era, self._digest)

    @property
    def is_connected(self) -> bool:
        """Return whether the last read of the log succeeded."""
        return self._is_connected

    async def run(self) -> None:
        """Follow the stream until the task is cancelled."""
        pause_s = _INITIAL_PAUSE_S
        position: LogPosition | None = None
        wait_s = LONG_POLL_S
        while True:
            if self.version >= 0 and not self.is_reader():
                position = None
                await asyncio.sleep(_DUTY_CHECK_PERIOD_S)
                continue
            try:
                page = await self._read(position, wait_s)
            except HistoryLostError:
                position = None
                continue
            except LogServiceError as error:
                self._log_lost(error)
                await asyncio.sleep(pause_s * (0.5 + self._rng.random()))
                pause_s = min(_MAX_PAUSE_S, pause_s * 2)
                # Records may have been dropped in the meantime.
                position = None
                continue
            pause_s = _INITIAL_PAUSE_S
            self._log_regained()
            position = LogPosition(
                page.next_offset, self._era.resolve(page.era)
            )
            # Records end the reads of all readers at the same time. The next
            # ones end one after another, so that one of them soon notices a
            # return of the log.
            wait_s = LONG_POLL_S
            if page.records:
                wait_s *= self._rng.random()
            self._apply_page(page)

    def handle_era_rise(self) -> None:
        """End the read in progress, and begin anew with the newest records.

        The read may wait at an offset above the records that are written
        again, until it times out.
        """
        self._era_risen.set()

    def offer(
        self, document: bytes, source: str, era: int = UNKNOWN_ERA
    ) -> None:
        """Apply a document unless it is older or not valid.

        The document in force is not applied again, but its era may rise.

        Args:
            document: The document as it was published.
            source: Where it comes from, for the decision log.
            era: Era of the log that held it, if known.
        """
        if document == self.document:
            self.document_era = max(self.document_era, era)
            return
        try:
            config = self._decode(document)
        except ConfigError as error:
            if document != self._refused_document:
                self._refused_document = document
                self._log.event(
                    'config_refused',
                    source=source,
                    error=str(error),
                    version=self.version,
                )
            return
        if not self.may_supersede(config.version, era):
            return
        before, self.version = self.version, config.version
        self.document = document
        self.document_era = era
        self._digest = xxhash.xxh32_intdigest(document)
        self.applied_at = time.monotonic()
        self._apply(config)
        self._log.event(
            'config_applied',
            version=config.version,
            before=before,
            era=era,
            source=source,
            routes=len(config.routes),
            workspaces=len(config.workspaces),
        )

    def may_supersede(self, version: int, era: int) -> bool:
        """Return whether another document may replace the one in force."""
        return may_supersede(
            version,
            era,
            current_version=self.version,
            current_era=self.document_era,
        )

    async def _read(
        self, position: LogPosition | None, wait_s: float
    ) -> RecordPage:
        if position is not None and self._era.holds(position):
            page = await self._poll(position, wait_s)
            if self._era.resolve(page.era) != position.era:
                raise HistoryLostError('the offset is of another era')
            return page
        page = await self._log_service.read_newest(Stream.CONFIGURATION)
        if self._era.is_stale(page.era):
            raise LogServiceError('the answer is of an earlier era')
        self._era_risen.clear()
        return page

    async def _poll(self, position: LogPosition, wait_s: float) -> RecordPage:
        """Wait for records after a position, until the era rises."""
        read = asyncio.ensure_future(
            self._log_service.read(
                Stream.CONFIGURATION, position.offset, wait_s
            )
        )
        era_risen = asyncio.ensure_future(self._era_risen.wait())
        try:
            await asyncio.wait(
                {read, era_risen}, return_when=asyncio.FIRST_COMPLETED
            )
            if not read.done():
                raise HistoryLostError('the era of the log has risen')
            return read.result()
        finally:
            read.cancel()
            era_risen.cancel()

    def _apply_page(self, page: RecordPage) -> None:
        before = self.document
        era = self._era.resolve(page.era)
        for record in page.records:
            if record.key == CONFIG_KEY and record.value:
                self.offer(record.value, 'log', era)
        if self.document != before:
            self.on_read()

    def _log_lost(self, error: LogServiceError) -> None:
        if self._is_connected:
            self._is_connected = False
            self._log.event(
                'log_service_lost', error=str(error), version=self.version
            )
            self.on_connection_change()

    def _log_regained(self) -> None:
        if not self._is_connected:
            self._is_connected = True
            self._log.event('log_service_regained', version=self.version)
            self.on_connection_change()
