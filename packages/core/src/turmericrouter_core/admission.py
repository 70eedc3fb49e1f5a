"""Queue before the target: importance, fair shares, deadlines."""

import collections
import dataclasses
import enum
import math

from turmericrouter_core.fair_queue import FairQueue
from turmericrouter_core.fair_queue import Ticket
from turmericrouter_core.verdict import Importance
from turmericrouter_core.verdict import Reason

# Below this a queue is too short to absorb two arrivals at the same time.
MIN_CAPACITY = 4
_MIN_RETRY_AFTER_S = 0.05
_MAX_RETRY_AFTER_S = 5.0


class Placement(enum.Enum):
    """What became of an offered request."""

    STARTED = 'started'
    WAITING = 'waiting'
    REFUSED = 'refused'


@dataclasses.dataclass(frozen=True, slots=True)
class QueueSettings:
    """Shape of the queue.

    Args:
        per_limit: Queue length as a multiple of the concurrency limit.
        delay_target_s: Queue delay that counts as overload.
        interval_s: Seconds for which the delay must stand.
        plain: First in, first out without bound, for baselines.
    """

    per_limit: float = 1.0
    delay_target_s: float = 0.02
    interval_s: float = 0.1
    plain: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Dropped:
    """A request that had been waiting and is refused now.

    Args:
        number: Number of its ticket.
        reason: Why.
        waited_s: Seconds in the queue.
        retry_after_s: Seconds after which another attempt makes sense.
    """

    number: int
    reason: Reason
    waited_s: float
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """Decision on an offered request.

    Args:
        placement: Whether it starts, waits or is refused.
        reason: Why it is refused, else `served`.
        retry_after_s: Seconds after which another attempt makes sense.
        dropped: Requests that it displaced.
    """

    placement: Placement
    reason: Reason = Reason.SERVED
    retry_after_s: float = 0.0
    dropped: tuple[Dropped, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Decision after a slot or a place in the queue became free.

    Args:
        started: Requests that start now.
        dropped: Requests that are refused instead.
    """

    started: tuple[Ticket, ...] = ()
    dropped: tuple[Dropped, ...] = ()


_STARTED = Admission(Placement.STARTED)
_WAITING = Admission(Placement.WAITING)
_NOTHING = Release()


class GateQueue:
    """Decides which requests run, wait and are refused.

    The concurrency limit is passed to each call, as it changes all the
    time. Every started request takes a slot until `release` is called.

    Args:
        settings: Shape of the queue.
    """

    def __init__(self, settings: QueueSettings) -> None:
        self._settings = settings
        self._running: set[int] = set()
        self._waiting: collections.OrderedDict[int, Ticket] = (
            collections.OrderedDict()
        )
        self._classes = {rank: FairQueue() for rank in Importance}
        self._standing_since: float | None = None

    @property
    def in_flight(self) -> int:
        """Return the number of requests that hold a slot."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Return the number of requests that wait."""
        return len(self._waiting)

    def capacity(self, limit: int) -> float:
        """Return how many requests may wait."""
        if self._settings.plain:
            return math.inf
        return max(MIN_CAPACITY, math.ceil(self._settings.per_limit * limit))

    def offer(self, now: float, ticket: Ticket, limit: int) -> Admission:
        """Decide on a new request.

        Args:
            now: Monotonic seconds.
            ticket: The request.
            limit: Concurrency limit.
        """
        if self._is_hopeless(now, ticket):
            return Admission(Placement.REFUSED, Reason.DEADLINE_TOO_SHORT)
        if not self._waiting and len(self._running) < limit:
            self._running.add(ticket.number)
            return _STARTED
        newest = self._serves_newest(now)
        if len(self._waiting) < self.capacity(limit):
            self._add(ticket)
            return _WAITING
        return self._displace(now, ticket, limit, newest)

    def release(self, now: float, number: int, limit: int) -> Release:
        """Give the slot of a request back and start others.

        Also removes a request that waits, if its caller has cancelled it.

        Args:
            now: Monotonic seconds.
            number: Number of the ticket.
            limit: Concurrency limit.
        """
        self._running.discard(number)
        if number in self._waiting:
            self._remove(self._waiting[number])
        return self.start(now, limit) if self._waiting else _NOTHING

    def start(self, now: float, limit: int) -> Release:
        """Start requests that wait while slots are free."""
        if not self._waiting:
            self._standing_since = None
            return _NOTHING
        started: list[Ticket] = []
        dropped: list[Dropped] = []
        while self._waiting and len(self._running) < limit:
            newest = self._serves_newest(now)
            queue = self._first_class()
            ticket = queue.first(newest)
            if self._is_hopeless(now, ticket):
                self._remove(ticket)
                dropped.append(self._late(now, ticket))
                continue
            queue.charge(self._lane_name(ticket), ticket)
            self._remove(ticket)
            self._running.add(ticket.number)
            started.append(ticket)
        return Release(tuple(started), tuple(dropped))

    def drop_waiting(
        self, now: float, reason: Reason, retry_after_s: float = 0.0
    ) -> tuple[Dropped, ...]:
        """Refuse everything that waits."""
        tickets = tuple(self._waiting.values())
        for ticket in tickets:
            self._remove(ticket)
        return tuple(
            Dropped(
                ticket.number, reason, now - ticket.arrived_at, retry_after_s
            )
            for ticket in tickets
        )

    def _is_hopeless(self, now: float, ticket: Ticket) -> bool:
        if self._settings.plain:
            return False
        left_s = ticket.deadline - now
        return left_s <= 0 or left_s < ticket.expected_s

    def _late(self, now: float, ticket: Ticket) -> Dropped:
        expired = ticket.deadline <= now
        return Dropped(
            ticket.number,
            Reason.DEADLINE_EXPIRED if expired else Reason.DEADLINE_TOO_SHORT,
            now - ticket.arrived_at,
            0.0,
        )

    def _displace(
        self, now: float, ticket: Ticket, limit: int, newest: bool
    ) -> Admission:
        retry_after_s = self._retry_after(ticket, limit)
        victim = self._victim(ticket, newest)
        if victim is None:
            return Admission(
                Placement.REFUSED, Reason.QUEUE_FULL, retry_after_s
            )
        self._remove(victim)
        self._add(ticket)
        dropped = Dropped(
            victim.number,
            Reason.EVICTED,
            now - victim.arrived_at,
            retry_after_s,
        )
        return Admission(Placement.WAITING, dropped=(dropped,))

    def _victim(self, ticket: Ticket, newest: bool) -> Ticket | None:
        """Return the request that makes room, none for the arrival itself.

        Within one importance the workspace that holds most for its weight
        makes room, so a flood of one workspace does not push out others.
        """
        rank = max(rank for rank in Importance if self._classes[rank])
        queue = self._classes[rank]
        if rank < ticket.importance:
            return None
        # When the newest are served first, the oldest have least to lose.
        if rank > ticket.importance:
            heaviest = queue.heaviest()
            return queue.peek(heaviest or '', not newest)
        heaviest = queue.heaviest(self._lane_name(ticket), ticket.weight)
        if heaviest is not None:
            return queue.peek(heaviest, not newest)
        return queue.peek(self._lane_name(ticket), False) if newest else None

    def _retry_after(self, ticket: Ticket, limit: int) -> float:
        drain_s = len(self._waiting) * ticket.expected_s / max(limit, 1)
        return min(max(drain_s, _MIN_RETRY_AFTER_S), _MAX_RETRY_AFTER_S)

    def _serves_newest(self, now: float) -> bool:
        settings = self._settings
        if settings.plain or not self._waiting:
            self._standing_since = None
            return False
        oldest = self._waiting[next(iter(self._waiting))]
        if now - oldest.arrived_at <= settings.delay_target_s:
            self._standing_since = None
            return False
        if self._standing_since is None:
            self._standing_since = now
        return now - self._standing_since >= settings.interval_s

    def _lane_name(self, ticket: Ticket) -> str:
        # An open route has no workspace; its lane still needs a name.
        return '-' if self._settings.plain else ticket.workspace or '-'

    def _class_of(self, ticket: Ticket) -> FairQueue:
        if self._settings.plain:
            return self._classes[Importance.CRITICAL]
        return self._classes[ticket.importance]

    def _first_class(self) -> FairQueue:
        return next(queue for queue in self._classes.values() if queue)

    def _add(self, ticket: Ticket) -> None:
        self._waiting[ticket.number] = ticket
        self._class_of(ticket).add(self._lane_name(ticket), ticket)

    def _remove(self, ticket: Ticket) -> None:
        del self._waiting[ticket.number]
        self._class_of(ticket).remove(self._lane_name(ticket), ticket.number)
