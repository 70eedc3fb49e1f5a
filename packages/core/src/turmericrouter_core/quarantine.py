"""Quarantine of poison requests, which crash the targets that run them.

A crash record names a request that was in flight when a target crashed. A
request with enough crash records is blocked until it has been answered or the
records expire.
"""

from collections.abc import Iterable
import dataclasses
import hashlib
import random

from turmericrouter_core.messages import CrashRecord

DIGEST_BYTES = 16
# Bounds memory. A crash creates at most one record per request in flight at
# the target.
MAX_CRASH_RECORDS = 20_000


def request_digest(
    key: bytes,
    *,
    workspace: str,
    route: str,
    path: str,
    body: bytes,
    operation_id: str,
) -> bytes:
    """Return the keyed digest that identifies a request in crash records.

    Args:
        key: Secret key of the fleet, at most 64 bytes.
        workspace: Workspace of the caller.
        route: Name of the route.
        path: Path with query.
        body: Complete request body.
        operation_id: Id of a non-idempotent request, which replaces route,
            path and body in the digest.
    """
    parts = (operation_id,) if operation_id else (route, path)
    digest = hashlib.blake2b(key=key, digest_size=DIGEST_BYTES)
    for part in (workspace, *parts):
        encoded = part.encode(errors='surrogateescape')
        # The length prefix separates adjacent parts unambiguously.
        digest.update(len(encoded).to_bytes(4, 'big'))
        digest.update(encoded)
    if not operation_id:
        digest.update(body)
    return digest.digest()


@dataclasses.dataclass(slots=True)
class _Record:
    crashed_at: float
    cleared: bool


class Quarantine:
    """Crash records by request digest and crash.

    A record is either active or cleared, and a cleared one never becomes
    active again. Records therefore merge to the same state in any order.

    Args:
        lifetime_s: Seconds after a crash for which its records are retained.
        crashes: Number of active records that block a request.
    """

    def __init__(self, *, lifetime_s: float, blocking_crashes: int) -> None:
        self._lifetime_s = lifetime_s
        self._blocking_crashes = blocking_crashes
        self._records: dict[bytes, dict[str, _Record]] = {}
        # Digests with enough records to be blocked, counting cleared and
        # expired records too.
        self._maybe_blocked: set[bytes] = set()
        self._record_count = 0

    def __len__(self) -> int:
        return self._record_count

    @property
    def is_empty(self) -> bool:
        """Return whether there is no record that a success could clear."""
        return not self._records

    @property
    def may_block(self) -> bool:
        """Return whether any request may be blocked.

        If not, no request digest is needed. Records of a single crash are
        common in a large fleet, and a digest of every body is expensive.
        """
        return bool(self._maybe_blocked)

    def is_blocked(self, digest: bytes, now: float) -> bool:
        """Return whether a request has crashed targets too often."""
        active = [
            record
            for record in self._records.get(digest, {}).values()
            if not record.cleared
            and now - record.crashed_at < self._lifetime_s
        ]
        return len(active) >= self._blocking_crashes

    def record_crash(
        self, digests: Iterable[bytes], crash_id: str, now: float
    ) -> tuple[CrashRecord, ...]:
        """Add crash records for the requests in flight at a crash.

        Args:
            digests: Results of `request_digest`.
            crash_id: Identifies the crash throughout the fleet.
            now: Monotonic seconds.

        Returns:
            The new records.
        """
        records = (CrashRecord(digest, crash_id, 0) for digest in digests)
        return self.merge(records, now)

    def record_success(
        self, digest: bytes, now: float
    ) -> tuple[CrashRecord, ...]:
        """Clear the records of a request that has been answered.

        Returns:
            The records that this call cleared.
        """
        records = [
            CrashRecord(digest, crash_id, self._age_ms(record, now), True)
            for crash_id, record in self._records.get(digest, {}).items()
            if not record.cleared
        ]
        return self.merge(records, now)

    def merge(
        self, records: Iterable[CrashRecord], now: float
    ) -> tuple[CrashRecord, ...]:
        """Merge records and return those that changed the state."""
        return tuple(
            record for record in records if self._merge_one(record, now)
        )

    def sample(
        self, count: int, now: float, rng: random.Random
    ) -> tuple[CrashRecord, ...]:
        """Return a random sample of records, to make up for lost messages."""
        digests = list(self._records)
        chosen = rng.sample(digests, min(count, len(digests)))
        records = [
            CrashRecord(
                digest, crash_id, self._age_ms(record, now), record.cleared
            )
            for digest in chosen
            for crash_id, record in self._records[digest].items()
        ]
        return tuple(records[:count])

    def prune(self, now: float) -> None:
        """Remove expired records."""
        for digest, records in list(self._records.items()):
            for crash_id, record in list(records.items()):
                if now - record.crashed_at >= self._lifetime_s:
                    del records[crash_id]
                    self._record_count -= 1
            if len(records) < self._blocking_crashes:
                self._maybe_blocked.discard(digest)
            if not records:
                del self._records[digest]

    def _merge_one(self, record: CrashRecord, now: float) -> bool:
        crashed_at = now - max(0, record.age_ms) / 1000
        if now - crashed_at >= self._lifetime_s:
            return False
        known = self._records.get(record.digest, {}).get(record.crash_id)
        if known is None:
            self._make_room()
            records = self._records.setdefault(record.digest, {})
            records[record.crash_id] = _Record(crashed_at, record.cleared)
            self._record_count += 1
            if len(records) >= self._blocking_crashes:
                self._maybe_blocked.add(record.digest)
            return True
        if known.cleared or not record.cleared:
            return False
        known.cleared = True
        return True

    def _make_room(self) -> None:
        while self._record_count >= MAX_CRASH_RECORDS:
            oldest = next(iter(self._records))
            self._record_count -= len(self._records.pop(oldest))
            self._maybe_blocked.discard(oldest)

    def _age_ms(self, record: _Record, now: float) -> int:
        return int((now - record.crashed_at) * 1000)
