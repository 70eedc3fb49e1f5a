"""Detects poison requests, which crash every target that runs them."""

# A request is blocked once it has crashed this many targets.
_MAX_CRASHES = 3
_RECORD_LIFETIME_S = 60.0
_MAX_RECORDS = 10_000


class CrashRecords:
    """Records crashed targets by the digest of the request they ran."""

    def __init__(self) -> None:
        self._records: dict[int, dict[str, float]] = {}

    def __len__(self) -> int:
        return len(self._records)

    def add(self, digest: int, target_id: str, now: float) -> None:
        """Record a crash; each target counts once per request."""
        # The request moves to the end, so that others are evicted first.
        crashes = self._records.pop(digest, {})
        while len(self._records) >= _MAX_RECORDS:
            del self._records[next(iter(self._records))]
        crashes[target_id] = now
        self._records[digest] = crashes

    def clear(self, digest: int) -> None:
        """Remove the records of a request that has been answered."""
        self._records.pop(digest, None)

    def is_blocked(self, digest: int, now: float) -> bool:
        """Return whether a request has crashed too many targets."""
        crashes = self._records.get(digest)
        if crashes is None or len(crashes) < _MAX_CRASHES:
            return False
        recent = [
            at for at in crashes.values() if now - at < _RECORD_LIFETIME_S
        ]
        if not recent:
            del self._records[digest]
        return len(recent) >= _MAX_CRASHES
