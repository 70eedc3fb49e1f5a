"""Hosts of the fleet, the links to them, and what they say of themselves."""

from collections.abc import Callable
import time
from typing import Any

from turmericrouter_core.rendezvous import ranked
from turmericrouter_dataplane.config_feed import ConfigFeed
from turmericrouter_dataplane.decision_log import DecisionLog
from turmericrouter_dataplane.frames import Beat
from turmericrouter_dataplane.frames import Cancel
from turmericrouter_dataplane.frames import ConfigCopy
from turmericrouter_dataplane.frames import CrashReport
from turmericrouter_dataplane.frames import Dispatch
from turmericrouter_dataplane.frames import encode_frame
from turmericrouter_dataplane.frames import Frame
from turmericrouter_dataplane.frames import HostRecord
from turmericrouter_dataplane.frames import Introduction
from turmericrouter_dataplane.frames import Outcome
from turmericrouter_dataplane.frames import Status
from turmericrouter_dataplane.frames import TokenGrant
from turmericrouter_dataplane.frames import TokenRequest
from turmericrouter_dataplane.gate import Gate
from turmericrouter_dataplane.gate_job import GateJob
from turmericrouter_dataplane.links import Link
from turmericrouter_dataplane.links import LinkPool
from turmericrouter_dataplane.policy.crash_records import CrashRecords
from turmericrouter_dataplane.policy.reachable_hosts import find_reachable
from turmericrouter_dataplane.policy.retry_budget import RetryBudget
from turmericrouter_dataplane.policy.target_chooser import HostView
from turmericrouter_dataplane.policy.target_chooser import TargetChooser
from turmericrouter_dataplane.policy.workspace_quota import WorkspaceQuota

BEAT_PERIOD_S = 1.0
# A host that has just started and doesn't know the others yet takes the shares
# of a fleet of this size, not those of a fleet of its own.
_UNKNOWN_FLEET = 32
# Beats get rarer beyond this number of hosts, so that a host's cost stays.
_HOSTS_AT_FULL_PACE = 20
# A host that was not heard for this many periods counts as cut off.
_SILENT_PERIODS = 2.6
# A peer that lags behind gets the configuration after this time; by then
# it would have it from the log, were the log in its reach. Its helpers send it
# first, the others only if it still lags after the longer time.
_LAG_S = 0.5
_LONG_LAG_S = 3.0
# Helpers of a host in its own failure domain, and in the whole fleet.
_NEAR_HELPERS = 2
_FAR_HELPERS = 2
# A peer whose link has gone silent gets no new calls for this time.
_SUSPECT_S = 0.4


