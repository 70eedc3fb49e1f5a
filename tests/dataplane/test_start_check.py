"""Guards against a start that serves what peers know to be old.

And against one that waits for peers that cannot answer.
"""

from turmericrouter_dataplane.policy.start_check import DIRECTORY_TIMEOUT_S
from turmericrouter_dataplane.policy.start_check import NEWER_VERSION_TIMEOUT_S
from turmericrouter_dataplane.policy.start_check import PEER_TIMEOUT_S
from turmericrouter_dataplane.policy.start_check import StartCheck


def test_host_without_peers_serves_at_once() -> None:
    """Guards against a single host that waits for others."""
    check = StartCheck()
    assert not check.update(-1, 0, (), 0.0)
    assert not check.update(4, 0, (), 0.0)
    check.record_directory()
    assert check.update(4, 0, (), 0.0)


def test_host_serves_without_an_answer_after_the_timeout() -> None:
    """Guards against a start that depends on peers."""
    check = StartCheck()
    check.record_directory()
    assert not check.update(4, 9, (), 5.0)
    assert not check.update(4, 9, ('a',), 5.0 + 0.9 * PEER_TIMEOUT_S)
    assert check.update(4, 9, ('a',), 5.0 + PEER_TIMEOUT_S)


def test_each_linked_peer_is_asked() -> None:
    """Guards against a start after the first answer, which may be old too."""
    check = StartCheck()
    check.record_directory()
    check.record_version('a', 4, 0.0)
    assert not check.update(4, 9, ('a', 'b'), 0.0)
    check.record_version('b', 4, 0.01)
    assert not check.update(4, 9, ('a', 'b'), 0.02)
    assert check.update(4, 9, ('a', 'b'), 0.06)


def test_majority_of_answers_suffices_at_once() -> None:
    """Guards against a slower restart while all peers answer."""
    check = StartCheck()
    check.record_version('a', 4, 0.0)
    check.record_version('b', 4, 0.0)
    assert check.update(4, 3, ('a', 'b'), 0.0)


def test_many_answers_suffice_while_links_open() -> None:
    """Guards against a start that waits for each link of a large fleet."""
    check = StartCheck()
    for number in range(16):
        check.record_version(f'peer-{number}', 4, 0.0)
    assert check.update(4, 194, ('slow',), 0.1)


def test_newer_version_of_a_peer_is_awaited() -> None:
    """Guards against withdrawn keys that a restarted host accepts."""
    check = StartCheck()
    check.record_version('a', 7, 0.0)
    assert not check.update(4, 1, ('a',), 0.0)
    assert not check.update(4, 1, ('a',), 0.9 * NEWER_VERSION_TIMEOUT_S)
    assert check.update(7, 1, ('a',), 0.9 * NEWER_VERSION_TIMEOUT_S)


def test_newer_version_that_does_not_arrive_is_not_awaited_for_good() -> None:
    """Guards against a host that never serves."""
    check = StartCheck()
    check.record_version('a', 7, 0.0)
    assert not check.update(4, 1, ('a',), 0.0)
    assert check.update(4, 1, ('a',), NEWER_VERSION_TIMEOUT_S)


def test_peers_are_awaited_after_a_slow_read_of_the_directory() -> None:
    """Guards against a start that nobody could have been asked about.

    The log answers slowly after its return: with an older configuration
    first, and with the peers only later.
    """
    check = StartCheck()
    assert not check.update(4, 0, (), 0.0)
    assert not check.update(4, 0, (), 1.5 * PEER_TIMEOUT_S)
    check.record_directory()
    assert not check.update(4, 9, (), 1.5 * PEER_TIMEOUT_S)
    now = 1.6 * PEER_TIMEOUT_S
    check.record_version('starting', 4, now)
    assert not check.update(4, 9, ('starting', 'a'), now)
    check.record_version('a', 7, now)
    assert not check.update(4, 9, ('starting', 'a'), now)
    assert check.update(7, 9, ('starting', 'a'), now + 0.1)


