"""Load balancing: choice of the target of a request."""

from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
import math
import random
from typing import NamedTuple

import msgspec

from turmericrouter_core.messages import AdmissionLevel
from turmericrouter_core.messages import DirectoryEntry
from turmericrouter_core.messages import GateLoad
from turmericrouter_core.shedding import is_admitted
from turmericrouter_core.verdict import Importance
from turmericrouter_core.verdict import Reason

# A request is sent regardless of an admission level older than this. It renews
# the age of the level, so that one such request is sent per lifetime.
LEVEL_LIFETIME_S = 1.0
# Pause before other requests go to a gate that refused for lack of room.
FULL_BACKOFF_S = 0.05
FIRST_EJECTION_S = 0.25
MAX_EJECTION_S = 4.0
_MAX_FAILURES = 8
# Weights of a new latency sample. A rise has the larger weight, so that a
# slow target loses its share before its queue builds up.
LATENCY_FALL_WEIGHT = 0.2
LATENCY_RISE_WEIGHT = 0.5
# The latency estimate of an unused target halves in this time. Without the
# decay, a target whose only answer was slow would never be chosen again.
LATENCY_HALF_LIFE_S = 1.0
DEFAULT_SLOTS = 16
# Requests of this entry at one target, as a multiple of its slots, beyond
# which the queue of the gate is certainly full. Only requests at least as
# important count, since the gate evicts less important ones for a new one.
OVERFLOW_FACTOR = 8
IDLE_EXPIRY_S = 300.0

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
# Rank of a target, lowest value first: targets with room come before targets
# with a queue, and near ones before far ones. A target ranked beyond
# _LOWEST_RANK is not chosen.
_REGION_RANK = 1
_REMOTE_RANK = 2
_QUEUE_RANK = 3
_LOWEST_RANK = _QUEUE_RANK + _REMOTE_RANK
_OVERFLOW_RANK = _LOWEST_RANK + 1


class Candidate(msgspec.Struct, frozen=True):
    """A target that was compared.

    Args:
        target: Name of the target.
        in_flight: Requests of this entry at the target.
        cost: (in_flight + 1) * latency / slots.
    """

    target: str
    in_flight: int
    cost: float


class Loads(msgspec.Struct, frozen=True):
    """Targets that were compared, formatted only when printed."""

    compared: tuple[Candidate, ...] = ()

    def __str__(self) -> str:
        return ','.join(
            f'{one.target}:{one.in_flight}:{one.cost:.5f}'
            for one in self.compared
        )


class Choice(msgspec.Struct, frozen=True):
    """Result of choosing a target.

    Args:
        reason: `served` if a target was chosen, else why none was.
        entry: The chosen target.
        candidates: Number of targets that were eligible.
        loads: Targets that were compared, with their loads and costs.
        is_probe: Whether the request tests an ejected target.
    """

    reason: Reason
    entry: DirectoryEntry | None = None
    candidates: int = 0
    loads: Loads = Loads()
    is_probe: bool = False


