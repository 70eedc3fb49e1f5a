"""Records of the hosts in the platform's log."""

from collections.abc import Callable
import time

from turmericrouter_core.errors import LogServiceError
from turmericrouter_core.errors import ProtocolError
from turmericrouter_dataplane.decision_log import DecisionLog
from turmericrouter_dataplane.frames import decode_record
from turmericrouter_dataplane.frames import encode_record
from turmericrouter_dataplane.frames import HostRecord
from turmericrouter_dataplane.log_service import KeyedRecord
from turmericrouter_dataplane.log_service import LogService
from turmericrouter_dataplane.log_service import Stream
from turmericrouter_dataplane.members import Members
from turmericrouter_dataplane.policy.log_era import LogEra
from turmericrouter_dataplane.policy.log_era import RecordedHosts


class HostDirectory:
    """The hosts' records in the platform's log.

    Args:
        log_service: The platform's log.
        era: Newest known era of the log.
        members: Hosts of the fleet.
        log: Decision log.
    """

    def __init__(
        self,
        log_service: LogService,
        era: LogEra,
        members: Members,
        log: DecisionLog,
    ) -> None:
        self._log_service = log_service
        self._era = era
        self._members = members
        self._log = log
        self._stored_value = b''
        self._stored_era = 0
        self._recorded = RecordedHosts()

    async def load(
        self, on_own: Callable[[HostRecord], None] = lambda record: None
    ) -> None:
        """Read all records.

        Args:
            on_own: Called with the stored record of this host; raises
                `ValueError` if the record is invalid.

        Raises:
            LogServiceError: They could not be read.
        """
        page = await self._log_service.read_newest(Stream.HOSTS)
        if self._era.is_stale(page.era):
            raise LogServiceError('the answer is of an earlier era')
        own = self._members.record.name
        # Stays empty if the log lacks the record of this host, so that the
        # next call of `store` writes it again.
        self._stored_value = b''
        self._stored_era = self._era.resolve(page.era)
        for item in page.records:
            try:
                record = decode_record(item.value)
                if record.name == own:
                    on_own(record)
            except (ProtocolError, ValueError) as error:
                self._log.event(
                    'host_record_skipped', peer=item.key, error=str(error)
                )
                continue
            if record.name == own:
                self._stored_value = item.value
            else:
                self._members.add(record)
        self._members.mark_directory_loaded()
        self._remove_missing(
            frozenset(item.key for item in page.records), page.era
        )

    async def store(self) -> bool:
        """Write the record of this host if it has changed or may be lost.

        An acknowledgement of an earlier era does not show that the log still
        holds the record.

        Returns:
            Whether the log holds the present record.
        """
        record = self._members.record
        value = encode_record(record)
        if value == self._stored_value and not self._era.is_stale(
            self._stored_era
        ):
            return True
        try:
            era = await self._log_service.append(
                Stream.HOSTS, KeyedRecord(record.name, value)
            )
        except LogServiceError as error:
            self._log.event('host_record_not_stored', error=str(error))
            return False
        self._stored_value = value
        self._stored_era = self._era.resolve(era)
        if self._era.is_stale(era):
            self._log.event(
                'host_record_not_stored',
                error='the acknowledgement is of an earlier era',
            )
            return False
        return True

    def _remove_missing(self, present: frozenset[str], era: int) -> None:
        """Remove silent hosts whose record has been removed."""
        silent = self._members.silent_hosts(
            3 * self._members.silence_timeout_s
        )
        for name in self._recorded.find_removed(
            present, self._era.resolve(era), silent, time.monotonic()
        ):
            self._members.remove(name)
