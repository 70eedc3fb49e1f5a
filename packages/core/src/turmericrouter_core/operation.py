"""At-most-once state of non-idempotent requests at their home."""

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
    """Reply of a home to an operation that asks to begin.

    REFUSED means that it certainly has not run; UNKNOWN that it may have.
    """

    STARTED = 'started'
    IN_PROGRESS = 'in-progress'
    FINISHED = 'finished'
    CONFLICT = 'conflict'
    UNKNOWN = 'unknown'
    REFUSED = 'refused'


def body_digest(method: str, path: str, body: bytes) -> bytes:
    """Return the digest by which a resend is told from another request."""
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (method.encode(), path.encode()):
        digest.update(len(part).to_bytes(4, 'big'))
        digest.update(part)
    digest.update(body)
    return digest.digest()


@dataclasses.dataclass(frozen=True, slots=True)
class OperationLimits:
    """Bounds of a home.

    Args:
        retention_ms: Milliseconds for which an id is remembered.
        max_clock_skew_ms: Bound of the difference of two hosts' clocks.
        max_id_ahead_ms: How far an id may be stamped ahead of the clock.
        begin_timeout_ms: Longest time for which an entry waits for the
            answer to `BeginOperation`; an entry uses no later start.
        max_operations: Most operations remembered.
        max_answers_bytes: Most bytes of answers kept for replay.
    """

    retention_ms: int = 900_000
    max_clock_skew_ms: int = 500
    max_id_ahead_ms: int = 500
    begin_timeout_ms: int = 1000
    max_operations: int = 100_000
    max_answers_bytes: int = 16 * 1024 * 1024


@dataclasses.dataclass(slots=True)
class _Record:
    """What is known of one id."""

    digest: bytes
    nonce: int
    stamped_ms: int
    finished: bool = False
    answer: StoredAnswer | None = None


def answer_size(answer: StoredAnswer) -> int:
    """Return the bytes of an answer that count against the bounds."""
    return len(answer.body) + sum(
        len(name) + len(value) for name, value in answer.headers
    )


