"""Copies the configuration and known hosts to peers that lack them."""

from turmericrouter_core.rendezvous import rank_by_hash
from turmericrouter_dataplane.config_feed import ConfigFeed
from turmericrouter_dataplane.era_watch import EraWatch
from turmericrouter_dataplane.frames import ConfigCopy
from turmericrouter_dataplane.frames import encode_frame
from turmericrouter_dataplane.frames import HostRecord
from turmericrouter_dataplane.frames import Introduction
from turmericrouter_dataplane.links import Link
from turmericrouter_dataplane.links import LinkPool
from turmericrouter_dataplane.policy.config_order import ConfigIdentity
from turmericrouter_dataplane.policy.target_chooser import TargetChooser
from turmericrouter_dataplane.policy.watchers import WatchedHosts

# A host that has not confirmed the configuration is sent it again after these
# times: by the log readers of its domain, by its watchers and bootstrap peers,
# and by all other hosts, which hear of it less often.
_READER_PATIENCE_S = 0.3
_HELPER_PATIENCE_S = 0.5
_MAX_CONFIG_LAG_S = 3.0
_RESEND_PERIOD_S = 0.5
# Bootstrap peers of a host in its own failure domain, and in the whole fleet.
_DOMAIN_BOOTSTRAP_PEERS = 2
_FLEET_BOOTSTRAP_PEERS = 2


class ConfigSharing:
    """Sends copies of the configuration over the links to peers.

    Args:
        host: Name of this host.
        config: Configuration in force.
        chooser: Known hosts.
        pool: Links to peers.
        watched: Hosts that this one watches.
        era_watch: Tells whether the log may lack records of hosts.
    """

    def __init__(
        self,
        host: str,
        *,
        config: ConfigFeed,
        chooser: TargetChooser,
        pool: LinkPool,
        watched: WatchedHosts,
        era_watch: EraWatch,
    ) -> None:
        self._host = host
        self._config = config
        self._chooser = chooser
        self._pool = pool
        self._watched = watched
        self._era_watch = era_watch
        # When each lagging host first reported another configuration.
        self._lagging_since: dict[str, float] = {}
        # Newest configuration that each host has reported.
        self._reported: dict[str, ConfigIdentity] = {}
        # Hosts that this one sends the configuration until they report it,
        # with the earliest time of the next copy.
        self._unconfirmed: dict[str, float] = {}

    def copy_to_domain(self) -> None:
        """Send the configuration to the other hosts of the domain."""
        views = self._chooser.views
        domain = views[self._host].record.domain
        copy = encode_frame(self._copy())
        for link in self._pool.open_links():
            view = views.get(link.peer)
            if view is not None and view.record.domain == domain:
                link.send_encoded(copy)
                self._expect_confirmation(link.peer, _READER_PATIENCE_S)

    def handle_applied(self) -> None:
        """Expect the hosts that this one watches to confirm a new version."""
        for host in self._watched:
            self._expect_confirmation(host, _HELPER_PATIENCE_S)

    def check(self, now: float) -> None:
        """Send the configuration again to hosts that have not confirmed it."""
        for host, due_at in list(self._unconfirmed.items()):
            link = self._pool.get(host)
            if link is not None and now >= due_at:
                self._send_copy(host, link, now)

    def record_config(
        self, record: HostRecord, config: ConfigIdentity, now: float
    ) -> None:
        """Handle the configuration that a host reports; help it if it lags.

        Args:
            record: Record of the host.
            config: Configuration in force there.
            now: Monotonic seconds.
        """
        host = record.name
        self._reported[host] = config
        if not self._is_outdated(host):
            self._lagging_since.pop(host, None)
            self._unconfirmed.pop(host, None)
            return
        since = self._lagging_since.setdefault(host, now)
        link = self._pool.get(host)
        if link is None or now - self._config.applied_at < _HELPER_PATIENCE_S:
            return
        if now - since < _MAX_CONFIG_LAG_S and not (
            host in self._watched or self.is_bootstrap_peer(host)
        ):
            return
        if now >= self._unconfirmed.get(host, now):
            self._send_copy(host, link, now)
            self.introduce(host, config.version, link)

    def introduce(self, host: str, version: int, link: Link) -> None:
        """Send the known hosts to a peer that may not know them.

        A peer without a configuration may not have read the log yet. After a
        return of the log from an older copy, what it reads may lack hosts.
        Only the bootstrap peers of the peer send them.

        Args:
            host: Name of the peer.
            version: Version in force there; -1 for none.
            link: A link to the peer.
        """
        if version >= 0 and not self._era_watch.is_repairing:
            return
        if self.is_bootstrap_peer(host):
            hosts = [view.record for view in self._chooser.views.values()]
            link.send(Introduction(hosts))

    def forget(self, host: str) -> None:
        """Forget a host that has left."""
        self._lagging_since.pop(host, None)
        self._reported.pop(host, None)
        self._unconfirmed.pop(host, None)

    def is_bootstrap_peer(self, host: str) -> bool:
        """Return whether this host is a bootstrap peer of another host.

        All hosts select the same few, so that a starting host does not get
        the same configuration from every other host.

        A host that lags itself cannot help. Hosts of a failure domain that
        restarts as a whole may all have read the same older configuration.
        """
        views = self._chooser.views
        others = [
            name
            for name, view in views.items()
            if name != host
            and (view.is_linked or name == self._host)
            and not view.is_leaving
            and name not in self._lagging_since
        ]
        domain = views[host].record.domain
        near = [name for name in others if views[name].record.domain == domain]
        bootstrap_peers = rank_by_hash(host, near)[:_DOMAIN_BOOTSTRAP_PEERS]
        bootstrap_peers += rank_by_hash(host, others)[:_FLEET_BOOTSTRAP_PEERS]
        return self._host in bootstrap_peers

    def _expect_confirmation(self, host: str, patience_s: float) -> None:
        if self._is_outdated(host):
            due_at = self._config.applied_at + patience_s
            self._unconfirmed[host] = min(
                due_at, self._unconfirmed.get(host, due_at)
            )

    def _is_outdated(self, host: str) -> bool:
        """Return whether a host has reported an older configuration last."""
        reported = self._reported.get(host)
        return reported is not None and reported.is_older_than(
            self._config.identity
        )

    def _send_copy(self, host: str, link: Link, now: float) -> None:
        """Send a copy, and find out whether the link still works.

        A connection may have gone silent without an error; the probe closes
        it, and the next copy goes over a new one.
        """
        link.send(self._copy())
        link.probe(now)
        self._unconfirmed[host] = now + _RESEND_PERIOD_S

    def _copy(self) -> ConfigCopy:
        config = self._config
        return ConfigCopy(config.version, config.document, config.document_era)
