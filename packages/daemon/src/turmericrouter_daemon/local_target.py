"""State of the local target, from its announcements."""

from collections.abc import Callable
import enum

from turmericrouter_core.concurrency import ConcurrencyLimit
from turmericrouter_core.concurrency import LimitSettings
from turmericrouter_core.concurrency import ServiceTimeEstimator
from turmericrouter_daemon.runtime import Runtime
from turmericrouter_daemon.target_pool import TargetPool

# The announcement timeout is checked this many times per timeout.
_CHECKS_PER_TIMEOUT = 10


class TargetState(enum.StrEnum):
    """State of the local target."""

    ABSENT = 'absent'
    SERVING = 'serving'
    LEAVING = 'leaving'
    LOST = 'lost'


class LocalTarget:
    """State, connections and concurrency limit of the local target.

    Args:
        runtime: Services of the process.
        on_replaced: Called before another target, or a new instance of
            the same one, takes the place of the last.
    """

    def __init__(
        self, runtime: Runtime, on_replaced: Callable[[], None]
    ) -> None:
        self._runtime = runtime
        self._on_replaced = on_replaced
        self._announced: tuple[str, str, int, str] = ('', '', 0, '')
        self._announced_at = 0.0
        self._pool_count = 0
        self._connection_failed = False
        self._subscribers: list[Callable[[TargetState], None]] = []
        self.state = TargetState.ABSENT
        self.pool: TargetPool | None = None
        self.limit = self._new_limit(0, 0)
        self.service_times = ServiceTimeEstimator()

    @property
    def name(self) -> str:
        """Return the name of the target, empty before its announcement."""
        return self._announced[0]

    @property
    def pool_id(self) -> str:
        """Return an identifier of the pool, unique in the fleet."""
        return f'{self.name}/{self._runtime.incarnation}/{self._pool_count}'

    def on_state(self, callback: Callable[[TargetState], None]) -> None:
        """Subscribe to changes of the state."""
        self._subscribers.append(callback)

    def announce(
        self,
        announced: tuple[str, str, int, str],
        *,
        slots: int,
        connections: int,
        leaving: bool,
    ) -> None:
        """Handle an announcement, including a repeated one.

        Args:
            announced: Name, IP address, port and instance.
            slots: Requests it runs at once, 0 if unknown.
            connections: Connections it accepts, 0 if unknown.
            leaving: Whether it accepts no new requests.
        """
        if self.state is TargetState.ABSENT:
            self._start_announcement_checks()
        self._announced_at = self._runtime.clock.monotonic()
        own = self._runtime.settings.target.connections
        known = [bound for bound in (connections, own) if bound]
        bound = min(known, default=0)
        if (
            self.pool is None
            or announced != self._announced
            or self.state is TargetState.LOST
            or self._connection_failed
        ):
            self._replace(announced, slots, bound)
        else:
            self.pool.max_connections = bound
            self.limit.set_bounds(slots=slots, connections=bound)
        self._change_state(
            TargetState.LEAVING if leaving else TargetState.SERVING
        )

    def record_connection_failure(self, pool: TargetPool) -> None:
        """Record a failed connection; the target may have restarted."""
        if pool is self.pool:
            self._connection_failed = True

    def _replace(
        self, announced: tuple[str, str, int, str], slots: int, bound: int
    ) -> None:
        settings = self._runtime.settings.target
        if self.pool is not None:
            self._on_replaced()
            self.pool.close()
        self._announced = announced
        self._connection_failed = False
        self._pool_count += 1
        self.pool = TargetPool(
            announced[1],
            announced[2],
            connect_timeout_s=settings.connect_timeout_s,
            max_answer_bytes=settings.max_answer_bytes,
            max_connections=bound,
        )
        self.limit = self._new_limit(slots, bound)
        self.service_times = ServiceTimeEstimator()

    def _new_limit(self, slots: int, connections: int) -> ConcurrencyLimit:
        overload = self._runtime.settings.overload
        return ConcurrencyLimit(
            LimitSettings(
                initial_limit=overload.initial_limit,
                max_limit=overload.max_limit,
                cold_start_s=overload.cold_start_s,
                adaptive=overload.adaptive,
            ),
            self._runtime.clock.monotonic(),
            slots=slots,
            connections=connections,
        )

    def _start_announcement_checks(self) -> None:
        timeout_s = self._runtime.settings.target.announcement_timeout_s
        self._runtime.timers.every(
            timeout_s / _CHECKS_PER_TIMEOUT,
            self.check_announcement,
            name='target_announcement',
        )

    def check_announcement(self) -> None:
        """Mark the target as lost if its announcement has timed out."""
        age_s = self._runtime.clock.monotonic() - self._announced_at
        timeout_s = self._runtime.settings.target.announcement_timeout_s
        if age_s > timeout_s and self.state is not TargetState.LOST:
            if self.pool is not None:
                self.pool.close()
            self._change_state(TargetState.LOST)

    def _change_state(self, state: TargetState) -> None:
        if state is self.state:
            return
        self.state = state
        self._runtime.log.info(
            'target_state_changed', target=self.name, state=state
        )
        for callback in self._subscribers:
            callback(state)
