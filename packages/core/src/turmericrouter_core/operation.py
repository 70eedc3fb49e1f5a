"""At-most-once execution of non-idempotent requests.

The home of an operation id is the daemon that keeps its record. An entry
asks the home before it runs a non-idempotent request, so that a resend of
the same id gets the stored answer or a refusal and is not run again.
"""

import collections
import dataclasses
import enum
import hashlib

from turmericrouter_core.identity import OperationId
from turmericrouter_core.messages import BeginOperation
from turmericrouter_core.messages import OperationStatus
from turmericrouter_core.messages import StoredAnswer
from turmericrouter_core.verdict import Reason

_DIGEST_BYTES = 16

Key = tuple[str, str]


class OperationState(enum.StrEnum):
    """Reply of a home to `BeginOperation`.

    REFUSED: the operation has certainly not run. UNKNOWN: it may have run.
    """

    STARTED = 'started'
    IN_PROGRESS = 'in-progress'
    FINISHED = 'finished'
    CONFLICT = 'conflict'
    UNKNOWN = 'unknown'
    REFUSED = 'refused'


def body_digest(method: str, path: str, body: bytes) -> bytes:
    """Return the digest that distinguishes a resend from another request."""
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (method.encode(), path.encode()):
        digest.update(len(part).to_bytes(4, 'big'))
        digest.update(part)
    digest.update(body)
    return digest.digest()


@dataclasses.dataclass(frozen=True, slots=True)
class OperationLimits:
    """Limits of an operation home.

    Args:
        retention_ms: Milliseconds for which the record of an id is kept.
        max_clock_skew_ms: Maximum difference between the clocks of two
            hosts.
        max_id_ahead_ms: Maximum time by which the timestamp of an id may be
            ahead of the clock.
        begin_timeout_ms: Maximum time for which an entry waits for the
            reply to `BeginOperation`; an entry ignores a later start.
        max_operations: Maximum number of records.
        max_answers_bytes: Maximum total size of answers kept for replay.
    """

    retention_ms: int = 900_000
    max_clock_skew_ms: int = 500
    max_id_ahead_ms: int = 500
    begin_timeout_ms: int = 1000
    max_operations: int = 100_000
    max_answers_bytes: int = 16 * 1024 * 1024


@dataclasses.dataclass(slots=True)
class _Record:
    """State of one started operation."""

    digest: bytes
    nonce: int
    timestamp_ms: int
    finished: bool = False
    answer: StoredAnswer | None = None


def answer_size(answer: StoredAnswer) -> int:
    """Return the size of an answer in bytes, as limits count it."""
    return len(answer.body) + sum(
        len(name) + len(value) for name, value in answer.headers
    )


