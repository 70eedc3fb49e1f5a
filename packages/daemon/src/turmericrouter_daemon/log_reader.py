"""Reads the platform's log for the daemons of a failure domain."""

import asyncio
import random
from typing import Protocol

from turmericrouter_client.log_service import LogPage
from turmericrouter_client.log_service import LogService
from turmericrouter_core.clock import Subscription
from turmericrouter_core.config import CONFIG_STREAM
from turmericrouter_core.config import CONTROL_STREAM
from turmericrouter_core.config import NO_OFFSET
from turmericrouter_core.errors import LogServiceError
from turmericrouter_core.rendezvous import rank_by_hash
from turmericrouter_core.replication import Replica
from turmericrouter_daemon.gossip import Gossip
from turmericrouter_daemon.runtime import Runtime

STREAMS = (CONFIG_STREAM, CONTROL_STREAM)
_MIN_RETRY_S = 0.5
_MAX_RETRY_S = 2.0
# The log age of an idle stream grows until a long poll returns. Four polls
# per staleness bound leave time to distribute the age before the
# configuration counts as stale.
_POLLS_PER_STALE_AFTER = 4
# Readers that may append a snapshot. Each waits longer than the one ranked
# before it, by this fraction of the retention time.
_MAX_SNAPSHOT_WRITERS = 4
_SNAPSHOT_STEP_RATIO = 1 / 16


class PageReceiver(Protocol):
    """Receives the pages that the reader gets from the log."""

    @property
    def log_age_s(self) -> float:
        """Return seconds since the log is known to have been read."""

    def replica(self, stream: str) -> Replica:
        """Return the replica of a stream."""

    def apply_page(
        self, stream: str, after: int, page: LogPage, *, push: bool
    ) -> None:
        """Apply a page of the log."""

    def record_log_read(self, at: float) -> None:
        """Record that the copy was complete at a monotonic time."""

    def encoded_snapshot(self, stream: str) -> bytes:
        """Return the whole state of a stream as a record."""