class Members:
    """Keeps links to all hosts and serves the requests they dispatch.

    Args:
        record: What this host says of itself at its start.
        gate: Gate of the local target.
        chooser: Chooses targets.
        quota: Limits of workspaces.
        budget: Bounds repeats.
        crash_records: Records of poison requests, which crash targets.
        config: Configuration in force.
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
        log: DecisionLog,
    ) -> None:
        self._record = record
        self._gate = gate
        self._chooser = chooser
        self._quota = quota
        self._budget = budget
        self._crash_records = crash_records
        self._config = config
        self._log = log
        self._pool = LinkPool(self)
        self._jobs: dict[Link, dict[int, GateJob]] = {}
        self._heard: dict[str, float] = {}
        self._senders: dict[Link, str] = {}
        # Since when hosts were heard with an older configuration.
        self._lagging: dict[str, float] = {}
        self._published_at = time.monotonic()
        self.is_leaving = False
        self.on_grant: Callable[[TokenGrant], None] = lambda grant: None
        self._handlers: dict[type, Callable[[Link, Any], None]] = {
            Dispatch: self._run,
            Cancel: self._cancel,
            Status: self._hear,
            Beat: self._hear_beat,
            ConfigCopy: self._copy_config,
            CrashReport: self._mark_crash,
            Introduction: self._meet,
            TokenRequest: self._grant,
            TokenGrant: self._take_grant,
        }
        chooser.update(record)
        self._min_hosts = _UNKNOWN_FLEET
        self._update_reachable(time.monotonic())
        self._share_budget()

    @property
    def record(self) -> HostRecord:
        """Return what this host says of itself."""
        return self._record

    @property
    def peers(self) -> int:
        """Return the number of other hosts."""
        return len(self._chooser.views) - 1

    @property
    def _period_s(self) -> float:
        hosts = len(self._chooser.views)
        return BEAT_PERIOD_S * max(1.0, hosts / _HOSTS_AT_FULL_PACE)

    @property
    def silence_s(self) -> float:
        """Return the time after which an unheard host counts as cut off."""
        return _SILENT_PERIODS * self._period_s

    @property
    def links_open(self) -> int:
        """Return the number of links that can be used."""
        return len(self._pool.open_links())

    def link_of(self, host: str) -> Link | None:
        """Return the open link to a host."""
        return self._pool.get(host)

    def change_own(self, record: HostRecord) -> None:
        """Change what this host says of itself, and tell the peers."""
        self._record = record
        self._chooser.update(record)
        self.broadcast()

    def learn(self, record: HostRecord) -> None:
        """Take in a host from the log or from a peer."""
        if record.name == self._record.name:
            return
        view = self._chooser.views.get(record.name)
        if view is None:
            if self._has_new_owner(record):
                return
            self._log.event(
                'host_learned',
                peer=record.name,
                domain=record.domain,
                service=record.service,
            )
            now = time.monotonic()
            self._chooser.update(record).added_at = now
            self._heard[record.name] = now
            self._share_budget()
        elif time.monotonic() - view.last_seen_at > self.silence_s:
            self._chooser.update(record)
        self._pool.want(record.name, record.address)

    def forget(self, host: str) -> None:
        """Drop a host that has left for good."""
        if host == self._record.name or host not in self._chooser.views:
            return
        self._chooser.remove(host)
        self._heard.pop(host, None)
        self._lagging.pop(host, None)
        self._pool.forget(host)
        self._share_budget()
        self._log.event('host_left', peer=host)

    def _forget_predecessors(self, record: HostRecord) -> None:
        """Drop hosts that had the address of a host which is heard now.

        Links to them would lead to the new one.
        """
        for name, view in list(self._chooser.views.items()):
            if view.record.address == record.address and name != record.name:
                self.forget(name)

    def _has_new_owner(self, record: HostRecord) -> bool:
        """Return whether another host was heard at the address of a record.

        The log keeps the records of hosts that are gone.
        """
        return any(
            view.record.address == record.address and view.last_seen_at > 0
            for view in self._chooser.views.values()
        )

    def know_all(self) -> None:
        """Learn that all hosts which the log names are known."""
        if self._min_hosts > 1:
            self._min_hosts = 1
            self._update_reachable(time.monotonic())
            self._share_budget()

    def _update_reachable(self, now: float) -> None:
        views = self._chooser.views
        own = self._record.name
        reach = find_reachable(
            views[own],
            [view for name, view in views.items() if name != own],
            now=now,
            silence_timeout_s=self.silence_s,
            min_hosts=self._min_hosts,
        )
        self._quota.set_reachable(reach, now)

    def _share_budget(self) -> None:
        hosts = len(self._chooser.views)
        self._budget.set_host_count(max(hosts, self._min_hosts))

    def silent(self, longer_than_s: float) -> list[str]:
        """Return the hosts that were not heard for some time."""
        oldest = time.monotonic() - longer_than_s
        return [name for name, at in self._heard.items() if at < oldest]

    def publish(self) -> None:
        """Tell the peers the state of this host."""
        now = time.monotonic()
        if now - self._published_at < 0.9 * self._period_s:
            return
        self._published_at = now
        gate = self._gate
        beat = encode_frame(
            Beat(self._config.version, gate.running, gate.waiting)
        )
        for link in self._pool.open_links():
            link.send_encoded(beat)

    def broadcast(self) -> None:
        """Send the whole state to all peers."""
        status = encode_frame(self._status())
        for link in self._pool.open_links():
            link.send_encoded(status)

    def check_links(self) -> None:
        """Look for links that have gone silent."""
        now = time.monotonic()
        self._pool.check(now)
        self._update_reachable(now)
        for peer in self._pool.suspects(now):
            view = self._chooser.views.get(peer)
            if view is not None:
                view.avoid_until = now + _SUSPECT_S

    def report_crash(self, digest: int, target_id: str) -> None:
        """Tell the fleet that a request has crashed the target."""
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
        """Introduce this host on a link of its own."""
        if not link.peer:
            self._jobs[link] = {}
            return
        view = self._chooser.views.get(link.peer)
        if view is not None:
            view.is_linked = True
            self._update_reachable(time.monotonic())
        self._log.event('link_opened', peer=link.peer)
        link.send(self._status())

    def link_closed(self, link: Link) -> None:
        """Stop the requests of a peer that cannot get their outcome."""
        if not link.peer:
            self._senders.pop(link, None)
            for job in self._jobs.pop(link, {}).values():
                self._gate.cancel(job)
            return
        view = self._chooser.views.get(link.peer)
        if view is not None:
            # A connection that was given up late must not hide a newer one.
            view.is_linked = self._pool.get(link.peer) is not None
            now = time.monotonic()
            self._update_reachable(now)
            if link.was_silent:
                self._doubt_domain(view.record.domain, now)
        self._log.event('link_lost', peer=link.peer)

    def handle(self, link: Link, frame: Frame) -> None:
        """Handle a frame of a peer."""
        handler = self._handlers.get(type(frame))
        if handler is not None:
            handler(link, frame)

    def _cancel(self, link: Link, frame: Cancel) -> None:
        job = self._jobs.get(link, {}).pop(frame.correlation, None)
        if job is not None:
            self._gate.cancel(job)

    def _copy_config(self, link: Link, frame: ConfigCopy) -> None:
        if frame.version > self._config.version:
            self._config.offer(frame.document, 'peer')

    def _mark_crash(self, link: Link, frame: CrashReport) -> None:
        self._crash_records.add(
            frame.digest, frame.target_id, time.monotonic()
        )

    def _meet(self, link: Link, frame: Introduction) -> None:
        for record in frame.hosts:
            self.learn(record)

    def _grant(self, link: Link, frame: TokenRequest) -> None:
        now = time.monotonic()
        grant = self._quota.grant(frame.workspace, frame.ahead, now)
        wait_ms = int(grant.wait_s * 1000)
        link.send(TokenGrant(frame.correlation, grant.tokens, wait_ms))

    def _take_grant(self, link: Link, frame: TokenGrant) -> None:
        self.on_grant(frame)

    def _run(self, link: Link, frame: Dispatch) -> None:
        jobs = self._jobs.get(link)
        if jobs is None:
            return

        def reply(outcome: Outcome) -> None:
            jobs.pop(frame.correlation, None)
            link.send(outcome)

        job = self._gate.submit(frame, reply)
        if not job.is_done:
            jobs[frame.correlation] = job

    def _hear(self, link: Link, status: Status) -> None:
        record = status.host
        now = time.monotonic()
        self._senders[link] = record.name
        self._forget_predecessors(record)
        if record.name not in self._chooser.views:
            self.learn(record)
            self._introduce(record.name, status.config_version)
        view = self._chooser.update(record)
        self._pool.want(record.name, record.address)
        view.is_leaving = status.is_leaving
        view.limit = status.limit
        self._note_state(view, status, now)

    def _hear_beat(self, link: Link, beat: Beat) -> None:
        host = self._senders.get(link, '')
        view = self._chooser.views.get(host)
        if view is None:
            return
        now = time.monotonic()
        self._note_state(view, beat, now)

    def _note_state(
        self, view: HostView, said: Status | Beat, now: float
    ) -> None:
        """Take in what a status and a beat have in common."""
        view.last_seen_at = now
        view.running = said.running
        view.waiting = said.waiting
        view.reported_at = now
        host = view.record.name
        self._heard[host] = now
        self._pool.retry(host)
        if said.config_version < self._config.version:
            self._help(view.record, said.config_version, now)
        else:
            self._lagging.pop(host, None)

    def _doubt_domain(self, domain: str, now: float) -> None:
        """Probe the links to a domain of which one has gone silent."""
        for link in self._pool.open_links():
            view = self._chooser.views.get(link.peer)
            if view is not None and view.record.domain == domain:
                link.probe(now)

    def _introduce(self, host: str, config_version: int) -> None:
        """Tell a host that has just started what it cannot know yet."""
        if config_version >= 0 or not self._is_helper(host):
            return
        link = self._pool.get(host)
        if link is not None:
            hosts = [view.record for view in self._chooser.views.values()]
            link.send(Introduction(hosts))

    def _help(self, record: HostRecord, version: int, now: float) -> None:
        """Send the configuration to a host that lags behind."""
        since = self._lagging.setdefault(record.name, now)
        link = self._pool.get(record.name)
        if link is None or now - self._config.applied_at < _LAG_S:
            return
        if now - since < _LONG_LAG_S and not self._is_helper(record.name):
            return
        link.send(ConfigCopy(self._config.version, self._config.document))
        self._introduce(record.name, version)

    def _is_helper(self, host: str) -> bool:
        """Return whether this host is one of those that help another one.

        All hosts find the same few, so that a host that starts does not get
        the same configuration from every other one.
        """
        views = self._chooser.views
        others = [
            name
            for name, view in views.items()
            if name != host
            and (view.is_linked or name == self._record.name)
            and not view.is_leaving
        ]
        domain = views[host].record.domain
        near = [name for name in others if views[name].record.domain == domain]
        helpers = ranked(host, near)[:_NEAR_HELPERS]
        helpers += ranked(host, others)[:_FAR_HELPERS]
        return self._record.name in helpers

    def _status(self) -> Status:
        gate = self._gate
        return Status(
            self._record,
            self._config.version,
            gate.running,
            gate.waiting,
            gate.limit,
            self.is_leaving,
        )
