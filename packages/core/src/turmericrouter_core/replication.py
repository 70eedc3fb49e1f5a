"""Replicas of a log stream: which records are applied, in which order.

A replica receives records from three sources. Pages of the log and replies of
peers contain every record after a known offset, so they are applied directly.
Pushed records may arrive out of order and stay pending until all earlier
offsets have been applied. The offset never decreases, so a replica never
reverts.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from turmericrouter_core.config import decode_record
from turmericrouter_core.config import NO_OFFSET
from turmericrouter_core.config import Snapshot
from turmericrouter_core.errors import ConfigError
from turmericrouter_core.messages import LogRecord

# Records retained for pulls; peers further behind get a snapshot.
MAX_RETAINED_RECORDS = 500
MAX_RETAINED_BYTES = 1_048_576
# Pushed records held while an earlier one is missing; a pull gets the rest.
MAX_PENDING_RECORDS = 500


def snapshot_offset(payload: bytes) -> int | None:
    """Return the offset of a snapshot, or None for any other payload."""
    try:
        record = decode_record(payload)
    except ConfigError:
        return None
    return record.offset if isinstance(record, Snapshot) else None


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyRecord:
    """Apply the record at the next offset."""

    record: LogRecord


@dataclasses.dataclass(frozen=True, slots=True)
class RestoreSnapshot:
    """Replace the state by the snapshot in a record's payload."""

    offset: int
    payload: bytes


Action = ApplyRecord | RestoreSnapshot


@dataclasses.dataclass(frozen=True, slots=True)
class Delta:
    """Records that a peer is missing.

    Args:
        records: Records after the offset of the peer, in order.
        needs_snapshot: Whether the records are no longer retained, so that
            the peer needs a snapshot.
    """

    records: tuple[LogRecord, ...]
    needs_snapshot: bool


class Replica:
    """Position of a replica in one stream.

    Args:
        snapshot_offset: Returns the offset of a snapshot payload, or None
            for any other payload.
        max_retained_records: Number of records retained for pulls.
    """

    def __init__(
        self,
        snapshot_offset: Callable[[bytes], int | None],
        *,
        max_retained_records: int = MAX_RETAINED_RECORDS,
    ) -> None:
        self._max_retained_records = max_retained_records
        self._snapshot_offset = snapshot_offset
        self._offset = NO_OFFSET
        self._retained: list[LogRecord] = []
        self._retained_bytes = 0
        self._retained_after = NO_OFFSET
        self._pending: dict[int, LogRecord] = {}
        self._scanned: list[LogRecord] = []
        self._scan_first: int | None = None
        self._scan_after = NO_OFFSET

    @property
    def offset(self) -> int:
        """Return the last offset applied, -1 before the first record."""
        return self._offset

    @property
    def read_after(self) -> int:
        """Return the offset after which the log is read next."""
        return self._offset if self._scan_first is None else self._scan_after

    @property
    def has_gap(self) -> bool:
        """Return whether pushed records are pending on an earlier one."""
        return bool(self._pending)

    @property
    def is_scanning(self) -> bool:
        """Return whether records have expired and no snapshot was found."""
        return self._scan_first is not None

    def apply_push(self, records: Iterable[LogRecord]) -> tuple[Action, ...]:
        """Handle pushed records, which may be out of order or repeated."""
        for record in records:
            if record.offset > self._offset:
                self._pending[record.offset] = record
        while len(self._pending) > MAX_PENDING_RECORDS:
            del self._pending[max(self._pending)]
        return self._apply_pending()

    def apply_delta(
        self, after: int, records: Iterable[LogRecord], snapshot: bytes
    ) -> tuple[Action, ...]:
        """Handle the reply of a peer to a pull.

        Args:
            after: Offset that was sent with the pull.
            records: All records after that offset or after the snapshot.
            snapshot: Complete state of the peer, empty if not needed.
        """
        actions: list[Action] = []
        if snapshot:
            if self._snapshot_offset(snapshot) is None:
                return ()
            actions += self._restore(snapshot)
        elif after > self._offset:
            return ()
        actions += self._apply_all(records)
        return (*actions, *self._apply_pending())

    def apply_page(
        self, after: int, first: int, records: Iterable[LogRecord]
    ) -> tuple[Action, ...]:
        """Handle a page of the log.

        Args:
            after: Offset after which the log was read.
            first: Oldest offset retained by the log.
            records: Records after `after`, in order.
        """
        if first <= after + 1 and not (
            self.is_scanning and after == self._scan_after
        ):
            if after > self._offset:
                return ()
            return (*self._apply_all(records), *self._apply_pending())
        return self._scan(after, first, tuple(records))

    def delta_for(self, after: int) -> Delta:
        """Return the records that a peer at an offset is missing."""
        if after < self._retained_after:
            return Delta((), True)
        if after >= self._offset:
            return Delta((), False)
        return Delta(
            tuple(
                record for record in self._retained if record.offset > after
            ),
            False,
        )

    def _scan(
        self, after: int, first: int, records: tuple[LogRecord, ...]
    ) -> tuple[Action, ...]:
        """Read the log up to the first snapshot that it continues.

        The snapshot must cover all offsets before the oldest one that the
        log retains, so that no record is missing after it.
        """
        if self._scan_first is None or first > after + 1:
            self._scan_first = first
            self._scan_after = first - 1
            self._scanned = []
        actions: list[Action] = []
        for record in records:
            self._scanned.append(record)
            self._scan_after = record.offset
            covered_offset = self._snapshot_offset(record.payload)
            if (
                covered_offset is not None
                and covered_offset >= self._scan_first - 1
            ):
                actions += self._restore(record.payload)
        return (*actions, *self._apply_pending())

    def _restore(self, payload: bytes) -> tuple[Action, ...]:
        offset = self._snapshot_offset(payload)
        if offset is None or offset <= self._offset:
            return ()
        self._offset = offset
        self._retained.clear()
        self._retained_bytes = 0
        self._retained_after = offset
        return (RestoreSnapshot(offset, payload),)

    def _apply_all(self, records: Iterable[LogRecord]) -> list[Action]:
        actions: list[Action] = []
        for record in records:
            if record.offset > self._offset:
                self._offset = record.offset
                self._retain(record)
                actions.append(ApplyRecord(record))
        return actions

    def _apply_pending(self) -> tuple[Action, ...]:
        """Apply scanned and pending records that are next in order."""
        actions: list[Action] = []
        first = self._scan_first
        if first is not None and self._offset >= first - 1:
            self._scan_first = None
            actions += self._apply_all(self._scanned)
            self._scanned = []
        while self._offset + 1 in self._pending:
            actions += self._apply_all([self._pending[self._offset + 1]])
        self._pending = {
            offset: record
            for offset, record in self._pending.items()
            if offset > self._offset
        }
        return tuple(actions)

    def _retain(self, record: LogRecord) -> None:
        self._retained.append(record)
        self._retained_bytes += len(record.payload)
        while len(self._retained) > self._max_retained_records or (
            self._retained_bytes > MAX_RETAINED_BYTES
        ):
            dropped = self._retained.pop(0)
            self._retained_after = dropped.offset
            self._retained_bytes -= len(dropped.payload)
