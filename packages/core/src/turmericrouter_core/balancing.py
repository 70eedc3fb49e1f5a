"""Choice of the target that gets a request."""

from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import random

from turmericrouter_core.messages import DirectoryEntry
from turmericrouter_core.messages import GateLoad
from turmericrouter_core.messages import Level
from turmericrouter_core.shedding import passes
from turmericrouter_core.verdict import Importance
from turmericrouter_core.verdict import Reason

# A level older than this is tried again by one request.
LEVEL_LIFETIME_S = 1.0
# A gate that refused for lack of room gets other requests after this.
FULL_BACKOFF_S = 0.05
FIRST_EJECTION_S = 0.25
LONGEST_EJECTION_S = 4.0
_MAX_FAILURES = 8
# Weight of a new latency sample; a rise counts at once, since a slow
# target must lose its share before its queue builds up.
LATENCY_FALL_WEIGHT = 0.2
LATENCY_RISE_WEIGHT = 0.5
DEFAULT_SLOTS = 16
# Own requests at one target, as a multiple of its slots, beyond which the
# gate's queue is certainly full.
OVERFLOW_FACTOR = 4
IDLE_FORGET_S = 300.0

_FULL_REASONS = frozenset(
    {
        Reason.SHED_AT_GATE,
        Reason.QUEUE_FULL,
        Reason.EVICTED,
        Reason.TARGET_SHED,
        Reason.DEADLINE_TOO_SHORT,
    }
)
_FAILED_REASONS = frozenset(
    {
        Reason.TARGET_LEAVING,
        Reason.TARGET_RETIRED,
        Reason.TARGET_UNREACHABLE,
        Reason.TARGET_CRASHED,
        Reason.LINK_NOT_SENT,
        Reason.LINK_LOST,
        Reason.DAEMON_STOPPING,
        Reason.INTERNAL_ERROR,
    }
)
_SERVER_ERROR_STATUS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A target that was compared.

    Args:
        target: Name of the target.
        in_flight: Own requests at the target.
        cost: (in flight + 1) * latency / slots.
    """

    target: str
    in_flight: int
    cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class Loads:
    """Targets that were compared; formatted only when it is printed."""

    compared: tuple[Candidate, ...] = ()

    def __str__(self) -> str:
        return ','.join(
            f'{seen.target}:{seen.in_flight}:{seen.cost:.5f}'
            for seen in self.compared
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Result of a choice.

    Args:
        reason: `served` if a target was chosen, else why none was.
        entry: The chosen target.
        candidates: Targets of the service that could be chosen from.
        loads: Targets that were compared, with the loads seen.
        is_probe: Whether the request tests an ejected target.
    """

    reason: Reason
    entry: DirectoryEntry | None = None
    candidates: int = 0
    loads: Loads = Loads()
    is_probe: bool = False


class _Statistics:
    """What this entry has learned of one target."""

    __slots__ = (
        'ejected_until',
        'failures',
        'full_until',
        'in_flight',
        'latency_s',
        'level',
        'level_at',
        'limit',
        'load',
        'seen_at',
    )

    def __init__(self, now: float) -> None:
        self.in_flight = 0
        self.latency_s = 0.0
        self.level = Level()
        self.level_at = now
        self.limit = 0
        self.load = 0
        self.failures = 0
        self.ejected_until = 0.0
        self.full_until = 0.0
        self.seen_at = now

    def slots(self, entry: DirectoryEntry) -> int:
        return self.limit or entry.slots or DEFAULT_SLOTS

    def has_room(self, entry: DirectoryEntry, now: float) -> bool:
        """Return whether a request would probably start at once."""
        if now < self.full_until:
            return False
        fresh = now - self.level_at < LEVEL_LIFETIME_S
        load = max(self.in_flight, self.load) if fresh else self.in_flight
        return load < self.slots(entry)

    def overflows(self, entry: DirectoryEntry) -> bool:
        return self.in_flight >= OVERFLOW_FACTOR * self.slots(entry)

    def learn_latency(self, sample_s: float) -> None:
        if not self.latency_s:
            self.latency_s = sample_s
            return
        rising = sample_s > self.latency_s
        weight = LATENCY_RISE_WEIGHT if rising else LATENCY_FALL_WEIGHT
        self.latency_s += weight * (sample_s - self.latency_s)


