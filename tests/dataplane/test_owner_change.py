"""The limit of a flooded workspace holds while its owner changes.

Hosts leave and return one after the other, and each host learns of it at a
time of its own, so that for a moment they disagree about the owner.
"""

import heapq
import itertools
import random
from typing import Any

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from dataplane_values import make_workspace
from turmericrouter_dataplane.frames import TokenGrant
from turmericrouter_dataplane.frames import TokenRequest
from turmericrouter_dataplane.policy.workspace_quota import Handover
from turmericrouter_dataplane.policy.workspace_quota import ReachableHosts
from turmericrouter_dataplane.policy.workspace_quota import WorkspaceQuota
from turmericrouter_dataplane.token_exchange import TokenExchange

HOSTS = tuple(f'host-{number}' for number in range(16))
WORKSPACE = 'east'
RATE_PER_S = 36.0
BURST = 36.0
LOAD_PER_S = 8 * RATE_PER_S
DELAY_S = 0.002
# A host that stops serves on for a time, and is back some time after its end.
STOP_S = 2.6
RESTART_S = 0.9
# The platform's rule: a window may exceed its limit by this.
WINDOW_S = 5.0
OVERAGE = 0.1
SLACK = 20


class _World:
    """Virtual time, and the timers and links of all hosts."""

    def __init__(self, seed: int) -> None:
        self.time_s = 0.0
        self.rng = random.Random(seed)
        self._events: list[tuple[float, int, Any]] = []
        self._order = itertools.count()
        self.admitted_at: list[float] = []
        self.absent: set[str] = set()
        self.leaving: set[str] = set()
        self.hosts = {name: _Host(self, name, set(HOSTS)) for name in HOSTS}

    def now(self) -> float:
        return self.time_s

    def at(self, time_s: float, action: Any) -> None:
        heapq.heappush(self._events, (time_s, next(self._order), action))

    def run_until(self, end_s: float) -> None:
        while self._events and self._events[0][0] <= end_s:
            self.time_s, _, action = heapq.heappop(self._events)
            action()
        self.time_s = end_s

    def stop_host(self, name: str, notice_s: float) -> None:
        """Stop a host: it tells the others, serves on, ends and returns."""
        self.hosts[name].leave()
        self.leaving.add(name)
        self._tell_others(name, notice_s, is_present=False)
        self.at(self.time_s + STOP_S, lambda: self._end(name, notice_s))

    def kill_host(self, name: str, notice_s: float) -> None:
        """Kill a host; its links close, and it returns."""
        self._tell_others(name, notice_s, is_present=False)
        self._end(name, notice_s)

    def _end(self, name: str, notice_s: float) -> None:
        self.absent.add(name)
        self.at(
            self.time_s + RESTART_S, lambda: self._come_back(name, notice_s)
        )

    def _come_back(self, name: str, notice_s: float) -> None:
        self.absent.discard(name)
        self.leaving.discard(name)
        self.hosts[name] = _Host(self, name, set())
        self._tell_others(name, notice_s, is_present=True)

    def _tell_others(
        self, name: str, notice_s: float, *, is_present: bool
    ) -> None:
        for other in HOSTS:
            if other != name:
                self.at(
                    self.time_s + self.rng.uniform(0.0, notice_s),
                    lambda o=other: self._notice(o, name, is_present),
                )

    def _notice(self, other: str, name: str, is_present: bool) -> None:
        """Let two hosts open their links, or one notice that they closed."""
        if is_present and self.absent & {other, name}:
            return
        self.hosts[other].see(name, is_present)
        if is_present:
            self.hosts[name].see(other, True)

    def flood(self, end_s: float) -> None:
        """Send requests of the workspace at a multiple of its rate."""
        time_s = self.time_s
        while time_s < end_s:
            time_s += self.rng.expovariate(LOAD_PER_S)
            name = self.rng.choice(HOSTS)
            self.at(time_s, lambda n=name: self.hosts[n].take())

    def worst_window(self) -> int:
        """Return the most requests that were admitted in a window."""
        times = sorted(self.admitted_at)
        first = 0
        worst = 0
        for index, time_s in enumerate(times):
            while time_s - times[first] > WINDOW_S:
                first += 1
            worst = max(worst, index - first + 1)
        return worst


class _Link:
    """Link from one host to another."""

    def __init__(self, world: _World, source: '_Host', target: str) -> None:
        self._world = world
        self._source = source
        self._target = target

    def probe(self, now: float) -> None:
        """Ignore the probe; views change on their own."""

    def send(self, frame: TokenRequest) -> None:
        self._world.at(self._world.now() + DELAY_S, lambda: self._serve(frame))

    def _serve(self, frame: TokenRequest) -> None:
        if self._target in self._world.absent:
            return
        now = self._world.now()
        grant = self._world.hosts[self._target].quota.grant(
            frame.workspace, frame.prefetch, now
        )
        reply = TokenGrant(
            frame.correlation,
            grant.tokens,
            int(grant.wait_s * 1000),
            grant.is_owner,
        )
        self._world.at(
            now + DELAY_S, lambda: self._source.exchange.handle_grant(reply)
        )


