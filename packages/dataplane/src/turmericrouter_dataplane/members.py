"""Tracks the hosts of the fleet, the links to them and their state."""

from collections.abc import Callable
import time
from typing import Any

import msgspec

from turmericrouter_core.verdict import Reason
from turmericrouter_dataplane.config_feed import ConfigFeed
from turmericrouter_dataplane.config_sharing import ConfigSharing
from turmericrouter_dataplane.decision_log import DecisionLog
from turmericrouter_dataplane.era_watch import EraWatch
from turmericrouter_dataplane.frames import Cancel
from turmericrouter_dataplane.frames import ConfigCopy
from turmericrouter_dataplane.frames import CrashReport
from turmericrouter_dataplane.frames import Dispatch
from turmericrouter_dataplane.frames import encode_frame
from turmericrouter_dataplane.frames import Frame
from turmericrouter_dataplane.frames import HANDOVER_REVISION
from turmericrouter_dataplane.frames import Heartbeat
from turmericrouter_dataplane.frames import HostRecord
from turmericrouter_dataplane.frames import Introduction
from turmericrouter_dataplane.frames import Outcome
from turmericrouter_dataplane.frames import RATE_LIMIT_REVISION
from turmericrouter_dataplane.frames import RateLimitReport
from turmericrouter_dataplane.frames import Status
from turmericrouter_dataplane.frames import Suspicion
from turmericrouter_dataplane.frames import TokenGrant
from turmericrouter_dataplane.frames import TokenHandover
from turmericrouter_dataplane.frames import TokenRequest
from turmericrouter_dataplane.gate import Gate
from turmericrouter_dataplane.gate_job import GateJob
from turmericrouter_dataplane.host_reports import HostReports
from turmericrouter_dataplane.links import Link
from turmericrouter_dataplane.links import LinkPool
from turmericrouter_dataplane.policy.config_order import ConfigIdentity
from turmericrouter_dataplane.policy.crash_records import CrashRecords
from turmericrouter_dataplane.policy.log_readers import find_log_readers
from turmericrouter_dataplane.policy.rate_limit import NO_RATE_LIMIT
from turmericrouter_dataplane.policy.reachable_hosts import find_reachable
from turmericrouter_dataplane.policy.retry_budget import RetryBudget
from turmericrouter_dataplane.policy.target_chooser import HostView
from turmericrouter_dataplane.policy.target_chooser import TargetChooser
from turmericrouter_dataplane.policy.target_chooser import TargetState
from turmericrouter_dataplane.policy.watchers import choose_watchers
from turmericrouter_dataplane.policy.watchers import WatchedHosts
from turmericrouter_dataplane.policy.workspace_quota import WorkspaceQuota
from turmericrouter_dataplane.silence_probes import SilenceProbes

HEARTBEAT_PERIOD_S = 1.0
# Fleet size that a starting host assumes until it has read the directory, so
# that it does not take the limits of a whole fleet for itself.
_ASSUMED_FLEET_SIZE = 32
# The heartbeat period grows beyond this number of hosts, so that the cost per
# host stays constant.
_MAX_HOSTS_AT_BASE_PERIOD = 20
# A host counts as partitioned after this many periods without a message.
_SILENCE_TIMEOUT_PERIODS = 2.6
# A peer whose link is suspect gets no new calls for this time.
_SUSPECT_PAUSE_S = 0.4


