"""Builds the frames in which this host reports its state."""

from turmericrouter_dataplane.config_feed import ConfigFeed
from turmericrouter_dataplane.era_watch import EraWatch
from turmericrouter_dataplane.frames import Heartbeat
from turmericrouter_dataplane.frames import HostRecord
from turmericrouter_dataplane.frames import PROTOCOL_REVISION
from turmericrouter_dataplane.frames import Status
from turmericrouter_dataplane.gate import Gate


class HostReports:
    """Builds statuses and heartbeats.

    Args:
        gate: Gate of the local target.
        config: Configuration in force.
        era_watch: Newest known era of the log.
    """

    def __init__(
        self, gate: Gate, config: ConfigFeed, era_watch: EraWatch
    ) -> None:
        self._gate = gate
        self._config = config
        self._era_watch = era_watch

    def status(
        self, record: HostRecord, *, is_leaving: bool, is_serving: bool
    ) -> Status:
        """Return the whole state of this host.

        Args:
            record: Record of this host.
            is_leaving: Whether the daemon is about to stop.
            is_serving: Whether the daemon serves callers.
        """
        gate = self._gate
        config = self._config.identity
        return Status(
            record,
            config.version,
            gate.running,
            gate.waiting,
            gate.limit,
            is_leaving,
            PROTOCOL_REVISION,
            self._config.is_connected,
            self._era_watch.current,
            config.era,
            config.digest,
            is_serving,
        )

    def heartbeat(self, *, is_watched: bool) -> Heartbeat:
        """Return a heartbeat.

        Args:
            is_watched: Whether the receiver watches this host.
        """
        gate = self._gate
        config = self._config.identity
        return Heartbeat(
            config.version,
            gate.running,
            gate.waiting,
            is_watched,
            self._era_watch.current,
            config.era,
            config.digest,
        )
