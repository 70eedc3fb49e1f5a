"""Guards against shares that exceed the limit, and against lost tokens."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from dataplane_values import make_workspace
from turmericrouter_dataplane.policy.workspace_quota import WorkspaceQuota

HOSTS = ('a', 'b', 'c', 'd')


class Fleet:
    """Quotas of a few hosts that hear one another at once."""

    def __init__(self, rate: float = 100.0, burst: float = 100.0) -> None:
        self.now = 0.0
        self.rate, self.burst = rate, burst
        self.quotas = {name: WorkspaceQuota() for name in HOSTS}
        workspace = make_workspace(rate_per_s=rate, burst=burst)
        for name, quota in self.quotas.items():
            for peer in HOSTS:
                if peer != name:
                    quota.expect(peer, 0.0)
            quota.configure((workspace,), 0.0)

    def publish(self, name: str, reach: tuple[str, ...] = HOSTS) -> None:
        changes = self.quotas[name].publish(1.0, self.now)
        for peer in reach:
            if peer != name:
                self.quotas[peer].hear_changes(name, changes, self.now)

    def send(self, name: str, count: int) -> int:
        quota = self.quotas[name]
        waits = [quota.admit('east', self.now) for _ in range(count)]
        return waits.count(0.0)


def shares(fleet: Fleet) -> float:
    return sum(quota.share('east') for quota in fleet.quotas.values())


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
        fleet.publish(name)
        assert shares(fleet) <= 1.0 + 1e-6
    for start, (begin, _) in enumerate(admitted):
        total = 0
        for at, count in admitted[start:]:
            total += count
            # A bucket of less than a token is topped up to one.
            allowed = fleet.rate * (at - begin) + fleet.burst + len(HOSTS)
            assert total <= allowed + 1e-6


def test_share_follows_the_demand() -> None:
    fleet = Fleet()
    for _ in range(8):
        fleet.now += 1.0
        fleet.send('a', 300)
        fleet.send('b', 100)
        for name in HOSTS:
            fleet.publish(name)
    share = {name: quota.share('east') for name, quota in fleet.quotas.items()}
    assert share['a'] > 2 * share['b'] > 4 * share['c']
    assert share['c'] > 0.0


def test_cut_off_hosts_keep_their_shares_and_no_more() -> None:
    fleet = Fleet()
    for name in HOSTS:
        fleet.publish(name)
    sides = (('a', 'b'), ('c', 'd'))
    for side, other in (sides, sides[::-1]):
        for name in side:
            for lost in other:
                fleet.quotas[name].lose(lost, 1.0)
    # Each side sees all of its own demand rise, and nothing of the other's.
    for step in range(5):
        fleet.now = 2.0 + step
        for side in sides:
            for name in side:
                fleet.send(name, 500)
                fleet.publish(name, side)
        assert shares(fleet) <= 1.0 + 1e-6


def test_tokens_move_without_growing() -> None:
    fleet = Fleet()
    before = fleet.send('a', 1000)
    given = fleet.quotas['b'].lend('east', 100, 0.0)
    fleet.quotas['a'].receive('east', given, 0.0)
    after = fleet.send('a', 1000)
    others = sum(fleet.send(name, 1000) for name in 'bcd')
    assert after == given > 0
    assert before + after + others == 100


def test_lower_limit_binds_at_once() -> None:
    fleet = Fleet()
    for quota in fleet.quotas.values():
        quota.configure((make_workspace(rate_per_s=8, burst=8),), 0.0)
    assert sum(fleet.send(name, 100) for name in HOSTS) == 8


def test_whole_demand_and_its_changes_give_the_same_shares() -> None:
    fleet = Fleet()
    fleet.send('a', 300)
    fleet.publish('a')
    fleet.quotas['d'].forget('a', 0.0)
    fleet.quotas['d'].hear('a', fleet.quotas['a'].published(), 0.0)
    assert fleet.quotas['d'].share('east') == fleet.quotas['c'].share('east')


def test_small_changes_of_demand_are_not_published() -> None:
    fleet = Fleet()
    quota = fleet.quotas['a']
    for number in range(20):
        fleet.send('a', 50 + number % 3)
        changes = quota.publish(1.0, float(number))
    assert not changes


def test_host_that_knows_no_other_one_takes_a_small_share() -> None:
    quota = WorkspaceQuota()
    quota.assume_hosts(32, 0.0)
    quota.configure((make_workspace(rate_per_s=100, burst=100),), 0.0)
    waits = [quota.admit('east', 0.0) for _ in range(100)]
    assert waits.count(0.0) <= 4
    quota.assume_hosts(1, 0.0)
    assert quota.share('east') == 1.0


def test_host_that_left_gives_its_share_back() -> None:
    fleet = Fleet()
    quota = fleet.quotas['a']
    quota.lose('b', 1.0)
    assert quota.share('east') == 0.25
    quota.forget('b', 2.0)
    assert quota.share('east') > 0.33
