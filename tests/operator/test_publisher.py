"""Tests of publishing against a log that loses replies and trims records."""

import asyncio
import base64
import collections
import uuid

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
import pytest

from turmericrouter_client.log_service import LogPage
from turmericrouter_client.log_service import StoredRecord
from turmericrouter_core.config import Change
from turmericrouter_core.config import decode_record
from turmericrouter_core.config import encode_record
from turmericrouter_core.config import Key
from turmericrouter_core.config import NO_OFFSET
from turmericrouter_core.config import NO_REVISION
from turmericrouter_core.config import Publication
from turmericrouter_core.config import Value
from turmericrouter_core.config import Workspace
from turmericrouter_core.errors import AppendUnknownError
from turmericrouter_core.errors import ConfigError
from turmericrouter_core.errors import ConflictError
from turmericrouter_core.errors import LogServiceError
from turmericrouter_operator.document import Document
from turmericrouter_operator.document import parse_document
from turmericrouter_operator.document import to_toml
from turmericrouter_operator.publisher import find_changes
from turmericrouter_operator.publisher import LogReader
from turmericrouter_operator.publisher import make_changes
from turmericrouter_operator.publisher import Publisher

SCOPES = ['workspace/a', 'workspace/b', 'key/' + '0' * 64, 'key/' + '1' * 64]
FAULTS = ['none', 'answer lost', 'not stored', 'late', 'refused', 'read down']


class FaultyLog:
    """In-memory log with faults; each append consumes one of `faults`.

    Faults: `answer lost` stores the record but raises an unknown outcome;
    `not stored` raises an unknown outcome only; `late` does so too and stores
    the record when `deliver_late` runs; `refused` raises an error without
    storing the record; `read down` makes the next reads fail.
    """

    def __init__(self) -> None:
        self.all: list[bytes] = []
        self.first = 0
        self.faults: collections.deque[str] = collections.deque()
        self.late: list[bytes] = []
        self.reads_down = 0

    async def append(self, stream: str, payload: bytes) -> int:
        fault = self.faults.popleft() if self.faults else 'none'
        if fault == 'refused':
            raise LogServiceError('refused')
        if fault == 'late':
            self.late.append(payload)
        if fault in ('late', 'not stored'):
            raise AppendUnknownError('no answer')
        self.all.append(payload)
        if fault == 'answer lost':
            raise AppendUnknownError('no answer')
        if fault == 'read down':
            self.reads_down = 6
        return len(self.all) - 1

    async def read(
        self, stream: str, after: int, *, limit: int = 3, wait_s: float = 0.0
    ) -> LogPage:
        if self.reads_down:
            self.reads_down -= 1
            raise LogServiceError('down')
        begin = max(after + 1, self.first)
        # Small pages, so that reading the state takes several reads.
        chosen = range(begin, min(begin + 3, len(self.all)))
        records = tuple(
            StoredRecord(i, base64.b64encode(self.all[i]).decode())
            for i in chosen
        )
        return LogPage(self.first, len(self.all) - 1, records)


class Oracle:
    """Reference model that applies publications by the rule of the design.

    A publication is accepted if every change fits: its base is the current
    revision of its scope, and the scope is not a withdrawn key. Withdrawals
    of keys always fit and are applied even if other changes conflict.
    """

    def __init__(self) -> None:
        self.held: dict[str, tuple[int, Value]] = {}
        self.accepted: dict[str, bool] = {}

    def apply(self, offset: int, publication: Publication) -> None:
        if publication.publication_id in self.accepted:
            return
        is_accepted = all(self._fits(change) for change in publication.changes)
        for change in publication.changes:
            if is_accepted or self._withdraws(change):
                self.held.pop(change.scope, None)
                if change.value is not None:
                    self.held[change.scope] = (offset, change.value)
        self.accepted[publication.publication_id] = is_accepted

    def _withdraws(self, change: Change) -> bool:
        return isinstance(change.value, Key) and change.value.withdrawn

    def _fits(self, change: Change) -> bool:
        revision, value = self.held.get(change.scope, (NO_REVISION, None))
        if self._withdraws(change):
            return True
        is_withdrawn = isinstance(value, Key) and value.withdrawn
        return change.base == revision and not is_withdrawn


async def _no_sleep(_: float) -> None:
    return


