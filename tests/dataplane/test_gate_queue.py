"""Guards against important requests that wait behind less important ones."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from turmericrouter_dataplane.policy.gate_queue import GateQueue


def test_lower_rank_runs_first_and_equal_ranks_in_order() -> None:
    queue: GateQueue[str] = GateQueue(8)
    for rank, item in ((3, 'c'), (1, 'a'), (3, 'd'), (1, 'b')):
        assert queue.push(rank, item) is None
    assert [queue.pop() for _ in range(5)] == ['a', 'b', 'c', 'd', None]


def test_full_queue_evicts_the_least_important() -> None:
    queue: GateQueue[str] = GateQueue(2)
    queue.push(5, 'old')
    queue.push(5, 'new')
    assert queue.push(2, 'vital') == 'new'
    assert queue.push(5, 'late') == 'late'
    assert [queue.pop(), queue.pop()] == ['vital', 'old']


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 17), st.booleans()), max_size=80))
def test_no_request_is_lost_or_doubled(steps: list[tuple[int, bool]]) -> None:
    queue: GateQueue[int] = GateQueue(10)
    inside: dict[int, int] = {}
    for item, (rank, is_push) in enumerate(steps):
        if is_push:
            inside[item] = rank
            evicted = queue.push(rank, item)
            if evicted is not None:
                evicted_rank = inside.pop(evicted)
                assert evicted_rank >= max(inside.values(), default=0)
        else:
            popped = queue.pop()
            if popped is not None:
                rank = inside.pop(popped)
                assert rank <= min(inside.values(), default=rank)
        assert len(queue) == len(inside) <= 10
