"""Failure detection by a few watchers a host, in constant time and load.

Heartbeats to all hosts become rarer as the fleet grows. Each host sends them
to a few others every second. These notice its silence and let all hosts probe
their own links to it, so a wrong suspicion removes nobody.
"""

from collections.abc import Collection
from collections.abc import Iterator

from turmericrouter_core.rendezvous import rank_by_hash

_WATCHERS_PER_HOST = 6


def choose_watchers(host: str, linked: Collection[str]) -> frozenset[str]:
    """Return the hosts that watch a host.

    Args:
        host: The host that is watched.
        linked: Other hosts that it has links to.
    """
    return frozenset(rank_by_hash(host, linked)[:_WATCHERS_PER_HOST])


class WatchedHosts:
    """The hosts that this one watches.

    Args:
        timeout_s: Silence after which a host is suspected.
    """

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._heard_at: dict[str, float] = {}

    def __contains__(self, host: str) -> bool:
        return host in self._heard_at

    def __iter__(self) -> Iterator[str]:
        return iter(self._heard_at)

    def record(self, host: str, now: float, *, is_watched: bool) -> None:
        """Record a heartbeat.

        Args:
            host: Sender of the heartbeat.
            now: Monotonic seconds.
            is_watched: Whether the sender wants to be watched.
        """
        if is_watched:
            self._heard_at[host] = now
        else:
            self._heard_at.pop(host, None)

    def forget(self, host: str) -> None:
        """Stop watching a host, since it has left or its link is closed."""
        self._heard_at.pop(host, None)

    def take_silent(self, now: float) -> list[str]:
        """Return and forget the hosts that have become silent."""
        silent = [
            host
            for host, at in self._heard_at.items()
            if now - at > self._timeout_s
        ]
        for host in silent:
            del self._heard_at[host]
        return silent
