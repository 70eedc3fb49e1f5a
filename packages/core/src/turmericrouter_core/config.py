"""Configuration records and the state that results from them.

Every daemon and every operator's program reads the same records in the same
order and applies them by the same rules, so all derive the same state.
"""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import enum
import hashlib
from types import MappingProxyType
from typing import cast

import msgspec

from turmericrouter_core.errors import ConfigError
from turmericrouter_core.verdict import Importance

CONFIG_STREAM = 'turmeric.config'
CONTROL_STREAM = 'turmeric.control'
NO_OFFSET = -1
NO_REVISION = -1
# A repeated publication is recognised among this many recent ones only.
MAX_RECENT_PUBLICATIONS = 2_000


class StaleRule(enum.StrEnum):
    """Action of a route while the daemon's configuration may be stale."""

    SERVE = 'serve'
    REFUSE = 'refuse'


class KeylessRule(enum.StrEnum):
    """Action of a non-idempotent route without an idempotency key."""

    REFUSE = 'refuse'
    RUN_ONCE = 'run-once'


class Fleet(msgspec.Struct, frozen=True, tag='fleet'):
    """Failure domains of the fleet.

    Args:
        domains: Names of the domains. Names may only be appended, because
            operation ids contain the index of their home domain.
        regions: Region of each domain.
    """

    domains: tuple[str, ...]
    regions: dict[str, str] = {}


class Workspace(msgspec.Struct, frozen=True, tag='workspace'):
    """A tenant.

    Args:
        rate_per_s: Requests per second over the whole fleet.
        burst: Number of requests above the rate that may arrive at once.
        weight: Weight at a gate relative to other workspaces.
    """

    rate_per_s: float
    burst: float
    weight: float = 1.0


class Key(msgspec.Struct, frozen=True, tag='key'):
    """A caller's key, identified by its SHA-256 digest only.

    Args:
        workspace: Workspace that the key authenticates.
        withdrawn: Whether the key is refused, which is permanent.
        label: Note of an operator.
    """

    workspace: str
    withdrawn: bool = False
    label: str = ''


class Route(msgspec.Struct, frozen=True, tag='route'):
    """A kind of request.

    Args:
        service: Service that handles the requests.
        path_prefix: Prefix of the path, matched by whole segments.
        methods: HTTP methods, empty for all.
        importance: Shed last when CRITICAL, first when LOW.
        idempotent: Whether a request may run more than once.
        open_to_all: Whether a request needs no key.
        timeout_ms: Deadline of a request in milliseconds.
        on_stale: Action while the configuration may be stale. By default
            idempotent routes serve and others refuse.
        without_key: Action of a non-idempotent route without an
            idempotency key.
    """

    service: str
    path_prefix: str
    methods: tuple[str, ...] = ()
    importance: Importance = Importance.NORMAL
    idempotent: bool = True
    open_to_all: bool = False
    timeout_ms: int = 10_000
    on_stale: StaleRule | None = None
    without_key: KeylessRule = KeylessRule.REFUSE

    @property
    def stale_rule(self) -> StaleRule:
        """Return the effective rule for stale configuration."""
        if self.on_stale is not None:
            return self.on_stale
        return StaleRule.SERVE if self.idempotent else StaleRule.REFUSE


class Retirement(msgspec.Struct, frozen=True, tag='retirement'):
    """A target retired by operators, which gets no new requests."""

    note: str = ''


Value = Fleet | Workspace | Key | Route | Retirement

_KIND_OF_VALUE: dict[type, str] = {
    Fleet: 'fleet',
    Workspace: 'workspace',
    Key: 'key',
    Route: 'route',
    Retirement: 'retirement',
}


class Change(msgspec.Struct, frozen=True):
    """A change of one scope.

    Args:
        scope: `KIND/NAME`, or `fleet`.
        base: Revision of the scope on which the change is based, -1 for a
            scope that did not exist.
        value: New value, or None to delete the scope.
    """

    scope: str
    base: int
    value: Value | None


