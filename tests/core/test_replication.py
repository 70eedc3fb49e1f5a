"""Replicas compared with the log: no gap, no revert, same final state."""

import dataclasses

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from turmericrouter_core.config import Change
from turmericrouter_core.config import CONFIG_STREAM
from turmericrouter_core.config import ConfigState
from turmericrouter_core.config import decode_record
from turmericrouter_core.config import encode_record
from turmericrouter_core.config import Key
from turmericrouter_core.config import NO_REVISION
from turmericrouter_core.config import Publication
from turmericrouter_core.config import Snapshot
from turmericrouter_core.config import VersionedValue
from turmericrouter_core.config import Workspace
from turmericrouter_core.messages import LogRecord
from turmericrouter_core.replication import Action
from turmericrouter_core.replication import ApplyRecord
from turmericrouter_core.replication import Replica
from turmericrouter_core.replication import snapshot_offset

REPLICAS = 3
WHO = st.integers(0, REPLICAS - 1)
SCOPES = ('workspace/a', 'workspace/b', 'key/k')


class Node:
    """Replica and the configuration state that its actions update."""

    def __init__(self) -> None:
        self.replica = Replica(snapshot_offset, max_retained_records=2)
        self.state = ConfigState()
        self.seen = -1

    def carry_out(self, actions: tuple[Action, ...]) -> None:
        for action in actions:
            if isinstance(action, ApplyRecord):
                self.state.apply(action.record.offset, action.record.payload)
            else:
                snapshot = decode_record(action.payload)
                assert isinstance(snapshot, Snapshot)
                assert self.state.restore(snapshot)


@dataclasses.dataclass
class Oracle:
    """Expected scopes after each publication is applied in log order."""

    scopes: dict[str, VersionedValue] = dataclasses.field(default_factory=dict)

    def apply(self, offset: int, publication: Publication) -> None:
        def withdraws(change: Change) -> bool:
            return isinstance(change.value, Key) and change.value.withdrawn

        def fits(change: Change) -> bool:
            held = self.scopes.get(change.scope)
            if withdraws(change):
                return True
            if held and isinstance(held.value, Key) and held.value.withdrawn:
                return False
            return change.base == (held.revision if held else NO_REVISION)

        accepted = all(fits(change) for change in publication.changes)
        for change in publication.changes:
            if accepted or withdraws(change):
                if change.value is None:
                    self.scopes.pop(change.scope, None)
                else:
                    self.scopes[change.scope] = VersionedValue(
                        offset, change.value
                    )


class ReplicationMachine(RuleBasedStateMachine):
    """Conflicting publications; records are late, early, repeated or lost."""

    @initialize()
    def begin(self) -> None:
        self.log: list[LogRecord] = []
        self.first = 0
        self.nodes = [Node() for _ in range(REPLICAS)]
        self.oracle = Oracle()
        self.history: list[dict[str, VersionedValue]] = []
        self.published = 0

    def append(self, payload: bytes) -> None:
        self.log.append(LogRecord(CONFIG_STREAM, len(self.log), payload))
        self.history.append(dict(self.oracle.scopes))

    @rule(
        scopes=st.sets(st.sampled_from(SCOPES), min_size=1),
        value=st.integers(0, 3),
        stale=st.booleans(),
    )
    def publish(self, scopes: set[str], value: int, stale: bool) -> None:
        held = (
            self.history[len(self.history) // 2]
            if stale and (self.history)
            else self.oracle.scopes
        )
        changes = tuple(
            Change(
                scope,
                held[scope].revision if scope in held else NO_REVISION,
                Key('a', withdrawn=value > 1)
                if scope.startswith('key/')
                else (Workspace(value, value) if value else None),
            )
            for scope in sorted(scopes)
        )
        publication = Publication(str(self.published), changes)
        self.published += 1
        self.oracle.apply(len(self.log), publication)
        self.append(encode_record(publication))

    @rule(which=st.integers(0, 30))
    def publish_again(self, which: int) -> None:
        """Repeat an append, as after a lost answer, which has no effect."""
        if self.log:
            self.append(self.log[which % len(self.log)].payload)

    @rule(who=WHO)
    def append_snapshot(self, who: int) -> None:
        node = self.nodes[who]
        if node.state.offset >= 0:
            self.append(encode_record(node.state.snapshot()))

    @rule(count=st.integers(1, 4))
    def expire(self, count: int) -> None:
        self.first = min(self.first + count, len(self.log))

    @rule(who=WHO, limit=st.integers(1, 5))
    def read_log(self, who: int, limit: int) -> None:
        node = self.nodes[who]
        after = node.replica.read_after
        begin = max(after + 1, self.first)
        page = tuple(self.log[begin : begin + limit])
        node.carry_out(node.replica.apply_page(after, self.first, page))

    @rule(who=WHO, begin=st.integers(0, 30), count=st.integers(1, 3))
    def push(self, who: int, begin: int, count: int) -> None:
        """Push records in reverse order, possibly early or repeated."""
        node = self.nodes[who]
        records = self.log[begin : begin + count][::-1]
        node.carry_out(node.replica.apply_push(records))

    @rule(who=WHO, source=WHO, late=st.booleans())
    def pull(self, who: int, source: int, late: bool) -> None:
        node, peer = self.nodes[who], self.nodes[source]
        after = node.replica.offset
        delta = peer.replica.delta_for(after)
        snapshot = (
            encode_record(peer.state.snapshot())
            if delta.needs_snapshot
            else b''
        )
        if late:
            self.push(who, after + 1, 3)
        node.carry_out(
            node.replica.apply_delta(after, delta.records, snapshot)
        )
        assert node.replica.offset >= peer.replica.offset

    @rule(who=WHO, limit=st.integers(1, 5))
    def publish_and_read(self, who: int, limit: int) -> None:
        self.publish({SCOPES[0]}, limit, False)
        self.read_log(who, limit)

    @rule(who=WHO)
    def restart(self, who: int) -> None:
        self.nodes[who] = Node()

    @invariant()
    def every_copy_is_a_prefix_of_the_log(self) -> None:
        for node in getattr(self, 'nodes', ()):
            offset = node.state.offset
            assert node.replica.offset == offset
            assert offset >= node.seen
            node.seen = offset
            if offset >= 0:
                assert dict(node.state.scopes) == self.history[offset]

    def teardown(self) -> None:
        """Read the whole retained log and compare the final state."""
        if not getattr(self, 'log', None):
            return
        node = self.nodes[0]
        for _ in range(2 * len(self.log) + 2):
            self.read_log(0, 5)
        usable = any(
            (snapshot_offset(record.payload) or -1) >= self.first
            for record in self.log[self.first :]
        )
        if usable or node.state.offset >= self.first - 1:
            assert dict(node.state.scopes) == self.oracle.scopes


ReplicationMachine.TestCase.settings = settings(
    max_examples=200, stateful_step_count=50, derandomize=True, deadline=None
)
TestReplication = ReplicationMachine.TestCase
