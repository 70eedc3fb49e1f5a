"""Queue before a target, by importance, fair share and deadline.

The gate is the part of a daemon that admits requests to its local target. Its
queue is served first in, first out, and newest first while the queue delay
stays above a target.
"""

import collections
import dataclasses
import enum
import math

from turmericrouter_core.fair_queue import FairQueue
from turmericrouter_core.fair_queue import Ticket
from turmericrouter_core.verdict import Importance
from turmericrouter_core.verdict import Reason

# A shorter queue cannot absorb two simultaneous arrivals.
MIN_CAPACITY = 4
_MIN_RETRY_AFTER_S = 0.05
_MAX_RETRY_AFTER_S = 5.0


class Placement(enum.Enum):
    """Outcome of offering a request to the queue."""

    STARTED = 'started'
    WAITING = 'waiting'
    REFUSED = 'refused'


@dataclasses.dataclass(frozen=True, slots=True)
class QueueSettings:
    """Parameters of the queue.

    Args:
        per_limit: Queue length as a multiple of the concurrency limit.
        delay_target_s: Queue delay above which the gate is overloaded.
        interval_s: Seconds for which the delay must stay above the target
            before the newest request is served first.
        unbounded_fifo: Use an unbounded first-in, first-out queue, as a
            baseline for comparisons.
    """

    per_limit: float = 1.0
    delay_target_s: float = 0.02
    interval_s: float = 0.1
    unbounded_fifo: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class DroppedRequest:
    """A request that is removed from the queue and refused.

    Args:
        number: Number of its ticket.
        reason: Reason of the refusal.
        waited_s: Seconds spent in the queue.
        retry_after_s: Seconds after which another attempt makes sense.
    """

    number: int
    reason: Reason
    waited_s: float
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """Decision on an offered request.

    Args:
        placement: Whether it starts, waits or is refused.
        reason: Reason of the refusal, else `served`.
        retry_after_s: Seconds after which another attempt makes sense.
        dropped: Waiting requests that were evicted in its favour.
    """

    placement: Placement
    reason: Reason = Reason.SERVED
    retry_after_s: float = 0.0
    dropped: tuple[DroppedRequest, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseResult:
    """Decision after a slot or a place in the queue became free.

    Args:
        started: Requests to start.
        dropped: Requests to refuse, since they cannot meet their deadline.
    """

    started: tuple[Ticket, ...] = ()
    dropped: tuple[DroppedRequest, ...] = ()


_STARTED = AdmissionDecision(Placement.STARTED)
_WAITING = AdmissionDecision(Placement.WAITING)
_EMPTY_RELEASE = ReleaseResult()


class GateQueue:
    """Decides which requests run, wait and are refused.

    The concurrency limit is passed to each call because it changes often.
    Every started request holds a slot until `release` is called.

    Args:
        settings: Parameters of the queue.
    """

    def __init__(self, settings: QueueSettings) -> None:
        self._settings = settings
        self._running: set[int] = set()
        self._waiting: collections.OrderedDict[int, Ticket] = (
            collections.OrderedDict()
        )
        self._queues = {rank: FairQueue() for rank in Importance}
        self._delayed_since: float | None = None

    @property
    def in_flight(self) -> int:
        """Return the number of requests that hold a slot."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def capacity(self, limit: int) -> float:
        """Return the maximum number of waiting requests."""
        if self._settings.unbounded_fifo:
            return math.inf
        return max(MIN_CAPACITY, math.ceil(self._settings.per_limit * limit))

    def offer(
        self, now: float, ticket: Ticket, limit: int
    ) -> AdmissionDecision:
        """Decide on a new request.

        Args:
            now: Monotonic seconds.
            ticket: The request.
            limit: Concurrency limit.
        """
        if self._misses_deadline(now, ticket):
            return AdmissionDecision(
                Placement.REFUSED, Reason.DEADLINE_TOO_SHORT
            )
        if not self._waiting and len(self._running) < limit:
            self._running.add(ticket.number)
            return _STARTED
        newest = self._serves_newest(now)
        if len(self._waiting) < self.capacity(limit):
            self._add(ticket)
            return _WAITING
        return self._displace(now, ticket, limit, newest)

    def release(self, now: float, number: int, limit: int) -> ReleaseResult:
        """Free the slot of a request and start waiting ones.

        A request that is still waiting, as its caller has cancelled it, is
        removed from the queue.

        Args:
            now: Monotonic seconds.
            number: Number of the ticket.
            limit: Concurrency limit.
        """
        self._running.discard(number)
        if number in self._waiting:
            self._remove(self._waiting[number])
        return self.start(now, limit) if self._waiting else _EMPTY_RELEASE

    def start(self, now: float, limit: int) -> ReleaseResult:
        """Start waiting requests while slots are free."""
        if not self._waiting:
            self._delayed_since = None
            return _EMPTY_RELEASE
        started: list[Ticket] = []
        dropped: list[DroppedRequest] = []
        while self._waiting and len(self._running) < limit:
            newest = self._serves_newest(now)
            queue = self._first_queue()
            ticket = queue.first(newest)
            if self._misses_deadline(now, ticket):
                self._remove(ticket)
                dropped.append(self._drop_late(now, ticket))
                continue
            queue.charge(self._queue_name(ticket), ticket)
            self._remove(ticket)
            self._running.add(ticket.number)
            started.append(ticket)
        return ReleaseResult(tuple(started), tuple(dropped))

    def drop_waiting(
        self, now: float, reason: Reason, retry_after_s: float = 0.0
    ) -> tuple[DroppedRequest, ...]:
        """Refuse all waiting requests."""
        tickets = tuple(self._waiting.values())
        for ticket in tickets:
            self._remove(ticket)
        return tuple(
            DroppedRequest(
                ticket.number, reason, now - ticket.arrived_at, retry_after_s
            )
            for ticket in tickets
        )

    def _misses_deadline(self, now: float, ticket: Ticket) -> bool:
        if self._settings.unbounded_fifo:
            return False
        remaining_s = ticket.deadline - now
        return remaining_s <= 0 or remaining_s < ticket.expected_s

    def _drop_late(self, now: float, ticket: Ticket) -> DroppedRequest:
        expired = ticket.deadline <= now
        return DroppedRequest(
            ticket.number,
            Reason.DEADLINE_EXPIRED if expired else Reason.DEADLINE_TOO_SHORT,
            now - ticket.arrived_at,
            0.0,
        )

    def _displace(
        self, now: float, ticket: Ticket, limit: int, newest: bool
    ) -> AdmissionDecision:
        retry_after_s = self._retry_after(ticket, limit)
        victim = self._eviction_victim(ticket, newest)
        if victim is None:
            return AdmissionDecision(
                Placement.REFUSED, Reason.QUEUE_FULL, retry_after_s
            )
        self._remove(victim)
        self._add(ticket)
        dropped = DroppedRequest(
            victim.number,
            Reason.EVICTED,
            now - victim.arrived_at,
            retry_after_s,
        )
        return AdmissionDecision(Placement.WAITING, dropped=(dropped,))

    def _eviction_victim(self, ticket: Ticket, newest: bool) -> Ticket | None:
        """Return the request to evict, or None to refuse the arrival.

        Within one importance, the workspace with the most waiting requests
        for its weight is evicted from, so that a flood of one workspace
        does not displace others.
        """
        rank = max(rank for rank in Importance if self._queues[rank])
        queue = self._queues[rank]
        if rank < ticket.importance:
            return None
        # While the newest are served first, the oldest are served last and
        # lose least by an eviction.
        if rank > ticket.importance:
            heaviest = queue.heaviest()
            return queue.peek(heaviest or '', not newest)
        heaviest = queue.heaviest(self._queue_name(ticket), ticket.weight)
        if heaviest is not None:
            return queue.peek(heaviest, not newest)
        return queue.peek(self._queue_name(ticket), False) if newest else None

    def _retry_after(self, ticket: Ticket, limit: int) -> float:
        drain_s = len(self._waiting) * ticket.expected_s / max(limit, 1)
        return min(max(drain_s, _MIN_RETRY_AFTER_S), _MAX_RETRY_AFTER_S)

    def _serves_newest(self, now: float) -> bool:
        settings = self._settings
        if settings.unbounded_fifo or not self._waiting:
            self._delayed_since = None
            return False
        oldest = self._waiting[next(iter(self._waiting))]
        if now - oldest.arrived_at <= settings.delay_target_s:
            self._delayed_since = None
            return False
        if self._delayed_since is None:
            self._delayed_since = now
        return now - self._delayed_since >= settings.interval_s

    def _queue_name(self, ticket: Ticket) -> str:
        # A route open to all has no workspace, but its queue needs a name.
        return (
            '-' if self._settings.unbounded_fifo else ticket.workspace or '-'
        )

    def _queue_of(self, ticket: Ticket) -> FairQueue:
        if self._settings.unbounded_fifo:
            return self._queues[Importance.CRITICAL]
        return self._queues[ticket.importance]

    def _first_queue(self) -> FairQueue:
        return next(queue for queue in self._queues.values() if queue)

    def _add(self, ticket: Ticket) -> None:
        self._waiting[ticket.number] = ticket
        self._queue_of(ticket).add(self._queue_name(ticket), ticket)

    def _remove(self, ticket: Ticket) -> None:
        del self._waiting[ticket.number]
        self._queue_of(ticket).remove(self._queue_name(ticket), ticket.number)
