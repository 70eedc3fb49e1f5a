"""Failure detection among a few members on a network with packet loss."""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from turmericrouter_core.codec import encode_message
from turmericrouter_core.directory import Directory
from turmericrouter_core.directory import MemberHealth
from turmericrouter_core.directory import refuting_entry
from turmericrouter_core.membership import Action
from turmericrouter_core.membership import Membership
from turmericrouter_core.membership import MembershipLimits
from turmericrouter_core.membership import SendDatagram
from turmericrouter_core.messages import DirectoryEntry

MEMBERS = 5
DOMAIN = 'north'
TICK_S = 0.1
# Covers suspicion, its dissemination, and probes of members declared dead
# during a partition.
SETTLE_S = 60.0
WHO = st.integers(0, MEMBERS - 1)
MAX_MESSAGE_BYTES = 1_150


class Node:
    """Member that executes the actions of the state machine as a daemon."""

    def __init__(self, index: int, incarnation: int, seed: int) -> None:
        self.address = f'10.0.0.{index}:1'
        self.own = DirectoryEntry(self.address, DOMAIN, incarnation, 0, 1)
        self.directory = Directory()
        self.membership = Membership(
            self.directory,
            self.address,
            DOMAIN,
            MembershipLimits(),
            random.Random(seed),
        )
        self.runs = True
        self.take([self.own])

    def take(self, entries) -> None:
        for entry in entries:
            if entry.address == self.address:
                self.own = refuting_entry(self.own, entry) or self.own
                entry = self.own
            self.membership.enqueue(self.directory.merge([entry]))

    def carry_out(self, actions: tuple[Action, ...]) -> list[SendDatagram]:
        sends = []
        for action in actions:
            if isinstance(action, SendDatagram):
                sends.append(action)
            else:
                self.take(action.entries)
        return sends


class MembershipMachine(RuleBasedStateMachine):
    """Members stop, pause and restart; datagrams between them are lost."""

    @initialize(seed=st.integers(0, 1000))
    def begin(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.incarnation = 1
        self.loss = 0.0
        self.cut: set[tuple[int, int]] = set()
        self.nodes = [Node(i, 1, seed + i) for i in range(MEMBERS)]
        for node in self.nodes:
            node.take([other.own for other in self.nodes])

    def deliver(self, source: int, send: SendDatagram) -> None:
        assert len(encode_message(send.message)) <= MAX_MESSAGE_BYTES
        target = int(send.address.split(':')[0].rpartition('.')[2])
        node = self.nodes[target]
        lost = self.rng.random() < self.loss
        if lost or not node.runs or (source, target) in self.cut:
            return
        actions = node.membership.receive(send.message, self.now)
        for reply in node.carry_out(actions):
            self.deliver(target, reply)

    @rule(seconds=st.integers(1, 10))
    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            for index, node in enumerate(self.nodes):
                if node.runs:
                    actions = node.membership.tick(self.now)
                    for send in node.carry_out(actions):
                        self.deliver(index, send)

    @rule(who=WHO)
    def stop(self, who: int) -> None:
        self.nodes[who].runs = False

    @rule(who=WHO)
    def resume(self, who: int) -> None:
        """Resume a paused process with its old state."""
        self.nodes[who].runs = True

    @rule(who=WHO, contact=WHO)
    def restart(self, who: int, contact: int) -> None:
        """Restart with a copy of the directory of another member.

        The exchange that fills the directory is not under test.
        """
        if contact == who:
            contact = (who + 1) % MEMBERS
        self.incarnation += 1
        self.nodes[who] = Node(who, self.incarnation, self.incarnation)
        self.nodes[who].take(self.nodes[contact].directory)

    @rule(percent=st.sampled_from([0, 10, 30]))
    def lose(self, percent: int) -> None:
        self.loss = percent / 100

    @rule(split=st.integers(0, MEMBERS))
    def cut_off(self, split: int) -> None:
        self.cut = {
            (a, b)
            for a in range(MEMBERS)
            for b in range(MEMBERS)
            if (a < split) != (b < split)
        }

    @rule(one=WHO, other=WHO)
    def cut_pair(self, one: int, other: int) -> None:
        self.cut |= {(one, other), (other, one)}

    @rule()
    def settle(self) -> None:
        """Repair the network and check that all views become correct."""
        self.loss, self.cut = 0.0, set()
        if not any(node.runs for node in self.nodes):
            return
        self.run(SETTLE_S)
        for node in self.nodes:
            if node.runs:
                for other in self.nodes:
                    self.check_view(node, other)

    def check_view(self, node: Node, other: Node) -> None:
        entry = node.directory.get(other.address)
        assert entry is not None
        if other.runs:
            assert (entry.incarnation, entry.version, entry.mark) == (
                other.own.incarnation,
                other.own.version,
                MemberHealth.ALIVE,
            )
        else:
            assert entry.mark == MemberHealth.DEAD

    def teardown(self) -> None:
        if getattr(self, 'nodes', None):
            self.settle()


MembershipMachine.TestCase.settings = settings(
    max_examples=40, stateful_step_count=15, derandomize=True, deadline=None
)
TestMembership = MembershipMachine.TestCase


def test_member_behind_a_cut_pair_stays_alive_by_indirect_probes() -> None:
    """Guards against a member declared dead for one broken connection.

    Members 0 and 1 cannot reach each other but reach all others.
    """
    machine = MembershipMachine()
    machine.begin(seed=1)
    machine.cut_pair(0, 1)
    for _ in range(60):
        machine.run(1)
        for node in machine.nodes:
            assert not node.directory.dead_entries(DOMAIN)


def test_own_pause_declares_no_other_member_dead() -> None:
    """Guards against a paused member that declares others dead.

    Its probe deadlines pass during the pause, before it reads any reply.
    """
    machine = MembershipMachine()
    machine.begin(seed=2)
    machine.run(5)
    paused = machine.nodes[0]
    actions = paused.membership.tick(machine.now)
    paused.carry_out(actions)
    later = paused.membership.tick(machine.now + 30)
    assert all(isinstance(action, SendDatagram) for action in later)
