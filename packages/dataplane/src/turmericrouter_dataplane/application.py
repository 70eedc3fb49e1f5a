"""The daemon of the request path: wires its parts, starts and stops them."""

import asyncio
import os
import random
import signal
import time
from typing import Protocol

from turmericrouter_dataplane.announcements import Announcements
from turmericrouter_dataplane.announcements import InvalidAnnouncement
from turmericrouter_dataplane.announcements import TargetDeparture
from turmericrouter_dataplane.config_feed import ConfigDecoder
from turmericrouter_dataplane.config_feed import ConfigFeed
from turmericrouter_dataplane.decision_log import DecisionLog
from turmericrouter_dataplane.decision_log import STDOUT_FD
from turmericrouter_dataplane.directory_sync import DirectorySync
from turmericrouter_dataplane.dispatcher import Dispatcher
from turmericrouter_dataplane.drain import Drain
from turmericrouter_dataplane.era_watch import EraWatch
from turmericrouter_dataplane.fleet_config import FleetConfig
from turmericrouter_dataplane.frames import HostRecord
from turmericrouter_dataplane.gate import Gate
from turmericrouter_dataplane.handlers import AnnouncementHandler
from turmericrouter_dataplane.handlers import MetricsHandler
from turmericrouter_dataplane.handlers import ReadyHandler
from turmericrouter_dataplane.header_names import HeaderNames
from turmericrouter_dataplane.host_directory import HostDirectory
from turmericrouter_dataplane.http_server import HttpRequest
from turmericrouter_dataplane.http_server import HttpServer
from turmericrouter_dataplane.links import LinkServer
from turmericrouter_dataplane.local_target import LocalTarget
from turmericrouter_dataplane.local_target import target_of
from turmericrouter_dataplane.local_target import with_target
from turmericrouter_dataplane.log_service import LogService
from turmericrouter_dataplane.members import HEARTBEAT_PERIOD_S
from turmericrouter_dataplane.members import Members
from turmericrouter_dataplane.metrics import Metrics
from turmericrouter_dataplane.policy.crash_records import CrashRecords
from turmericrouter_dataplane.policy.downstream_load import DownstreamLoad
from turmericrouter_dataplane.policy.log_era import LogEra
from turmericrouter_dataplane.policy.retry_budget import RetryBudget
from turmericrouter_dataplane.policy.target_chooser import TargetChooser
from turmericrouter_dataplane.policy.workspace_quota import WorkspaceQuota
from turmericrouter_dataplane.settings import Address
from turmericrouter_dataplane.settings import Settings
from turmericrouter_dataplane.settings_reload import SettingsReload
from turmericrouter_dataplane.settings_reload import SettingsSource
from turmericrouter_dataplane.start_guard import StartGuard
from turmericrouter_dataplane.supervisor import supervise
from turmericrouter_dataplane.timers import TimerService
from turmericrouter_dataplane.token_exchange import TokenExchange

_LINK_CHECK_PERIOD_S = 0.2
_LOG_FLUSH_PERIOD_S = 0.25
_SWEEP_PERIOD_S = 1.0
_SETTINGS_CHECK_PERIOD_S = 2.0
# Time for the links to send their last data.
_LINK_CLOSE_S = 0.02
# Idle caller connections are closed this long after the idle timeout, within
# which callers may reuse them.
_IDLE_CLOSE_MARGIN_S = 1.0


class Deployment(SettingsSource, Protocol):
    """The formats and calls of the platform that the daemon runs on."""

    headers: HeaderNames

    def decode_config(self, document: bytes) -> FleetConfig:
        """Decode a published configuration.

        Raises:
            ConfigError: The configuration is invalid.
        """

    def decode_announcement(
        self, request: HttpRequest
    ) -> LocalTarget | TargetDeparture | InvalidAnnouncement:
        """Decode an announcement of a target."""

    def parent_request_id(self, request_id: bytes) -> bytes:
        """Return the id of the request that made a nested call.

        Args:
            request_id: Id of the nested call.

        Returns:
            The id of the parent request, empty if `request_id` does not
            contain it.
        """

    def log_service(self, address: Address) -> LogService:
        """Return a client of the platform's log service."""