# Guards against a reported outcome that differs from the stored one, and
# against readers that disagree with the oracle, when replies are lost, records
# are stored late, publications race and the log is trimmed.
class PublisherMachine(RuleBasedStateMachine):
    """Two operators publish; an oracle replays every stored record."""

    states = Bundle('states')
    shown = Bundle('shown')

    def __init__(self) -> None:
        super().__init__()
        self.log = FaultyLog()
        self.publishers = [
            Publisher(self.log, sleep=_no_sleep) for _ in range(2)
        ]
        self.count = 0

    def _replay(self) -> Oracle:
        oracle = Oracle()
        for offset, payload in enumerate(self.log.all):
            record = _publication(payload)
            if record is not None:
                oracle.apply(offset, record)
        return oracle

    @initialize(target=states)
    def begin(self) -> dict[str, int]:
        return {}

    @rule(target=states)
    def look(self) -> dict[str, int]:
        """Remember revisions, from which a later change is made."""
        return {s: held[0] for s, held in self._replay().held.items()}

    @rule(
        operator=st.integers(0, 1),
        scopes=st.lists(
            st.sampled_from(SCOPES), min_size=1, max_size=2, unique=True
        ),
        kind=st.sampled_from(['set', 'set', 'set', 'withdraw', 'delete']),
        base=st.none() | states,
        faults=st.lists(st.sampled_from(FAULTS), max_size=5),
    )
    def publish(
        self,
        operator: int,
        scopes: list[str],
        kind: str,
        base: dict[str, int] | None,
        faults: list[str],
    ) -> None:
        self.count += 1
        held = self._replay().held
        revisions = {s: held[s][0] for s in held} if base is None else base
        changes = tuple(
            Change(s, revisions.get(s, NO_REVISION), self._value(s, kind))
            for s in scopes
        )
        identifier = str(uuid.UUID(int=self.count))
        self.log.faults = collections.deque(faults)
        before = len(self.log.all)
        outcome = self._run(operator, changes, identifier)
        self.log.faults.clear()
        self.log.reads_down = 0
        stored = self._replay().accepted.get(identifier)
        if outcome == 'accepted':
            assert stored is True
        elif outcome == 'conflict':
            assert stored is False
        elif outcome == 'refused':
            assert len(self.log.all) == before
            assert identifier not in map(_identifier, self.log.late)

    def _run(
        self, operator: int, changes: tuple[Change, ...], identifier: str
    ) -> str:
        publisher = self.publishers[operator]
        try:
            published = asyncio.run(
                publisher.publish(changes, publication_id=identifier)
            )
        except ConflictError:
            return 'conflict'
        except AppendUnknownError:
            return 'unknown'
        except LogServiceError:
            return 'refused'
        assert published.publication_id == identifier
        return 'accepted'

    def _value(self, scope: str, kind: str) -> Value | None:
        if scope.startswith('key/'):
            return Key(
                'a', withdrawn=kind == 'withdraw', label=str(self.count)
            )
        return None if kind == 'delete' else Workspace(self.count, 1)

    @rule(target=shown, operator=st.integers(0, 1))
    def show(self, operator: int) -> str:
        """Print what is in force, as `config show` does."""
        state = asyncio.run(self.publishers[operator].read())
        values = {s: held.value for s, held in state.scopes.items()}
        return to_toml(values, base_offset=state.offset)

    @rule(
        operator=st.integers(0, 1),
        text=shown,
        scope=st.sampled_from(SCOPES),
        prune=st.booleans(),
        faults=st.lists(st.sampled_from(FAULTS), max_size=2),
    )
    def publish_edited(
        self,
        operator: int,
        text: str,
        scope: str,
        prune: bool,
        faults: list[str],
    ) -> None:
        """Publish an edited document, perhaps after others changed it."""
        self.count += 1
        document = parse_document(text, source='shown')
        edited = {**document.values, scope: self._value(scope, 'set')}
        wanted = Document(edited, document.base_offset)
        before = self._replay().held
        state = asyncio.run(self.publishers[operator].read())
        try:
            changes = find_changes(state, wanted, prune=prune)
        except ConfigError:
            # Something changed after the document, or a key is withdrawn.
            assert document.base_offset < len(self.log.all) - 1 or any(
                isinstance(value, Key) and value.withdrawn
                for _, value in before.values()
            )
            return
        newer = {s for s, h in before.items() if h[0] > document.base_offset}
        if document.base_offset != NO_OFFSET:
            assert not newer & {change.scope for change in changes}
        self.log.faults = collections.deque(faults)
        outcome = self._run(operator, changes, str(uuid.UUID(int=self.count)))
        self.log.faults.clear()
        self.log.reads_down = 0
        if outcome != 'accepted':
            return
        held = self._replay().held
        assert held[scope][1] == edited[scope]
        for other in set(before) - {change.scope for change in changes}:
            assert held[other] == before[other]

    @rule()
    def deliver_late(self) -> None:
        self.log.all += self.log.late
        self.log.late = []

    @rule(kept=st.integers(0, 6))
    def snapshot_and_trim(self, kept: int) -> None:
        """Append a snapshot as daemons do, and trim what it replaces."""
        state = asyncio.run(LogReader(self.log).read_to_head())
        self.log.all.append(encode_record(state.snapshot()))
        newest = len(self.log.all) - 1
        self.log.first = max(self.log.first, newest - kept)

    @invariant()
    def fresh_reader_agrees(self) -> None:
        state = asyncio.run(LogReader(self.log).read_to_head())
        seen = {s: (h.revision, h.value) for s, h in state.scopes.items()}
        assert seen == self._replay().held

    @invariant()
    def old_readers_agree(self) -> None:
        for publisher in self.publishers:
            state = asyncio.run(publisher.read())
            seen = {s: (h.revision, h.value) for s, h in state.scopes.items()}
            assert seen == self._replay().held