class _TargetStatistics:
    """Statistics of one target as observed by this entry."""

    __slots__ = (
        'ejected_until',
        'failures',
        'full_until',
        'in_flight',
        'in_flight_of',
        'latency_s',
        'level',
        'level_updated_at',
        'limit',
        'load',
        'seen_at',
    )

    def __init__(self, now: float) -> None:
        self.in_flight = 0
        self.in_flight_of = [0] * len(Importance)
        self.latency_s = 0.0
        self.level = AdmissionLevel()
        self.level_updated_at = now
        self.limit = 0
        self.load = 0
        self.failures = 0
        self.ejected_until = 0.0
        self.full_until = 0.0
        self.seen_at = now

    def slots(self, entry: DirectoryEntry) -> int:
        return self.limit or entry.slots or DEFAULT_SLOTS

    def has_room(self, entry: DirectoryEntry, now: float) -> bool:
        """Return whether a request would probably start immediately."""
        if now < self.full_until:
            return False
        fresh = now - self.level_updated_at < LEVEL_LIFETIME_S
        load = max(self.in_flight, self.load) if fresh else self.in_flight
        return load < self.slots(entry)

    def is_admitted(
        self, importance: Importance, bucket: int, now: float
    ) -> bool:
        """Return whether the last admission level passes or has expired."""
        return now - self.level_updated_at >= LEVEL_LIFETIME_S or is_admitted(
            self.level, importance, bucket
        )

    def count(self, importance: Importance, change: int) -> None:
        """Count a request that starts (1) or ends (-1)."""
        self.in_flight += change
        self.in_flight_of[importance] += change

    def queue_rank(
        self, entry: DirectoryEntry, importance: Importance, now: float
    ) -> int:
        """Return the part of the rank that depends on room and queue."""
        if self.has_room(entry, now):
            return 0
        # The request cannot displace these at the gate.
        not_displaced = sum(self.in_flight_of[: importance + 1])
        if not_displaced < OVERFLOW_FACTOR * self.slots(entry):
            return _QUEUE_RANK
        return _OVERFLOW_RANK

    def expected_latency_s(self, now: float) -> float:
        """Return the latency estimate, which decays while unused."""
        if self.in_flight:
            return self.latency_s
        unused_s = max(0.0, now - self.seen_at)
        return self.latency_s * math.exp2(-unused_s / LATENCY_HALF_LIFE_S)

    def record_latency(self, sample_s: float) -> None:
        if not self.latency_s:
            self.latency_s = sample_s
            return
        rising = sample_s > self.latency_s
        weight = LATENCY_RISE_WEIGHT if rising else LATENCY_FALL_WEIGHT
        self.latency_s += weight * (sample_s - self.latency_s)


_TargetOption = tuple[DirectoryEntry, _TargetStatistics | None]


class _Selection(NamedTuple):
    """Targets to choose from.

    Args:
        best: Targets of the best rank, with statistics if there are any.
        candidates: Number of targets not excluded or ejected.
        any_admits: Whether any target with statistics admits the request.
    """

    best: list[_TargetOption]
    candidates: int
    any_admits: bool


