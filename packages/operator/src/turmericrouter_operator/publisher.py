"""Publishing of configuration by compare-and-set on the log."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import uuid

from turmericrouter_client.log_service import LogPage
from turmericrouter_client.log_service import LogService
from turmericrouter_core.config import Applied
from turmericrouter_core.config import ApplyStatus
from turmericrouter_core.config import Change
from turmericrouter_core.config import CONFIG_STREAM
from turmericrouter_core.config import ConfigState
from turmericrouter_core.config import decode_record
from turmericrouter_core.config import encode_record
from turmericrouter_core.config import Key
from turmericrouter_core.config import NEW_SCOPE
from turmericrouter_core.config import NO_OFFSET
from turmericrouter_core.config import Publication
from turmericrouter_core.config import Snapshot
from turmericrouter_core.config import Value
from turmericrouter_core.errors import AppendUnknownError
from turmericrouter_core.errors import ConfigError
from turmericrouter_core.errors import ConflictError
from turmericrouter_core.errors import LogServiceError
from turmericrouter_operator.document import Document

APPEND_ATTEMPTS = 4
READ_ATTEMPTS = 4
RETRY_S = 0.25
# Kinds that a document with `prune` removes if it does not name them; keys
# and retirements are changed by commands of their own.
PRUNED_KINDS = ('workspace', 'route')


@dataclasses.dataclass(frozen=True, slots=True)
class Published:
    """An accepted publication.

    Args:
        publication_id: Its id.
        offset: Its offset in the log, at which it is in force.
        scopes: Scopes that it changed.
    """

    publication_id: str
    offset: int
    scopes: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """What the log's order made of a publication."""

    offset: int
    applied: Applied


def find_changes(
    state: ConfigState, document: Document, *, prune: bool = False
) -> tuple[Change, ...]:
    """Return the changes that bring a document into force.

    Args:
        state: Configuration in force.
        document: Wanted values.
        prune: Remove workspaces and routes that the document lacks.

    Raises:
        ConflictError: A scope changed after the document's base offset.
        ConfigError: The document grants a withdrawn key again or moves the
            index of a failure domain.
    """
    wanted: dict[str, Value | None] = dict(document.values)
    if prune:
        for scope in state.scopes:
            if scope.partition('/')[0] in PRUNED_KINDS:
                wanted.setdefault(scope, None)
    changes = make_changes(state, wanted)
    if document.base_offset != NO_OFFSET:
        newer = tuple(
            change.scope
            for change in changes
            if change.base > document.base_offset
        )
        if newer:
            raise ConflictError(newer)
    return changes


def make_changes(
    state: ConfigState, wanted: Mapping[str, Value | None]
) -> tuple[Change, ...]:
    """Return the changes from the state in force to values by scope.

    Raises:
        ConfigError: A change can never be accepted.
    """
    changes: list[Change] = []
    for scope, value in wanted.items():
        held = state.scopes.get(scope)
        if (held.value if held else None) == value:
            continue
        if held and isinstance(held.value, Key) and held.value.withdrawn:
            raise ConfigError(f'{scope}: a withdrawn key stays withdrawn')
        changes.append(
            Change(scope, held.revision if held else NEW_SCOPE, value)
        )
    _check_domains(state, wanted)
    return tuple(changes)


def _check_domains(
    state: ConfigState, wanted: Mapping[str, Value | None]
) -> None:
    if 'fleet' not in wanted:
        return
    old = state.fleet.domains
    new = getattr(wanted['fleet'], 'domains', ())
    if new[: len(old)] != old:
        raise ConfigError(
            'fleet.domains: failure domains can only be appended; in force '
            'are ' + ', '.join(old)
        )


