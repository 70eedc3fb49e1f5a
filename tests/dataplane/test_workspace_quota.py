"""Guards against tokens beyond the limit, and refusals within it."""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from dataplane_values import make_workspace
from turmericrouter_dataplane.policy.workspace_quota import ReachableHosts
from turmericrouter_dataplane.policy.workspace_quota import WorkspaceQuota

HOSTS = tuple(f'host-{number}' for number in range(8))
SIDES = (HOSTS[:2], HOSTS[2:])


class Fleet:
    """Quotas of a few hosts that request tokens without delay."""

    def __init__(self, rate: float = 100.0, burst: float = 100.0) -> None:
        self.now = 0.0
        self.rate, self.burst = rate, burst
        rng = random.Random(1)
        self.quotas = {name: WorkspaceQuota(name, rng) for name in HOSTS}
        self.join()
        self.configure(rate, burst)

    def configure(self, rate: float, burst: float) -> None:
        workspace = make_workspace(rate_per_s=rate, burst=burst)
        for quota in self.quotas.values():
            quota.configure((workspace,), self.now)

    def join(self) -> None:
        """Let all hosts reach one another."""
        self._set_reachable(HOSTS, HOSTS)

    def cut(self) -> None:
        """Partition the fleet in two."""
        for side in SIDES:
            self._set_reachable(side, side)

    def _set_reachable(
        self, hosts: tuple[str, ...], responsive: tuple[str, ...]
    ) -> None:
        share = len(responsive) / len(HOSTS)
        reachable = ReachableHosts(frozenset(hosts), share, len(HOSTS))
        for name in hosts:
            self.quotas[name].set_reachable(reachable, self.now)

    def send(self, name: str, count: int = 1) -> int:
        """Return how many requests at a host get a token."""
        owner = self.quotas[self.quotas[name].owner('east')]
        return sum(
            owner.grant('east', 0, self.now).tokens for _ in range(count)
        )

    def send_all(self, count: int) -> int:
        """Return how many requests get a token, with some at each host."""
        return sum(self.send(name, count) for name in HOSTS)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(HOSTS), st.integers(0, 400), st.floats(0.0, 1.0)
        ),
        max_size=60,
    )
)
def test_fleet_never_admits_more_than_rate_and_burst(
    steps: list[tuple[str, int, float]],
) -> None:
    fleet = Fleet()
    admitted: list[tuple[float, int]] = []
    for name, count, wait_s in steps:
        fleet.now += wait_s
        admitted.append((fleet.now, fleet.send(name, count)))
    for start, (begin, _) in enumerate(admitted):
        total = 0
        for at, count in admitted[start:]:
            total += count
            allowed = fleet.rate * (at - begin) + fleet.burst
            assert total <= allowed + 1e-6


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.lists(st.booleans(), min_size=2, max_size=8), st.integers(0, 40))
def test_partitions_add_no_more_than_the_platform_allows(
    cuts: list[bool], period_ticks: int
) -> None:
    """Within 5 s: 1.1 times rate and burst, plus 20."""
    fleet = Fleet()
    admitted: list[tuple[float, int]] = []
    for is_cut in cuts:
        if is_cut:
            fleet.cut()
        else:
            fleet.join()
        for _ in range(20 + period_ticks):
            fleet.now += 0.1
            admitted.append((fleet.now, fleet.send_all(10)))
    for begin, _ in admitted:
        total = sum(n for at, n in admitted if begin <= at < begin + 5.0)
        assert total <= (5 * fleet.rate + fleet.burst) * 1.1 + 20


def test_requests_within_the_limit_are_served_wherever_they_arrive() -> None:
    """With few requests per host, no host may hold idle tokens."""
    fleet = Fleet(rate=20.0, burst=20.0)
    fleet.now = 5.0
    rng = random.Random(2)
    refused = 0
    for _ in range(400):
        fleet.now += 0.05
        refused += not fleet.send(rng.choice(HOSTS))
    assert refused == 0


def test_over_the_limit_the_first_requests_are_served() -> None:
    """What the limit allows is decided by the order of arrival."""
    # Powers of two, so that both computations are exact.
    fleet = Fleet(rate=8.0, burst=8.0)
    fleet.now = 5.0
    rng = random.Random(3)
    tokens, as_of = 8.0, fleet.now
    for _ in range(500):
        fleet.now += 1 / 128
        tokens = min(8.0, tokens + (fleet.now - as_of) * 8.0)
        as_of = fleet.now
        expected = tokens >= 1.0
        tokens -= expected
        assert fleet.send(rng.choice(HOSTS)) == expected