def test_timeout_without_an_answer_starts_with_the_directory() -> None:
    """Guards against a host that waits for peers that are all gone."""
    check = StartCheck()
    assert not check.update(4, 0, (), 0.0)
    check.record_directory()
    assert not check.update(4, 9, (), 1.5)
    assert not check.update(4, 9, (), 1.5 + 0.9 * PEER_TIMEOUT_S)
    assert check.update(4, 9, (), 1.5 + PEER_TIMEOUT_S)


def test_host_serves_if_the_directory_cannot_be_read() -> None:
    """Guards against a start that depends on the log."""
    check = StartCheck()
    assert not check.update(4, 0, (), 0.0)
    assert not check.update(4, 0, (), 0.9 * DIRECTORY_TIMEOUT_S)
    assert check.update(4, 0, (), DIRECTORY_TIMEOUT_S)


def test_newer_version_that_is_told_late_has_time_to_arrive() -> None:
    """Guards against a copy that comes just after the host serves."""
    check = StartCheck()
    assert not check.update(4, 1, (), 0.0)
    told_at = 0.9 * DIRECTORY_TIMEOUT_S
    check.record_version('a', 7, told_at)
    assert not check.update(4, 1, ('a',), told_at)
    almost = told_at + 0.9 * NEWER_VERSION_TIMEOUT_S
    assert not check.update(4, 1, ('a',), almost)
    assert check.update(4, 1, ('a',), told_at + NEWER_VERSION_TIMEOUT_S)


def test_peers_that_start_too_are_no_majority() -> None:
    """Guards against a domain that restarts and asks nobody but itself.

    All of it has read the same older copy of the log. Links within it open
    before those to the other domains.
    """
    check = StartCheck()
    check.record_directory()
    assert not check.update(4, 4, (), 0.0)
    for host in ('a', 'b', 'c'):
        check.record_version(host, 4, 0.0, is_serving=False)
    assert not check.update(4, 4, ('a', 'b', 'c'), 0.0)
    assert not check.update(4, 4, ('a', 'b', 'c', 'far'), 0.1)
    check.record_version('far', 7, 0.2)
    assert not check.update(4, 4, ('a', 'b', 'c', 'far'), 0.2)
    assert check.update(7, 4, ('a', 'b', 'c', 'far'), 0.25)


def test_many_peers_that_start_too_do_not_suffice() -> None:
    """Guards against a large domain that asks nobody but itself."""
    check = StartCheck()
    check.record_directory()
    assert not check.update(4, 40, (), 0.0)
    linked = [f'near-{number}' for number in range(20)]
    for host in linked:
        check.record_version(host, 4, 0.0, is_serving=False)
    assert not check.update(4, 40, [*linked, 'far'], 0.1)
    check.record_version('far', 4, 0.1)
    assert check.update(4, 40, [*linked, 'far'], 0.2)


def test_fleet_that_starts_as_a_whole_serves_at_once() -> None:
    """Guards against hosts that wait for one another."""
    check = StartCheck()
    check.record_directory()
    assert not check.update(4, 2, (), 0.0)
    check.record_version('a', 4, 0.0, is_serving=False)
    check.record_version('b', -1, 0.0, is_serving=False)
    assert check.update(4, 2, ('a', 'b'), 0.0)


def test_dead_peer_delays_a_start_of_the_others_briefly() -> None:
    """Guards against a restart that waits for a host that is gone."""
    check = StartCheck()
    check.record_directory()
    assert not check.update(4, 3, (), 0.0)
    check.record_version('a', 4, 0.0, is_serving=False)
    check.record_version('b', 4, 0.0, is_serving=False)
    assert not check.update(4, 3, ('a', 'b'), 0.1)
    assert check.update(4, 3, ('a', 'b'), 0.5)