class Publication(msgspec.Struct, frozen=True, tag='publication'):
    """Changes that are accepted or rejected as a unit.

    A withdrawal of a key is applied even if the rest is rejected.

    Args:
        publication_id: UUID of the publication. A repeated one is ignored.
        changes: Changes of distinct scopes.
        author: Name of the operator, for logs.
    """

    publication_id: str
    changes: tuple[Change, ...]
    author: str = ''


class VersionedValue(msgspec.Struct, frozen=True, array_like=True):
    """A value in force and the offset of the record that set it."""

    revision: int
    value: Value


class Snapshot(msgspec.Struct, frozen=True, tag='snapshot'):
    """Complete configuration state as of an offset.

    Args:
        offset: Last offset applied to the state.
        scopes: Values in force by scope.
        publications: Whether each recent publication was accepted, by
            publication id, oldest first.
    """

    offset: int
    scopes: dict[str, VersionedValue]
    publications: dict[str, bool]


_RECORD_TYPES = Publication | Snapshot
_record_decoder: msgspec.msgpack.Decoder[Publication | Snapshot] = (
    msgspec.msgpack.Decoder(_RECORD_TYPES)
)
_encoder = msgspec.msgpack.Encoder()


def key_digest(key: str) -> str:
    """Return the SHA-256 digest of a caller's key in hexadecimal."""
    return hashlib.sha256(key.encode()).hexdigest()


def scope_of(value: Value, name: str) -> str:
    """Return the scope name of a value."""
    kind = _KIND_OF_VALUE[type(value)]
    return kind if kind == 'fleet' else f'{kind}/{name}'


def encode_record(record: Publication | Snapshot) -> bytes:
    """Return the payload of a record in the log."""
    return _encoder.encode(record)


def decode_record(payload: bytes) -> Publication | Snapshot:
    """Decode the payload of a record.

    Raises:
        ConfigError: The payload is not a configuration record.
    """
    try:
        return _record_decoder.decode(payload)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ConfigError(f'not a configuration record: {error}') from error


class ApplyStatus(enum.StrEnum):
    """Outcome of applying a record."""

    ACCEPTED = 'accepted'
    CONFLICT = 'conflict'
    REPEATED = 'repeated'
    OLD = 'old'
    SNAPSHOT = 'snapshot'
    INVALID = 'invalid'


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyResult:
    """Result of applying one record.

    Args:
        status: Outcome of applying the record.
        changed: Scopes whose value was set or deleted.
        conflicts: Scopes whose change was rejected, such as by a base that
            is not the current revision.
        publication_id: Id of the publication, empty for other records.
    """

    status: ApplyStatus
    changed: tuple[str, ...] = ()
    conflicts: tuple[str, ...] = ()
    publication_id: str = ''


def _is_withdrawal(change: Change) -> bool:
    return isinstance(change.value, Key) and change.value.withdrawn


