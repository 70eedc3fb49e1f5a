"""Settings and services that all components of the daemon share."""

import dataclasses
import random

from turmericrouter_core.clock import Clock
from turmericrouter_core.clock import Timers
from turmericrouter_daemon.decisions import DecisionLog
from turmericrouter_daemon.logs import Log
from turmericrouter_daemon.metrics import Metrics
from turmericrouter_daemon.settings import Settings


@dataclasses.dataclass(frozen=True, slots=True)
class Runtime:
    """Settings and services of one process.

    Args:
        settings: Checked settings.
        clock: Clocks.
        timers: Timer service.
        rng: Random numbers; ids that must not be guessed come from a
            system source instead.
        log: Logger.
        decisions: Routing decisions.
        metrics: Metrics client.
        incarnation: Start time in milliseconds since the Unix epoch.
    """

    settings: Settings
    clock: Clock
    timers: Timers
    rng: random.Random
    log: Log
    decisions: DecisionLog
    metrics: Metrics
    incarnation: int

    @property
    def address(self) -> str:
        """Return `IP:PORT` of the peer listener, which names this host."""
        host = self.settings.host
        return f'{host.ip}:{host.peer_port}'
