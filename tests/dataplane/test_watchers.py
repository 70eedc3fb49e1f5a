"""A host that falls silent is noticed as fast in a large fleet."""

import collections

import pytest

from turmericrouter_dataplane.policy.watchers import choose_watchers
from turmericrouter_dataplane.policy.watchers import WatchedHosts

HEARTBEAT_S = 1.0
TIMEOUT_S = 2.6
CHECK_S = 0.2
# Stated bound of the detection; the probe of a link takes 0.8 s more.
NOTICED_WITHIN_S = 3.0


@pytest.mark.parametrize('size', [16, 195, 1_000, 20_000])
def test_silent_host_is_noticed_in_constant_time(size: int) -> None:
    """Guards against a detection that slows down with the fleet.

    Several hosts fall silent at once, some of the watchers among them.
    """
    names = [f'host-{number}' for number in range(size)]
    victims = names[: min(5, size // 3)]
    for victim in victims:
        others = [name for name in names if name != victim]
        watchers = choose_watchers(victim, others)
        assert 1 <= len(watchers) <= 6
        alive = [name for name in watchers if name not in victims]
        assert alive, 'the loss of a few hosts hides no other loss'
        watch = WatchedHosts(TIMEOUT_S)
        steps = int(10.0 / CHECK_S)
        silent_at = 5.0
        noticed_at = 0.0
        for step in range(steps * 2):
            now = step * CHECK_S
            is_beat = step % int(HEARTBEAT_S / CHECK_S) == 0
            if is_beat and now < silent_at:
                watch.record(victim, now, is_watched=True)
            if watch.take_silent(now) and not noticed_at:
                noticed_at = now
        assert silent_at < noticed_at <= silent_at + NOTICED_WITHIN_S


@pytest.mark.parametrize('size', [16, 195, 1_000])
def test_load_of_a_watcher_does_not_grow_with_the_fleet(size: int) -> None:
    """Guards against hosts that watch, and are sent, more than their part."""
    names = [f'host-{number}' for number in range(size)]
    watched: collections.Counter[str] = collections.Counter()
    for name in names:
        watched.update(choose_watchers(name, [n for n in names if n != name]))
    assert max(watched.values()) <= 3 * 6


def test_one_lost_host_changes_few_watchers() -> None:
    """Guards against a change that moves the watchers of all hosts."""
    names = [f'host-{number}' for number in range(195)]
    moved = 0
    for name in names[1:]:
        before = choose_watchers(name, [n for n in names if n != name])
        after = choose_watchers(name, [n for n in names[1:] if n != name])
        moved += before != after
    assert moved <= 3 * 6


def test_host_that_asks_for_no_watch_is_not_suspected() -> None:
    """Guards against a suspicion of each host with rare heartbeats."""
    watch = WatchedHosts(TIMEOUT_S)
    watch.record('a', 0.0, is_watched=True)
    watch.record('b', 0.0, is_watched=True)
    watch.record('c', 0.0, is_watched=False)
    watch.record('b', 1.0, is_watched=False)
    watch.forget('x')
    assert 'a' in watch
    assert 'c' not in watch
    assert watch.take_silent(9.0) == ['a']
    assert watch.take_silent(9.0) == []
