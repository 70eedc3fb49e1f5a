"""Requests that wait for a slot of the local target, by importance."""

import collections
from typing import Generic
from typing import TypeVar

_T = TypeVar('_T')

RANKS = 18


class GateQueue(Generic[_T]):
    """First in, first out inside a rank; lower ranks go first.

    Args:
        capacity: Requests that may wait.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._ranks: list[collections.deque[_T]] = [
            collections.deque() for _ in range(RANKS)
        ]
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def push(self, rank: int, item: _T) -> _T | None:
        """Add a request.

        Returns:
            The request that found no room, which may be the new one, or
            none.
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

    def pop(self) -> _T | None:
        """Return the next request to run."""
        for queue in self._ranks:
            if queue:
                self._size -= 1
                return queue.popleft()
        return None

    def remove(self, rank: int, item: _T) -> None:
        """Remove a request that no longer waits."""
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
        for rank in range(RANKS - 1, -1, -1):
            if self._ranks[rank]:
                return rank
        return -1
