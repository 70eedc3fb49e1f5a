"""Priority queue of requests that wait for a slot of the local target."""

import collections
from typing import Generic
from typing import TypeVar

_T = TypeVar('_T')

RANK_COUNT = 18


class GateQueue(Generic[_T]):
    """Bounded queue, first in, first out within a rank; rank 0 goes first.

    Args:
        capacity: Maximum number of waiting requests.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._ranks: list[collections.deque[_T]] = [
            collections.deque() for _ in range(RANK_COUNT)
        ]
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def push(self, rank: int, item: _T) -> _T | None:
        """Add a request.

        Returns:
            The request that was evicted from a full queue or not added to
            it, None if there was room.
        """
        evicted: _T | None = None
        if self._size >= self.capacity:
            worst = self._worst_rank()
            if worst <= rank:
                return item
            evicted = self._ranks[worst].pop()
            self._size -= 1
        self._ranks[rank].append(item)
        self._size += 1
        return evicted

    def count_ahead(self, rank: int) -> int:
        """Return how many requests would run before a new one.

        Args:
            rank: Its rank.
        """
        return sum(len(queue) for queue in self._ranks[: rank + 1])

    def pop(self) -> _T | None:
        """Remove and return the next request to run, None if it is empty."""
        for queue in self._ranks:
            if queue:
                self._size -= 1
                return queue.popleft()
        return None

    def remove(self, rank: int, item: _T) -> None:
        """Remove a request if it is in the queue."""
        try:
            self._ranks[rank].remove(item)
        except ValueError:
            return
        self._size -= 1

    def clear(self) -> list[_T]:
        """Remove and return all requests."""
        items = [item for queue in self._ranks for item in queue]
        for queue in self._ranks:
            queue.clear()
        self._size = 0
        return items

    def _worst_rank(self) -> int:
        for rank in range(RANK_COUNT - 1, -1, -1):
            if self._ranks[rank]:
                return rank
        return -1
