"""Waiting requests of one importance, fairly queued by workspace."""

import collections

import msgspec

from turmericrouter_core.verdict import Importance

# Minimum cost; it applies to requests with an unknown service time.
_MIN_COST_S = 0.001


class Ticket(msgspec.Struct, frozen=True, gc=False):
    """A request at the gate of a target.

    This is a struct because one is created per request, and a data class
    costs more.

    Args:
        number: Identifies the request at this gate.
        workspace: Workspace whose fair share the request uses.
        importance: Importance of the request.
        arrived_at: Arrival in monotonic seconds.
        deadline: Deadline in monotonic seconds.
        expected_s: Expected minimum service time in seconds.
        weight: Weight of the workspace relative to others.
    """

    number: int
    workspace: str
    importance: Importance
    arrived_at: float
    deadline: float
    expected_s: float = 0.0
    weight: float = 1.0


class _WorkspaceQueue:
    """Waiting requests of one workspace, oldest first."""

    __slots__ = ('start_tag', 'tickets', 'weight')

    def __init__(self, start_tag: float, weight: float) -> None:
        self.start_tag = start_tag
        self.weight = weight
        self.tickets: collections.OrderedDict[int, Ticket] = (
            collections.OrderedDict()
        )

    def peek(self, newest: bool) -> Ticket:
        """Return the newest or the oldest request."""
        order = reversed(self.tickets) if newest else iter(self.tickets)
        return self.tickets[next(order)]


class FairQueue:
    """Waiting requests of one importance, by start-time fair queueing.

    The start tag of a per-workspace queue is the virtual time at which its
    next request starts. The queue with the lowest tag is served, and its
    tag advances by the cost of the request divided by the weight of the
    workspace.
    """

    def __init__(self) -> None:
        self._queues: dict[str, _WorkspaceQueue] = {}
        self._virtual_time = 0.0
        # Start tags of workspaces whose queue has become empty. A returning
        # workspace resumes at the larger of its tag and the virtual time.
        self._idle_tags: dict[str, float] = {}

    def __bool__(self) -> bool:
        return bool(self._queues)

    def add(self, workspace: str, ticket: Ticket) -> None:
        """Append a request."""
        queue = self._queues.get(workspace)
        if queue is None:
            tag = self._idle_tags.pop(workspace, self._virtual_time)
            queue = _WorkspaceQueue(
                max(tag, self._virtual_time), ticket.weight
            )
            self._queues[workspace] = queue
        queue.weight = ticket.weight
        queue.tickets[ticket.number] = ticket

    def remove(self, workspace: str, number: int) -> None:
        """Remove a request without charging its workspace."""
        queue = self._queues[workspace]
        del queue.tickets[number]
        if not queue.tickets:
            del self._queues[workspace]
            self._idle_tags[workspace] = queue.start_tag
        if not self._queues:
            self._idle_tags.clear()
            self._virtual_time = 0.0

    def first(self, newest: bool) -> Ticket:
        """Return the request to serve next."""
        queue = min(self._queues.values(), key=lambda queue: queue.start_tag)
        return queue.peek(newest)

    def charge(self, workspace: str, ticket: Ticket) -> None:
        """Charge a workspace for a request that starts."""
        queue = self._queues[workspace]
        self._virtual_time = queue.start_tag
        queue.start_tag += max(ticket.expected_s, _MIN_COST_S) / queue.weight

    def heaviest(self, workspace: str = '', weight: float = 1.0) -> str | None:
        """Return the workspace with the most waiting requests per weight.

        Args:
            workspace: Workspace of an arrival, which counts as one more.
            weight: Weight of that workspace.

        Returns:
            The workspace, or None if it is the workspace of the arrival.
        """
        queue = self._queues.get(workspace)
        max_load = ((len(queue.tickets) if queue else 0) + 1) / weight
        if not workspace:
            max_load = 0.0
        heaviest = None
        for name, queue in self._queues.items():
            load = len(queue.tickets) / queue.weight
            if name != workspace and load > max_load:
                max_load, heaviest = load, name
        return heaviest

    def peek(self, workspace: str, newest: bool) -> Ticket | None:
        """Return the newest or oldest request of a workspace."""
        queue = self._queues.get(workspace)
        return queue.peek(newest) if queue else None