class TargetChooser:
    """Chooses targets by the load and latency of earlier requests.

    Args:
        domain: Own failure domain, whose targets are preferred.
        shedding: Whether to refuse requests that a gate would refuse.
    """

    def __init__(self, domain: str, *, shedding: bool = True) -> None:
        self._domain = domain
        self._shedding = shedding
        self._statistics: dict[str, _TargetStatistics] = {}

    def __len__(self) -> int:
        return len(self._statistics)

    def in_flight(self, address: str) -> int:
        """Return the number of requests of this entry at a target."""
        stats = self._statistics.get(address)
        return stats.in_flight if stats else 0

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
            rng: Source of the random samples.
            excluded: Addresses of targets already tried.
        """
        selection = self._select(
            entries, importance, bucket, regions, now, excluded
        )
        if not selection.candidates:
            # Every target is ejected; an attempt may succeed, unlike a
            # refusal.
            selection = self._select(
                entries, importance, bucket, regions, now, excluded, True
            )
        if not selection.best:
            if not selection.candidates:
                return Choice(Reason.NO_TARGET)
            reason = (
                Reason.NO_ROOM
                if selection.any_admits
                else Reason.SHED_AT_ENTRY
            )
            return Choice(reason, candidates=selection.candidates)
        entry, compared = _choose_of_two(selection.best, now, rng)
        return self._start(
            entry, importance, compared, selection.candidates, now
        )

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
        """Record the end of a request at a target.

        Args:
            address: Address of the chosen entry.
            importance: Importance of the request.
            reason: `served`, or why the target gave no answer.
            now: Monotonic seconds.
            status: HTTP status of the target.
            latency_s: Seconds from sending the request to the answer.
            load: Load reported with the answer.
        """
        stats = self._statistics.get(address)
        if stats is None:
            return
        stats.count(importance, -1)
        stats.seen_at = now
        if load is not None:
            stats.level, stats.level_updated_at = load.level, now
            stats.limit = load.limit
            stats.load = load.in_flight + load.queued
        if reason in _FAILED_REASONS:
            self._eject(stats, now)
        elif reason in _FULL_REASONS:
            stats.full_until = now + FULL_BACKOFF_S
        elif reason is Reason.SERVED:
            stats.failures = 0
            stats.ejected_until = 0.0
            # A fast failure does not indicate spare capacity.
            if status < _SERVER_ERROR_STATUS or latency_s > stats.latency_s:
                stats.record_latency(latency_s)
        elif reason is Reason.DEADLINE_EXPIRED:
            stats.record_latency(max(latency_s, stats.latency_s))

    def prune(self, now: float) -> None:
        """Remove the statistics of targets that have been idle for long."""
        idle = [
            address
            for address, stats in self._statistics.items()
            if not stats.in_flight and now - stats.seen_at > IDLE_EXPIRY_S
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
        stats = self._statistics.get(entry.address)
        if stats is None:
            stats = self._statistics[entry.address] = _TargetStatistics(now)
        stats.latency_s = stats.expected_latency_s(now)
        stats.count(importance, 1)
        stats.seen_at = now
        is_probe = stats.failures > 0
        if is_probe:
            # Other requests skip the target for at least FIRST_EJECTION_S,
            # unless this one succeeds earlier or every target is ejected.
            stats.ejected_until = max(
                stats.ejected_until, now + FIRST_EJECTION_S
            )
        if now - stats.level_updated_at >= LEVEL_LIFETIME_S:
            stats.level_updated_at = now
        return Choice(
            Reason.SERVED, entry, candidates, Loads(compared), is_probe
        )

    def _eject(self, stats: _TargetStatistics, now: float) -> None:
        duration_s = min(FIRST_EJECTION_S * 2**stats.failures, MAX_EJECTION_S)
        stats.failures = min(stats.failures + 1, 16)
        stats.ejected_until = now + duration_s

    def _select(
        self,
        entries: Sequence[DirectoryEntry],
        importance: Importance,
        bucket: int,
        regions: Mapping[str, str],
        now: float,
        excluded: Collection[str],
        include_ejected: bool = False,
    ) -> _Selection:
        """Return the targets of the best rank, found in one pass."""
        statistics = self._statistics
        domain = self._domain
        best: list[_TargetOption] = []
        best_rank = _LOWEST_RANK
        candidates = 0
        any_admits = False
        for entry in entries:
            if entry.address in excluded:
                continue
            stats = statistics.get(entry.address)
            if stats and now < stats.ejected_until and not include_ejected:
                continue
            candidates += 1
            rank = 0
            if entry.domain != domain:
                rank = self._distance_rank(entry, regions)
            if rank > best_rank:
                continue
            if stats is not None:
                if self._shedding and not stats.is_admitted(
                    importance, bucket, now
                ):
                    continue
                any_admits = True
                rank += stats.queue_rank(entry, importance, now)
            if rank < best_rank:
                best_rank = rank
                best = [(entry, stats)]
            elif rank == best_rank:
                best.append((entry, stats))
        return _Selection(best, candidates, any_admits)

    def _distance_rank(
        self, entry: DirectoryEntry, regions: Mapping[str, str]
    ) -> int:
        """Return the rank of a target in another failure domain."""
        region = regions.get(self._domain)
        if region is not None and regions.get(entry.domain) == region:
            return _REGION_RANK
        return _REMOTE_RANK


def _choose_of_two(
    options: list[_TargetOption], now: float, rng: random.Random
) -> tuple[DirectoryEntry, tuple[Candidate, ...]]:
    count = len(options)
    if count == 1:
        return options[0][0], (_candidate(options[0], 0.0),)
    first = int(rng.random() * count)
    second = int(rng.random() * (count - 1))
    second += second >= first
    sampled = (options[first], options[second])
    latencies = [
        stats.expected_latency_s(now) if stats else 0.0 for _, stats in sampled
    ]
    # A target without a latency sample is assumed to be as fast as the other
    # one, so that it is neither flooded nor avoided.
    default_s = max(latencies) or 1.0
    compared = (
        _candidate(sampled[0], latencies[0] or default_s),
        _candidate(sampled[1], latencies[1] or default_s),
    )
    return sampled[compared[1].cost < compared[0].cost][0], compared


def _candidate(option: _TargetOption, latency_s: float) -> Candidate:
    entry, stats = option
    if stats is None:
        slots = entry.slots or DEFAULT_SLOTS
        return Candidate(entry.target, 0, latency_s / slots)
    cost = (stats.in_flight + 1) * latency_s / stats.slots(entry)
    return Candidate(entry.target, stats.in_flight, cost)