class OperationHome:
    """State of the operations whose home is this daemon.

    Args:
        limits: Bounds.
    """

    def __init__(self, limits: OperationLimits) -> None:
        self._limits = limits
        self._records: dict[Key, _Record] = {}
        # Ids by the second after which they are forgotten.
        self._by_second: dict[int, list[Key]] = {}
        self._oldest_second = 0
        self._answered: collections.OrderedDict[Key, int] = (
            collections.OrderedDict()
        )
        self._answers_bytes = 0
        # Ids up to this stamp may have been forgotten. It never falls, so a
        # clock that steps back brings no forgotten id to life.
        self._forgotten_ms = 0
        # When a caller was last told not-run, oldest first.
        self._not_run_at_ms: dict[Key, float] = {}

    def __len__(self) -> int:
        return len(self._records)

    @property
    def answers_bytes(self) -> int:
        """Return the bytes of the answers that are kept."""
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

        An id of which a caller was told not-run counts as in progress until
        every question that was sent before has timed out at its entry:
        the caller may have given up such an attempt, and it must not start
        now.

        Args:
            message: The question.
            now_ms: Wall-clock milliseconds.
            monotonic_ms: Monotonic milliseconds.
            since_ms: Wall-clock milliseconds since when this daemon is the
                home of the id; an earlier home may have started ids that
                were stamped before.
            nonce: Unique value for the start.

        Raises:
            ValueError: The id is not a UUIDv7.
        """
        self._forget(now_ms)
        operation = OperationId.parse(message.operation_id)
        key = (message.workspace, operation.text)
        record = self._records.get(key)
        if record is not None:
            return _repeat(record, message.body_digest)
        self._forget_not_run(monotonic_ms)
        if key in self._not_run_at_ms:
            return OperationStatus(
                OperationState.IN_PROGRESS, Reason.OPERATION_IN_PROGRESS
            )
        refusal = self._refuse(operation.stamped_ms, now_ms, since_ms)
        if refusal is not None:
            if refusal.state == OperationState.REFUSED:
                self._not_run_at_ms[key] = monotonic_ms
            return refusal
        self._records[key] = _Record(
            message.body_digest, nonce, operation.stamped_ms
        )
        second = operation.stamped_ms // 1000
        self._by_second.setdefault(second, []).append(key)
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
            answer: Answer to replay, none if it is too long to keep.

        Returns:
            Whether this start was known and open.
        """
        key = (workspace, operation_id)
        record = self._open_record(key, nonce)
        if record is None:
            return False
        record.finished = True
        if answer is not None:
            record.answer = answer
            self._answered[key] = answer_size(answer)
            self._answers_bytes += self._answered[key]
            self._trim_answers()
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
            Whether this start was known and open.
        """
        key = (workspace, operation_id)
        record = self._open_record(key, nonce)
        if record is None:
            return False
        del self._records[key]
        keys = self._by_second[record.stamped_ms // 1000]
        keys.remove(key)
        if not keys:
            del self._by_second[record.stamped_ms // 1000]
        self._forget_not_run(monotonic_ms)
        self._not_run_at_ms[key] = monotonic_ms
        return True

    def _open_record(self, key: Key, nonce: int) -> _Record | None:
        record = self._records.get(key)
        if record is None or record.nonce != nonce or record.finished:
            return None
        return record

    def _forget_not_run(self, monotonic_ms: float) -> None:
        """Let ids start again that no outdated attempt can start."""
        limit_ms = monotonic_ms - self._limits.begin_timeout_ms
        while self._not_run_at_ms:
            key, told_ms = next(iter(self._not_run_at_ms.items()))
            if told_ms >= limit_ms:
                return
            del self._not_run_at_ms[key]

    def _refuse(
        self, stamped_ms: int, now_ms: int, since_ms: int
    ) -> OperationStatus | None:
        limits = self._limits
        latest_ms = now_ms + limits.max_id_ahead_ms
        if stamped_ms > latest_ms:
            # A former home with a faster clock may have accepted the id.
            is_certain = stamped_ms > latest_ms + limits.max_clock_skew_ms
            return OperationStatus(
                OperationState.REFUSED
                if is_certain
                else OperationState.UNKNOWN,
                Reason.OPERATION_ID_AHEAD,
            )
        floor_ms = since_ms + limits.max_clock_skew_ms + limits.max_id_ahead_ms
        if stamped_ms <= max(floor_ms, self._forgotten_ms):
            return OperationStatus(
                OperationState.UNKNOWN, Reason.OPERATION_UNKNOWN
            )
        if len(self._records) >= limits.max_operations:
            return OperationStatus(
                OperationState.REFUSED, Reason.OPERATION_HOME_FULL
            )
        return None

    def _forget(self, now_ms: int) -> None:
        """Drop ids that are too old to be accepted again."""
        forgotten_ms = now_ms - self._limits.retention_ms
        if forgotten_ms <= self._forgotten_ms:
            return
        self._forgotten_ms = forgotten_ms
        # Whole seconds only; the rest of a second waits for the next one.
        limit = forgotten_ms // 1000
        if limit <= self._oldest_second:
            return
        self._oldest_second = limit
        for second in [s for s in self._by_second if s < limit]:
            for key in self._by_second.pop(second):
                del self._records[key]
                self._answers_bytes -= self._answered.pop(key, 0)

    def _trim_answers(self) -> None:
        """Drop the oldest answers; their ids stay known as finished."""
        while self._answers_bytes > self._limits.max_answers_bytes:
            key, size = self._answered.popitem(last=False)
            self._answers_bytes -= size
            self._records[key].answer = None


def _repeat(record: _Record, digest: bytes) -> OperationStatus:
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
