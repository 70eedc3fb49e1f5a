"""Guards against late announcements that restore a departed target."""

import dataclasses

from turmericrouter_dataplane.announcements import Announcements
from turmericrouter_dataplane.announcements import TargetDeparture
from turmericrouter_dataplane.decision_log import DecisionLog
from turmericrouter_dataplane.local_target import LocalTarget
from turmericrouter_dataplane.policy.target_chooser import TargetState
from turmericrouter_dataplane.settings import Address

TARGET = LocalTarget(
    't1',
    'design',
    Address('127.0.0.1', 1),
    10,
    TargetState.SERVING,
    started_at_ms=1000,
    sequence=5,
)


def make() -> tuple[Announcements, list[LocalTarget]]:
    changes: list[LocalTarget] = []
    return Announcements(changes.append, DecisionLog('h1')), changes


def test_overtaken_announcement_changes_nothing() -> None:
    announcements, changes = make()
    leaving = dataclasses.replace(
        TARGET, state=TargetState.LEAVING, sequence=7
    )
    announcements.handle_announcement(leaving)
    announcements.handle_announcement(dataclasses.replace(TARGET, sequence=6))
    assert changes == [leaving]


def test_leaving_target_never_comes_back_under_the_same_start() -> None:
    announcements, changes = make()
    announcements.handle_announcement(TARGET)
    announcements.handle_departure(TargetDeparture('t1'))
    announcements.handle_announcement(dataclasses.replace(TARGET, sequence=9))
    assert [c.state for c in changes] == [
        TargetState.SERVING,
        TargetState.LEAVING,
    ]


def test_new_start_under_the_old_id_serves() -> None:
    announcements, changes = make()
    announcements.handle_announcement(TARGET)
    announcements.handle_departure(TargetDeparture('t1'))
    announcements.handle_announcement(
        dataclasses.replace(TARGET, started_at_ms=2000, sequence=1)
    )
    assert changes[-1].state is TargetState.SERVING


def test_late_announcement_of_an_earlier_start_changes_nothing() -> None:
    announcements, changes = make()
    announcements.handle_announcement(TARGET)
    announcements.handle_announcement(
        dataclasses.replace(
            TARGET, target_id='t0', started_at_ms=900, sequence=99
        )
    )
    assert changes == [TARGET]


def test_departure_of_another_target_changes_nothing() -> None:
    announcements, changes = make()
    announcements.handle_announcement(TARGET)
    announcements.handle_departure(TargetDeparture('t0'))
    assert changes == [TARGET]
