"""Guards against malformed announcements that change the target."""

import json
from typing import Any

import pytest

from platform_documents import ANNOUNCEMENT
from platform_documents import make_announcement_request
from turmericrouter_dataplane.announcements import InvalidAnnouncement
from turmericrouter_dataplane.announcements import TargetDeparture
from turmericrouter_dataplane.local_target import LocalTarget
from turmericrouter_dataplane.policy.target_chooser import TargetState
from turmericrouter_platform.announcement import decode_announcement


def decode(
    body: Any, method: bytes = b'PUT', path: bytes = b'/-/instances/i-1'
) -> LocalTarget | TargetDeparture | InvalidAnnouncement:
    raw = body if isinstance(body, bytes) else json.dumps(body).encode()
    return decode_announcement(make_announcement_request(raw, method, path))


def test_announcement_becomes_a_local_target() -> None:
    target = decode(ANNOUNCEMENT)
    assert isinstance(target, LocalTarget)
    assert (target.target_id, target.slots) == ('i-1', 130)
    assert target.state is TargetState.SERVING
    leaving = decode(ANNOUNCEMENT | {'state': 'draining'})
    assert isinstance(leaving, LocalTarget)
    assert leaving.state is TargetState.LEAVING


def test_deletion_is_a_departure() -> None:
    assert decode(b'', b'DELETE') == TargetDeparture('i-1')


@pytest.mark.parametrize(
    'body',
    [
        b'\xff\xfe',
        {},
        ANNOUNCEMENT | {'state': 'asleep'},
        ANNOUNCEMENT | {'slots': 'many'},
        ANNOUNCEMENT | {'slots': 0},
        ANNOUNCEMENT | {'born': 1.5},
        ANNOUNCEMENT | {'address': 'nowhere'},
        ANNOUNCEMENT | {'service': ''},
    ],
)
def test_malformed_announcement_is_ignored(body: Any) -> None:
    assert isinstance(decode(body), InvalidAnnouncement)


def test_other_paths_and_methods_are_ignored() -> None:
    assert isinstance(
        decode(ANNOUNCEMENT, path=b'/other'), InvalidAnnouncement
    )
    assert isinstance(
        decode(ANNOUNCEMENT, method=b'POST'), InvalidAnnouncement
    )
