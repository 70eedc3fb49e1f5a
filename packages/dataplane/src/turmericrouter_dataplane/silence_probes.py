"""Probes the links to hosts that have fallen silent."""

from turmericrouter_dataplane.decision_log import DecisionLog
from turmericrouter_dataplane.frames import encode_frame
from turmericrouter_dataplane.frames import Suspicion
from turmericrouter_dataplane.frames import SUSPICION_REVISION
from turmericrouter_dataplane.links import LinkPool
from turmericrouter_dataplane.policy.target_chooser import TargetChooser
from turmericrouter_dataplane.policy.watchers import WatchedHosts


class SilenceProbes:
    """Finds out whether silent hosts can still be reached.

    Args:
        chooser: Known hosts.
        pool: Links to peers.
        watched: Hosts that this one watches.
        log: Decision log.
    """

    def __init__(
        self,
        *,
        chooser: TargetChooser,
        pool: LinkPool,
        watched: WatchedHosts,
        log: DecisionLog,
    ) -> None:
        self._chooser = chooser
        self._pool = pool
        self._watched = watched
        self._log = log

    def report_silent_hosts(self, now: float) -> None:
        """Probe the links to silent hosts, and let all peers do the same."""
        for host in self._watched.take_silent(now):
            self._log.event('host_suspected', peer=host)
            self.probe_host(host, now)
            report = encode_frame(Suspicion(host))
            for link in self._pool.open_links():
                view = self._chooser.views.get(link.peer)
                if view is not None and view.protocol >= SUSPICION_REVISION:
                    link.send_encoded(report)

    def probe_host(self, host: str, now: float) -> None:
        """Probe the link to a host, if there is one."""
        link = self._pool.get(host)
        if link is not None:
            link.probe(now)

    def probe_domain(self, domain: str, now: float) -> None:
        """Probe all links to a domain after one of them has gone silent."""
        for link in self._pool.open_links():
            view = self._chooser.views.get(link.peer)
            if view is not None and view.record.domain == domain:
                link.probe(now)
