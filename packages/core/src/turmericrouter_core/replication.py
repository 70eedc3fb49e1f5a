"""Copies of a log stream: which records are applied, and in what order.

A replica gets records from three sources. Pages of the log and replies of
peers hold everything that follows a known offset, so they are applied as
they are. Pushed records may be early; they wait until the offsets before
them are there. Offsets only grow, so a replica never reverts.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from turmericrouter_core.config import decode_record
from turmericrouter_core.config import NO_OFFSET
from turmericrouter_core.config import Snapshot
from turmericrouter_core.errors import ConfigError
from turmericrouter_core.messages import LogRecord

# Records kept for peers that ask; those further behind get a snapshot.
KEPT_RECORDS = 500
KEPT_BYTES = 1_048_576
# Pushed records kept while an earlier one is missing; a pull brings the rest.
MAX_EARLY_RECORDS = 500


def snapshot_offset(payload: bytes) -> int | None:
    """Return the offset that a snapshot restores to, none for others."""
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
    """What a peer lacks.

    Args:
        records: Records that follow the peer's offset, in order.
        needs_snapshot: The records are no longer kept; send the state.
    """

    records: tuple[LogRecord, ...]
    needs_snapshot: bool


class Replica:
    """Position of a copy in one stream.

    Args:
        snapshot_offset: Returns the offset that a payload restores to, or
            none if the payload is no snapshot.
        kept_records: Records kept for peers that ask.
    """

    def __init__(
        self,
        snapshot_offset: Callable[[bytes], int | None],
        *,
        kept_records: int = KEPT_RECORDS,
    ) -> None:
        self._kept_records = kept_records
        self._snapshot_offset = snapshot_offset
        self._offset = NO_OFFSET
        self._kept: list[LogRecord] = []
        self._kept_bytes = 0
        self._kept_after = NO_OFFSET
        self._early: dict[int, LogRecord] = {}
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
        """Return whether pushed records wait for an earlier one."""
        return bool(self._early)

    @property
    def is_scanning(self) -> bool:
        """Return whether records have expired and no snapshot was found."""
        return self._scan_first is not None

    def take_push(self, records: Iterable[LogRecord]) -> tuple[Action, ...]:
        """Take in single records, which may be early or repeated."""
        for record in records:
            if record.offset > self._offset:
                self._early[record.offset] = record
        while len(self._early) > MAX_EARLY_RECORDS:
            del self._early[max(self._early)]
        return self._drain()

    def take_delta(
        self, after: int, records: Iterable[LogRecord], snapshot: bytes
    ) -> tuple[Action, ...]:
        """Take in a peer's reply to a pull.

        Args:
            after: Offset that was sent with the pull.
            records: Everything after that offset, or after the snapshot.
            snapshot: The peer's whole state, empty if not needed.
        """
        actions: list[Action] = []
        if snapshot:
            if self._snapshot_offset(snapshot) is None:
                return ()
            actions += self._restore(snapshot)
        elif after > self._offset:
            return ()
        actions += self._apply_all(records)
        return (*actions, *self._drain())

    def take_page(
        self, after: int, first: int, records: Iterable[LogRecord]
    ) -> tuple[Action, ...]:
        """Take in a page of the log.

        Args:
            after: Offset after which the log was read.
            first: Oldest offset that the log still has.
            records: Records after `after`, in order.
        """
        if first <= after + 1 and not (
            self.is_scanning and after == self._scan_after
        ):
            if after > self._offset:
                return ()
            return (*self._apply_all(records), *self._drain())
        return self._scan(after, first, tuple(records))

    def delta_for(self, after: int) -> Delta:
        """Return what a peer at an offset lacks."""
        if after < self._kept_after:
            return Delta((), True)
        if after >= self._offset:
            return Delta((), False)
        return Delta(
            tuple(record for record in self._kept if record.offset > after),
            False,
        )

    def _scan(
        self, after: int, first: int, records: tuple[LogRecord, ...]
    ) -> tuple[Action, ...]:
        """Read on until the first snapshot that later records follow."""
        if self._scan_first is None or first > after + 1:
            self._scan_first = first
            self._scan_after = first - 1
            self._scanned = []
        actions: list[Action] = []
        for record in records:
            self._scanned.append(record)
            self._scan_after = record.offset
            covers = self._snapshot_offset(record.payload)
            if covers is not None and covers >= self._scan_first - 1:
                actions += self._restore(record.payload)
        return (*actions, *self._drain())

    def _restore(self, payload: bytes) -> tuple[Action, ...]:
        offset = self._snapshot_offset(payload)
        if offset is None or offset <= self._offset:
            return ()
        self._offset = offset
        self._kept.clear()
        self._kept_bytes = 0
        self._kept_after = offset
        return (RestoreSnapshot(offset, payload),)

    def _apply_all(self, records: Iterable[LogRecord]) -> list[Action]:
        actions: list[Action] = []
        for record in records:
            if record.offset > self._offset:
                self._offset = record.offset
                self._keep(record)
                actions.append(ApplyRecord(record))
        return actions

    def _drain(self) -> tuple[Action, ...]:
        """Apply what waited and has become the next record."""
        actions: list[Action] = []
        first = self._scan_first
        if first is not None and self._offset >= first - 1:
            self._scan_first = None
            actions += self._apply_all(self._scanned)
            self._scanned = []
        while self._offset + 1 in self._early:
            actions += self._apply_all([self._early[self._offset + 1]])
        self._early = {
            offset: record
            for offset, record in self._early.items()
            if offset > self._offset
        }
        return tuple(actions)

    def _keep(self, record: LogRecord) -> None:
        self._kept.append(record)
        self._kept_bytes += len(record.payload)
        while len(self._kept) > self._kept_records or (
            self._kept_bytes > KEPT_BYTES
        ):
            dropped = self._kept.pop(0)
            self._kept_after = dropped.offset
            self._kept_bytes -= len(dropped.payload)
