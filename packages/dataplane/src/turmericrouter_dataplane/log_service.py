"""Interface of the platform's log service."""

from collections.abc import Callable
import dataclasses
import enum
from typing import Protocol

from turmericrouter_core.errors import LogServiceError
from turmericrouter_dataplane.policy.log_era import UNKNOWN_ERA
from turmericrouter_dataplane.settings import Address


class Stream(enum.Enum):
    """Streams that the daemon uses; the newest record of a key is kept."""

    CONFIGURATION = 'configuration'
    HOSTS = 'hosts'


class HistoryLostError(LogServiceError):
    """Records after the requested offset have already been removed."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record of a stream; an empty value drops its key."""

    key: str
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class RecordPage:
    """Records and the offset after the last one.

    Args:
        records: The records, oldest first.
        next_offset: Offset after the last one.
        era: Era of the log in which the offset was given out.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int
    era: int = UNKNOWN_ERA


class LogService(Protocol):
    """The platform's log; each call raises `LogServiceError` on failure.

    `on_era` is called with the era of each answer that names one, also of
    one that refuses the call, before the call returns.
    """

    on_era: Callable[[int], None]

    def set_address(self, address: Address) -> None:
        """Call the log at this address from now on."""

    async def read_newest(self, stream: Stream) -> RecordPage:
        """Return the newest record of each key."""

    async def read(
        self, stream: Stream, start: int, wait_s: float
    ) -> RecordPage:
        """Return records from an offset on, as soon as there are any.

        Raises:
            HistoryLostError: The offset is older than the oldest record.
        """

    async def append(self, stream: Stream, record: KeyedRecord) -> int:
        """Add a record; after an error it may have been added.

        Returns:
            Era of the log in which it was added.
        """