def _publication(payload: bytes) -> Publication | None:
    record = decode_record(payload)
    return record if isinstance(record, Publication) else None


def _identifier(payload: bytes) -> str:
    record = _publication(payload)
    return record.publication_id if record else ''


PublisherMachine.TestCase.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=25, deadline=None
)
TestPublisherMachine = PublisherMachine.TestCase


def _published(*changes: Change) -> FaultyLog:
    log = FaultyLog()
    asyncio.run(Publisher(log).publish(changes))
    return log


def test_trimmed_log_without_snapshot_is_refused() -> None:
    """Guards against publishing from a state that lacks trimmed records.

    The first record was trimmed and the log has no snapshot that covers it.
    """
    log = _published(Change('workspace/a', NO_REVISION, Workspace(1, 1)))
    log.first = 1
    with pytest.raises(ConfigError, match='no snapshot'):
        asyncio.run(LogReader(log).read_to_head())


def test_older_snapshot_does_not_hide_trimmed_records() -> None:
    """Guards against a state that misses records between snapshot and log.

    The snapshot covers only the first record, but the first two are trimmed.
    """
    log = _published(Change('workspace/a', NO_REVISION, Workspace(1, 1)))
    old = asyncio.run(LogReader(log).read_to_head()).snapshot()
    asyncio.run(
        Publisher(log).publish(
            (Change('workspace/b', NO_REVISION, Workspace(1, 1)),)
        )
    )
    log.all.append(encode_record(old))
    log.first = 2
    with pytest.raises(ConfigError, match='no snapshot'):
        asyncio.run(LogReader(log).read_to_head())


def test_scope_changed_after_the_base_of_a_document_conflicts() -> None:
    """Guards against a document that silently reverts a newer change.

    The scope changed after the document's base offset; a document without a
    base offset makes the change on purpose.
    """
    log = _published(Change('workspace/a', NO_REVISION, Workspace(1, 1)))
    state = asyncio.run(LogReader(log).read_to_head())
    old = Document({'workspace/a': Workspace(2, 1)}, base_offset=0)
    changes = find_changes(state, old)
    assert [change.base for change in changes] == [0]
    asyncio.run(Publisher(log).publish(changes))
    newer = asyncio.run(LogReader(log).read_to_head())
    again = Document({'workspace/a': Workspace(3, 1)}, base_offset=0)
    with pytest.raises(ConflictError, match='workspace/a'):
        find_changes(newer, again)
    free = Document(again.values, base_offset=NO_OFFSET)
    assert find_changes(newer, free)


def test_withdrawn_key_is_not_granted_again() -> None:
    """Guards against a document that grants a withdrawn key again."""
    scope = SCOPES[2]
    log = _published(Change(scope, NO_REVISION, Key('a', withdrawn=True)))
    state = asyncio.run(LogReader(log).read_to_head())
    with pytest.raises(ConfigError, match='stays withdrawn'):
        make_changes(state, {scope: Key('a')})


def test_only_named_scopes_change_unless_pruned() -> None:
    """Guards against a partial document that removes other values."""
    log = _published(
        Change('workspace/a', NO_REVISION, Workspace(1, 1)),
        Change(SCOPES[2], NO_REVISION, Key('a')),
    )
    state = asyncio.run(LogReader(log).read_to_head())
    empty = Document({})
    assert find_changes(state, empty) == ()
    pruned = find_changes(state, empty, prune=True)
    assert [(c.scope, c.value) for c in pruned] == [('workspace/a', None)]