class TargetChooser:
    """Chooses targets and learns from their answers.

    Args:
        domain: Own failure domain, whose targets come first.
        shedding: Whether to refuse what a gate would refuse.
    """

    def __init__(self, domain: str, *, shedding: bool = True) -> None:
        self._domain = domain
        self._shedding = shedding
        self._statistics: dict[str, _Statistics] = {}

    def __len__(self) -> int:
        return len(self._statistics)

    def in_flight(self, address: str) -> int:
        """Return the own requests at a target."""
        known = self._statistics.get(address)
        return known.in_flight if known else 0

    def choose(
        self,
        entries: Sequence[DirectoryEntry],
        *,
        importance: Importance,
        bucket: int,
        regions: Mapping[str, str],
        now: float,
        rng: random.Random,
        excluded: Collection[str] = (),
    ) -> Choice:
        """Choose a target and count the request as in flight there.

        Args:
            entries: Serving targets of the service.
            importance: Importance of the request.
            bucket: Shedding bucket of the top-level request.
            regions: Region of each failure domain.
            now: Monotonic seconds.
            rng: Source of the random choices.
            excluded: Addresses that were tried already.
        """
        usable = [item for item in entries if item.address not in excluded]
        if not usable:
            return Choice(Reason.NO_TARGET)
        healthy = [item for item in usable if not self._is_ejected(item, now)]
        # With every target ejected, trying one beats refusing for sure.
        pool = healthy or usable
        tiers = self._tiers(pool, regions)
        passing = [
            self._passing(tier, importance, bucket, now) for tier in tiers
        ]
        if not any(passing):
            return Choice(Reason.SHED_AT_ENTRY, candidates=len(pool))
        chosen = self._pick(passing, now, rng)
        if chosen is None:
            return Choice(Reason.NO_ROOM, candidates=len(pool))
        entry, compared = chosen
        return self._start(entry, compared, len(pool), now)

    def finish(
        self,
        address: str,
        *,
        reason: Reason,
        now: float,
        status: int = 0,
        latency_s: float = 0.0,
        load: GateLoad | None = None,
    ) -> None:
        """Learn from the end of a request at a target.

        Args:
            address: Address of the chosen entry.
            reason: `served` or why there is no answer of the target.
            now: Monotonic seconds.
            status: HTTP status of the target.
            latency_s: Seconds from sending to the answer.
            load: Load that came with the answer.
        """
        known = self._statistics.get(address)
        if known is None:
            return
        known.in_flight -= 1
        known.seen_at = now
        if load is not None:
            known.level, known.level_at = load.level, now
            known.limit = load.limit
            known.load = load.in_flight + load.queued
        if reason in _FAILED_REASONS:
            self._eject(known, now)
        elif reason in _FULL_REASONS:
            known.full_until = now + FULL_BACKOFF_S
        elif reason is Reason.SERVED:
            known.failures = 0
            known.ejected_until = 0.0
            # A fast failure is no sign of spare capacity.
            if status < _SERVER_ERROR_STATUS or latency_s > known.latency_s:
                known.learn_latency(latency_s)
        elif reason is Reason.DEADLINE_EXPIRED:
            known.learn_latency(max(latency_s, known.latency_s))

    def prune(self, now: float) -> None:
        """Forget targets that have not been used for a while."""
        idle = [
            address
            for address, known in self._statistics.items()
            if not known.in_flight and now - known.seen_at > IDLE_FORGET_S
        ]
        for address in idle:
            del self._statistics[address]

    def _start(
        self,
        entry: DirectoryEntry,
        compared: tuple[Candidate, ...],
        candidates: int,
        now: float,
    ) -> Choice:
        known = self._statistics.get(entry.address)
        if known is None:
            known = self._statistics[entry.address] = _Statistics(now)
        known.in_flight += 1
        known.seen_at = now
        is_probe = known.failures > 0
        if is_probe:
            # Other requests wait for the outcome of this one.
            known.ejected_until = max(
                known.ejected_until, now + FIRST_EJECTION_S
            )
        if now - known.level_at >= LEVEL_LIFETIME_S:
            known.level_at = now
        return Choice(
            Reason.SERVED, entry, candidates, Loads(compared), is_probe
        )

    def _eject(self, known: _Statistics, now: float) -> None:
        length_s = min(
            FIRST_EJECTION_S * 2**known.failures, LONGEST_EJECTION_S
        )
        known.failures = min(known.failures + 1, 16)
        known.ejected_until = now + length_s

    def _is_ejected(self, entry: DirectoryEntry, now: float) -> bool:
        known = self._statistics.get(entry.address)
        return known is not None and now < known.ejected_until

    def _tiers(
        self, entries: Sequence[DirectoryEntry], regions: Mapping[str, str]
    ) -> list[list[DirectoryEntry]]:
        own: list[DirectoryEntry] = []
        near: list[DirectoryEntry] = []
        far: list[DirectoryEntry] = []
        region = regions.get(self._domain)
        for entry in entries:
            if entry.domain == self._domain:
                own.append(entry)
            elif region is not None and regions.get(entry.domain) == region:
                near.append(entry)
            else:
                far.append(entry)
        return [own, near, far]

    def _passing(
        self,
        tier: list[DirectoryEntry],
        importance: Importance,
        bucket: int,
        now: float,
    ) -> list[DirectoryEntry]:
        if not self._shedding:
            return tier
        return [
            entry
            for entry in tier
            if (known := self._statistics.get(entry.address)) is None
            or now - known.level_at >= LEVEL_LIFETIME_S
            or passes(known.level, importance, bucket)
        ]

    def _pick(
        self,
        tiers: Sequence[list[DirectoryEntry]],
        now: float,
        rng: random.Random,
    ) -> tuple[DirectoryEntry, tuple[Candidate, ...]] | None:
        """Return the nearest target with room, else a queue to wait in."""
        for tier in tiers:
            with_room = [item for item in tier if self._has_room(item, now)]
            if with_room:
                return self._better_of_two(with_room, rng)
        for tier in tiers:
            waiting = [item for item in tier if not self._overflows(item)]
            if waiting:
                return self._better_of_two(waiting, rng)
        return None

    def _has_room(self, entry: DirectoryEntry, now: float) -> bool:
        known = self._statistics.get(entry.address)
        return known is None or known.has_room(entry, now)

    def _overflows(self, entry: DirectoryEntry) -> bool:
        known = self._statistics.get(entry.address)
        return known is not None and known.overflows(entry)

    def _better_of_two(
        self, entries: Sequence[DirectoryEntry], rng: random.Random
    ) -> tuple[DirectoryEntry, tuple[Candidate, ...]]:
        if len(entries) == 1:
            return entries[0], (self._candidate(entries[0], 0.0),)
        count = len(entries)
        first = int(rng.random() * count)
        second = int(rng.random() * (count - 1))
        second += second >= first
        pair = (entries[first], entries[second])
        latencies = [self._latency_s(entry) for entry in pair]
        # A target without an answer yet is compared as if it were as fast
        # as the other one, so that it is neither flooded nor avoided.
        known_s = max(latencies) or 1.0
        seen = tuple(
            self._candidate(entry, latency_s or known_s)
            for entry, latency_s in zip(pair, latencies, strict=True)
        )
        return pair[seen[1].cost < seen[0].cost], seen

    def _latency_s(self, entry: DirectoryEntry) -> float:
        known = self._statistics.get(entry.address)
        return known.latency_s if known else 0.0

    def _candidate(self, entry: DirectoryEntry, latency_s: float) -> Candidate:
        known = self._statistics.get(entry.address)
        if known is None:
            slots = entry.slots or DEFAULT_SLOTS
            return Candidate(entry.target, 0, latency_s / slots)
        cost = (known.in_flight + 1) * latency_s / known.slots(entry)
        return Candidate(entry.target, known.in_flight, cost)
