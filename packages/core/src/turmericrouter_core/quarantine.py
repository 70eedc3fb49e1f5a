"""Requests that crash targets."""

from collections.abc import Iterable
import dataclasses
import hashlib
import random

from turmericrouter_core.messages import CrashMark

DIGEST_BYTES = 16
# Bounds memory; a crash marks at most the requests in flight at a target.
MAX_MARKS = 20_000


def request_digest(
    key: bytes,
    *,
    workspace: str,
    route: str,
    path: str,
    body: bytes,
    operation_id: str,
) -> bytes:
    """Return the keyed digest that names a request in crash marks.

    Args:
        key: Secret of the fleet, at most 64 bytes.
        workspace: Workspace of the caller.
        route: Name of the route.
        path: Path with query.
        body: Whole body.
        operation_id: Id of a non-idempotent request, which then stands
            for route, path and body.
    """
    parts = (operation_id,) if operation_id else (route, path)
    digest = hashlib.blake2b(key=key, digest_size=DIGEST_BYTES)
    for part in (workspace, *parts):
        encoded = part.encode(errors='surrogateescape')
        # The length keeps neighbouring parts apart.
        digest.update(len(encoded).to_bytes(4, 'big'))
        digest.update(encoded)
    if not operation_id:
        digest.update(body)
    return digest.digest()


@dataclasses.dataclass(slots=True)
class _Mark:
    crashed_at: float
    cleared: bool


class Quarantine:
    """Crash marks by request digest and crash.

    A mark is either standing or cleared, and never stands again once it
    is cleared. Marks therefore merge to the same state in any order.

    Args:
        lifetime_s: Seconds after a crash for which its marks are kept.
        crashes: Standing marks that block a request.
    """

    def __init__(self, *, lifetime_s: float, crashes: int) -> None:
        self._lifetime_s = lifetime_s
        self._crashes = crashes
        self._marks: dict[bytes, dict[str, _Mark]] = {}
        # Digests with marks of enough crashes, cleared and old ones included.
        self._repeated: set[bytes] = set()
        self._count = 0

    def __len__(self) -> int:
        return self._count

    @property
    def is_empty(self) -> bool:
        """Return whether there is no mark that a success could clear."""
        return not self._marks

    @property
    def may_block(self) -> bool:
        """Return whether any request may be blocked.

        Without it no digest is needed: a mark of a single crash is common in
        a large fleet, and a digest of every body is not cheap.
        """
        return bool(self._repeated)

    def is_blocked(self, digest: bytes, now: float) -> bool:
        """Return whether a request has crashed targets too often."""
        standing = [
            mark
            for mark in self._marks.get(digest, {}).values()
            if not mark.cleared and now - mark.crashed_at < self._lifetime_s
        ]
        return len(standing) >= self._crashes

    def crash(
        self, digests: Iterable[bytes], crash_id: str, now: float
    ) -> tuple[CrashMark, ...]:
        """Mark the requests in flight at a crash.

        Args:
            digests: Results of `request_digest`.
            crash_id: Identifies the crash in the fleet.
            now: Monotonic seconds.

        Returns:
            The marks that are new.
        """
        marks = (CrashMark(digest, crash_id, 0) for digest in digests)
        return self.merge(marks, now)

    def succeed(self, digest: bytes, now: float) -> tuple[CrashMark, ...]:
        """Clear the marks of a request that has been answered.

        Returns:
            The marks that are cleared by this.
        """
        marks = [
            CrashMark(digest, crash_id, self._age_ms(mark, now), True)
            for crash_id, mark in self._marks.get(digest, {}).items()
            if not mark.cleared
        ]
        return self.merge(marks, now)

    def merge(
        self, marks: Iterable[CrashMark], now: float
    ) -> tuple[CrashMark, ...]:
        """Take in marks and return those that changed something."""
        return tuple(mark for mark in marks if self._merge_one(mark, now))

    def sample(
        self, count: int, now: float, rng: random.Random
    ) -> tuple[CrashMark, ...]:
        """Return some marks at random, to repair lost messages."""
        digests = list(self._marks)
        chosen = rng.sample(digests, min(count, len(digests)))
        marks = [
            CrashMark(digest, crash_id, self._age_ms(mark, now), mark.cleared)
            for digest in chosen
            for crash_id, mark in self._marks[digest].items()
        ]
        return tuple(marks[:count])

    def prune(self, now: float) -> None:
        """Forget marks whose lifetime has passed."""
        for digest, marks in list(self._marks.items()):
            for crash_id, mark in list(marks.items()):
                if now - mark.crashed_at >= self._lifetime_s:
                    del marks[crash_id]
                    self._count -= 1
            if len(marks) < self._crashes:
                self._repeated.discard(digest)
            if not marks:
                del self._marks[digest]

    def _merge_one(self, mark: CrashMark, now: float) -> bool:
        crashed_at = now - max(0, mark.age_ms) / 1000
        if now - crashed_at >= self._lifetime_s:
            return False
        held = self._marks.get(mark.digest, {}).get(mark.crash_id)
        if held is None:
            self._make_room()
            marks = self._marks.setdefault(mark.digest, {})
            marks[mark.crash_id] = _Mark(crashed_at, mark.cleared)
            self._count += 1
            if len(marks) >= self._crashes:
                self._repeated.add(mark.digest)
            return True
        if held.cleared or not mark.cleared:
            return False
        held.cleared = True
        return True

    def _make_room(self) -> None:
        while self._count >= MAX_MARKS:
            oldest = next(iter(self._marks))
            self._count -= len(self._marks.pop(oldest))
            self._repeated.discard(oldest)

    def _age_ms(self, mark: _Mark, now: float) -> int:
        return int((now - mark.crashed_at) * 1000)
