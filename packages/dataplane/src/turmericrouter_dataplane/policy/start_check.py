"""Decides when a daemon that has just started may serve callers.

The log may have returned from an older copy, with keys that have been
withdrawn since. Peers that are up know the version in force.
"""

from collections.abc import Collection
import math

# A host that knows of others waits this long for their answers, unless one
# reports a newer version. If none answers, it is cut off, or all of them have
# just started too.
PEER_TIMEOUT_S = 1.0
# Without the directory a host knows no peer to ask and waits this long for
# peers that know of it. They dial it at least every two seconds.
DIRECTORY_TIMEOUT_S = 3.0
# Time for the version that a peer has reported to arrive.
NEWER_VERSION_TIMEOUT_S = 3.0
# Further peers get this time after the first answer of a peer that serves, as
# that one may have started just before.
_SETTLE_S = 0.05
# The same if all peers that have answered are starting. They may have read the
# same older configuration, and links to other failure domains open later.
_STARTING_SETTLE_S = 0.3
# In a large fleet the links open one by one; this many answers suffice.
_MAX_ANSWERS = 16


class StartCheck:
    """Compares the version in force with those of the linked peers."""

    def __init__(self) -> None:
        self._versions: dict[str, int] = {}
        # Peers that serve callers, and so have asked their peers before.
        self._serving: set[str] = set()
        self._has_directory = False
        # Since when a configuration is known; infinite before that.
        self._config_since = math.inf
        # Since when both a configuration and the directory are known.
        self._peers_since = math.inf
        self._answered_at: float | None = None
        self._serving_answered_at: float | None = None
        # When a version was first seen to be newer than the known one.
        self._outdated_since: float | None = None
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

    def record_version(
        self, host: str, version: int, now: float, *, is_serving: bool = True
    ) -> None:
        """Record the version that a peer reports.

        Args:
            host: Name of the peer.
            version: Its version; -1 for none.
            now: Monotonic seconds.
            is_serving: Whether the peer serves callers. One that does not is
                starting too, and may know an older configuration only.
        """
        self._versions[host] = version
        if self._answered_at is None:
            self._answered_at = now
        if is_serving:
            self._serving.add(host)
            if self._serving_answered_at is None:
                self._serving_answered_at = now

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
            self._config_since = min(self._config_since, now)
            if self._has_directory:
                self._peers_since = min(self._peers_since, now)
            if self._outdated_since is None and self.newest_version > version:
                self._outdated_since = now
            self._is_done = self._may_serve(version, peers, linked, now)
        return self._is_done

    def _may_serve(
        self, version: int, peers: int, linked: Collection[str], now: float
    ) -> bool:
        is_overdue = self._is_overdue(now)
        if self._answered_at is None:
            is_alone = self._has_directory and not peers
            return is_alone or is_overdue
        if self._outdated_since is not None and self.newest_version > version:
            return now - self._outdated_since >= NEWER_VERSION_TIMEOUT_S
        if is_overdue:
            return True
        answers = len(self._serving)
        if answers < _MAX_ANSWERS and any(
            host not in self._versions for host in linked
        ):
            return False
        if 2 * answers > peers or len(self._versions) >= peers:
            return True
        if self._serving_answered_at is None:
            return now - self._answered_at >= _STARTING_SETTLE_S
        return now - self._serving_answered_at >= _SETTLE_S

    def _is_overdue(self, now: float) -> bool:
        """Return whether the peers have had the time to answer."""
        if math.isinf(self._peers_since):
            return now - self._config_since >= DIRECTORY_TIMEOUT_S
        return now - self._peers_since >= PEER_TIMEOUT_S