class Application:
    """Builds, connects and runs all parts of the daemon.

    Args:
        deployment: Formats and calls of the platform.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        settings = deployment.load_settings()
        self._rng = random.Random()
        self._log = DecisionLog(settings.host)
        self._settings_reload = SettingsReload(
            deployment, settings, self._apply_settings, self._log
        )
        self._timers = TimerService(self._log_timer_failure)
        self._metrics = Metrics()
        self._chooser = TargetChooser(
            settings.host, settings.domain, self._rng
        )
        self._quota = WorkspaceQuota(settings.host, self._rng)
        self._budget = RetryBudget(
            ratio=settings.retry_ratio,
            slack=settings.retry_slack,
        )
        self._crash_records = CrashRecords()
        self._gate = Gate(
            deployment.headers, self._timers, self._log, self._report_crash
        )
        self._log_service = deployment.log_service(settings.log_service)
        self._era = LogEra()
        self._era_watch = EraWatch(self._era, self._log)
        self._era_watch.on_rise = self._handle_era_rise
        self._log_service.on_era = self._era_watch.observe_log
        decode: ConfigDecoder = deployment.decode_config
        self._config = ConfigFeed(
            self._log_service,
            self._era,
            decode,
            self._apply_config,
            self._log,
            self._rng,
        )
        self._members = self._make_members()
        self._config.is_reader = self._members.is_log_reader
        self._config.on_read = self._members.copy_config
        self._config.on_connection_change = self._members.broadcast_status
        self._exchange = TokenExchange(
            self._quota,
            self._timers,
            self._members.link_of,
            settings.host,
        )
        self._members.on_grant = self._exchange.handle_grant
        self._dispatcher = self._make_dispatcher()
        self._start_guard = StartGuard(
            members=self._members,
            config=self._config,
            put_in_force=self._put_in_force,
            timers=self._timers,
            log=self._log,
        )
        self._members.on_peer_version = self._start_guard.record_version
        self._members.is_serving = lambda: self._start_guard.may_serve
        self._directory_sync = self._make_directory_sync()
        self._announcements = Announcements(self._target_changed, self._log)
        self._members.on_target_left = self._restore_departure
        self._gate.notices.on_leaving = self._record_leaving
        self._callers = HttpServer(self._dispatcher, self._record_bad_request)
        self._ready = HttpServer(ReadyHandler(lambda: self.is_ready))
        self._control = HttpServer(
            AnnouncementHandler(
                deployment.decode_announcement,
                self._announcements,
                self._log,
            )
        )
        self._metrics_server = HttpServer(MetricsHandler(self.render_metrics))
        self._http_servers = (
            self._callers,
            self._ready,
            self._control,
            self._metrics_server,
        )
        self._links = LinkServer(self._members)
        self._drain = Drain(
            callers=self._callers,
            peers=self._members,
            links=self._links,
            dispatcher=self._dispatcher,
            gate=self._gate,
            timers=self._timers,
            log=self._log,
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._stopping = asyncio.Event()
        self._stop_reason = ''

    @property
    def is_ready(self) -> bool:
        """Return whether callers may be routed to this daemon."""
        return self._start_guard.may_serve and not self._stopping.is_set()

    async def run(self) -> None:
        """Serve until a stop signal arrives, then drain and close."""
        await self._start()
        await self._stopping.wait()
        await self._stop()

    def render_metrics(self) -> bytes:
        """Return the metrics of the process in text format."""
        return self._metrics.render(
            {
                'config_version': self._config.version,
                'gate_limit': self._gate.limit,
                'target_rate_limit': self._gate.rate_limit,
                'gate_running': self._gate.running,
                'gate_waiting': self._gate.waiting,
                'hosts': self._members.peers + 1,
                'links_open': self._members.links_open,
                'targets_serving': self._chooser.serving,
                'requests_in_flight': self._dispatcher.in_flight,
                'callers_connected': len(self._callers.connections),
            }
        )

    def _make_members(self) -> Members:
        settings = self._settings_reload.settings
        record = HostRecord(
            settings.host,
            str(settings.advertised),
            settings.domain,
            settings.service,
        )
        return Members(
            record,
            gate=self._gate,
            chooser=self._chooser,
            quota=self._quota,
            budget=self._budget,
            crash_records=self._crash_records,
            config=self._config,
            era_watch=self._era_watch,
            log=self._log,
        )

    def _make_dispatcher(self) -> Dispatcher:
        settings = self._settings_reload.settings
        return Dispatcher(
            host=settings.host,
            service=settings.service,
            headers=self._deployment.headers,
            gate=self._gate,
            link_of=self._members.link_of,
            chooser=self._chooser,
            quota=self._quota,
            budget=self._budget,
            crash_records=self._crash_records,
            downstream_load=DownstreamLoad(),
            exchange=self._exchange,
            parent_request_id=self._deployment.parent_request_id,
            timers=self._timers,
            log=self._log,
            metrics=self._metrics,
            rng=self._rng,
        )

    def _make_directory_sync(self) -> DirectorySync:
        directory = HostDirectory(
            self._log_service, self._era, self._members, self._log
        )
        return DirectorySync(
            directory,
            restore_target=self._restore_target,
            on_first_load=self._start_guard.record_directory,
            is_log_reader=self._members.is_log_reader,
            timers=self._timers,
            log=self._log,
            rng=self._rng,
        )

    async def _start(self) -> None:
        settings = self._settings_reload.settings
        os.set_blocking(STDOUT_FD, False)
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(
            signal.SIGTERM, self._handle_stop_signal, 'SIGTERM'
        )
        loop.add_signal_handler(
            signal.SIGINT, self._handle_stop_signal, 'SIGINT'
        )
        loop.add_signal_handler(
            signal.SIGHUP, self._settings_reload.reload, 'SIGHUP'
        )
        await self._links.start(settings.peers.ip, settings.peers.port)
        await self._callers.start(settings.callers.ip, settings.callers.port)
        await self._control.start(settings.control.ip, settings.control.port)
        await self._ready.start(settings.ready.ip, settings.ready.port)
        if settings.metrics != settings.ready:
            await self._metrics_server.start(
                settings.metrics.ip, settings.metrics.port
            )
        self._start_timers()
        self._tasks = [
            asyncio.create_task(supervise(name, work, self._log))
            for name, work in (
                ('config', self._config.run),
                ('directory', self._directory_sync.run),
            )
        ]
        self._log.event(
            'started',
            pid=os.getpid(),
            domain=settings.domain,
            service=settings.service,
            startup_cpu_s=round(time.process_time(), 3),
        )

    def _start_timers(self) -> None:
        every = self._timers.every
        self._start_guard.start()
        every(HEARTBEAT_PERIOD_S, self._members.send_heartbeat, name='publish')
        every(_LINK_CHECK_PERIOD_S, self._members.check_links, name='links')
        every(_LOG_FLUSH_PERIOD_S, self._log.flush, name='log')
        every(_SWEEP_PERIOD_S, self._sweep, name='sweep')
        every(
            _SETTINGS_CHECK_PERIOD_S,
            self._settings_reload.check,
            name='settings',
        )

    async def _stop(self) -> None:
        self._control.is_leaving = True
        settings = self._settings_reload.settings
        await self._drain.run(self._stop_reason, settings.stop_within_s)
        self._stop_announcements()
        for task in self._tasks:
            task.cancel()
        self._members.stop()
        await asyncio.sleep(_LINK_CLOSE_S)
        self._gate.stop()
        self._timers.stop()
        self._log.flush()

    def _stop_announcements(self) -> None:
        """Confirm no announcement from now on; peers would not get it."""
        self._control.stop_listening()
        self._control.refuse_unfinished()
        self._control.close_idle(0.0)

    def _restore_target(self, record: HostRecord) -> None:
        """Restore the target from the host record stored before a restart."""
        target = target_of(record)
        if target is not None:
            self._announcements.restore(target)

    def _restore_departure(self, record: HostRecord) -> None:
        """Apply what peers remember of the target of this host."""
        self._announcements.restore_departure(
            record.target_id, record.started_at_ms
        )

    def _record_leaving(self, target: LocalTarget) -> None:
        """Send no more requests to a target whose answers say it leaves."""
        self._announcements.handle_departure(TargetDeparture(target.target_id))

    def _target_changed(self, target: LocalTarget) -> None:
        self._gate.set_target(target)
        self._members.update_own_record(
            with_target(self._members.record, target)
        )
        self._directory_sync.handle_target_change()

    def _apply_config(self, config: FleetConfig) -> None:
        # Limits apply before callers are served here, since peers ask for
        # tokens as soon as they have a link.
        self._quota.configure(config.workspaces, self._timers.now())
        self._start_guard.apply(config)
        self._members.handle_config_applied()

    def _put_in_force(self, config: FleetConfig) -> None:
        self._dispatcher.set_config(config)
        self._callers.limits = config.limits

    def _handle_era_rise(self, is_from_log: bool) -> None:
        """Write again what the log may have lost, and inform the peers."""
        self._config.handle_era_rise()
        if is_from_log:
            self._members.broadcast_status()
        self._directory_sync.schedule_rewrite(self._members.peers + 1)

    def _report_crash(self, digest: int, target_id: str) -> None:
        self._members.report_crash(digest, target_id)

    def _record_bad_request(self, status: int) -> None:
        self._metrics.refuse('', f'malformed-{status}')
        self._log.decision('request_malformed', status=status)

    def _sweep(self) -> None:
        idle_s = self._callers.limits.idle_timeout_s + _IDLE_CLOSE_MARGIN_S
        self._callers.close_idle(idle_s)
        self._callers.close_slow()
        for server in self._http_servers:
            server.close_lingering()
        self._gate.prune()

    def _handle_stop_signal(self, name: str) -> None:
        self._stop_reason = name
        self._stopping.set()

    def _apply_settings(self, settings: Settings) -> None:
        self._log_service.set_address(settings.log_service)
        self._dispatcher.set_service(settings.service)
        self._budget.set_limits(
            ratio=settings.retry_ratio, slack=settings.retry_slack
        )

    def _log_timer_failure(self, name: str, error: Exception) -> None:
        self._log.event('timer_failed', timer=name, error=repr(error))