class _Host:
    """A host's view of the others, its quota and its exchange."""

    def __init__(self, world: _World, name: str, others: set[str]) -> None:
        self._world = world
        self._name = name
        self._others = others - {name}
        self._is_leaving = False
        self.quota = WorkspaceQuota(name, world.rng)
        timers: Any = world
        self.exchange = TokenExchange(self.quota, timers, self._link_of, name)
        self._apply()
        workspace = make_workspace(rate_per_s=RATE_PER_S, burst=BURST)
        self.quota.configure((workspace,), world.now())

    def see(self, name: str, is_present: bool) -> None:
        """Learn that another host has joined or left."""
        if is_present:
            self._others.add(name)
        else:
            self._others.discard(name)
        self._apply()

    def leave(self) -> None:
        self._is_leaving = True
        self._apply()

    def take(self) -> None:
        if self._name in self._world.absent:
            return

        def resume(is_admitted: bool, wait_s: float) -> None:
            if is_admitted:
                self._world.admitted_at.append(self._world.now())

        self.exchange.take(WORKSPACE, resume)

    def _link_of(self, host: str) -> Any:
        if host not in self._others:
            return None
        return _Link(self._world, self, host)

    def _apply(self) -> None:
        own = set() if self._is_leaving else {self._name}
        hosts = frozenset(self._others | own)
        # A host that was lost counts in the fleet for some time, one that
        # stops does not.
        size = len(HOSTS) - len(self._world.leaving)
        share = min(1.0, (len(self._others) + 1) / size)
        reachable = ReachableHosts(hosts, share, size)
        now = self._world.now()
        for handover in self.quota.set_reachable(reachable, now):
            self._world.at(
                now + DELAY_S, lambda h=handover: self._hand_over(h)
            )

    def _hand_over(self, handover: Handover) -> None:
        if handover.owner not in self._world.absent:
            self._world.hosts[handover.owner].quota.accept_handover(
                handover.workspace, handover.tokens, self._world.now()
            )


def _limit() -> float:
    return (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK


def _owner(world: _World) -> str:
    """Return the owner in the view of a host that is there."""
    present = [name for name in HOSTS if name not in world.absent]
    return world.hosts[world.rng.choice(present)].quota.owner(WORKSPACE)


@settings(max_examples=20, deadline=None, derandomize=True)
@given(
    seed=st.integers(0, 10_000),
    notice_s=st.sampled_from([0.05, 0.3, 0.6]),
    gap_s=st.sampled_from([0.5, 1.0]),
)
def test_flooded_workspace_keeps_its_limit_in_a_rolling_restart(
    seed: int, notice_s: float, gap_s: float
) -> None:
    """Guards against two owners, and a new burst with each owner."""
    world = _World(seed)
    world.flood(20.0)
    world.run_until(6.0)
    # The owner leaves first, so that it changes at once.
    names = [_owner(world)]
    names += [name for name in HOSTS if name not in names][:7]
    for number, name in enumerate(names):
        world.stop_host(name, notice_s)
        world.run_until(6.0 + gap_s * (number + 1))
    world.run_until(20.0)
    assert world.worst_window() <= _limit()


@settings(max_examples=20, deadline=None, derandomize=True)
@given(seed=st.integers(0, 10_000), notice_s=st.sampled_from([0.05, 0.3, 0.6]))
def test_flooded_workspace_keeps_its_limit_when_owners_are_killed(
    seed: int, notice_s: float
) -> None:
    """Guards against fallback buckets that add a burst to a spent one."""
    world = _World(seed)
    world.flood(16.0)
    world.run_until(6.0)
    for time_s in (7.0, 9.0, 11.0):
        owner = _owner(world)
        if owner not in world.absent:
            world.kill_host(owner, notice_s)
        world.run_until(time_s)
    world.run_until(16.0)
    assert world.worst_window() <= _limit()


def test_flooded_workspace_gets_its_rate_in_a_rolling_restart() -> None:
    """Guards against a hand-over that withholds the rate of a workspace."""
    world = _World(1)
    world.flood(20.0)
    world.run_until(6.0)
    for number, name in enumerate(HOSTS[:8]):
        world.stop_host(name, 0.3)
        world.run_until(7.0 + number)
    world.run_until(20.0)
    served = sum(6.0 <= at < 20.0 for at in world.admitted_at)
    assert served >= 0.9 * RATE_PER_S * 14.0
