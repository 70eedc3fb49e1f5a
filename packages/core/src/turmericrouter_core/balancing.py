"""Choice of the target that gets a request."""

from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
import math
import random
from typing import NamedTuple

import msgspec

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
# The latency of an unused target halves in this time. Without it a target
# whose only answer was slow loses every comparison and is never tried again.
LATENCY_HALF_LIFE_S = 1.0
DEFAULT_SLOTS = 16
# Own requests at one target, as a multiple of its slots, beyond which the
# gate's queue is certainly full. Only requests that are at least as important
# count, since the gate drops less important ones for the new one.
OVERFLOW_FACTOR = 8
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
# Rank of a target: those with room come before those with a queue to wait
# in, and among these the nearest. Beyond the lowest rank none is chosen.
_REGION_RANK = 1
_REMOTE_RANK = 2
_QUEUE_RANK = 3
_LOWEST_RANK = _QUEUE_RANK + _REMOTE_RANK
_OVERFLOW_RANK = _LOWEST_RANK + 1


class Candidate(msgspec.Struct, frozen=True):
    """A target that was compared.

    Args:
        target: Name of the target.
        in_flight: Own requests at the target.
        cost: (in flight + 1) * latency / slots.
    """

    target: str
    in_flight: int
    cost: float


class Loads(msgspec.Struct, frozen=True):
    """Targets that were compared; formatted only when it is printed."""

    compared: tuple[Candidate, ...] = ()

    def __str__(self) -> str:
        return ','.join(
            f'{seen.target}:{seen.in_flight}:{seen.cost:.5f}'
            for seen in self.compared
        )


class Choice(msgspec.Struct, frozen=True):
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
        'in_flight_of',
        'latency_s',
        'level',
        'level_at',
        'limit',
        'load',
        'seen_at',
    )

    def __init__(self, now: float) -> None:
        self.in_flight = 0
        self.in_flight_of = [0] * len(Importance)
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

    def passes(self, importance: Importance, bucket: int, now: float) -> bool:
        """Return whether the gate would let a request in, or may now."""
        return now - self.level_at >= LEVEL_LIFETIME_S or passes(
            self.level, importance, bucket
        )

    def count(self, importance: Importance, change: int) -> None:
        """Count a request that starts (1) or ends (-1)."""
        self.in_flight += change
        self.in_flight_of[importance] += change

    def queue_rank(
        self, entry: DirectoryEntry, importance: Importance, now: float
    ) -> int:
        """Return the part of the rank that tells room from a queue."""
        if self.has_room(entry, now):
            return 0
        # These cannot be displaced by the request.
        ahead = sum(self.in_flight_of[: importance + 1])
        if ahead < OVERFLOW_FACTOR * self.slots(entry):
            return _QUEUE_RANK
        return _OVERFLOW_RANK

    def expected_latency_s(self, now: float) -> float:
        """Return the latency, less the longer the target is unused."""
        if self.in_flight:
            return self.latency_s
        unused_s = max(0.0, now - self.seen_at)
        return self.latency_s * math.exp2(-unused_s / LATENCY_HALF_LIFE_S)

    def learn_latency(self, sample_s: float) -> None:
        if not self.latency_s:
            self.latency_s = sample_s
            return
        rising = sample_s > self.latency_s
        weight = LATENCY_RISE_WEIGHT if rising else LATENCY_FALL_WEIGHT
        self.latency_s += weight * (sample_s - self.latency_s)


_Offered = tuple[DirectoryEntry, _Statistics | None]


