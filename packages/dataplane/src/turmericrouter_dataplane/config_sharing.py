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

# A peer that lacks the current configuration is sent it after this time; by
# then it should have its copy. Its watchers and bootstrap peers send it
# first, other hosts only after the longer time.
_CONFIG_LAG_S = 0.5
_MAX_CONFIG_LAG_S = 3.0
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

    def copy_to_domain(self) -> None:
        """Send the configuration to the other hosts of the domain."""
        views = self._chooser.views
        domain = views[self._host].record.domain
        copy = encode_frame(self._copy())
        for link in self._pool.open_links():
            view = views.get(link.peer)
            if view is not None and view.record.domain == domain:
                link.send_encoded(copy)

    def record_config(
        self, record: HostRecord, config: ConfigIdentity, now: float
    ) -> None:
        """Handle the configuration that a host reports; help it if it lags.

        Args:
            record: Record of the host.
            config: Configuration in force there.
            now: Monotonic seconds.
        """
        if not config.is_older_than(self._config.identity):
            self.forget(record.name)
            return
        since = self._lagging_since.setdefault(record.name, now)
        link = self._pool.get(record.name)
        if link is None or now - self._config.applied_at < _CONFIG_LAG_S:
            return
        if now - since < _MAX_CONFIG_LAG_S and not (
            record.name in self._watched or self.is_bootstrap_peer(record.name)
        ):
            return
        link.send(self._copy())
        self.introduce(record.name, config.version, link)

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
        """Forget that a host has lagged."""
        self._lagging_since.pop(host, None)

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

    def _copy(self) -> ConfigCopy:
        config = self._config
        return ConfigCopy(config.version, config.document, config.document_era)
