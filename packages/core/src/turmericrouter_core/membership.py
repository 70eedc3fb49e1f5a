"""Failure detection inside a failure domain (SWIM).

A pure state machine: it takes messages and the time, and returns what to
send and which entries have changed. The directory holds the members; its
owner merges the changed entries, refutes those of its own daemon, and hands
everything new to `enqueue` to be piggybacked.
"""

from collections.abc import Iterable
import dataclasses
import math
import random

import msgspec

from turmericrouter_core.directory import Directory
from turmericrouter_core.directory import Mark
from turmericrouter_core.directory import marked
from turmericrouter_core.messages import Ack
from turmericrouter_core.messages import DirectoryEntry
from turmericrouter_core.messages import Ping
from turmericrouter_core.messages import PingRequest

# Datagrams of 1,200 bytes pass every network; the rest is for the header,
# the HMAC and the fields besides the updates.
MAX_UPDATE_BYTES = 1_000
# An update is sent about this many times log2(members).
_REPEATS = 3
# Members declared dead are tried again once in this many probes, so that
# two sides of a healed partition find each other.
_DEAD_PROBE_EVERY = 5

_encoder = msgspec.msgpack.Encoder()

Datagram = Ping | Ack | PingRequest


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a datagram."""

    address: str
    message: Datagram


@dataclasses.dataclass(frozen=True, slots=True)
class Learned:
    """Merge entries into the directory."""

    entries: tuple[DirectoryEntry, ...]


Action = Send | Learned


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipLimits:
    """Times of the failure detection, in seconds.

    Args:
        probe_period_s: Between two probes.
        probe_timeout_s: Until other members are asked to probe.
        indirect_probes: Members asked.
        suspicion_s: Between suspicion and death.
    """

    probe_period_s: float = 1.0
    probe_timeout_s: float = 0.4
    indirect_probes: int = 3
    suspicion_s: float = 4.0


@dataclasses.dataclass(slots=True)
class _Probe:
    sequence: int
    address: str
    sent_at: float
    is_indirect: bool = False


@dataclasses.dataclass(slots=True)
class _Update:
    entry: DirectoryEntry
    size: int
    sent: int = 0


class Membership:
    """Probes the members of one failure domain.

    Args:
        directory: Members with their marks; read only here.
        address: Own address.
        domain: Own failure domain.
        limits: Times.
        rng: Order of probes and choice of helpers.
    """

    def __init__(
        self,
        directory: Directory,
        address: str,
        domain: str,
        limits: MembershipLimits,
        rng: random.Random,
    ) -> None:
        self._directory = directory
        self._address = address
        self._domain = domain
        self._limits = limits
        self._rng = rng
        self._sequence = 0
        self._probes = 0
        self._round: list[str] = []
        self._probe: _Probe | None = None
        self._next_probe_at: float | None = None
        self._last_tick: float | None = None
        self._deadlines: dict[str, tuple[int, int, float]] = {}
        # Sequence of a probe made for another member: (member, sequence).
        self._relayed: dict[int, tuple[str, int, float]] = {}
        self._updates: dict[str, _Update] = {}

    def enqueue(self, entries: Iterable[DirectoryEntry]) -> None:
        """Piggyback entries that are new to this daemon."""
        for entry in entries:
            if entry.domain == self._domain:
                size = len(_encoder.encode(entry))
                self._updates[entry.address] = _Update(entry, size)

    def tick(self, now: float) -> tuple[Action, ...]:
        """Return what is due; call it a few times per probe timeout."""
        self._forgive_pause(now)
        actions: list[Action] = [
            *self._follow_probe(now),
            *self._judge_suspects(now),
        ]
        if self._next_probe_at is None or now >= self._next_probe_at:
            self._next_probe_at = now + self._limits.probe_period_s
            actions += self._end_probe(now)
            actions += self._start_probe(now)
        for sequence, (_, _, sent_at) in list(self._relayed.items()):
            if now - sent_at > self._limits.probe_period_s:
                del self._relayed[sequence]
        return tuple(actions)

    def receive(self, message: Datagram, now: float) -> tuple[Action, ...]:
        """Handle a datagram of another member."""
        actions: list[Action] = []
        if message.updates:
            actions.append(Learned(message.updates))
        if isinstance(message, Ping):
            actions.append(self._ack(message.sender, message.sequence))
        elif isinstance(message, Ack):
            actions += self._take_ack(message)
        else:
            sequence = self._next_sequence()
            self._relayed[sequence] = (message.sender, message.sequence, now)
            actions.append(self._ping(message.probed, sequence))
        return tuple(actions)

    def _take_ack(self, message: Ack) -> list[Action]:
        relayed = self._relayed.pop(message.sequence, None)
        if relayed is not None:
            member, sequence, _ = relayed
            return [self._ack(member, sequence)]
        probe = self._probe
        if probe is not None and message.sequence == probe.sequence:
            self._probe = None
        return []

    def _forgive_pause(self, now: float) -> None:
        """Blame nobody for a time when this process did not run itself."""
        last, self._last_tick = self._last_tick, now
        if last is None or now - last < self._limits.probe_period_s:
            return
        self._probe = None
        pause_s = now - last
        self._deadlines = {
            address: (incarnation, version, at + pause_s)
            for address, (incarnation, version, at) in self._deadlines.items()
        }

    def _follow_probe(self, now: float) -> list[Action]:
        probe = self._probe
        if probe is None or probe.is_indirect:
            return []
        if now - probe.sent_at < self._limits.probe_timeout_s:
            return []
        probe.is_indirect = True
        others = [
            address
            for address in self._live()
            if address not in (probe.address, self._address)
        ]
        count = min(self._limits.indirect_probes, len(others))
        return [
            Send(
                helper,
                PingRequest(
                    probe.sequence,
                    self._address,
                    probe.address,
                    self._piggyback(),
                ),
            )
            for helper in self._rng.sample(others, count)
        ]

    def _end_probe(self, now: float) -> list[Action]:
        probe, self._probe = self._probe, None
        if probe is None:
            return []
        entry = self._directory.get(probe.address)
        if entry is None or entry.mark != Mark.ALIVE:
            return []
        return [Learned((marked(entry, Mark.SUSPECT),))]

    def _judge_suspects(self, now: float) -> list[Action]:
        """Declare those dead that were suspect for long enough."""
        dead = []
        deadlines: dict[str, tuple[int, int, float]] = {}
        for entry in self._directory.suspects(self._domain):
            if entry.address == self._address:
                continue
            speaks_of = (entry.incarnation, entry.version)
            known = self._deadlines.get(entry.address)
            if known is None or known[:2] != speaks_of:
                known = (*speaks_of, now + self._limits.suspicion_s)
            if now >= known[2]:
                dead.append(marked(entry, Mark.DEAD))
            else:
                deadlines[entry.address] = known
        self._deadlines = deadlines
        return [Learned(tuple(dead))] if dead else []

    def _start_probe(self, now: float) -> list[Action]:
        self._probes += 1
        actions: list[Action] = []
        if self._probes % _DEAD_PROBE_EVERY == 0:
            dead = self._directory.dead(self._domain)
            if dead:
                entry = self._rng.choice(dead)
                actions.append(
                    self._ping(entry.address, self._next_sequence())
                )
        address = self._next_member()
        if address is not None:
            self._probe = _Probe(self._next_sequence(), address, now)
            actions.append(self._ping(address, self._probe.sequence))
        return actions

    def _next_member(self) -> str | None:
        """Take members in a random order, each once per round."""
        for _ in range(2):
            while self._round:
                address = self._round.pop()
                entry = self._directory.get(address)
                if entry is not None and entry.mark != Mark.DEAD:
                    return address
            self._round = [
                address for address in self._live() if address != self._address
            ]
            self._rng.shuffle(self._round)
        return None

    def _live(self) -> list[str]:
        return [
            entry.address for entry in self._directory.domain(self._domain)
        ]

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

    def _ping(self, address: str, sequence: int) -> Send:
        entry = self._directory.get(address)
        # A member that others doubt has to hear of it to refute it.
        first = (entry,) if entry is not None and entry.mark else ()
        return Send(
            address, Ping(sequence, self._address, self._piggyback(first))
        )

    def _ack(self, address: str, sequence: int) -> Send:
        entry = self._directory.get(address)
        first = (entry,) if entry is not None and entry.mark else ()
        return Send(
            address, Ack(sequence, self._address, self._piggyback(first))
        )

    def _piggyback(
        self, first: tuple[DirectoryEntry, ...] = ()
    ) -> tuple[DirectoryEntry, ...]:
        """Return the updates sent least often that fit a datagram."""
        room = MAX_UPDATE_BYTES - sum(
            len(_encoder.encode(entry)) for entry in first
        )
        chosen = list(first)
        members = len(self._directory.domain(self._domain))
        limit = _REPEATS * math.ceil(math.log2(members + 2))
        for update in sorted(self._updates.values(), key=lambda u: u.sent):
            if update.size > room:
                continue
            room -= update.size
            chosen.append(update.entry)
            update.sent += 1
            if update.sent >= limit:
                del self._updates[update.entry.address]
        return tuple(chosen)
