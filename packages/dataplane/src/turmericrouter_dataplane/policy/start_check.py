"""Decides when a daemon that has just started may serve callers.

The log may have returned from an older copy, with keys that have been
withdrawn since. Peers that are up know the version in force.
"""

from collections.abc import Collection

# A host that knows of others, none of which has answered, serves after this
# time; then it is cut off, or all of them have just started too.
PEER_TIMEOUT_S = 1.0
# Time for the version that a peer has reported to arrive.
NEWER_VERSION_TIMEOUT_S = 3.0
# Further peers get this time after the first answer, as that one may have
# started just before.
_SETTLE_S = 0.05
# In a large fleet the links open one by one; this many answers suffice.
_MAX_ANSWERS = 16


class StartCheck:
    """Compares the version in force with those of the linked peers."""

    def __init__(self) -> None:
        self._versions: dict[str, int] = {}
        self._has_directory = False
        self._config_since: float | None = None
        self._answered_at: float | None = None
        self._is_done = False

    @property
    def is_done(self) -> bool:
        """Return whether the daemon may serve callers."""
        return self._is_done

    @property
    def newest_version(self) -> int:
        """Return the newest version that a peer has in force, -1 for none."""
        return max(self._versions.values(), default=-1)

    def record_directory(self) -> None:
        """Record that the hosts in the log are known."""
        self._has_directory = True

    def record_version(self, host: str, version: int, now: float) -> None:
        """Record the version that a peer reports; -1 for none."""
        self._versions[host] = version
        if self._answered_at is None:
            self._answered_at = now

    def update(
        self, version: int, peers: int, linked: Collection[str], now: float
    ) -> bool:
        """Return whether the daemon may serve callers from now on.

        Args:
            version: Version known to this host; -1 for none.
            peers: Number of known peers.
            linked: Peers that this host has an open link to.
            now: Monotonic seconds.
        """
        if not self._is_done and version >= 0:
            if self._config_since is None:
                self._config_since = now
            self._is_done = self._may_serve(
                version, peers, linked, now, now - self._config_since
            )
        return self._is_done

    def _may_serve(
        self,
        version: int,
        peers: int,
        linked: Collection[str],
        now: float,
        waited_s: float,
    ) -> bool:
        if self._answered_at is None:
            is_alone = self._has_directory and not peers
            return is_alone or waited_s >= PEER_TIMEOUT_S
        if self.newest_version > version:
            return waited_s >= NEWER_VERSION_TIMEOUT_S
        if waited_s >= PEER_TIMEOUT_S:
            return True
        answers = len(self._versions)
        if answers < _MAX_ANSWERS and any(
            host not in self._versions for host in linked
        ):
            return False
        has_majority = 2 * answers > peers
        return has_majority or now - self._answered_at >= _SETTLE_S
