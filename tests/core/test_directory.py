"""Directory merges, compared with the newest entry of each address.

The newest entry has the highest (incarnation, version, mark).
"""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from turmericrouter_core.directory import Directory
from turmericrouter_core.directory import is_newer
from turmericrouter_core.directory import MemberHealth
from turmericrouter_core.directory import MemberState
from turmericrouter_core.directory import refuting_entry
from turmericrouter_core.directory import with_health
from turmericrouter_core.messages import DirectoryEntry

FIXED = settings(max_examples=300, derandomize=True, deadline=None)


def _entry(host: int, incarnation: int, version: int, mark: int):
    """Return an entry with content derived from incarnation and version."""
    state = (incarnation + version) % 3
    return DirectoryEntry(
        f'10.0.0.{host}:1',
        f'domain-{host % 2}',
        incarnation,
        version,
        state,
        f'service-{version % 2}' if version else '',
        mark=mark,
    )


ENTRIES = st.lists(
    st.builds(
        _entry,
        st.integers(0, 5),
        st.integers(1, 3),
        st.integers(0, 3),
        st.integers(0, 2),
    ),
    max_size=30,
)


def _check(directory: Directory, entries: list[DirectoryEntry]) -> None:
    """Compare entries and indexes with the newest entry of each address."""
    best: dict[str, DirectoryEntry] = {}
    for entry in entries:
        if is_newer(entry, best.get(entry.address)):
            best[entry.address] = entry
    assert {e.address: e for e in directory} == best
    for service in ('service-0', 'service-1'):
        assert {e.address for e in directory.serving_entries(service)} == {
            e.address
            for e in best.values()
            if e.service == service
            and e.state == MemberState.SERVING
            and e.mark != MemberHealth.DEAD
        }
    for domain in ('domain-0', 'domain-1'):
        here = {e for e in best.values() if e.domain == domain}
        dead = {e for e in here if e.mark == MemberHealth.DEAD}
        assert set(directory.domain(domain)) == here - dead
        assert set(directory.dead_entries(domain)) == dead
        assert set(directory.suspect_entries(domain)) == {
            e for e in here if e.mark == MemberHealth.SUSPECT
        }


@FIXED
@given(ENTRIES, st.randoms(use_true_random=False))
def test_merge_ignores_order_and_repetition(entries, rng) -> None:
    """Guards against hosts that differ after updates in another order."""
    one, other = Directory(), Directory()
    one.merge(entries)
    shuffled = entries + entries[: len(entries) // 2]
    rng.shuffle(shuffled)
    for entry in shuffled:
        other.merge([entry])
    _check(one, entries)
    _check(other, entries)
    assert one.digests == other.digests
    assert one.merge(entries) == ()


@FIXED
@given(ENTRIES, ENTRIES)
def test_exchange_of_differing_buckets_makes_equal(left, right) -> None:
    """Guards against differences that remain after an exchange.

    Two directories exchange the buckets whose digests differ.
    """
    one, other = Directory(), Directory()
    one.merge(left)
    other.merge(right)
    other.merge(one.entries_in_buckets(one.differing_buckets(other.digests)))
    one.merge(other.entries_in_buckets(other.differing_buckets(one.digests)))
    assert one.digests == other.digests
    live = [e for e in one if e.mark != MemberHealth.DEAD]
    assert all(other.get(entry.address) == entry for entry in live)


def test_dead_entry_expires_and_is_not_passed_on_before() -> None:
    """Guards against dead entries that hosts keep passing to each other.

    A dead entry is not passed on late in its lifetime, so it expires on all
    hosts.
    """
    directory = Directory(expire_after_s=100)
    dead, alive = (
        _entry(0, 1, 1, MemberHealth.DEAD),
        _entry(1, 1, 1, MemberHealth.ALIVE),
    )
    directory.merge([dead, alive])
    buckets = range(64)
    assert directory.expire(0.0) == 0
    assert dead in directory.entries_in_buckets(buckets)
    directory.expire(50.0)
    assert directory.entries_in_buckets(buckets) == (alive,)
    assert directory.expire(99.0) == 0
    assert directory.expire(100.0) == 1
    assert list(directory) == [alive]


def test_restart_clears_dead_mark_and_expiry() -> None:
    """Guards against the expiry of a dead member that has restarted."""
    directory = Directory(expire_after_s=100)
    directory.merge([_entry(0, 1, 1, MemberHealth.DEAD)])
    directory.expire(0.0)
    directory.merge([_entry(0, 2, 0, MemberHealth.ALIVE)])
    assert directory.expire(1000.0) == 0
    assert [e.incarnation for e in directory.domain('domain-0')] == [2]


@FIXED
@given(st.integers(1, 3), st.integers(0, 3), st.integers(0, 2))
def test_refutation_wins_over_what_was_seen(incarnation, version, mark):
    """Guards against a live member that others keep seeing as dead."""
    own = _entry(0, 2, 1, MemberHealth.ALIVE)
    seen = with_health(_entry(0, incarnation, version, 0), MemberHealth(mark))
    newer = refuting_entry(own, seen)
    winner = newer or own
    assert winner.mark == MemberHealth.ALIVE
    assert winner == seen or is_newer(winner, seen)