class _Selection(NamedTuple):
    """Targets to choose from.

    Args:
        best: Targets of the best rank with what is known of them.
        candidates: Targets that are not excluded or ejected.
        passing: Whether any known one lets the request in.
    """

    best: list[_Offered]
    candidates: int
    passing: bool


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
        found = self._select(
            entries, importance, bucket, regions, now, excluded
        )
        if not found.candidates:
            # With every target ejected, trying one beats refusing for sure.
            found = self._select(
                entries, importance, bucket, regions, now, excluded, True
            )
        if not found.best:
            if not found.candidates:
                return Choice(Reason.NO_TARGET)
            reason = Reason.NO_ROOM if found.passing else Reason.SHED_AT_ENTRY
            return Choice(reason, candidates=found.candidates)
        entry, compared = _better_of_two(found.best, now, rng)
        return self._start(entry, importance, compared, found.candidates, now)

    def finish(
        self,
        address: str,
        *,
        importance: Importance,
        reason: Reason,
        now: float,
        status: int = 0,
        latency_s: float = 0.0,
        load: GateLoad | None = None,
    ) -> None:
        """Learn from the end of a request at a target.

        Args:
            address: Address of the chosen entry.
            importance: Importance of the request.
            reason: `served` or why there is no answer of the target.
            now: Monotonic seconds.
            status: HTTP status of the target.
            latency_s: Seconds from sending to the answer.
            load: Load that came with the answer.
        """
        known = self._statistics.get(address)
        if known is None:
            return
        known.count(importance, -1)
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
        importance: Importance,
        compared: tuple[Candidate, ...],
        candidates: int,
        now: float,
    ) -> Choice:
        known = self._statistics.get(entry.address)
        if known is None:
            known = self._statistics[entry.address] = _Statistics(now)
        known.latency_s = known.expected_latency_s(now)
        known.count(importance, 1)
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

    def _select(
        self,
        entries: Sequence[DirectoryEntry],
        importance: Importance,
        bucket: int,
        regions: Mapping[str, str],
        now: float,
        excluded: Collection[str],
        with_ejected: bool = False,
    ) -> _Selection:
        """Find the targets of the best rank in one pass."""
        statistics = self._statistics
        domain = self._domain
        best: list[_Offered] = []
        best_rank = _LOWEST_RANK
        candidates = 0
        passing = False
        for entry in entries:
            if entry.address in excluded:
                continue
            known = statistics.get(entry.address)
            if known and now < known.ejected_until and not with_ejected:
                continue
            candidates += 1
            rank = 0
            if entry.domain != domain:
                rank = self._distance_rank(entry, regions)
            if rank > best_rank:
                continue
            if known is not None:
                if self._shedding and not known.passes(
                    importance, bucket, now
                ):
                    continue
                passing = True
                rank += known.queue_rank(entry, importance, now)
            if rank < best_rank:
                best_rank = rank
                best = [(entry, known)]
            elif rank == best_rank:
                best.append((entry, known))
        return _Selection(best, candidates, passing)

    def _distance_rank(
        self, entry: DirectoryEntry, regions: Mapping[str, str]
    ) -> int:
        """Return the rank of a target in another failure domain."""
        region = regions.get(self._domain)
        if region is not None and regions.get(entry.domain) == region:
            return _REGION_RANK
        return _REMOTE_RANK


def _better_of_two(
    offered: list[_Offered], now: float, rng: random.Random
) -> tuple[DirectoryEntry, tuple[Candidate, ...]]:
    count = len(offered)
    if count == 1:
        return offered[0][0], (_candidate(offered[0], 0.0),)
    first = int(rng.random() * count)
    second = int(rng.random() * (count - 1))
    second += second >= first
    pair = (offered[first], offered[second])
    latencies = [
        known.expected_latency_s(now) if known else 0.0 for _, known in pair
    ]
    # A target without an answer yet is compared as if it were as fast as
    # the other one, so that it is neither flooded nor avoided.
    known_s = max(latencies) or 1.0
    seen = (
        _candidate(pair[0], latencies[0] or known_s),
        _candidate(pair[1], latencies[1] or known_s),
    )
    return pair[seen[1].cost < seen[0].cost][0], seen


def _candidate(offered: _Offered, latency_s: float) -> Candidate:
    entry, known = offered
    if known is None:
        slots = entry.slots or DEFAULT_SLOTS
        return Candidate(entry.target, 0, latency_s / slots)
    cost = (known.in_flight + 1) * latency_s / known.slots(entry)
    return Candidate(entry.target, known.in_flight, cost)
