"""Waiting requests of one importance, shared fairly by workspaces."""

import collections

import msgspec

from turmericrouter_core.verdict import Importance

# Cost of a request whose service time is not known, in seconds.
_MIN_COST_S = 0.001


class Ticket(msgspec.Struct, frozen=True, gc=False):
    """A request before the target.

    A struct, as one is made for each request and data classes cost more.

    Args:
        number: Identifies the request at this gate.
        workspace: Workspace that shares are kept for.
        importance: Importance of the request.
        arrived_at: Monotonic seconds.
        deadline: Monotonic seconds.
        expected_s: Seconds that it needs at the target, at least.
        weight: Share of the workspace relative to others.
    """

    number: int
    workspace: str
    importance: Importance
    arrived_at: float
    deadline: float
    expected_s: float = 0.0
    weight: float = 1.0


class _Lane:
    """Waiting requests of one workspace, oldest first."""

    __slots__ = ('tag', 'tickets', 'weight')

    def __init__(self, tag: float, weight: float) -> None:
        self.tag = tag
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

    A lane's tag is the virtual time at which its next request starts; the
    lane with the lowest tag is served and its tag moves on by the cost of
    the request over the weight of the workspace.
    """

    def __init__(self) -> None:
        self._lanes: dict[str, _Lane] = {}
        self._virtual = 0.0
        # Tags of workspaces that wait for nothing now but did lately.
        self._past_tags: dict[str, float] = {}

    def __bool__(self) -> bool:
        return bool(self._lanes)

    def add(self, workspace: str, ticket: Ticket) -> None:
        """Append a request."""
        lane = self._lanes.get(workspace)
        if lane is None:
            past = self._past_tags.pop(workspace, self._virtual)
            lane = _Lane(max(past, self._virtual), ticket.weight)
            self._lanes[workspace] = lane
        lane.weight = ticket.weight
        lane.tickets[ticket.number] = ticket

    def remove(self, workspace: str, number: int) -> None:
        """Remove a request without charging its workspace."""
        lane = self._lanes[workspace]
        del lane.tickets[number]
        if not lane.tickets:
            del self._lanes[workspace]
            self._past_tags[workspace] = lane.tag
        if not self._lanes:
            self._past_tags.clear()
            self._virtual = 0.0

    def first(self, newest: bool) -> Ticket:
        """Return the request that is served next."""
        lane = min(self._lanes.values(), key=lambda lane: lane.tag)
        return lane.peek(newest)

    def charge(self, workspace: str, ticket: Ticket) -> None:
        """Charge a workspace for a request that starts now."""
        lane = self._lanes[workspace]
        self._virtual = lane.tag
        lane.tag += max(ticket.expected_s, _MIN_COST_S) / lane.weight

    def heaviest(self, workspace: str = '', weight: float = 1.0) -> str | None:
        """Return the workspace that holds most for its weight.

        Args:
            workspace: Workspace of an arrival, which counts as one more.
            weight: Weight of that workspace.

        Returns:
            The workspace; none if it is that of the arrival.
        """
        lane = self._lanes.get(workspace)
        most = ((len(lane.tickets) if lane else 0) + 1) / weight
        if not workspace:
            most = 0.0
        heaviest = None
        for name, lane in self._lanes.items():
            held = len(lane.tickets) / lane.weight
            if name != workspace and held > most:
                most, heaviest = held, name
        return heaviest

    def peek(self, workspace: str, newest: bool) -> Ticket | None:
        """Return a request of one workspace."""
        lane = self._lanes.get(workspace)
        return lane.peek(newest) if lane else None
