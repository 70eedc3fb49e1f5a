"""The daemon: builds, starts and stops its components."""

import asyncio
import gc
import os
import random
import signal
import time
from typing import Protocol

from turmericrouter_client.log_service import LogClient
from turmericrouter_core.directory import Directory
from turmericrouter_core.errors import SettingsError
from turmericrouter_core.messages import AbortOperation
from turmericrouter_core.messages import BeginOperation
from turmericrouter_core.messages import CrashRecords
from turmericrouter_core.messages import Dispatch
from turmericrouter_core.messages import FinishOperation
from turmericrouter_core.messages import RequestTokens
from turmericrouter_core.messages import ReturnTokens
from turmericrouter_core.messages import RosterQuery
from turmericrouter_daemon.config_sync import ConfigSync
from turmericrouter_daemon.decisions import DecisionLog
from turmericrouter_daemon.directory_sync import DirectorySync
from turmericrouter_daemon.dispatch import Dispatcher
from turmericrouter_daemon.entry import Entry
from turmericrouter_daemon.gate import Gate
from turmericrouter_daemon.gossip import Gossip
from turmericrouter_daemon.local_listener import LocalListener
from turmericrouter_daemon.local_target import TargetState
from turmericrouter_daemon.logs import LogWriter
from turmericrouter_daemon.logs import open_log
from turmericrouter_daemon.membership_service import MembershipService
from turmericrouter_daemon.metrics import open_metrics
from turmericrouter_daemon.operation_service import OperationService
from turmericrouter_daemon.peer import MessageRouter
from turmericrouter_daemon.peer import PeerPool
from turmericrouter_daemon.peer import PeerServer
from turmericrouter_daemon.quarantine_service import QuarantineService
from turmericrouter_daemon.quota_service import QuotaService
from turmericrouter_daemon.roster_service import RosterService
from turmericrouter_daemon.runtime import Runtime
from turmericrouter_daemon.settings import Settings
from turmericrouter_daemon.timers import SystemClock
from turmericrouter_daemon.timers import TimerService
from turmericrouter_daemon.tls import check_plain_allowed
from turmericrouter_daemon.tls import TlsContexts

# A second signal ends the process at once with this status.
FORCED_EXIT_STATUS = 3
GAUGE_PERIOD_S = 10.0
# Minimum time to send the last answers after the drain.
_MIN_CLOSE_TIMEOUT_S = 1.0


class _Component(Protocol):
    """Lifecycle methods of an optional component."""

    async def start(self) -> None:
        """Start."""

    async def stop(self) -> None:
        """Stop."""


