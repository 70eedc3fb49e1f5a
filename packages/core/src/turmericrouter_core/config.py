"""Configuration records and the rule that applies them.

Every daemon and every operator reads the same records in the same order
and applies them with the same rule, so all agree on what is in force.
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
NEW_SCOPE = -1
# Publications older than this many are not recognised as repeated.
REMEMBERED_PUBLICATIONS = 2_000


class StaleRule(enum.StrEnum):
    """What a route does when the daemon's configuration may be stale."""

    SERVE = 'serve'
    REFUSE = 'refuse'


class KeylessRule(enum.StrEnum):
    """What a non-idempotent route does without an idempotency key."""

    REFUSE = 'refuse'
    RUN_ONCE = 'run-once'


class Fleet(msgspec.Struct, frozen=True, tag='fleet'):
    """Failure domains of the fleet.

    Args:
        domains: Names; only ever appended to, because operation ids carry
            the index of their home domain.
        regions: Region of each domain.
    """

    domains: tuple[str, ...]
    regions: dict[str, str] = {}


class Workspace(msgspec.Struct, frozen=True, tag='workspace'):
    """A tenant.

    Args:
        rate_per_s: Requests a second over the whole fleet.
        burst: Requests above the rate that may come at once.
        weight: Share at a gate relative to other workspaces.
    """

    rate_per_s: float
    burst: float
    weight: float = 1.0


class Key(msgspec.Struct, frozen=True, tag='key'):
    """A caller's key, known by its SHA-256 digest only.

    Args:
        workspace: Workspace that the key speaks for.
        withdrawn: The key is refused, for good.
        label: Operator's note.
    """

    workspace: str
    withdrawn: bool = False
    label: str = ''


class Route(msgspec.Struct, frozen=True, tag='route'):
    """A kind of request.

    Args:
        service: Service that serves it.
        path_prefix: Prefix of the path, matched by whole segments.
        methods: HTTP methods; empty for all.
        importance: Shed last when CRITICAL, first when LOW.
        idempotent: Whether a request may run more than once.
        open_to_all: Whether it needs no key.
        timeout_ms: Deadline of a request in milliseconds.
        on_stale: What to do while the configuration may be stale; by
            default idempotent routes serve and others refuse.
        without_key: What a non-idempotent route does without an
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
        """Return the rule in force for stale configuration."""
        if self.on_stale is not None:
            return self.on_stale
        return StaleRule.SERVE if self.idempotent else StaleRule.REFUSE


class Retirement(msgspec.Struct, frozen=True, tag='retirement'):
    """A target that operators retire; it gets no new work."""

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
        base: Revision of the scope that the change was made from, -1 for
            a scope that did not exist.
        value: New value, or none to delete the scope.
    """

    scope: str
    base: int
    value: Value | None


class Publication(msgspec.Struct, frozen=True, tag='publication'):
    """Changes that are accepted or rejected as a whole.

    Args:
        publication_id: UUID; a repeated one is ignored.
        changes: Changes of distinct scopes.
        author: Operator's name, for logs.
    """

    publication_id: str
    changes: tuple[Change, ...]
    author: str = ''


class Held(msgspec.Struct, frozen=True, array_like=True):
    """A value in force and the offset of the record that set it."""

    revision: int
    value: Value


class Snapshot(msgspec.Struct, frozen=True, tag='snapshot'):
    """The whole state as of an offset.

    Args:
        offset: Last offset that the state includes.
        scopes: Values in force.
        publications: Recent publication ids with whether each was
            accepted, oldest first.
    """

    offset: int
    scopes: dict[str, Held]
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
    """Return a record's payload in the log."""
    return _encoder.encode(record)


def decode_record(payload: bytes) -> Publication | Snapshot:
    """Read a record's payload.

    Raises:
        ConfigError: The payload is not a record.
    """
    try:
        return _record_decoder.decode(payload)
    except msgspec.MsgspecError as error:
        raise ConfigError(f'not a configuration record: {error}') from error


