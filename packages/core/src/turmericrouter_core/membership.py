"""Failure detection within a failure domain, by the SWIM protocol.

This is a state machine without input or output. It takes messages and the
time, and returns datagrams to send and entries that have changed. The
directory holds the members. The owner of the directory merges the changed
entries, refutes wrong ones about its own daemon, and passes everything new
to `enqueue`, from where it is piggybacked on datagrams.
"""

from collections.abc import Iterable
import dataclasses
import math
import random

import msgspec

from turmericrouter_core.directory import Directory
from turmericrouter_core.directory import MemberHealth
from turmericrouter_core.directory import with_health
from turmericrouter_core.messages import Ack
from turmericrouter_core.messages import DirectoryEntry
from turmericrouter_core.messages import Ping
from turmericrouter_core.messages import PingRequest

# Datagrams of 1,200 bytes pass every network. The difference is left for the
# header, the HMAC and the fields besides the updates.
MAX_UPDATE_BYTES = 1_000
# Number of transmissions of an update, as a multiple of log2(members).
_TRANSMIT_FACTOR = 3
# Every this many probes, a dead member is pinged as well, so that the two
# sides of a healed partition reconnect.
_DEAD_PROBE_INTERVAL = 5

_encoder = msgspec.msgpack.Encoder()

Datagram = Ping | Ack | PingRequest


@dataclasses.dataclass(frozen=True, slots=True)
class SendDatagram:
    """Send a datagram."""

    address: str
    message: Datagram


@dataclasses.dataclass(frozen=True, slots=True)
class MemberUpdates:
    """Merge entries into the directory."""

    entries: tuple[DirectoryEntry, ...]