class IdempotencyStore:
    """Records of the operations whose home is this daemon.

    Args:
        limits: Limits of the home.
    """

    def __init__(self, limits: OperationLimits) -> None:
        self._limits = limits
        self._records: dict[Key, _Record] = {}
        # Keys by the second of their timestamp, to expire them by age.
        self._keys_by_second: dict[int, list[Key]] = {}
        self._oldest_second = 0
        self._answer_sizes: collections.OrderedDict[Key, int] = (
            collections.OrderedDict()
        )
        self._answers_bytes = 0
        # Records with timestamps up to this one may have expired. The value
        # never decreases, so an expired id is not accepted again after the
        # clock steps back.
        self._expired_until_ms = 0
        # Time of the last not-run reply by key, oldest first.
        self._not_run_at_ms: dict[Key, float] = {}

    def __len__(self) -> int:
        return len(self._records)

    @property
    def answers_bytes(self) -> int:
        """Return the total size of the stored answers in bytes."""
        return self._answers_bytes

    def begin(
        self,
        message: BeginOperation,
        *,
        now_ms: int,
        monotonic_ms: float,
        since_ms: int,
        nonce: int,
    ) -> OperationStatus:
        """Decide whether an operation may start.

        After a not-run reply, an id counts as in progress until every
        `BeginOperation` sent before the reply has timed out at its entry.
        The caller may have abandoned such an attempt, which must not start
        after the reply.

        Args:
            message: Request of the entry.
            now_ms: Wall-clock milliseconds.
            monotonic_ms: Monotonic milliseconds.
            since_ms: Wall-clock milliseconds since when this daemon is the
                home of the id. An earlier home may have started ids with
                earlier timestamps.
            nonce: Unique value for the start.

        Raises:
            ValueError: The id is not a UUIDv7.
        """
        self._expire_records(now_ms)
        operation = OperationId.parse(message.operation_id)
        key = (message.workspace, operation.text)
        record = self._records.get(key)
        if record is not None:
            return _status_of(record, message.body_digest)
        self._expire_not_run(monotonic_ms)
        if key in self._not_run_at_ms:
            return OperationStatus(
                OperationState.IN_PROGRESS, Reason.OPERATION_IN_PROGRESS
            )
        refusal = self._check_acceptable(
            operation.timestamp_ms, now_ms, since_ms
        )
        if refusal is not None:
            if refusal.state == OperationState.REFUSED:
                self._not_run_at_ms[key] = monotonic_ms
            return refusal
        self._records[key] = _Record(
            message.body_digest, nonce, operation.timestamp_ms
        )
        second = operation.timestamp_ms // 1000
        self._keys_by_second.setdefault(second, []).append(key)
        return OperationStatus(
            OperationState.STARTED, Reason.SERVED, nonce=nonce
        )

    def finish(
        self,
        workspace: str,
        operation_id: str,
        nonce: int,
        answer: StoredAnswer | None,
    ) -> bool:
        """Record that a started operation has run.

        Args:
            workspace: Workspace of the caller.
            operation_id: Canonical text of the id.
            nonce: Nonce of the start.
            answer: Answer to replay, or None if it is too long to store.

        Returns:
            Whether there is an unfinished record with this nonce.
        """
        key = (workspace, operation_id)
        record = self._open_record(key, nonce)
        if record is None:
            return False
        record.finished = True
        if answer is not None:
            record.answer = answer
            self._answer_sizes[key] = answer_size(answer)
            self._answers_bytes += self._answer_sizes[key]
            self._evict_answers()
        return True

    def abort(
        self,
        workspace: str,
        operation_id: str,
        nonce: int,
        *,
        monotonic_ms: float,
    ) -> bool:
        """Remove a started operation that certainly did not run.

        Args:
            workspace: Workspace of the caller.
            operation_id: Canonical text of the id.
            nonce: Nonce of the start.
            monotonic_ms: Monotonic milliseconds.

        Returns:
            Whether there is an unfinished record with this nonce.
        """
        key = (workspace, operation_id)
        record = self._open_record(key, nonce)
        if record is None:
            return False
        del self._records[key]
        keys = self._keys_by_second[record.timestamp_ms // 1000]
        keys.remove(key)
        if not keys:
            del self._keys_by_second[record.timestamp_ms // 1000]
        self._expire_not_run(monotonic_ms)
        self._not_run_at_ms[key] = monotonic_ms
        return True

    def _open_record(self, key: Key, nonce: int) -> _Record | None:
        record = self._records.get(key)
        if record is None or record.nonce != nonce or record.finished:
            return None
        return record

    def _expire_not_run(self, monotonic_ms: float) -> None:
        """Drop not-run replies older than the timeout of `BeginOperation`."""
        expire_before_ms = monotonic_ms - self._limits.begin_timeout_ms
        while self._not_run_at_ms:
            key, reported_ms = next(iter(self._not_run_at_ms.items()))
            if reported_ms >= expire_before_ms:
                return
            del self._not_run_at_ms[key]

    def _check_acceptable(
        self, timestamp_ms: int, now_ms: int, since_ms: int
    ) -> OperationStatus | None:
        limits = self._limits
        latest_ms = now_ms + limits.max_id_ahead_ms
        if timestamp_ms > latest_ms:
            # A former home whose clock was ahead may have accepted the id.
            is_certain = timestamp_ms > latest_ms + limits.max_clock_skew_ms
            return OperationStatus(
                OperationState.REFUSED
                if is_certain
                else OperationState.UNKNOWN,
                Reason.OPERATION_ID_AHEAD,
            )
        known_since_ms = (
            since_ms + limits.max_clock_skew_ms + limits.max_id_ahead_ms
        )
        if timestamp_ms <= max(known_since_ms, self._expired_until_ms):
            return OperationStatus(
                OperationState.UNKNOWN, Reason.OPERATION_UNKNOWN
            )
        if len(self._records) >= limits.max_operations:
            return OperationStatus(
                OperationState.REFUSED, Reason.OPERATION_HOME_FULL
            )
        return None

    def _expire_records(self, now_ms: int) -> None:
        """Drop records whose ids are too old to be accepted again."""
        expired_until_ms = now_ms - self._limits.retention_ms
        if expired_until_ms <= self._expired_until_ms:
            return
        self._expired_until_ms = expired_until_ms
        # Records expire by whole seconds of their timestamps.
        first_kept_second = expired_until_ms // 1000
        if first_kept_second <= self._oldest_second:
            return
        self._oldest_second = first_kept_second
        for second in [
            s for s in self._keys_by_second if s < first_kept_second
        ]:
            for key in self._keys_by_second.pop(second):
                del self._records[key]
                self._answers_bytes -= self._answer_sizes.pop(key, 0)

    def _evict_answers(self) -> None:
        """Drop the oldest answers; their records stay finished."""
        while self._answers_bytes > self._limits.max_answers_bytes:
            key, size = self._answer_sizes.popitem(last=False)
            self._answers_bytes -= size
            self._records[key].answer = None


def _status_of(record: _Record, digest: bytes) -> OperationStatus:
    if record.digest != digest:
        return OperationStatus(
            OperationState.CONFLICT, Reason.OPERATION_CONFLICT
        )
    if not record.finished:
        return OperationStatus(
            OperationState.IN_PROGRESS, Reason.OPERATION_IN_PROGRESS
        )
    if record.answer is None:
        return OperationStatus(
            OperationState.UNKNOWN, Reason.OPERATION_UNKNOWN
        )
    return OperationStatus(
        OperationState.FINISHED, Reason.REPLAYED, answer=record.answer
    )