class ApplyStatus(enum.StrEnum):
    """What became of a record."""

    ACCEPTED = 'accepted'
    CONFLICT = 'conflict'
    REPEATED = 'repeated'
    OLD = 'old'
    SNAPSHOT = 'snapshot'
    INVALID = 'invalid'


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """Result of applying one record.

    Args:
        status: What became of the record.
        changed: Scopes whose value changed.
        conflicts: Scopes whose base was not current.
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
        self._scopes: dict[str, Held] = {}
        self._publications: dict[str, bool] = {}

    @property
    def offset(self) -> int:
        """Return the last offset included, -1 before the first record."""
        return self._offset

    @property
    def scopes(self) -> Mapping[str, Held]:
        """Return the values in force by scope."""
        return MappingProxyType(self._scopes)

    @property
    def fleet(self) -> Fleet:
        """Return the failure domains of the fleet."""
        held = self._scopes.get('fleet')
        return cast(Fleet, held.value) if held else Fleet(domains=())

    def publication(self, publication_id: str) -> bool | None:
        """Return whether a publication was accepted, none if not seen."""
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

    def named(self, kind: str) -> Iterator[tuple[str, Value]]:
        """Yield (name, value) of all scopes of a kind, such as `route`."""
        prefix = kind + '/'
        for scope, held in self._scopes.items():
            if scope.startswith(prefix):
                yield scope[len(prefix) :], held.value

    def apply(self, offset: int, payload: bytes) -> Applied:
        """Apply the record at an offset; older offsets change nothing.

        A record that cannot be read is skipped by all readers alike.
        """
        if offset <= self._offset:
            return Applied(ApplyStatus.OLD)
        self._offset = offset
        try:
            record = decode_record(payload)
        except ConfigError:
            return Applied(ApplyStatus.INVALID)
        if isinstance(record, Snapshot):
            return Applied(ApplyStatus.SNAPSHOT)
        return self._apply_publication(offset, record)

    def snapshot(self) -> Snapshot:
        """Return the whole state."""
        return Snapshot(
            self._offset, dict(self._scopes), dict(self._publications)
        )

    def restore(self, snapshot: Snapshot) -> bool:
        """Replace the state by a newer snapshot.

        Returns:
            Whether the snapshot was newer and is now in force.
        """
        if snapshot.offset <= self._offset:
            return False
        self._offset = snapshot.offset
        self._scopes = dict(snapshot.scopes)
        self._publications = dict(snapshot.publications)
        return True

    def _value(self, scope: str) -> Value | None:
        held = self._scopes.get(scope)
        return held.value if held else None

    def _apply_publication(
        self, offset: int, publication: Publication
    ) -> Applied:
        identifier = publication.publication_id
        if identifier in self._publications:
            return Applied(ApplyStatus.REPEATED, publication_id=identifier)
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
        self._remember(identifier, not conflicts)
        return Applied(
            ApplyStatus.CONFLICT if conflicts else ApplyStatus.ACCEPTED,
            tuple(change.scope for change in changes),
            conflicts,
            identifier,
        )

    def _conflicts(self, change: Change) -> bool:
        if _is_withdrawal(change):
            return False
        held = self._scopes.get(change.scope)
        if held and isinstance(held.value, Key) and held.value.withdrawn:
            return True
        if self._drops_domain(change):
            return True
        return change.base != (held.revision if held else NEW_SCOPE)

    def _drops_domain(self, change: Change) -> bool:
        """Return whether a change moves the index of a failure domain."""
        if change.scope != 'fleet':
            return False
        domains = self.fleet.domains
        new = change.value.domains if isinstance(change.value, Fleet) else ()
        return new[: len(domains)] != domains

    def _set(self, offset: int, change: Change) -> None:
        if change.value is None:
            self._scopes.pop(change.scope, None)
        else:
            self._scopes[change.scope] = Held(offset, change.value)

    def _remember(self, publication_id: str, accepted: bool) -> None:
        self._publications[publication_id] = accepted
        if len(self._publications) > REMEMBERED_PUBLICATIONS:
            del self._publications[next(iter(self._publications))]
