"""Quarantine of poison requests, compared with sets of crash records.

A poison request crashes the targets that run it.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from turmericrouter_core.messages import CrashRecord
from turmericrouter_core.quarantine import Quarantine
from turmericrouter_core.quarantine import request_digest

LIFETIME_S = 10.0
DIGESTS = st.sampled_from([b'a', b'b', b'c'])
HOSTS = st.integers(0, 1)


class QuarantineMachine(RuleBasedStateMachine):
    """Two daemons whose messages are delayed, repeated or lost."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.crashes = 0
        self.hosts = [
            Quarantine(lifetime_s=LIFETIME_S, blocking_crashes=2)
            for _ in range(2)
        ]
        self.sent: list[tuple[float, tuple[CrashRecord, ...]]] = []
        # By host: time of each received crash record, and the cleared ones.
        self.known: list[dict[tuple[bytes, str], float]] = [{}, {}]
        self.cleared: list[set[tuple[bytes, str]]] = [set(), set()]

    def learn(self, host: int, marks: tuple[CrashRecord, ...]) -> None:
        for mark in marks:
            name = (mark.digest, mark.crash_id)
            at = self.now - mark.age_ms / 1000
            if self.now - at >= LIFETIME_S:
                continue
            self.known[host].setdefault(name, at)
            if mark.cleared:
                self.cleared[host].add(name)

    @rule(steps=st.integers(0, 20))
    def wait(self, steps: int) -> None:
        self.now += steps / 4

    @rule(
        host=HOSTS, digests=st.sets(DIGESTS, min_size=1), repeat=st.booleans()
    )
    def crash(self, host: int, digests: set[bytes], repeat: bool) -> None:
        self.crashes += not (repeat and self.crashes)
        crash_id = f'target/{self.crashes}'
        new = self.hosts[host].record_crash(
            sorted(digests), crash_id, self.now
        )
        marks = tuple(CrashRecord(digest, crash_id, 0) for digest in digests)
        self.learn(host, marks)
        self.sent.append((self.now, new))

    @rule(host=HOSTS, digest=DIGESTS)
    def succeed(self, host: int, digest: bytes) -> None:
        new = self.hosts[host].record_success(digest, self.now)
        for name, at in self.known[host].items():
            if name[0] == digest and self.now - at < LIFETIME_S:
                self.cleared[host].add(name)
        self.sent.append((self.now, new))

    @rule(host=HOSTS, pick=st.integers(0, 99))
    def deliver(self, host: int, pick: int) -> None:
        if not self.sent:
            return
        _, marks = self.sent[pick % len(self.sent)]
        self.hosts[host].merge(marks, self.now)
        # Known crash records must not be forwarded again, or hosts would
        # forward them to each other without end.
        assert self.hosts[host].merge(marks, self.now) == ()
        self.learn(host, marks)

    @rule(host=HOSTS)
    def prune(self, host: int) -> None:
        self.hosts[host].prune(self.now)
        for name, at in list(self.known[host].items()):
            if self.now - at >= LIFETIME_S:
                del self.known[host][name]
                self.cleared[host].discard(name)

    @invariant()
    def two_standing_marks_block(self) -> None:
        for host, quarantine in enumerate(self.hosts):
            for digest in (b'a', b'b', b'c'):
                active = [
                    name
                    for name, at in self.known[host].items()
                    if name[0] == digest
                    and name not in self.cleared[host]
                    and self.now - at < LIFETIME_S
                ]
                blocked = quarantine.is_blocked(digest, self.now)
                assert blocked == (len(active) >= 2)
                # A blocked digest is found only if digests are computed.
                assert quarantine.may_block or not blocked
            assert len(quarantine) == len(self.known[host])


def test_single_crashes_need_no_digests() -> None:
    """Guards against digests of all bodies after any crash in the fleet.

    Only a request with repeated crashes makes digests necessary.
    """
    quarantine = Quarantine(lifetime_s=LIFETIME_S, blocking_crashes=2)
    quarantine.record_crash([b'a', b'b'], 't/1', 0.0)
    quarantine.record_crash([b'c'], 'u/1', 0.0)
    assert not quarantine.may_block
    quarantine.record_crash([b'a'], 'u/2', 1.0)
    assert quarantine.may_block
    quarantine.prune(LIFETIME_S + 0.5)
    assert not quarantine.may_block


TestQuarantine = QuarantineMachine.TestCase
TestQuarantine.settings = settings(derandomize=True, max_examples=100)


def test_digest_depends_on_every_part_and_on_the_key() -> None:
    """Guards against a request that is blocked for crashes of another."""
    base = {
        'workspace': 'w',
        'route': 'r',
        'path': '/p',
        'body': b'x',
        'operation_id': '',
    }
    digests = {request_digest(b'key', **base)}
    for name, value in [
        ('workspace', 'v'),
        ('route', 's'),
        ('path', '/q'),
        ('body', b'y'),
        ('operation_id', 'o'),
    ]:
        digests.add(request_digest(b'key', **{**base, name: value}))
    digests.add(request_digest(b'other', **base))
    digests.add(request_digest(b'key', **{**base, 'route': 'r/p', 'path': ''}))
    assert len(digests) == 8
