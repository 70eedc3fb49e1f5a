"""Replicates the configuration and control streams to this daemon."""

from collections.abc import Callable
from collections.abc import Iterable

from turmericrouter_client.log_service import LogPage
from turmericrouter_client.log_service import LogService
from turmericrouter_core.clock import Subscription
from turmericrouter_core.config import ApplyResult
from turmericrouter_core.config import ApplyStatus
from turmericrouter_core.config import CONFIG_STREAM
from turmericrouter_core.config import ConfigState
from turmericrouter_core.config import CONTROL_STREAM
from turmericrouter_core.config import decode_record
from turmericrouter_core.config import encode_record
from turmericrouter_core.config import Route
from turmericrouter_core.config import Snapshot
from turmericrouter_core.control import control_snapshot_offset
from turmericrouter_core.control import ControlRecord
from turmericrouter_core.control import ControlSnapshot
from turmericrouter_core.control import decode_control
from turmericrouter_core.control import encode_control
from turmericrouter_core.control import RosterChange
from turmericrouter_core.errors import ConfigError
from turmericrouter_core.errors import LinkError
from turmericrouter_core.messages import ConfigDelta
from turmericrouter_core.messages import ConfigPull
from turmericrouter_core.messages import ConfigPush
from turmericrouter_core.messages import Hello
from turmericrouter_core.messages import LogRecord
from turmericrouter_core.replication import Action
from turmericrouter_core.replication import ApplyRecord
from turmericrouter_core.replication import Replica
from turmericrouter_core.replication import snapshot_offset
from turmericrouter_core.roster import Roster
from turmericrouter_core.roster import RosterState
from turmericrouter_core.routing import RouteTable
from turmericrouter_daemon.gossip import Gossip
from turmericrouter_daemon.log_reader import LogReader
from turmericrouter_daemon.peer import MessageRouter
from turmericrouter_daemon.runtime import Runtime

_PULL_TIMEOUT_S = 1.0
LOG_NEVER_READ_MS = -1


