"""Publishes configuration changes by compare-and-set on the log.

A publication is a record in the configuration stream. Each of its changes
names the revision of the scope that it was made from; the order of the log
decides which of two conflicting publications is accepted.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import uuid

from turmericrouter_client.log_service import LogPage
from turmericrouter_client.log_service import LogService
from turmericrouter_core.config import ApplyResult
from turmericrouter_core.config import ApplyStatus
from turmericrouter_core.config import Change
from turmericrouter_core.config import CONFIG_STREAM
from turmericrouter_core.config import ConfigState
from turmericrouter_core.config import decode_record
from turmericrouter_core.config import encode_record
from turmericrouter_core.config import Key
from turmericrouter_core.config import NO_OFFSET
from turmericrouter_core.config import NO_REVISION
from turmericrouter_core.config import Publication
from turmericrouter_core.config import Snapshot
from turmericrouter_core.config import Value
from turmericrouter_core.errors import AppendUnknownError
from turmericrouter_core.errors import ConfigError
from turmericrouter_core.errors import ConflictError
from turmericrouter_core.errors import LogServiceError
from turmericrouter_operator.document import Document

MAX_APPEND_ATTEMPTS = 4
MAX_READ_ATTEMPTS = 4
RETRY_DELAY_S = 0.25
# Kinds of scope that `prune` removes if the document does not contain them.
# Keys and retirements are excluded: they have their own commands.
PRUNED_KINDS = ('workspace', 'route')


@dataclasses.dataclass(frozen=True, slots=True)
class PublishResult:
    """Result of an accepted publication.

    Args:
        publication_id: UUID of the publication.
        offset: Log offset from which the publication is in force.
        scopes: Scopes that the publication changed.
    """

    publication_id: str
    offset: int
    scopes: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PublicationOutcome:
    """Whether a publication in the log was accepted or conflicted.

    Args:
        offset: Log offset of the publication.
        applied: Result of applying the record to the configuration.
    """

    offset: int
    applied: ApplyResult


def find_changes(
    state: ConfigState, document: Document, *, prune: bool = False
) -> tuple[Change, ...]:
    """Return the changes from the configuration in force to a document.

    Args:
        state: Configuration in force.
        document: Desired values.
        prune: Remove workspaces and routes that the document lacks.

    Raises:
        ConflictError: A scope changed after the document's base offset.
        ConfigError: The document changes a withdrawn key, or the index of a
            failure domain.
    """
    desired: dict[str, Value | None] = dict(document.values)
    if prune:
        for scope in state.scopes:
            if scope.partition('/')[0] in PRUNED_KINDS:
                desired.setdefault(scope, None)
    changes = make_changes(state, desired)
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
    state: ConfigState, desired: Mapping[str, Value | None]
) -> tuple[Change, ...]:
    """Return the changes from the configuration in force to given values.

    Args:
        state: Configuration in force.
        desired: Desired values by scope, `None` to remove a scope; scopes
            that are not included stay unchanged.

    Raises:
        ConfigError: A change can never be accepted.
    """
    changes: list[Change] = []
    for scope, value in desired.items():
        current = state.scopes.get(scope)
        if (current.value if current else None) == value:
            continue
        if (
            current
            and isinstance(current.value, Key)
            and current.value.withdrawn
        ):
            raise ConfigError(
                f'{scope}: a withdrawn key stays withdrawn; grant a new key'
            )
        changes.append(
            Change(scope, current.revision if current else NO_REVISION, value)
        )
    _check_domain_order(state, desired)
    return tuple(changes)


def _check_domain_order(
    state: ConfigState, desired: Mapping[str, Value | None]
) -> None:
    if 'fleet' not in desired:
        return
    old = state.fleet.domains
    new = getattr(desired['fleet'], 'domains', ())
    if new[: len(old)] != old:
        raise ConfigError(
            'fleet.domains: failure domains can only be appended; in force '
            'are ' + ', '.join(old)
        )


class LogReader:
    """Builds the configuration from its stream in the log.

    If the oldest records were trimmed, the state is restored from a snapshot
    in the stream.

    Args:
        log_service: Log service of the platform.
    """

    def __init__(self, log_service: LogService) -> None:
        self._log_service = log_service
        self._outcomes: dict[str, PublicationOutcome] = {}
        self._reset()

    @property
    def state(self) -> ConfigState:
        """Return the configuration as of the last read."""
        return self._state

    def outcome(self, publication_id: str) -> PublicationOutcome | None:
        """Return the outcome of a publication, `None` if it was not read."""
        return self._outcomes.get(publication_id)

    async def read_to_head(self, at_least: int = NO_OFFSET) -> ConfigState:
        """Read all records and return the configuration.

        Args:
            at_least: Offset that is known to be stored; the read continues
                to it even if the service reports a lower head.

        Raises:
            LogServiceError: The log cannot be read, or returns no records
                before the head.
            ConfigError: Records were trimmed and no snapshot covers them.
        """
        while True:
            page = await self._log_service.read(CONFIG_STREAM, self._position)
            self._apply_page(page)
            if self._position >= max(page.head, at_least):
                break
            if not page.records:
                raise LogServiceError(
                    f'the log returned no records after {self._position} '
                    f'although offset {max(page.head, at_least)} is stored'
                )
        if self._first_retained is not None:
            raise ConfigError(
                f'the log starts at offset {self._first_retained} and holds '
                'no snapshot that covers the records before it yet; try '
                'again later'
            )
        return self._state

    def _reset(self) -> None:
        self._state = ConfigState()
        self._position = NO_OFFSET
        # Offset of the first retained record until a snapshot that covers
        # the trimmed records is found, `None` otherwise.
        self._first_retained: int | None = None
        self._buffered: list[tuple[int, bytes]] = []

    def _apply_page(self, page: LogPage) -> None:
        if page.first > self._position + 1:
            self._first_retained = page.first
            self._buffered = []
            self._position = page.first - 1
        for record in page.records:
            self._position = record.offset
            content = record.decode_payload()
            if self._first_retained is None:
                self._apply(record.offset, content)
            else:
                self._buffered.append((record.offset, content))
                self._try_restore_snapshot(content)

    def _try_restore_snapshot(self, content: bytes) -> None:
        assert self._first_retained is not None
        try:
            snapshot = decode_record(content)
        except ConfigError:
            return
        # A snapshot from before the last trimmed record would miss changes.
        if not isinstance(snapshot, Snapshot):
            return
        if snapshot.offset < self._first_retained - 1:
            return
        self._state.restore(snapshot)
        self._first_retained = None
        for offset, buffered in self._buffered:
            self._apply(offset, buffered)
        self._buffered = []

    def _apply(self, offset: int, content: bytes) -> None:
        applied = self._state.apply(offset, content)
        if applied.status in (ApplyStatus.ACCEPTED, ApplyStatus.CONFLICT):
            outcome = PublicationOutcome(offset, applied)
            self._outcomes.setdefault(applied.publication_id, outcome)


class Publisher:
    """Publishes changes at most once, also when append replies are lost.

    Args:
        log_service: Log service of the platform.
        sleep: Coroutine function that waits between attempts, in seconds.
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

        Retries a failed read up to `MAX_READ_ATTEMPTS` attempts in total.

        Args:
            at_least: Offset that is known to be stored.

        Raises:
            LogServiceError: The log cannot be read.
            ConfigError: Records were trimmed and no snapshot covers them.
        """
        for _ in range(MAX_READ_ATTEMPTS - 1):
            try:
                return await self._reader.read_to_head(at_least)
            except LogServiceError:
                await self._sleep(RETRY_DELAY_S)
        return await self._reader.read_to_head(at_least)

    async def publish(
        self,
        changes: tuple[Change, ...],
        *,
        author: str = '',
        publication_id: str = '',
    ) -> PublishResult:
        """Append a publication and read the log until its outcome is known.

        Retries append the same publication id, of which readers apply only
        the first record, and stop as soon as a read returns the outcome.

        Args:
            changes: Changes relative to the state that `read` returned.
            author: Name of the operator, for logs.
            publication_id: UUID; a new one is generated by default.

        Raises:
            ConflictError: An earlier publication changed one of the scopes.
            AppendUnknownError: The outcome is unknown; the publication may
                still take effect.
            LogServiceError: The publication was not stored.
            ConfigError: Records were trimmed and no snapshot covers them.
        """
        identifier = publication_id or str(uuid.uuid4())
        payload = encode_record(Publication(identifier, changes, author))
        may_be_stored = False
        for _ in range(MAX_APPEND_ATTEMPTS):
            offset = NO_OFFSET
            try:
                offset = await self._log_service.append(CONFIG_STREAM, payload)
                may_be_stored = True
            except AppendUnknownError:
                may_be_stored = True
            except LogServiceError:
                await self._sleep(RETRY_DELAY_S)
                continue
            result = await self._read_outcome(identifier, offset, changes)
            if result is not None:
                return result
            await self._sleep(RETRY_DELAY_S)
        if may_be_stored:
            raise AppendUnknownError(
                f'publication {identifier}: the outcome is unknown and it may '
                'still take effect; publish again when the log is reachable'
            )
        raise LogServiceError(
            'the log service did not store the publication; nothing changed'
        )

    async def _read_outcome(
        self, identifier: str, offset: int, changes: tuple[Change, ...]
    ) -> PublishResult | None:
        try:
            state = await self.read(offset)
        except LogServiceError:
            return None
        outcome = self._reader.outcome(identifier)
        if outcome is not None:
            return _to_result(identifier, outcome)
        # The record may have been trimmed before it was read; the restored
        # snapshot then contains its outcome.
        accepted = state.publication(identifier)
        scopes = tuple(change.scope for change in changes)
        if accepted is None:
            return None
        if not accepted:
            raise ConflictError(scopes)
        return PublishResult(identifier, state.offset, scopes)


def _to_result(identifier: str, outcome: PublicationOutcome) -> PublishResult:
    applied = outcome.applied
    if applied.status is ApplyStatus.CONFLICT:
        raise ConflictError(applied.conflicts)
    return PublishResult(identifier, outcome.offset, applied.changed)
