"""Directory of all daemons and their targets.

Entries of the same address are merged by incarnation, version and health mark.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import enum
import sys

import msgspec
import xxhash

from turmericrouter_core.messages import DirectoryEntry

BUCKETS = 64
# Partitions between regions last about an hour. Dead entries are sent to peers
# for half of this time only, so that an entry expired here is not added again
# by a daemon that recorded the death a little later.
DEFAULT_EXPIRE_AFTER_S = 6 * 3600.0


class MemberState(enum.IntEnum):
    """State of a daemon, set by the daemon itself."""

    JOINING = 0
    SERVING = 1
    LEAVING = 2


class MemberHealth(enum.IntEnum):
    """Health of a daemon, set by other daemons."""

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


def with_health(entry: DirectoryEntry, mark: MemberHealth) -> DirectoryEntry:
    """Return an entry with its mark replaced."""
    return msgspec.structs.replace(entry, mark=int(mark))


def refuting_entry(
    own: DirectoryEntry, seen: DirectoryEntry
) -> DirectoryEntry | None:
    """Return an entry of the owner that overrides what others reported.

    Args:
        own: The owner's current entry.
        seen: Entry for the owner's address, received from another daemon.

    Returns:
        A newer entry, or None if the current one already takes precedence.
    """
    if not is_newer(seen, own):
        return None
    if seen.incarnation > own.incarnation:
        # The clock went back between two starts, but incarnations must only
        # increase.
        return msgspec.structs.replace(
            own, incarnation=seen.incarnation + 1, version=0
        )
    return msgspec.structs.replace(own, version=seen.version + 1)


def bucket_of(address: str) -> int:
    """Return the bucket of an address, 0 to 63."""
    return xxhash.xxh64_intdigest(address.encode()) % BUCKETS


def _digest(entry: DirectoryEntry) -> int:
    text = f'{entry.address}|{entry.incarnation}|{entry.version}|{entry.mark}'
    return xxhash.xxh64_intdigest(text.encode())


class Directory:
    """Entries by address, with indexes by service and failure domain.

    Args:
        expire_after_s: Seconds after which a dead entry is removed.
    """

    def __init__(
        self, *, expire_after_s: float = DEFAULT_EXPIRE_AFTER_S
    ) -> None:
        self._expire_after_s = expire_after_s
        self._entries: dict[str, DirectoryEntry] = {}
        self._by_service: dict[str, dict[str, DirectoryEntry]] = {}
        self._by_domain: dict[str, dict[str, DirectoryEntry]] = {}
        self._buckets: list[set[str]] = [set() for _ in range(BUCKETS)]
        self._digests = [0] * BUCKETS
        self._dead_since: dict[str, float | None] = {}
        self._long_dead: set[str] = set()
        self._suspects: set[str] = set()

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[DirectoryEntry]:
        return iter(self._entries.values())

    @property
    def domains(self) -> tuple[str, ...]:
        """Return the failure domains with at least one entry, sorted."""
        return tuple(sorted(self._by_domain))

    @property
    def digests(self) -> tuple[int, ...]:
        """Return a digest per bucket, without dead entries.

        The digests do not depend on the order in which entries were added.
        """
        return tuple(self._digests)

    def get(self, address: str) -> DirectoryEntry | None:
        """Return the entry of an address."""
        return self._entries.get(address)

    def merge(
        self, entries: Iterable[DirectoryEntry]
    ) -> tuple[DirectoryEntry, ...]:
        """Merge entries and return those that were new or newer."""
        new = []
        for entry in entries:
            if is_newer(entry, self._entries.get(entry.address)):
                self._replace(entry)
                new.append(entry)
        return tuple(new)

    def remove(self, address: str) -> None:
        """Remove an entry."""
        entry = self._entries.pop(address, None)
        if entry is not None:
            self._unindex(entry)

    def expire(self, now: float) -> int:
        """Remove expired dead entries and return their number.

        Args:
            now: Monotonic seconds.
        """
        expired = []
        for address, dead_since in self._dead_since.items():
            if dead_since is None:
                self._dead_since[address] = now
            elif now - dead_since >= self._expire_after_s:
                expired.append(address)
            elif now - dead_since >= self._expire_after_s / 2:
                self._long_dead.add(address)
        for address in expired:
            self.remove(address)
        return len(expired)

    def serving_entries(self, service: str) -> list[DirectoryEntry]:
        """Return the entries of a service that may get new requests."""
        return [
            entry
            for entry in self._by_service.get(service, {}).values()
            if entry.state == MemberState.SERVING
            and entry.mark != MemberHealth.DEAD
        ]

    def domain(self, name: str) -> list[DirectoryEntry]:
        """Return the entries of a failure domain that are not dead."""
        return [
            entry
            for entry in self._by_domain.get(name, {}).values()
            if entry.mark != MemberHealth.DEAD
        ]

    def dead_entries(self, name: str) -> list[DirectoryEntry]:
        """Return the dead entries of a failure domain."""
        members = self._by_domain.get(name, {})
        return [
            members[address]
            for address in self._dead_since
            if address in members
        ]

    def suspect_entries(self, name: str) -> list[DirectoryEntry]:
        """Return the suspect entries of a failure domain."""
        members = self._by_domain.get(name, {})
        return [
            members[address]
            for address in sorted(self._suspects)
            if address in members
        ]

    def differing_buckets(self, digests: tuple[int, ...]) -> tuple[int, ...]:
        """Return the buckets whose digests differ from other digests.

        Args:
            digests: Digest per bucket of another directory.
        """
        pairs = zip(self._digests, digests, strict=True)
        return tuple(
            index for index, (own, other) in enumerate(pairs) if own != other
        )

    def entries_in_buckets(
        self, buckets: Iterable[int]
    ) -> tuple[DirectoryEntry, ...]:
        """Return the entries of buckets, except those dead for long."""
        return tuple(
            self._entries[address]
            for bucket in buckets
            for address in sorted(self._buckets[bucket])
            if address not in self._long_dead
        )

    def _replace(self, entry: DirectoryEntry) -> None:
        known = self._entries.get(entry.address)
        if known is not None:
            self._unindex(known)
        # Each decoded entry has its own strings. Interning saves memory, since
        # the names repeat often.
        entry = msgspec.structs.replace(
            entry,
            domain=sys.intern(entry.domain),
            service=sys.intern(entry.service),
        )
        bucket = bucket_of(entry.address)
        self._entries[entry.address] = entry
        self._buckets[bucket].add(entry.address)
        members = self._by_domain.setdefault(entry.domain, {})
        members[entry.address] = entry
        if entry.mark == MemberHealth.SUSPECT:
            self._suspects.add(entry.address)
        if entry.mark == MemberHealth.DEAD:
            self._dead_since[entry.address] = None
        else:
            self._digests[bucket] ^= _digest(entry)
        if entry.service:
            index = self._by_service.setdefault(entry.service, {})
            index[entry.address] = entry

    def _unindex(self, entry: DirectoryEntry) -> None:
        bucket = bucket_of(entry.address)
        self._buckets[bucket].discard(entry.address)
        self._suspects.discard(entry.address)
        if entry.mark == MemberHealth.DEAD:
            self._dead_since.pop(entry.address, None)
            self._long_dead.discard(entry.address)
        else:
            self._digests[bucket] ^= _digest(entry)
        _remove_from_index(self._by_domain, entry.domain, entry.address)
        _remove_from_index(self._by_service, entry.service, entry.address)


def _remove_from_index(
    index: dict[str, dict[str, DirectoryEntry]], name: str, address: str
) -> None:
    entries = index.get(name)
    if entries is not None:
        entries.pop(address, None)
        if not entries:
            del index[name]