class LogReader:
    """Long-polls the log while this daemon is one of the readers.

    Args:
        runtime: Services of the process.
        log_service: The platform's log.
        gossip: Known daemons.
        copy: Receives the pages that were read.
    """

    def __init__(
        self,
        runtime: Runtime,
        log_service: LogService,
        gossip: Gossip,
        copy: PageReceiver,
    ) -> None:
        self._runtime = runtime
        self._log_service = log_service
        self._gossip = gossip
        self._copy = copy
        self._rng = random.Random(runtime.rng.getrandbits(64))
        self._tasks: list[asyncio.Task[None]] = []
        self._timer: Subscription | None = None
        self._caught_up: set[str] = set()
        # The age of the newest snapshot is unknown at the start; a quarter of
        # the retention time is assumed.
        started_at = runtime.clock.monotonic()
        assumed_at = started_at - runtime.settings.platform.retention_s / 4
        self._snapshot_at = dict.fromkeys(STREAMS, assumed_at)

    @property
    def readers(self) -> list[str]:
        """Return the addresses that read the log for this domain."""
        return self.readers_of(self._runtime.settings.host.domain)

    @property
    def is_reader(self) -> bool:
        """Return whether this daemon reads the log for its domain."""
        return self._runtime.address in self.readers

    def readers_of(self, domain: str) -> list[str]:
        """Return the addresses that read the log for a domain."""
        members = self._gossip.members(domain)
        if domain == self._runtime.settings.host.domain:
            members.append(self._runtime.address)
        count = self._runtime.settings.config.readers_per_domain
        return rank_by_hash('log-reader', members)[:count]

    def record_snapshot(self, stream: str) -> None:
        """Record the time of a snapshot; ignore one from a backlog."""
        if stream in self._caught_up or not self.is_reader:
            self._snapshot_at[stream] = self._runtime.clock.monotonic()

    async def start(self) -> None:
        """Start reading both streams."""
        self._tasks = [
            asyncio.create_task(self._follow(stream)) for stream in STREAMS
        ]
        retention_s = self._runtime.settings.platform.retention_s
        self._timer = self._runtime.timers.every(
            min(60.0, retention_s / 32),
            self._append_snapshots,
            name='snapshot',
        )

    async def stop(self) -> None:
        """Stop reading."""
        if self._timer is not None:
            self._timer.cancel()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _follow(self, stream: str) -> None:
        settings = self._runtime.settings.config
        retry_s = _MIN_RETRY_S
        while True:
            if not self._should_read():
                self._caught_up.discard(stream)
                await asyncio.sleep(settings.pull_period_s)
                continue
            try:
                await self._read(stream)
                retry_s = _MIN_RETRY_S
            except (LogServiceError, ValueError) as error:
                self._runtime.log.warning(
                    'log_read_failed', stream=stream, error=str(error)
                )
                await asyncio.sleep(retry_s * self._rng.uniform(0.5, 1.0))
                retry_s = min(2 * retry_s, _MAX_RETRY_S)

    def _should_read(self) -> bool:
        if self.is_reader:
            return True
        settings = self._runtime.settings
        if self._copy.log_age_s < settings.config.stale_after_s / 2:
            return False
        # The readers may be cut off, or connected only to each other. Other
        # members then read at random, few at a time, so that an outage does
        # not make all of them poll the log at once.
        members = len(self._gossip.members(settings.host.domain)) + 1
        return (
            self._rng.random() < settings.config.readers_per_domain / members
        )

    async def _read(self, stream: str) -> None:
        settings = self._runtime.settings
        clock = self._runtime.clock
        replica = self._copy.replica(stream)
        after = replica.read_after
        wait_s = min(
            settings.platform.long_poll_s,
            settings.config.stale_after_s / _POLLS_PER_STALE_AFTER,
        )
        sent_at = clock.monotonic()
        page = await self._log_service.read(stream, after, wait_s=wait_s)
        self._copy.apply_page(
            stream, after, page, push=stream in self._caught_up
        )
        if replica.is_scanning or replica.offset < page.head:
            return
        self._caught_up.add(stream)
        if stream == CONFIG_STREAM:
            # The answer may have been delayed, so the copy is known to be
            # complete only as of the time when the request was sent.
            waited_s = 0.0 if page.records else wait_s
            self._copy.record_log_read(
                min(sent_at + waited_s, clock.monotonic())
            )

    async def _append_snapshots(self) -> None:
        rank = self._snapshot_rank()
        if rank is None:
            return
        retention_s = self._runtime.settings.platform.retention_s
        wait_s = retention_s * (0.5 + rank * _SNAPSHOT_STEP_RATIO)
        now = self._runtime.clock.monotonic()
        for stream in STREAMS:
            replica = self._copy.replica(stream)
            if (
                stream not in self._caught_up
                or replica.offset == NO_OFFSET
                or now - self._snapshot_at[stream] < wait_s
            ):
                continue
            payload = self._copy.encoded_snapshot(stream)
            try:
                offset = await self._log_service.append(stream, payload)
            except LogServiceError as error:
                self._runtime.log.warning(
                    'snapshot_failed', stream=stream, error=str(error)
                )
                return
            self._snapshot_at[stream] = now
            self._runtime.log.info(
                'snapshot_appended',
                stream=stream,
                offset=offset,
                size=len(payload),
            )

    def _snapshot_rank(self) -> int | None:
        """Return the rank among all readers, none if it is too low."""
        domains = {
            *self._gossip.directory.domains,
            self._runtime.settings.host.domain,
        }
        readers = [
            address for name in domains for address in self.readers_of(name)
        ]
        order = rank_by_hash('snapshot', readers)[:_MAX_SNAPSHOT_WRITERS]
        own = self._runtime.address
        return order.index(own) if own in order else None