class ConfigSync:
    """Applies the records of both streams, read from the log or peers.

    Args:
        runtime: Services of the process.
        log_service: The platform's log.
        gossip: Selection of peers.
    """

    def __init__(
        self, runtime: Runtime, log_service: LogService, gossip: Gossip
    ) -> None:
        self._runtime = runtime
        self._gossip = gossip
        self._state = ConfigState()
        self._rosters = RosterState()
        self._routes = RouteTable()
        self._replicas = {
            CONFIG_STREAM: Replica(snapshot_offset),
            CONTROL_STREAM: Replica(control_snapshot_offset),
        }
        self._log_read_at: float | None = None
        self._config_subscribers: list[Callable[[ApplyResult], None]] = []
        self._control_subscribers: list[
            Callable[[int, ControlRecord], None]
        ] = []
        self._roster_subscribers: list[Callable[[], None]] = []
        self._pull_timer: Subscription | None = None
        self._is_pulling = False
        self._reader = LogReader(runtime, log_service, gossip, self)

    @property
    def state(self) -> ConfigState:
        """Return the configuration in force."""
        return self._state

    @property
    def routes(self) -> RouteTable:
        """Return the routes in force."""
        return self._routes

    @property
    def rosters(self) -> RosterState:
        """Return the holders of all failure domains."""
        return self._rosters

    @property
    def reader(self) -> LogReader:
        """Return the reader of the log."""
        return self._reader

    @property
    def log_age_s(self) -> float:
        """Return seconds since the log is known to have been read.

        It was read by this daemon, or by one whose log age arrived here
        directly or through others.
        """
        if self._log_read_at is None:
            return float('inf')
        return self._runtime.clock.monotonic() - self._log_read_at

    @property
    def log_age_ms(self) -> int:
        """Return the log age for messages, -1 if it was never read."""
        if self._log_read_at is None:
            return LOG_NEVER_READ_MS
        return max(0, round(self.log_age_s * 1000))

    @property
    def is_stale(self) -> bool:
        """Return whether newer configuration may exist."""
        return self.log_age_s > self._runtime.settings.config.stale_after_s

    def on_config(self, callback: Callable[[ApplyResult], None]) -> None:
        """Subscribe to applied configuration records."""
        self._config_subscribers.append(callback)

    def on_control(
        self, callback: Callable[[int, ControlRecord], None]
    ) -> None:
        """Subscribe to control records with their offset, in order.

        Records that a snapshot replaces are not delivered; `on_rosters`
        reports the rosters in it.
        """
        self._control_subscribers.append(callback)

    def on_rosters(self, callback: Callable[[], None]) -> None:
        """Subscribe to every change of `rosters`."""
        self._roster_subscribers.append(callback)

    def register(self, router: MessageRouter) -> None:
        """Register the handlers of configuration distribution."""
        router.register(ConfigPull, self.handle_pull)
        router.register(ConfigPush, self.handle_push)

    async def start(self) -> None:
        """Start reading and pulling."""
        self._pull_timer = self._runtime.timers.every(
            self._runtime.settings.config.pull_period_s,
            self.pull,
            name='config_pull',
        )
        self._runtime.timers.after(0.0, self.pull, name='config_pull')
        await self._reader.start()

    async def stop(self) -> None:
        """Stop reading and pulling."""
        if self._pull_timer is not None:
            self._pull_timer.cancel()
        await self._reader.stop()

    def replica(self, stream: str) -> Replica:
        """Return the replica of a stream."""
        return self._replicas[stream]

    def encoded_snapshot(self, stream: str) -> bytes:
        """Return the whole state of a stream as a record."""
        if stream == CONFIG_STREAM:
            return encode_record(self._state.snapshot())
        offset = self._replicas[CONTROL_STREAM].offset
        rosters = {
            domain: (roster.epoch, roster.holders)
            for domain, roster in self._rosters.snapshot().items()
        }
        return encode_control(ControlSnapshot(offset, rosters))

    def handle_log_age(self, age_ms: int, offset: int) -> None:
        """Update the log age from that of another daemon.

        Args:
            age_ms: Log age of the other daemon in milliseconds, -1 for
                never.
            offset: Its configuration offset. The age does not hold for a
                copy that has fewer records, so it is ignored there.
        """
        if age_ms >= 0 and self._state.offset >= offset:
            self.record_log_read(
                self._runtime.clock.monotonic() - age_ms / 1000
            )

    def record_log_read(self, at: float) -> None:
        """Record that the copy was complete at a monotonic time."""
        if self._log_read_at is None or at > self._log_read_at:
            self._log_read_at = at

    def apply_page(
        self, stream: str, after: int, page: LogPage, *, push: bool
    ) -> None:
        """Apply a page of the log.

        Args:
            stream: Stream that was read.
            after: Offset after which it was read.
            page: The log's answer.
            push: Whether to forward the records; false for a backlog.
        """
        records = tuple(
            LogRecord(stream, record.offset, record.decode_payload())
            for record in page.records
        )
        actions = self._replicas[stream].apply_page(after, page.first, records)
        self._execute(stream, actions, push=push)

    def handle_push(self, message: ConfigPush, sender: Hello) -> None:
        """Apply pushed records and forward those that are new."""
        for stream, replica in self._replicas.items():
            stream_records = [r for r in message.records if r.stream == stream]
            if stream_records:
                actions = replica.apply_push(stream_records)
                self._execute(stream, actions, push=True)
        if any(replica.has_gap for replica in self._replicas.values()):
            self._runtime.timers.after(0.0, self.pull, name='config_gap')

    def handle_pull(self, message: ConfigPull, sender: Hello) -> ConfigDelta:
        """Return the records or snapshots that the sender lacks."""
        config_delta = self._replicas[CONFIG_STREAM].delta_for(
            message.config_offset
        )
        control_delta = self._replicas[CONTROL_STREAM].delta_for(
            message.control_offset
        )
        self.handle_log_age(message.log_age_ms, message.config_offset)
        delta = ConfigDelta(
            config_delta.records + control_delta.records,
            self.encoded_snapshot(CONFIG_STREAM)
            if config_delta.needs_snapshot
            else b'',
            self.encoded_snapshot(CONTROL_STREAM)
            if control_delta.needs_snapshot
            else b'',
            self.log_age_ms,
        )
        self._gossip.count_frame(delta)
        return delta

    async def pull(self) -> None:
        """Request missing records from one random daemon."""
        stale_after_s = self._runtime.settings.config.stale_after_s
        address = self._gossip.choose_peer_or_seed(
            prefer_other_domain=self.log_age_s > stale_after_s / 4
        )
        if address is None or self._is_pulling:
            return
        offsets = {name: r.offset for name, r in self._replicas.items()}
        message = ConfigPull(
            offsets[CONFIG_STREAM], offsets[CONTROL_STREAM], self.log_age_ms
        )
        self._is_pulling = True
        try:
            delta = await self._gossip.request(
                address, message, ConfigDelta, _PULL_TIMEOUT_S
            )
        except LinkError:
            self._runtime.metrics.incr('config.pull_failed')
            return
        finally:
            self._is_pulling = False
        self._apply_delta(delta, offsets)

    def _apply_delta(
        self, delta: ConfigDelta, offsets: dict[str, int]
    ) -> None:
        snapshots = {
            CONFIG_STREAM: delta.snapshot,
            CONTROL_STREAM: delta.control_snapshot,
        }
        for stream, replica in self._replicas.items():
            records = [r for r in delta.records if r.stream == stream]
            actions = replica.apply_delta(
                offsets[stream], records, snapshots[stream]
            )
            self._execute(stream, actions, push=False)
        # All records of the peer are applied here, so its log age is valid.
        self.handle_log_age(delta.log_age_ms, self._state.offset)

    def _execute(
        self, stream: str, actions: Iterable[Action], *, push: bool
    ) -> None:
        applied_records = []
        for action in actions:
            if isinstance(action, ApplyRecord):
                record = action.record
                applied_records.append(record)
                if stream == CONFIG_STREAM:
                    self._apply_config(record.offset, record.payload)
                else:
                    self._apply_control(record.offset, record.payload)
            elif stream == CONFIG_STREAM:
                self._restore_config(action.payload)
            else:
                self._restore_control(action.payload)
        if push and applied_records:
            fanout = self._runtime.settings.config.push_fanout
            self._gossip.send(
                self._gossip.choose_peers(fanout),
                ConfigPush(tuple(applied_records)),
            )

    def _apply_config(self, offset: int, payload: bytes) -> None:
        applied = self._state.apply(offset, payload)
        if applied.status is ApplyStatus.SNAPSHOT:
            self._reader.record_snapshot(CONFIG_STREAM)
        self._notify_config(offset, applied)

    def _restore_config(self, payload: bytes) -> None:
        snapshot = decode_record(payload)
        assert isinstance(snapshot, Snapshot)
        before = dict(self._state.scopes)
        if not self._state.restore(snapshot):
            return
        after = self._state.scopes
        changed = tuple(
            scope
            for scope in sorted(before.keys() | after.keys())
            if before.get(scope) != after.get(scope)
        )
        self._notify_config(
            snapshot.offset, ApplyResult(ApplyStatus.SNAPSHOT, changed)
        )

    def _notify_config(self, offset: int, applied: ApplyResult) -> None:
        if any(scope.startswith('route/') for scope in applied.changed):
            self._rebuild_routes()
        self._runtime.log.info(
            'config_applied',
            offset=offset,
            status=applied.status,
            publication=applied.publication_id,
            changes=len(applied.changed),
            scopes=','.join(applied.changed[:10]),
        )
        for callback in self._config_subscribers:
            callback(applied)

    def _apply_control(self, offset: int, payload: bytes) -> None:
        try:
            record = decode_control(payload)
        except ConfigError as error:
            self._runtime.log.warning('control_invalid', error=str(error))
            return
        if isinstance(record, ControlSnapshot):
            self._reader.record_snapshot(CONTROL_STREAM)
        changed = isinstance(record, RosterChange) and self._rosters.apply(
            offset, record
        )
        for callback in self._control_subscribers:
            callback(offset, record)
        if changed:
            self._notify_rosters()

    def _restore_control(self, payload: bytes) -> None:
        snapshot = decode_control(payload)
        assert isinstance(snapshot, ControlSnapshot)
        rosters = {
            domain: Roster(epoch, holders)
            for domain, (epoch, holders) in snapshot.rosters.items()
        }
        if self._rosters.restore(rosters):
            self._notify_rosters()

    def _notify_rosters(self) -> None:
        for callback in self._roster_subscribers:
            callback()

    def _rebuild_routes(self) -> None:
        self._routes = RouteTable(
            (name, value)
            for name, value in self._state.values_of_kind('route')
            if isinstance(value, Route)
        )
