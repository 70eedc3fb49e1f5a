"""All daemons with their targets, merged by incarnation and version."""

from collections.abc import Iterable
from collections.abc import Iterator
import enum

from turmericrouter_core.messages import DirectoryEntry


class MemberState(enum.IntEnum):
    """State that a daemon gives itself."""

    JOINING = 0
    SERVING = 1
    LEAVING = 2


class Mark(enum.IntEnum):
    """Health that others give a daemon."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


def is_newer(entry: DirectoryEntry, known: DirectoryEntry | None) -> bool:
    """Return whether an entry replaces a known one of the same address."""
    if known is None:
        return True
    return (entry.incarnation, entry.version, entry.mark) > (
        known.incarnation,
        known.version,
        known.mark,
    )


class Directory:
    """Entries by address, with an index by service."""

    def __init__(self) -> None:
        self._entries: dict[str, DirectoryEntry] = {}
        self._by_service: dict[str, dict[str, DirectoryEntry]] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[DirectoryEntry]:
        return iter(self._entries.values())

    def get(self, address: str) -> DirectoryEntry | None:
        """Return the entry of an address."""
        return self._entries.get(address)

    def merge(
        self, entries: Iterable[DirectoryEntry]
    ) -> tuple[DirectoryEntry, ...]:
        """Take in entries and return those that were new."""
        new = tuple(
            entry
            for entry in entries
            if is_newer(entry, self._entries.get(entry.address))
        )
        for entry in new:
            self._replace(entry)
        return new

    def remove(self, address: str) -> None:
        """Forget an entry."""
        entry = self._entries.pop(address, None)
        if entry is not None:
            self._unindex(entry)

    def serving(self, service: str) -> list[DirectoryEntry]:
        """Return the entries of a service that may get new work."""
        return [
            entry
            for entry in self._by_service.get(service, {}).values()
            if entry.state == MemberState.SERVING and entry.mark != Mark.DEAD
        ]

    def domain(self, name: str) -> list[DirectoryEntry]:
        """Return the entries of a failure domain that are not dead."""
        return [
            entry
            for entry in self._entries.values()
            if entry.domain == name and entry.mark != Mark.DEAD
        ]

    def _replace(self, entry: DirectoryEntry) -> None:
        known = self._entries.get(entry.address)
        if known is not None:
            self._unindex(known)
        self._entries[entry.address] = entry
        if entry.service:
            index = self._by_service.setdefault(entry.service, {})
            index[entry.address] = entry

    def _unindex(self, entry: DirectoryEntry) -> None:
        index = self._by_service.get(entry.service)
        if index is not None:
            index.pop(entry.address, None)
            if not index:
                del self._by_service[entry.service]
