"""Guards against quota fractions that grow while other hosts still serve."""

from dataplane_values import make_record
from turmericrouter_dataplane.policy.reachable_hosts import find_reachable
from turmericrouter_dataplane.policy.target_chooser import HostView
from turmericrouter_dataplane.policy.workspace_quota import ReachableHosts

NOW = 100.0


def make_view(
    name: str, *, domain: str = 'north', silent_s: float = 0.0
) -> HostView:
    view = HostView(make_record(name, domain=domain))
    view.is_linked = not silent_s
    view.last_seen_at = NOW - silent_s
    return view


def measure(*others: HostView, min_hosts: int = 1) -> ReachableHosts:
    return find_reachable(
        make_view('own'),
        others,
        now=NOW,
        silence_timeout_s=2.6,
        min_hosts=min_hosts,
    )


def test_all_hosts_are_reachable() -> None:
    reachable = measure(make_view('a'), make_view('b', domain='south'))
    assert reachable == ReachableHosts(frozenset({'own', 'a', 'b'}), 1.0, 3)


def test_silent_domain_stays_counted() -> None:
    """It may serve callers on the other side of a partition."""
    far = [
        make_view(name, domain='south', silent_s=500.0) for name in ('a', 'b')
    ]
    assert measure(*far).reachable_fraction == 1 / 3


def test_host_with_a_closed_link_is_unreachable_at_once() -> None:
    """Both sides of a partition used the whole limit until the timeout."""
    view = make_view('a', domain='south')
    view.is_linked = False
    assert measure(view).reachable_fraction == 1 / 2


def test_silent_host_of_a_live_domain_is_removed_after_a_while() -> None:
    """Hosts that are gone for good would reduce the fraction for ever."""
    assert measure(make_view('a', silent_s=5.0)).reachable_fraction == 1 / 2
    assert measure(make_view('a', silent_s=20.0)).reachable_fraction == 1.0


def test_host_that_was_never_seen_counts_from_when_it_was_added() -> None:
    view = make_view('a', silent_s=1e9)
    view.added_at = NOW - 1.0
    assert measure(view).reachable_fraction == 1 / 2


def test_stopped_host_is_not_counted() -> None:
    view = make_view('a', silent_s=4.0)
    view.is_leaving = True
    assert measure(view).reachable_fraction == 1.0


def test_leaving_host_owns_nothing_but_counts() -> None:
    view = make_view('a')
    view.is_leaving = True
    assert measure(view) == ReachableHosts(frozenset({'own'}), 1.0, 2)


def test_unread_directory_leaves_a_small_fraction() -> None:
    assert measure(min_hosts=32).reachable_fraction == 1 / 32