class Application:
    """Builds all components and runs them until a stop signal arrives.

    Args:
        settings: Checked settings.

    Raises:
        SettingsError: A TLS file cannot be read, or the settings do not
            allow plain TCP.
    """

    def __init__(self, settings: Settings) -> None:
        check_plain_allowed(settings)
        self._settings = settings
        self._tls = TlsContexts(settings.tls)
        self._log_writer = LogWriter(settings.log.file)
        self._runtime = self._make_runtime(settings)
        self._signal_count = 0
        self._stop_requested = asyncio.Event()
        self._log_client = LogClient(
            settings.platform.log_url,
            timeout_s=settings.platform.timeout_s,
        )
        runtime = self._runtime
        router = MessageRouter()
        self._peers = PeerPool(runtime, router, self._tls)
        directory = Directory(
            expire_after_s=settings.membership.expire_after_s
        )
        self._gossip = Gossip(runtime, directory, self._peers)
        self._config = ConfigSync(runtime, self._log_client, self._gossip)
        self._config.register(router)
        self._directory = DirectorySync(
            runtime, self._config, self._log_client, self._gossip
        )
        self._directory.register(router)
        self._membership = MembershipService(
            runtime, self._config, self._directory, self._gossip
        )
        self._quarantine = QuarantineService(runtime, directory, self._peers)
        self._gate = Gate(runtime, self._config, self._quarantine)
        self._peer_server = PeerServer(runtime, router, self._tls)
        self._rosters = RosterService(
            runtime,
            self._config,
            self._directory,
            self._peers,
            self._log_client,
        )
        self._operations = OperationService(
            runtime, self._config, self._peers, self._rosters
        )
        self._quota = QuotaService(
            runtime, self._config, self._peers, self._rosters
        )
        self._dispatcher = dispatcher = Dispatcher(
            runtime,
            self._config,
            self._directory.directory,
            self._gate,
            self._peers,
            self._quota,
            self._operations,
            self._quarantine,
        )
        self._entry = Entry(runtime, self._config, dispatcher, self._tls)
        self._local = LocalListener(
            runtime, self._config, self._gate, self._directory, dispatcher
        )
        self._gate.on_target_state(self._on_target_state)
        router.register(Dispatch, self._gate.handle)
        self._admin = self._make_admin()
        router.register(CrashRecords, self._quarantine.handle)
        router.register(RequestTokens, self._quota.handle_token_request)
        router.register(ReturnTokens, self._quota.handle_return)
        router.register(RosterQuery, self._rosters.handle_query)
        router.register(BeginOperation, self._operations.handle_begin)
        router.register(FinishOperation, self._operations.handle_finish)
        router.register(AbortOperation, self._operations.handle_abort)

    async def run(self) -> None:
        """Start, serve until a stop signal arrives, and stop gracefully."""
        self._install_signal_handlers()
        await self.start()
        await self._stop_requested.wait()
        await self.stop()

    async def start(self) -> None:
        """Start all components; callers are accepted last."""
        self._runtime.log.info(
            'daemon_starting', incarnation=self._runtime.incarnation
        )
        await self._peer_server.start()
        await self._rosters.start()
        await self._membership.start()
        await self._config.start()
        await self._directory.start()
        await self._quarantine.start()
        await self._dispatcher.start()
        await self._local.start()
        await self._entry.start()
        if self._admin is not None:
            await self._admin.start()
        self._runtime.timers.every(
            GAUGE_PERIOD_S, self._report_gauges, name='gauges'
        )
        # Objects created during startup live as long as the process;
        # scanning them in every garbage collection only adds latency.
        gc.collect()
        gc.freeze()
        self._runtime.log.info('daemon_started', address=self._runtime.address)

    async def stop(self) -> None:
        """Announce the stop, drain requests in flight, and close."""
        stop = self._settings.stop
        self._runtime.log.info('daemon_stopping')
        # The log service may be unreachable, so the drain does not wait for
        # the announcement; refused requests also report the stop to peers.
        announce_task = asyncio.create_task(self._announce_leave())
        await asyncio.sleep(stop.announce_s)
        self._entry.start_draining()
        self._gate.start_draining()
        drain_deadline = self._runtime.clock.monotonic() + stop.drain_s
        try:
            async with asyncio.timeout(stop.drain_s):
                await self._entry.wait_until_drained()
                await self._dispatcher.wait_until_drained()
                await self._operations.wait_until_drained()
                await self._gate.wait_until_drained()
        except TimeoutError:
            self._runtime.log.error(
                'daemon_drain_timed_out', in_flight=self._gate.load.in_flight
            )
        remaining_s = drain_deadline - self._runtime.clock.monotonic()
        await self._close(max(remaining_s, _MIN_CLOSE_TIMEOUT_S))
        announce_task.cancel()
        await asyncio.gather(announce_task, return_exceptions=True)
        await self._log_client.close()
        self._runtime.log.info('daemon_stopped')
        self._log_writer.close()

    async def _announce_leave(self) -> None:
        await self._directory.leave()
        await self._rosters.release()

    async def _close(self, timeout_s: float) -> None:
        """Close listeners and links after the last answers are sent."""
        await self._entry.stop(timeout_s)
        await self._local.stop()
        await self._quarantine.stop()
        await self._rosters.stop()
        await self._directory.stop()
        await self._membership.stop()
        await self._gossip.stop()
        await self._peers.stop()
        await self._peer_server.stop(timeout_s)
        await self._config.stop()
        if self._admin is not None:
            await self._admin.stop()

    def _make_admin(self) -> _Component | None:
        if not self._settings.host.admin_port:
            return None
        # Imported only here, because grpc takes memory that daemons without
        # the admin listener save.
        from turmericrouter_daemon.admin import AdminHandlers
        from turmericrouter_daemon.admin import AdminServer

        handlers = AdminHandlers(
            self._runtime,
            self._config,
            self._directory,
            self._gate,
            self._quota,
        )
        return AdminServer(self._runtime, handlers)

    def _on_target_state(self, state: TargetState) -> None:
        # In other states, announcements of the target update the entry.
        if state is TargetState.LOST:
            self._runtime.timers.after(
                0.0, self._directory.mark_target_lost, name='target_lost'
            )

    def _report_gauges(self) -> None:
        metrics, load = self._runtime.metrics, self._gate.load
        metrics.gauge('gate.in_flight', load.in_flight)
        metrics.gauge('gate.queued', load.queued)
        metrics.gauge('gate.limit', load.limit)
        metrics.gauge('config.offset', self._config.state.offset)
        metrics.gauge('config.stale', int(self._config.is_stale))
        metrics.gauge('directory.members', len(self._directory.directory))

    def _make_runtime(self, settings: Settings) -> Runtime:
        host = settings.host
        log = open_log(
            settings.log,
            writer=self._log_writer,
            host=f'{host.ip}:{host.peer_port}',
            domain=host.domain,
        )
        rng = random.Random()
        return Runtime(
            settings=settings,
            clock=SystemClock(),
            timers=TimerService(log, rng),
            rng=rng,
            log=log,
            decisions=DecisionLog(log, enabled=settings.log.decisions),
            metrics=open_metrics(settings.metrics),
            incarnation=int(time.time() * 1000),
        )

    def _install_signal_handlers(self) -> None:
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._on_stop_signal)
        loop.add_signal_handler(signal.SIGHUP, self._on_reload_signal)

    def _on_stop_signal(self) -> None:
        self._signal_count += 1
        if self._signal_count == 1:
            self._stop_requested.set()
            return
        self._runtime.log.error('daemon_ended_by_second_signal')
        self._log_writer.close()
        os._exit(FORCED_EXIT_STATUS)

    def _on_reload_signal(self) -> None:
        try:
            self._log_writer.reopen()
        except OSError as error:
            self._runtime.log.error('log_reopen_failed', error=str(error))
        try:
            self._tls.reload()
        except SettingsError as error:
            self._runtime.log.error('tls_reload_failed', error=str(error))
        else:
            self._runtime.log.info('files_reloaded')
