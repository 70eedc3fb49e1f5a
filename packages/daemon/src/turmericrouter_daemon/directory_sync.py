"""Keeps the directory of all daemons and their targets."""

from turmericrouter_client.log_service import LogService
from turmericrouter_core.config import CONTROL_STREAM
from turmericrouter_core.control import Announcement
from turmericrouter_core.control import ControlRecord
from turmericrouter_core.control import encode_control
from turmericrouter_core.directory import Directory
from turmericrouter_core.directory import MemberState
from turmericrouter_core.errors import LogServiceError
from turmericrouter_core.messages import DirectoryEntry
from turmericrouter_daemon.config_sync import ConfigSync
from turmericrouter_daemon.runtime import Runtime


class DirectorySync:
    """Owns this daemon's entry and merges those of others.

    Args:
        runtime: Services of the process.
        config: Source of control records.
        log_service: The platform's log.
    """

    def __init__(
        self, runtime: Runtime, config: ConfigSync, log_service: LogService
    ) -> None:
        self._runtime = runtime
        self._log_service = log_service
        self._directory = Directory()
        self._own = DirectoryEntry(
            runtime.address,
            runtime.settings.host.domain,
            runtime.incarnation,
            0,
            MemberState.JOINING,
        )
        self._leaving = False
        config.on_control(self._on_control)

    @property
    def directory(self) -> Directory:
        """Return all known daemons."""
        return self._directory

    @property
    def own(self) -> DirectoryEntry:
        """Return this daemon's entry."""
        return self._own

    async def update(
        self,
        state: MemberState,
        *,
        service: str,
        target: str,
        slots: int,
        connections: int,
    ) -> None:
        """Change this daemon's entry and announce it if it differs."""
        own = self._own
        if self._leaving:
            # A heartbeat of the target does not take the leave back.
            state = MemberState.LEAVING
        changed = DirectoryEntry(
            own.address,
            own.domain,
            own.incarnation,
            own.version,
            state,
            service,
            target,
            slots,
            connections,
        )
        if changed != own:
            await self._announce(changed)

    async def leave(self) -> None:
        """Announce that this daemon takes no new work."""
        self._leaving = True
        own = self._own
        await self.update(
            MemberState.LEAVING,
            service=own.service,
            target=own.target,
            slots=own.slots,
            connections=own.connections,
        )

    async def _announce(self, changed: DirectoryEntry) -> None:
        self._own = DirectoryEntry(
            changed.address,
            changed.domain,
            changed.incarnation,
            changed.version + 1,
            changed.state,
            changed.service,
            changed.target,
            changed.slots,
            changed.connections,
        )
        self._directory.merge([self._own])
        try:
            await self._log_service.append(
                CONTROL_STREAM, encode_control(Announcement(self._own))
            )
        except LogServiceError as error:
            self._runtime.log.warning('announce_failed', error=str(error))

    def _on_control(self, record: ControlRecord) -> None:
        if isinstance(record, Announcement):
            self._directory.merge([record.entry])
