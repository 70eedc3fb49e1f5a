"""Guards against a return of the log that a host misses or repeats."""

import types
from typing import Any

import pytest

from recording_log import RecordingLog
from turmericrouter_dataplane import era_watch
from turmericrouter_dataplane.era_watch import EraWatch
from turmericrouter_dataplane.policy.log_era import LogEra
from turmericrouter_dataplane.policy.log_era import UNKNOWN_ERA


class _Fixture:
    def __init__(self) -> None:
        self.log = RecordingLog()
        log: Any = self.log
        self.rises: list[bool] = []
        self.watch = EraWatch(LogEra(), log)
        self.watch.on_rise = self.rises.append


def test_first_era_is_no_return() -> None:
    """Guards against a start that makes all hosts write again."""
    fixture = _Fixture()
    fixture.watch.observe_log(UNKNOWN_ERA)
    fixture.watch.observe_log(4)
    fixture.watch.observe_peer(4)
    fixture.watch.observe_peer(UNKNOWN_ERA)
    assert fixture.watch.current == 4
    assert not fixture.rises
    assert not fixture.log.events
    assert not fixture.watch.is_repairing


@pytest.mark.parametrize('source', ['log', 'peer'])
def test_rise_is_reported_once_with_its_source(source: str) -> None:
    """Guards against peers that inform each other without end."""
    fixture = _Fixture()
    fixture.watch.observe_log(4)
    observe = getattr(fixture.watch, f'observe_{source}')
    observe(5)
    observe(5)
    fixture.watch.observe_log(5)
    fixture.watch.observe_peer(4)
    assert fixture.rises == [source == 'log']
    assert fixture.log.events == [
        ('log_era_risen', {'before': 4, 'era': 5, 'source': source})
    ]
    assert fixture.watch.current == 5


def test_repair_ends_some_time_after_the_last_rise(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against introductions that go on for ever, or end too early."""
    now = 1000.0
    clock = types.SimpleNamespace(monotonic=lambda: now)
    monkeypatch.setattr(era_watch, 'time', clock)
    fixture = _Fixture()
    fixture.watch.observe_log(1)
    fixture.watch.observe_log(2)
    assert fixture.watch.is_repairing
    now += 59.0
    assert fixture.watch.is_repairing
    fixture.watch.observe_log(3)
    now += 59.0
    assert fixture.watch.is_repairing
    now += 2.0
    assert not fixture.watch.is_repairing