class Members:
    """Keeps links to all hosts and serves the requests they dispatch.

    Args:
        record: Record of this host at its start.
        gate: Gate of the local target.
        chooser: Chooses targets.
        quota: Limits of workspaces.
        budget: Retry budget.
        crash_records: Records of poison requests, which crash targets.
        config: Configuration in force.
        era_watch: Collects the eras of the log that peers report.
        log: Decision log.
    """

    def __init__(
        self,
        record: HostRecord,
        *,
        gate: Gate,
        chooser: TargetChooser,
        quota: WorkspaceQuota,
        budget: RetryBudget,
        crash_records: CrashRecords,
        config: ConfigFeed,
        era_watch: EraWatch,
        log: DecisionLog,
    ) -> None:
        self._record = record
        self._gate = gate
        self._chooser = chooser
        self._quota = quota
        self._budget = budget
        self._crash_records = crash_records
        self._config = config
        self._era_watch = era_watch
        self._reports = HostReports(gate, config, era_watch)
        self._log = log
        self._pool = LinkPool(self)
        self._jobs: dict[Link, dict[int, GateJob]] = {}
        self._last_seen_at: dict[str, float] = {}
        self._peer_names: dict[Link, str] = {}
        self._heartbeat_sent_at = time.monotonic()
        self.is_leaving = False
        # Called with the record of this host if its target has left.
        self.on_target_left: Callable[[HostRecord], None] = lambda record: None
        # Called with the name of a peer, its version of the configuration and
        # whether it serves callers.
        self.on_peer_version: Callable[[str, int, bool], None] = lambda *_: (
            None
        )
        # Returns whether this host serves callers.
        self.is_serving: Callable[[], bool] = lambda: True
        self.on_grant: Callable[[TokenGrant], None] = lambda grant: None
        self._handlers: dict[type, Callable[[Link, Any], None]] = {
            Dispatch: self._handle_dispatch,
            Cancel: self._handle_cancel,
            Status: self._handle_status,
            Heartbeat: self._handle_heartbeat,
            ConfigCopy: self._handle_config,
            CrashReport: self._handle_crash_report,
            Introduction: self._handle_introduction,
            TokenRequest: self._handle_token_request,
            TokenGrant: self._handle_token_grant,
            TokenHandover: self._handle_token_handover,
            Suspicion: self._handle_suspicion,
            RateLimitReport: self._handle_rate_limit,
        }
        chooser.update(record)
        self._watched = WatchedHosts(
            _SILENCE_TIMEOUT_PERIODS * HEARTBEAT_PERIOD_S
        )
        self._probes = SilenceProbes(
            chooser=chooser, pool=self._pool, watched=self._watched, log=log
        )
        self._sharing = ConfigSharing(
            record.name,
            config=config,
            chooser=chooser,
            pool=self._pool,
            watched=self._watched,
            era_watch=era_watch,
        )
        self._watchers: frozenset[str] = frozenset()
        self._watcher_candidates: frozenset[str] = frozenset()
        self._min_hosts = _ASSUMED_FLEET_SIZE
        self._update_reachable(time.monotonic())
        self._update_host_count()

    @property
    def record(self) -> HostRecord:
        """Return the record of this host."""
        return self._record

    @property
    def peers(self) -> int:
        """Return the number of other hosts."""
        return len(self._chooser.views) - 1

    @property
    def _period_s(self) -> float:
        hosts = len(self._chooser.views)
        return HEARTBEAT_PERIOD_S * max(1.0, hosts / _MAX_HOSTS_AT_BASE_PERIOD)

    @property
    def silence_timeout_s(self) -> float:
        """Return the time after which a silent host counts as partitioned."""
        return _SILENCE_TIMEOUT_PERIODS * self._period_s

    @property
    def links_open(self) -> int:
        """Return the number of links that can be used."""
        return len(self._pool.open_links())

    def linked_peers(self) -> list[str]:
        """Return the peers whose links can be used."""
        return [link.peer for link in self._pool.open_links()]

    def link_of(self, host: str) -> Link | None:
        """Return the open link to a host."""
        return self._pool.get(host)

    def update_own_record(self, record: HostRecord) -> None:
        """Change the record of this host, and send it to all peers."""
        self._record = record
        self._chooser.update(record)
        self.broadcast_status()

    def add(self, record: HostRecord) -> None:
        """Add a host from the log or from a peer."""
        if record.name == self._record.name:
            return
        view = self._chooser.views.get(record.name)
        if view is None:
            if self._is_address_reused(record):
                return
            self._log.event(
                'host_learned',
                peer=record.name,
                domain=record.domain,
                service=record.service,
            )
            now = time.monotonic()
            self._chooser.update(record).added_at = now
            self._last_seen_at[record.name] = now
            self._update_host_count()
        elif time.monotonic() - view.last_seen_at > self.silence_timeout_s:
            self._chooser.update(record)
        self._pool.connect(record.name, record.address)

    def remove(self, host: str) -> None:
        """Remove a host that has left for good."""
        if host == self._record.name or host not in self._chooser.views:
            return
        self._chooser.remove(host)
        self._last_seen_at.pop(host, None)
        self._sharing.forget(host)
        self._watched.forget(host)
        self._pool.remove(host)
        self._update_host_count()
        self._log.event('host_left', peer=host)

    def _remove_predecessors(self, record: HostRecord) -> None:
        """Remove other hosts with the address of a host that sent a status.

        Links to them would lead to the new one.
        """
        for name, view in list(self._chooser.views.items()):
            if view.record.address == record.address and name != record.name:
                self.remove(name)

    def _is_address_reused(self, record: HostRecord) -> bool:
        """Return whether another host was seen at the address of a record.

        The log keeps the records of hosts that are gone.
        """
        return any(
            view.record.address == record.address and view.last_seen_at > 0
            for view in self._chooser.views.values()
        )

    def mark_directory_loaded(self) -> None:
        """Record that all hosts of the log have been added."""
        if self._min_hosts > 1:
            self._min_hosts = 1
            self._update_reachable(time.monotonic())
            self._update_host_count()

    def _update_reachable(self, now: float) -> None:
        views = self._chooser.views
        own = self._record.name
        reach = find_reachable(
            views[own],
            [view for name, view in views.items() if name != own],
            now=now,
            silence_timeout_s=self.silence_timeout_s,
            min_hosts=self._min_hosts,
            is_leaving=self.is_leaving,
        )
        for handover in self._quota.set_reachable(reach, now):
            link = self._pool.get(handover.owner)
            protocol = views[handover.owner].protocol
            if link is not None and protocol >= HANDOVER_REVISION:
                link.send(TokenHandover(handover.workspace, handover.tokens))

    def _update_host_count(self) -> None:
        hosts = len(self._chooser.views)
        self._budget.set_host_count(max(hosts, self._min_hosts))

    def silent_hosts(self, longer_than_s: float) -> list[str]:
        """Return the hosts that sent nothing for longer than a time."""
        oldest = time.monotonic() - longer_than_s
        return [name for name, at in self._last_seen_at.items() if at < oldest]

    def send_heartbeat(self) -> None:
        """Send heartbeats to the watchers, and to all peers if one is due."""
        now = time.monotonic()
        links = self._pool.open_links()
        is_due = now - self._heartbeat_sent_at >= 0.9 * self._period_s
        if is_due:
            self._heartbeat_sent_at = now
        watchers = self._update_watchers(links)
        watched = encode_frame(self._reports.heartbeat(is_watched=True))
        plain = (
            encode_frame(self._reports.heartbeat(is_watched=False))
            if is_due
            else b''
        )
        for link in links:
            if link.peer in watchers:
                link.send_encoded(watched)
            elif is_due:
                link.send_encoded(plain)

    def _update_watchers(self, links: list[Link]) -> frozenset[str]:
        """Return the watchers of this host among the linked peers."""
        linked = frozenset(link.peer for link in links)
        if linked != self._watcher_candidates:
            self._watcher_candidates = linked
            self._watchers = choose_watchers(self._record.name, linked)
        return self._watchers

    def leave(self) -> None:
        """Stop owning workspaces, and tell all peers that this host leaves."""
        self.is_leaving = True
        self._update_reachable(time.monotonic())
        self.broadcast_status()

    def is_log_reader(self) -> bool:
        """Return whether this host follows the log for its domain."""
        return self._record.name in self._log_readers()

    def handle_config_applied(self) -> None:
        """Confirm a new configuration to the hosts that would send it."""
        self._sharing.handle_applied()
        readers = self._log_readers()
        links = self._pool.open_links()
        watchers = self._update_watchers(links)
        for link in links:
            if link.peer in watchers or link.peer in readers:
                is_watched = link.peer in watchers
                link.send(self._reports.heartbeat(is_watched=is_watched))

    def copy_config(self) -> None:
        """Send the configuration to the other hosts of the domain."""
        self._sharing.copy_to_domain()

    def _log_readers(self) -> list[str]:
        """Return the hosts that follow the log for the domain."""
        views = self._chooser.views
        own = views[self._record.name]
        return find_log_readers(
            own, (v for v in views.values() if v is not own)
        )

    def broadcast_status(self) -> None:
        """Send the status of this host to all peers."""
        status = encode_frame(self._status())
        for link in self._pool.open_links():
            link.send_encoded(status)

    def send_status(self, host: str) -> None:
        """Send the status of this host to one peer."""
        link = self._pool.get(host)
        if link is not None:
            link.send(self._status())

    def check_links(self) -> None:
        """Close dead links, and avoid hosts whose links are suspect."""
        now = time.monotonic()
        self._pool.check(now)
        self._update_reachable(now)
        self._probes.report_silent_hosts(now)
        self._sharing.check(now)
        for peer in self._pool.suspects(now):
            view = self._chooser.views.get(peer)
            if view is not None:
                view.avoid_until = now + _SUSPECT_PAUSE_S

    def report_crash(self, digest: int, target_id: str) -> None:
        """Record and broadcast that a request has crashed the target."""
        self._log.event(
            'target_crashed', target=target_id, digest=f'{digest:x}'
        )
        report = CrashReport(digest, target_id)
        self._crash_records.add(digest, target_id, time.monotonic())
        for link in self._pool.open_links():
            link.send(report)

    def stop(self) -> None:
        """Close all links."""
        self._pool.stop()
        for link in list(self._jobs):
            link.close()

    def link_opened(self, link: Link) -> None:
        """Send the status of this host on a link that it opened."""
        if not link.peer:
            self._jobs[link] = {}
            return
        view = self._chooser.views.get(link.peer)
        if view is not None:
            view.is_linked = True
            self._update_reachable(time.monotonic())
        self._log.event('link_opened', peer=link.peer)
        link.send(self._status())
        if view is not None and view.rate_limit != NO_RATE_LIMIT:
            self._report_rate_limit(link, view)

    def link_closed(self, link: Link) -> None:
        """Cancel the requests of a peer that can no longer get the outcome."""
        if not link.peer:
            self._watched.forget(self._peer_names.pop(link, ''))
            for job in self._jobs.pop(link, {}).values():
                self._gate.cancel(job)
            return
        view = self._chooser.views.get(link.peer)
        if view is not None:
            # A connection that timed out late must not hide a newer one.
            view.is_linked = self._pool.get(link.peer) is not None
            now = time.monotonic()
            self._update_reachable(now)
            if link.timed_out:
                self._probes.probe_domain(view.record.domain, now)
        self._log.event('link_lost', peer=link.peer)

    def handle(self, link: Link, frame: Frame) -> None:
        """Handle a frame of a peer."""
        handler = self._handlers.get(type(frame))
        if handler is not None:
            handler(link, frame)

    def _handle_cancel(self, link: Link, frame: Cancel) -> None:
        job = self._jobs.get(link, {}).pop(frame.correlation, None)
        if job is not None:
            self._gate.cancel(job)

    def _handle_config(self, link: Link, frame: ConfigCopy) -> None:
        if self._config.may_supersede(frame.version, frame.era):
            self._config.offer(frame.document, 'peer', frame.era)

    def _handle_crash_report(self, link: Link, frame: CrashReport) -> None:
        self._crash_records.add(
            frame.digest, frame.target_id, time.monotonic()
        )

    def _handle_introduction(self, link: Link, frame: Introduction) -> None:
        for record in frame.hosts:
            if record.name != self._record.name:
                self.add(record)
            elif record.state == TargetState.LEAVING:
                self.on_target_left(record)

    def _handle_token_request(self, link: Link, frame: TokenRequest) -> None:
        now = time.monotonic()
        grant = self._quota.grant(frame.workspace, frame.prefetch, now)
        wait_ms = int(grant.wait_s * 1000)
        link.send(
            TokenGrant(
                frame.correlation, grant.tokens, wait_ms, grant.is_owner
            )
        )

    def _handle_token_handover(self, link: Link, frame: TokenHandover) -> None:
        self._quota.accept_handover(
            frame.workspace, frame.tokens, time.monotonic()
        )

    def _handle_token_grant(self, link: Link, frame: TokenGrant) -> None:
        self.on_grant(frame)

    def _handle_dispatch(self, link: Link, frame: Dispatch) -> None:
        jobs = self._jobs.get(link)
        if jobs is None:
            return

        def reply(outcome: Outcome) -> None:
            jobs.pop(frame.correlation, None)
            link.send(self._adapt(outcome, link))

        job = self._gate.submit(frame, reply)
        if not job.is_done:
            jobs[frame.correlation] = job

    def _adapt(self, outcome: Outcome, link: Link) -> Outcome:
        """Return an outcome whose reason the peer knows."""
        if outcome.reason is not Reason.TARGET_RATE_LIMITED:
            return outcome
        view = self._chooser.views.get(self._peer_names.get(link, ''))
        if view is not None and view.protocol >= RATE_LIMIT_REVISION:
            return outcome
        return msgspec.structs.replace(outcome, reason=Reason.SHED_AT_GATE)

    def _report_rate_limit(self, link: Link, view: HostView) -> None:
        """Tell a host that may have restarted what its target has named.

        Its daemon would let all slots be used before the next answer.
        """
        if view.protocol >= RATE_LIMIT_REVISION:
            target_id, started_at_ms = view.rate_limited_target
            link.send(
                RateLimitReport(target_id, started_at_ms, view.rate_limit)
            )

    def _handle_rate_limit(self, link: Link, frame: RateLimitReport) -> None:
        self._gate.notices.remember_rate(
            frame.target_id, frame.started_at_ms, frame.rate_per_s
        )

    def _handle_status(self, link: Link, status: Status) -> None:
        record = status.host
        now = time.monotonic()
        is_first_status = self._peer_names.get(link) != record.name
        self._peer_names[link] = record.name
        self._remove_predecessors(record)
        is_new = record.name not in self._chooser.views
        if is_new:
            self.add(record)
        if is_new or (is_first_status and self._era_watch.is_repairing):
            self._sharing.introduce(record.name, status.config_version, link)
        view = self._chooser.update(record)
        self._pool.connect(record.name, record.address)
        if view.record.state != record.state:
            # The target has left before the host restarted.
            link.send(Introduction([view.record]))
        view.is_leaving = status.is_leaving
        view.limit = status.limit
        view.protocol = status.protocol
        view.reads_log = status.reads_log
        view.is_serving = status.is_serving
        self._handle_report(view, status, now)

    def _handle_heartbeat(self, link: Link, heartbeat: Heartbeat) -> None:
        host = self._peer_names.get(link, '')
        view = self._chooser.views.get(host)
        if view is None:
            return
        now = time.monotonic()
        self._watched.record(host, now, is_watched=heartbeat.is_watched)
        self._handle_report(view, heartbeat, now)

    def _handle_suspicion(self, link: Link, frame: Suspicion) -> None:
        self._probes.probe_host(frame.host, time.monotonic())

    def _handle_report(
        self, view: HostView, report: Status | Heartbeat, now: float
    ) -> None:
        """Handle the fields that status and heartbeat share."""
        self._era_watch.observe_peer(report.log_era)
        view.last_seen_at = now
        view.running = report.running
        view.waiting = report.waiting
        view.reported_at = now
        host = view.record.name
        self._last_seen_at[host] = now
        self._pool.reconnect(host)
        config = ConfigIdentity(
            report.config_version, report.config_era, report.config_digest
        )
        self._sharing.record_config(view.record, config, now)
        self.on_peer_version(host, report.config_version, view.is_serving)

    def _status(self) -> Status:
        return self._reports.status(
            self._record,
            is_leaving=self.is_leaving,
            is_serving=self.is_serving(),
        )