Action = SendDatagram | MemberUpdates


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipLimits:
    """Parameters of the failure detection.

    Args:
        probe_period_s: Seconds between two probes.
        probe_timeout_s: Seconds without an acknowledgement until other
            members are asked to probe.
        indirect_probes: Number of members asked.
        suspicion_s: Seconds until a suspect member is declared dead.
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
    size_bytes: int
    transmissions: int = 0


class Membership:
    """Probes the members of one failure domain.

    Args:
        directory: Members with their health; not modified here.
        address: Own address.
        domain: Own failure domain.
        limits: Parameters of the failure detection.
        rng: Source of the probe order and of the choice of relays.
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
        self._probe_count = 0
        self._probe_order: list[str] = []
        self._probe: _Probe | None = None
        self._next_probe_at: float | None = None
        self._last_tick: float | None = None
        self._suspicion_deadlines: dict[str, tuple[int, int, float]] = {}
        # Sequence number of each probe sent for another member:
        # (that member, its own sequence number, time sent).
        self._relayed: dict[int, tuple[str, int, float]] = {}
        self._updates: dict[str, _Update] = {}

    def enqueue(self, entries: Iterable[DirectoryEntry]) -> None:
        """Queue entries that are new to this daemon for piggybacking."""
        for entry in entries:
            if entry.domain == self._domain:
                size_bytes = len(_encoder.encode(entry))
                self._updates[entry.address] = _Update(entry, size_bytes)

    def tick(self, now: float) -> tuple[Action, ...]:
        """Return the actions due; call it several times per probe timeout."""
        self._extend_deadlines(now)
        actions: list[Action] = [
            *self._send_indirect_probes(now),
            *self._declare_dead(now),
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
            actions.append(MemberUpdates(message.updates))
        if isinstance(message, Ping):
            actions.append(self._ack(message.sender, message.sequence))
        elif isinstance(message, Ack):
            actions += self._handle_ack(message)
        else:
            sequence = self._next_sequence()
            self._relayed[sequence] = (message.sender, message.sequence, now)
            actions.append(self._ping(message.probed, sequence))
        return tuple(actions)

    def _handle_ack(self, message: Ack) -> list[Action]:
        relayed = self._relayed.pop(message.sequence, None)
        if relayed is not None:
            member, sequence, _ = relayed
            return [self._ack(member, sequence)]
        probe = self._probe
        if probe is not None and message.sequence == probe.sequence:
            self._probe = None
        return []

    def _extend_deadlines(self, now: float) -> None:
        """Drop the probe and extend suspicion deadlines after a pause.

        Members must not be suspected or declared dead because of a time in
        which this process did not run itself.
        """
        last, self._last_tick = self._last_tick, now
        if last is None or now - last < self._limits.probe_period_s:
            return
        self._probe = None
        pause_s = now - last
        self._suspicion_deadlines = {
            address: (incarnation, version, at + pause_s)
            for address, (
                incarnation,
                version,
                at,
            ) in self._suspicion_deadlines.items()
        }

    def _send_indirect_probes(self, now: float) -> list[Action]:
        probe = self._probe
        if probe is None or probe.is_indirect:
            return []
        if now - probe.sent_at < self._limits.probe_timeout_s:
            return []
        probe.is_indirect = True
        candidates = [
            address
            for address in self._live_addresses()
            if address not in (probe.address, self._address)
        ]
        count = min(self._limits.indirect_probes, len(candidates))
        return [
            SendDatagram(
                relay,
                PingRequest(
                    probe.sequence,
                    self._address,
                    probe.address,
                    self._piggyback(),
                ),
            )
            for relay in self._rng.sample(candidates, count)
        ]

    def _end_probe(self, now: float) -> list[Action]:
        probe, self._probe = self._probe, None
        if probe is None:
            return []
        entry = self._directory.get(probe.address)
        if entry is None or entry.mark != MemberHealth.ALIVE:
            return []
        return [MemberUpdates((with_health(entry, MemberHealth.SUSPECT),))]

    def _declare_dead(self, now: float) -> list[Action]:
        """Declare members dead that were suspect for `suspicion_s`."""
        dead = []
        deadlines: dict[str, tuple[int, int, float]] = {}
        for entry in self._directory.suspect_entries(self._domain):
            if entry.address == self._address:
                continue
            entry_version = (entry.incarnation, entry.version)
            known = self._suspicion_deadlines.get(entry.address)
            if known is None or known[:2] != entry_version:
                known = (*entry_version, now + self._limits.suspicion_s)
            if now >= known[2]:
                dead.append(with_health(entry, MemberHealth.DEAD))
            else:
                deadlines[entry.address] = known
        self._suspicion_deadlines = deadlines
        return [MemberUpdates(tuple(dead))] if dead else []

    def _start_probe(self, now: float) -> list[Action]:
        self._probe_count += 1
        actions: list[Action] = []
        if self._probe_count % _DEAD_PROBE_INTERVAL == 0:
            dead = self._directory.dead_entries(self._domain)
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
        """Return the next member to probe, in a random order per round."""
        for _ in range(2):
            while self._probe_order:
                address = self._probe_order.pop()
                entry = self._directory.get(address)
                if entry is not None and entry.mark != MemberHealth.DEAD:
                    return address
            self._probe_order = [
                address
                for address in self._live_addresses()
                if address != self._address
            ]
            self._rng.shuffle(self._probe_order)
        return None

    def _live_addresses(self) -> list[str]:
        return [
            entry.address for entry in self._directory.domain(self._domain)
        ]

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

    def _ping(self, address: str, sequence: int) -> SendDatagram:
        entry = self._directory.get(address)
        # A suspect or dead member must receive its entry to refute it.
        required = (entry,) if entry is not None and entry.mark else ()
        return SendDatagram(
            address, Ping(sequence, self._address, self._piggyback(required))
        )

    def _ack(self, address: str, sequence: int) -> SendDatagram:
        entry = self._directory.get(address)
        required = (entry,) if entry is not None and entry.mark else ()
        return SendDatagram(
            address, Ack(sequence, self._address, self._piggyback(required))
        )

    def _piggyback(
        self, required: tuple[DirectoryEntry, ...] = ()
    ) -> tuple[DirectoryEntry, ...]:
        """Return the least often sent updates that fit a datagram."""
        own = self._directory.get(self._address)
        if own is not None:
            # A receiver with an older entry or mark of this member must not
            # depend on an update that is no longer retransmitted.
            required = (*required, own)
        free_bytes = MAX_UPDATE_BYTES - sum(
            len(_encoder.encode(entry)) for entry in required
        )
        selected = list(required)
        members = len(self._directory.domain(self._domain))
        max_transmissions = _TRANSMIT_FACTOR * math.ceil(
            math.log2(members + 2)
        )
        for update in sorted(
            self._updates.values(), key=lambda u: u.transmissions
        ):
            if update.size_bytes > free_bytes or update.entry in required:
                continue
            free_bytes -= update.size_bytes
            selected.append(update.entry)
            update.transmissions += 1
            if update.transmissions >= max_transmissions:
                del self._updates[update.entry.address]
        return tuple(selected)
