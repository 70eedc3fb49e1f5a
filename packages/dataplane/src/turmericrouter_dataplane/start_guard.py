"""Keeps a daemon that has just started from serving an old configuration."""

from collections.abc import Callable

from turmericrouter_dataplane.config_feed import ConfigFeed
from turmericrouter_dataplane.decision_log import DecisionLog
from turmericrouter_dataplane.fleet_config import FleetConfig
from turmericrouter_dataplane.members import Members
from turmericrouter_dataplane.policy.start_check import StartCheck
from turmericrouter_dataplane.timers import Deadline
from turmericrouter_dataplane.timers import TICK_S
from turmericrouter_dataplane.timers import TimerService


class StartGuard:
    """Holds the configuration back until peers have told their version.

    Args:
        members: Hosts of the fleet.
        config: Newest known configuration.
        put_in_force: Called with each configuration that callers are served
            with.
        timers: Timer service.
        log: Decision log.
    """

    def __init__(
        self,
        *,
        members: Members,
        config: ConfigFeed,
        put_in_force: Callable[[FleetConfig], None],
        timers: TimerService,
        log: DecisionLog,
    ) -> None:
        self._members = members
        self._config = config
        self._put_in_force = put_in_force
        self._timers = timers
        self._log = log
        self._check = StartCheck()
        self._started_at = timers.now()
        # Newest configuration, until it is put in force.
        self._held: FleetConfig | None = None
        self._subscription: Deadline | None = None

    @property
    def may_serve(self) -> bool:
        """Return whether a configuration is in force."""
        return self._check.is_done

    def start(self) -> None:
        """Check periodically until callers may be served."""
        self._subscription = self._timers.every(
            TICK_S, self._update, name='start'
        )

    def apply(self, config: FleetConfig) -> None:
        """Put a configuration in force, at once or when callers are served."""
        if self._check.is_done:
            self._put_in_force(config)
        else:
            self._held = config

    def record_directory(self) -> None:
        """Record that the hosts in the log are known."""
        self._check.record_directory()

    def record_version(
        self, host: str, version: int, is_serving: bool
    ) -> None:
        """Handle the version that a peer reports.

        Args:
            host: Name of the peer.
            version: Its version; -1 for none.
            is_serving: Whether the peer serves callers.
        """
        if self._check.is_done:
            return
        self._check.record_version(
            host, version, self._timers.now(), is_serving=is_serving
        )
        if version > self._config.version:
            # The peer sends its configuration to a host that reports an
            # older version. When it got the first status of this host, it
            # may have had no link to send it on.
            self._members.send_status(host)

    def _update(self) -> None:
        now = self._timers.now()
        if self._held is None or not self._check.update(
            self._held.version,
            self._members.peers,
            self._members.linked_peers(),
            now,
        ):
            return
        if self._subscription is not None:
            self._subscription.cancel()
        self._log.event(
            'start_checked',
            version=self._held.version,
            newest=self._check.newest_version,
            peers=self._members.peers,
            links=self._members.links_open,
            waited_ms=int((now - self._started_at) * 1000),
        )
        self._put_in_force(self._held)
        self._held = None
