"""Requests that crash the targets which run them."""

# Crashes of one request that block it.
_CRASHES = 3
_LIFETIME_S = 60.0
_MAX_MARKS = 10_000


class CrashMarks:
    """Crashed targets by the digest of the request they were running."""

    def __init__(self) -> None:
        self._marks: dict[int, dict[str, float]] = {}

    def __len__(self) -> int:
        return len(self._marks)

    def add(self, digest: int, target_id: str, now: float) -> None:
        """Count a crash; one target counts once."""
        while len(self._marks) >= _MAX_MARKS:
            del self._marks[next(iter(self._marks))]
        self._marks.setdefault(digest, {})[target_id] = now

    def clear(self, digest: int) -> None:
        """Forget the crashes of a request that has been answered."""
        self._marks.pop(digest, None)

    def is_blocked(self, digest: int, now: float) -> bool:
        """Return whether a request has crashed too many targets."""
        marks = self._marks.get(digest)
        if marks is None or len(marks) < _CRASHES:
            return False
        recent = [at for at in marks.values() if now - at < _LIFETIME_S]
        if not recent:
            del self._marks[digest]
        return len(recent) >= _CRASHES
