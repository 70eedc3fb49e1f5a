"""Gate queue: no request is lost, started twice or served unfairly."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
import pytest

from turmericrouter_core.admission import DroppedRequest
from turmericrouter_core.admission import GateQueue
from turmericrouter_core.admission import Placement
from turmericrouter_core.admission import QueueSettings
from turmericrouter_core.admission import ReleaseResult
from turmericrouter_core.fair_queue import Ticket
from turmericrouter_core.verdict import Importance
from turmericrouter_core.verdict import Reason

WORKSPACES = st.sampled_from(['', 'east', 'west', 'south'])


class GateQueueMachine(RuleBasedStateMachine):
    """Compares the queue with an oracle of plain sets of tickets."""

    def __init__(self) -> None:
        super().__init__()
        self.queue = GateQueue(QueueSettings(delay_target_s=0.05))
        self.now = 0.0
        self.limit = 2
        self.last = 0
        self.waiting: dict[int, Ticket] = {}
        self.running: set[int] = set()
        self.ended: set[int] = set()

    @rule(seconds=st.floats(0, 0.3))
    def advance(self, seconds: float) -> None:
        self.now += seconds

    @rule(limit=st.integers(1, 5))
    def change_limit(self, limit: int) -> None:
        self.limit = limit
        self._check(self.queue.start(self.now, limit))

    @rule(
        workspace=WORKSPACES,
        importance=st.sampled_from(Importance),
        left_s=st.floats(0, 1),
        expected_s=st.sampled_from([0.0, 0.01, 0.2]),
        weight=st.sampled_from([0.5, 1.0, 4.0]),
    )
    def offer(self, workspace, importance, left_s, expected_s, weight):
        self.last += 1
        ticket = Ticket(
            self.last,
            workspace,
            importance,
            self.now,
            self.now + left_s,
            expected_s,
            weight,
        )
        full = len(self.waiting) >= self.queue.capacity(self.limit)
        admission = self.queue.offer(self.now, ticket, self.limit)
        lowest = max((t.importance for t in self.waiting.values()), default=0)
        for dropped in admission.dropped:
            assert full and dropped.reason is Reason.EVICTED
            assert self.waiting[dropped.number].importance == lowest
            assert lowest >= importance
            self._end_waiting(dropped)
        if admission.placement is Placement.STARTED:
            assert not self.waiting and len(self.running) < self.limit
            self.running.add(ticket.number)
        elif admission.placement is Placement.WAITING:
            self.waiting[ticket.number] = ticket
        else:
            self.ended.add(ticket.number)
            self._check_refusal(ticket, admission.reason, full, lowest)

    @precondition(lambda self: self.running)
    @rule(data=st.data())
    def release(self, data: st.DataObject) -> None:
        number = data.draw(st.sampled_from(sorted(self.running)))
        self.running.remove(number)
        self.ended.add(number)
        self._check(self.queue.release(self.now, number, self.limit))

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def cancel(self, data: st.DataObject) -> None:
        number = data.draw(st.sampled_from(sorted(self.waiting)))
        del self.waiting[number]
        self.ended.add(number)
        self._check(self.queue.release(self.now, number, self.limit))

    @rule()
    def drop_all(self) -> None:
        dropped = self.queue.drop_waiting(self.now, Reason.TARGET_LEAVING)
        assert {d.number for d in dropped} == set(self.waiting)
        for each in dropped:
            self._end_waiting(each)

    @invariant()
    def counts_agree(self) -> None:
        assert self.queue.in_flight == len(self.running)
        assert self.queue.queued == len(self.waiting)

    def _check(self, release: ReleaseResult) -> None:
        for dropped in release.dropped:
            left_s = self.waiting[dropped.number].deadline - self.now
            assert left_s <= max(self.waiting[dropped.number].expected_s, 0)
            self._end_waiting(dropped)
        for ticket in release.started:
            assert self.waiting.pop(ticket.number) == ticket
            assert ticket.number not in self.ended | self.running
            assert ticket.deadline - self.now >= ticket.expected_s
            for other in self.waiting.values():
                assert ticket.importance <= other.importance
            self.running.add(ticket.number)
        if release.started:
            assert len(self.running) <= self.limit
        # No slot stays free while a request waits.
        assert not self.waiting or len(self.running) >= self.limit

    def _end_waiting(self, dropped: DroppedRequest) -> None:
        del self.waiting[dropped.number]
        self.ended.add(dropped.number)

    def _check_refusal(self, ticket, reason, full, lowest) -> None:
        if reason is Reason.QUEUE_FULL:
            assert full and lowest <= ticket.importance
        else:
            assert reason is Reason.DEADLINE_TOO_SHORT
            left_s = ticket.deadline - self.now
            assert left_s <= max(ticket.expected_s, 0)


TestGateQueue = GateQueueMachine.TestCase
TestGateQueue.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=60, deadline=None
)


def _flood(queue: GateQueue, rounds: int, flood: int) -> dict[str, int]:
    """Offer `flood` requests of one workspace, few of two others, per round.

    Returns:
        Number of started requests by workspace.
    """
    served = {'large': 0, 'small': 0, 'heavy': 0}
    weights = {'large': 1.0, 'small': 1.0, 'heavy': 2.0}
    number, now = 0, 0.0
    running: list[int] = []
    for _ in range(rounds):
        for workspace in ['large'] * flood + ['small', 'heavy', 'heavy']:
            number += 1
            ticket = Ticket(
                number,
                workspace,
                Importance.NORMAL,
                now,
                now + 1,
                0.01,
                weights[workspace],
            )
            admission = queue.offer(now, ticket, 4)
            if admission.placement is Placement.STARTED:
                running.append(number)
        now += 0.01
        for _ in range(2):
            done = queue.release(now, running.pop(0), 4)
            for ticket in done.started:
                served[ticket.workspace] += 1
                running.append(ticket.number)
    return served


def test_flooding_workspace_gets_no_more_than_its_share() -> None:
    """Guards against a flood that starves the other workspaces.

    The flooding workspace fills the queue to its capacity.
    """
    served = _flood(GateQueue(QueueSettings(per_limit=2)), 2000, 20)
    total = sum(served.values())
    assert abs(served['large'] / total - 0.25) < 0.03
    assert abs(served['small'] / total - 0.25) < 0.03
    assert abs(served['heavy'] / total - 0.5) < 0.03


def _fill(queue: GateQueue, arrivals: list[float]) -> None:
    for number, arrived_at in enumerate(arrivals):
        queue.offer(
            arrived_at,
            Ticket(number, 'east', Importance.LOW, arrived_at, 100.0),
            1,
        )


def test_newest_first_only_under_standing_delay() -> None:
    """Guards against a wrong order of service.

    A short burst is served oldest first; under a standing queue delay the
    newest request is served first.
    """
    queue = GateQueue(QueueSettings(delay_target_s=0.02, interval_s=0.1))
    _fill(queue, [0.0, 0.01, 0.02, 0.03])
    assert queue.release(0.05, 0, 1).started[0].number == 1
    assert queue.release(0.2, 1, 1).started[0].number == 3


def _full_queue(*, standing: bool, east_weight: float) -> GateQueue:
    """Return a queue with requests 1 to 3 of east and 4 of west waiting.

    Args:
        standing: Whether the queue delay exceeded its target for the whole
            interval.
        east_weight: Weight of east; west has 1.
    """
    queue = GateQueue(QueueSettings(delay_target_s=0.02, interval_s=0.1))
    for number, name in enumerate(['east', 'east', 'east', 'east', 'west']):
        weight = east_weight if name == 'east' else 1.0
        queue.offer(0.0, _low(number, name, weight), 1)
    if standing:
        refused = queue.offer(0.03, _low(5, 'east', east_weight), 1)
        assert refused.reason is Reason.QUEUE_FULL
    return queue


def _low(number: int, workspace: str, weight: float) -> Ticket:
    return Ticket(number, workspace, Importance.LOW, 0.0, 100.0, weight=weight)


@pytest.mark.parametrize(
    ('workspace', 'importance', 'standing', 'east_weight', 'evicted_number'),
    [
        ('north', Importance.CRITICAL, False, 1.0, 3),
        ('north', Importance.CRITICAL, True, 1.0, 1),
        ('north', Importance.CRITICAL, False, 4.0, 4),
        ('north', Importance.LOW, False, 1.0, 3),
        ('north', Importance.LOW, True, 1.0, 1),
        ('west', Importance.LOW, False, 1.0, 3),
        ('east', Importance.LOW, False, 1.0, None),
        ('east', Importance.LOW, True, 1.0, 1),
        ('north', Importance.LOW, False, 4.0, None),
    ],
)
def test_full_queue_evicts_from_the_heaviest_workspace(
    workspace: str,
    importance: Importance,
    standing: bool,
    east_weight: float,
    evicted_number: int | None,
) -> None:
    """Guards against eviction from a workspace that did not cause a flood.

    The workspace with the largest weighted queue loses its newest request.
    Under a standing delay the newest requests are served first, so it loses
    its oldest one.
    """
    queue = _full_queue(standing=standing, east_weight=east_weight)
    ticket = Ticket(9, workspace, importance, 0.2, 100.0)
    admission = queue.offer(0.2, ticket, 1)
    evicted = [dropped.number for dropped in admission.dropped]
    assert evicted == ([] if evicted_number is None else [evicted_number])
    refused = admission.placement is Placement.REFUSED
    assert refused is (evicted_number is None)


def test_plain_queue_is_first_in_first_out_without_bound() -> None:
    """Guards against shedding or reordering in the plain FIFO baseline."""
    queue = GateQueue(QueueSettings(unbounded_fifo=True))
    for number in range(1000):
        rank = Importance(number % 4)
        ticket = Ticket(number, f'w{number % 7}', rank, 0.0, 0.1, 5.0)
        admission = queue.offer(0.0, ticket, 1)
        assert admission.placement is not Placement.REFUSED
    started = [queue.release(9.0, n, 1).started[0].number for n in range(999)]
    assert started == list(range(1, 1000))