class LogReader:
    """Follows the configuration stream, also when its head was trimmed.

    Args:
        log_service: The platform's log.
    """

    def __init__(self, log_service: LogService) -> None:
        self._log_service = log_service
        self._decisions: dict[str, Decision] = {}
        self._reset()

    @property
    def state(self) -> ConfigState:
        """Return the configuration as of the last read."""
        return self._state

    def decision(self, publication_id: str) -> Decision | None:
        """Return what became of a publication, none if it was not read."""
        return self._decisions.get(publication_id)

    async def read_to_head(self, at_least: int = NO_OFFSET) -> ConfigState:
        """Read all records.

        Args:
            at_least: Offset that is known to be stored.

        Raises:
            LogServiceError: The log cannot be read.
            ConfigError: Records are missing and no snapshot replaces them.
        """
        while True:
            page = await self._log_service.read(CONFIG_STREAM, self._position)
            self._take(page)
            if self._position >= max(page.head, at_least):
                break
            if not page.records:
                raise LogServiceError(
                    f'the log returns nothing after {self._position} although '
                    f'{max(page.head, at_least)} is stored'
                )
        if self._missing is not None:
            raise ConfigError(
                f'the log starts at offset {self._missing} and holds no '
                'snapshot of the records before it yet; try again later'
            )
        return self._state

    def _reset(self) -> None:
        self._state = ConfigState()
        self._position = NO_OFFSET
        # First retained offset while a snapshot is still being looked for.
        self._missing: int | None = None
        self._waiting: list[tuple[int, bytes]] = []

    def _take(self, page: LogPage) -> None:
        if page.first > self._position + 1:
            self._missing = page.first
            self._waiting = []
            self._position = page.first - 1
        for record in page.records:
            self._position = record.offset
            content = record.content()
            if self._missing is None:
                self._apply(record.offset, content)
            else:
                self._waiting.append((record.offset, content))
                self._try_restore(content)

    def _try_restore(self, content: bytes) -> None:
        assert self._missing is not None
        try:
            snapshot = decode_record(content)
        except ConfigError:
            return
        # An older snapshot would leave out trimmed records.
        if not isinstance(snapshot, Snapshot):
            return
        if snapshot.offset < self._missing - 1:
            return
        self._state.restore(snapshot)
        self._missing = None
        for offset, waiting in self._waiting:
            self._apply(offset, waiting)
        self._waiting = []

    def _apply(self, offset: int, content: bytes) -> None:
        applied = self._state.apply(offset, content)
        if applied.status in (ApplyStatus.ACCEPTED, ApplyStatus.CONFLICT):
            decision = Decision(offset, applied)
            self._decisions.setdefault(applied.publication_id, decision)


class Publisher:
    """Publishes changes so that a lost answer never publishes twice.

    Args:
        log_service: The platform's log.
        sleep: Waits between attempts.
    """

    def __init__(
        self,
        log_service: LogService,
        *,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._log_service = log_service
        self._sleep = sleep
        self._reader = LogReader(log_service)

    async def read(self, at_least: int = NO_OFFSET) -> ConfigState:
        """Return the configuration at the head of the log.

        Raises:
            LogServiceError: The log cannot be read.
            ConfigError: Records are missing and no snapshot replaces them.
        """
        for _ in range(READ_ATTEMPTS - 1):
            try:
                return await self._reader.read_to_head(at_least)
            except LogServiceError:
                await self._sleep(RETRY_S)
        return await self._reader.read_to_head(at_least)

    async def publish(
        self,
        changes: tuple[Change, ...],
        *,
        author: str = '',
        publication_id: str = '',
    ) -> Published:
        """Append a publication and read on until it is decided.

        Every further append carries the same publication id, which readers
        ignore the second time, and follows a read that has not shown it.

        Args:
            changes: Changes made from the state that `read` returned.
            author: Operator's name, for logs.
            publication_id: UUID; a new one by default.

        Raises:
            ConflictError: Another publication came first.
            AppendUnknownError: No answer; it may still take effect.
            LogServiceError: It was not stored.
            ConfigError: Records are missing and no snapshot replaces them.
        """
        identifier = publication_id or str(uuid.uuid4())
        payload = encode_record(Publication(identifier, changes, author))
        maybe_stored = False
        for _ in range(APPEND_ATTEMPTS):
            offset = NO_OFFSET
            try:
                offset = await self._log_service.append(CONFIG_STREAM, payload)
                maybe_stored = True
            except AppendUnknownError:
                maybe_stored = True
            except LogServiceError:
                await self._sleep(RETRY_S)
                continue
            decided = await self._read_decision(identifier, offset, changes)
            if decided is not None:
                return decided
            await self._sleep(RETRY_S)
        if maybe_stored:
            raise AppendUnknownError(
                f'publication {identifier} got no answer and may still take '
                'effect; publish again when the log answers'
            )
        raise LogServiceError(
            'the log refused the publication; nothing is changed'
        )

    async def _read_decision(
        self, identifier: str, offset: int, changes: tuple[Change, ...]
    ) -> Published | None:
        try:
            state = await self.read(offset)
        except LogServiceError:
            return None
        decision = self._reader.decision(identifier)
        if decision is not None:
            return _published(identifier, decision)
        # The record was trimmed before it was read; a snapshot knows it.
        accepted = state.publication(identifier)
        scopes = tuple(change.scope for change in changes)
        if accepted is None:
            return None
        if not accepted:
            raise ConflictError(scopes)
        return Published(identifier, state.offset, scopes)


def _published(identifier: str, decision: Decision) -> Published:
    applied = decision.applied
    if applied.status is ApplyStatus.CONFLICT:
        raise ConflictError(applied.conflicts)
    return Published(identifier, decision.offset, applied.changed)