class ConfigState:
    """Configuration in force, as of one offset of the log."""

    def __init__(self) -> None:
        self._offset = NO_OFFSET
        self._scopes: dict[str, VersionedValue] = {}
        self._publications: dict[str, bool] = {}

    @property
    def offset(self) -> int:
        """Return the last offset applied, -1 before the first record."""
        return self._offset

    @property
    def scopes(self) -> Mapping[str, VersionedValue]:
        """Return the values in force by scope."""
        return MappingProxyType(self._scopes)

    @property
    def fleet(self) -> Fleet:
        """Return the failure domains of the fleet."""
        current = self._scopes.get('fleet')
        return cast(Fleet, current.value) if current else Fleet(domains=())

    def publication(self, publication_id: str) -> bool | None:
        """Return whether a publication was accepted, or None if unknown."""
        return self._publications.get(publication_id)

    def workspace(self, name: str) -> Workspace | None:
        """Return a workspace by name."""
        return cast(Workspace | None, self._value(f'workspace/{name}'))

    def key(self, digest: str) -> Key | None:
        """Return a key by its digest."""
        return cast(Key | None, self._value(f'key/{digest}'))

    def route(self, name: str) -> Route | None:
        """Return a route by name."""
        return cast(Route | None, self._value(f'route/{name}'))

    def is_retired(self, target: str) -> bool:
        """Return whether operators have retired a target."""
        return f'retirement/{target}' in self._scopes

    def values_of_kind(self, kind: str) -> Iterator[tuple[str, Value]]:
        """Yield (name, value) of all scopes of a kind, such as `route`."""
        prefix = kind + '/'
        for scope, current in self._scopes.items():
            if scope.startswith(prefix):
                yield scope[len(prefix) :], current.value

    def apply(self, offset: int, payload: bytes) -> ApplyResult:
        """Apply the record at an offset; older offsets change nothing.

        A record that cannot be decoded is skipped, by all readers alike.
        """
        if offset <= self._offset:
            return ApplyResult(ApplyStatus.OLD)
        self._offset = offset
        try:
            record = decode_record(payload)
        except ConfigError:
            return ApplyResult(ApplyStatus.INVALID)
        if isinstance(record, Snapshot):
            return ApplyResult(ApplyStatus.SNAPSHOT)
        return self._apply_publication(offset, record)

    def snapshot(self) -> Snapshot:
        """Return the complete state."""
        return Snapshot(
            self._offset, dict(self._scopes), dict(self._publications)
        )

    def restore(self, snapshot: Snapshot) -> bool:
        """Replace the state by a newer snapshot.

        Returns:
            Whether the snapshot was newer and has replaced the state.
        """
        if snapshot.offset <= self._offset:
            return False
        self._offset = snapshot.offset
        self._scopes = dict(snapshot.scopes)
        self._publications = dict(snapshot.publications)
        return True

    def _value(self, scope: str) -> Value | None:
        current = self._scopes.get(scope)
        return current.value if current else None

    def _apply_publication(
        self, offset: int, publication: Publication
    ) -> ApplyResult:
        publication_id = publication.publication_id
        if publication_id in self._publications:
            return ApplyResult(
                ApplyStatus.REPEATED, publication_id=publication_id
            )
        conflicts = tuple(
            change.scope
            for change in publication.changes
            if self._conflicts(change)
        )
        # A withdrawn key must stop working even if the rest is rejected.
        changes = [
            change
            for change in publication.changes
            if not conflicts or _is_withdrawal(change)
        ]
        for change in changes:
            self._set(offset, change)
        self._record_publication(publication_id, not conflicts)
        return ApplyResult(
            ApplyStatus.CONFLICT if conflicts else ApplyStatus.ACCEPTED,
            tuple(change.scope for change in changes),
            conflicts,
            publication_id,
        )

    def _conflicts(self, change: Change) -> bool:
        if _is_withdrawal(change):
            return False
        current = self._scopes.get(change.scope)
        if (
            current
            and isinstance(current.value, Key)
            and current.value.withdrawn
        ):
            return True
        if self._moves_domain(change):
            return True
        return change.base != (current.revision if current else NO_REVISION)

    def _moves_domain(self, change: Change) -> bool:
        """Return whether a change alters the index of a failure domain."""
        if change.scope != 'fleet':
            return False
        domains = self.fleet.domains
        new = change.value.domains if isinstance(change.value, Fleet) else ()
        return new[: len(domains)] != domains

    def _set(self, offset: int, change: Change) -> None:
        if change.value is None:
            self._scopes.pop(change.scope, None)
        else:
            self._scopes[change.scope] = VersionedValue(offset, change.value)

    def _record_publication(self, publication_id: str, accepted: bool) -> None:
        self._publications[publication_id] = accepted
        if len(self._publications) > MAX_RECENT_PUBLICATIONS:
            del self._publications[next(iter(self._publications))]