def test_sides_of_a_partition_share_the_limit() -> None:
    fleet = Fleet()
    fleet.now = 5.0
    fleet.cut()
    fleet.send_all(200)
    fleet.now += 1.0
    small = sum(fleet.send(name, 200) for name in SIDES[0])
    large = sum(fleet.send(name, 200) for name in SIDES[1])
    assert small == pytest.approx(25, abs=1)
    assert large == pytest.approx(75, abs=1)


def test_lower_limit_binds_at_once() -> None:
    fleet = Fleet()
    fleet.now = 5.0
    fleet.configure(8.0, 8.0)
    assert fleet.send_all(100) == 8


def test_new_owner_starts_with_a_part_of_the_burst() -> None:
    """The previous owner may just have granted a whole burst."""
    fleet = Fleet()
    fleet.now = 5.0
    assert fleet.send_all(50) == 100
    owner = fleet.quotas[HOSTS[0]].owner('east')
    rest = tuple(name for name in HOSTS if name != owner)
    reachable = ReachableHosts(frozenset(rest), 1.0, len(HOSTS))
    for name in rest:
        fleet.quotas[name].set_reachable(reachable, fleet.now)
    assert sum(fleet.send(name, 100) for name in rest) <= 20


def test_host_that_knows_no_other_one_takes_a_small_share() -> None:
    quota = WorkspaceQuota('host-0', random.Random(1))
    quota.set_reachable(ReachableHosts(frozenset({'host-0'}), 1 / 32, 32), 0.0)
    quota.configure((make_workspace(rate_per_s=100, burst=100),), 0.0)
    grants = [quota.grant('east', 0, 0.0).tokens for _ in range(100)]
    assert sum(grants) <= 4


def test_fallback_buckets_of_all_hosts_add_up_to_the_limit() -> None:
    """Hosts whose owner does not answer must not exceed the limit."""
    fleet = Fleet(rate=4.0, burst=4.0)
    served = 0
    for _ in range(1000):
        fleet.now += 0.1
        for name in HOSTS:
            quota = fleet.quotas[name]
            served += quota.take_fallback_token('east', fleet.now)
            served += quota.take_fallback_token('east', fleet.now)
    assert 300 <= served <= 440


def test_prefetch_needs_a_well_filled_bucket() -> None:
    """Unused prefetched tokens at one host cause refusals at others."""
    fleet = Fleet()
    fleet.now = 5.0
    quota = fleet.quotas[fleet.quotas[HOSTS[0]].owner('east')]
    assert quota.grant('east', 9, fleet.now).tokens == 10
    for _ in range(50):
        quota.grant('east', 0, fleet.now)
    assert quota.grant('east', 9, fleet.now).tokens == 1


def test_wait_grows_with_the_requests_that_were_refused() -> None:
    """Callers that all retry for the next token are refused again."""
    quota = WorkspaceQuota('host-0', random.Random(1))
    quota.configure((make_workspace(rate_per_s=10, burst=10),), 0.0)
    for _ in range(2):
        quota.grant('east', 0, 0.0)
    waits = [quota.grant('east', 0, 0.0).wait_s for _ in range(10)]
    assert waits == sorted(waits)
    assert waits[0] == pytest.approx(0.1)
    assert waits[-1] == pytest.approx(1.0)


@settings(deadline=None, derandomize=True)
@given(st.lists(st.sets(st.sampled_from(HOSTS), min_size=1), max_size=12))
def test_known_owners_follow_changes_of_the_hosts(
    changes: list[set[str]],
) -> None:
    """Guards against hosts that disagree about owners for good."""
    names = [f'workspace-{number}' for number in range(30)]
    follower = WorkspaceQuota(HOSTS[0], random.Random(1))
    for number, hosts in enumerate(changes):
        reachable = ReachableHosts(frozenset(hosts), 1.0, len(HOSTS))
        follower.set_reachable(reachable, float(number))
        newcomer = WorkspaceQuota(HOSTS[0], random.Random(1))
        newcomer.set_reachable(reachable, float(number))
        assert [follower.owner(n) for n in names] == [
            newcomer.owner(n) for n in names
        ]


def test_owner_without_a_configuration_grants_nothing() -> None:
    """Guards against a host that restarts and knows no limits yet."""
    quota = WorkspaceQuota(HOSTS[0], random.Random(1))
    reachable = ReachableHosts(frozenset({HOSTS[0]}), 1.0, len(HOSTS))
    quota.set_reachable(reachable, 0.0)
    grant = quota.grant('east', 5, 1.0)
    assert not grant.tokens
    assert not grant.is_owner
    quota.configure((make_workspace(),), 1.0)
    assert quota.grant('east', 0, 2.0).tokens
