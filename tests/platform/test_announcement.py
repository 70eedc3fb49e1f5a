"""Guards against malformed announcements that change the target."""

import json
from typing import Any

import pytest

from turmericrouter_dataplane.announcements import InvalidAnnouncement
from turmericrouter_dataplane.announcements import TargetDeparture
from turmericrouter_dataplane.http_server import HttpRequest
from turmericrouter_dataplane.local_target import LocalTarget
from turmericrouter_dataplane.policy.target_chooser import TargetState
from turmericrouter_platform.announcement import decode_announcement

ANNOUNCEMENT: dict[str, Any] = {
    'service': 'design',
    'address': '10.0.0.1:8080',
    'zone': 'north',
    'version': 'v1',
    'slots': 130,
    'state': 'ready',
    'cold_remaining_s': 0,
    'sequence': 4,
    'born': 1700000000000,
}


def decode(
    body: Any, method: bytes = b'PUT', path: bytes = b'/-/instances/i-1'
) -> LocalTarget | TargetDeparture | InvalidAnnouncement:
    raw = body if isinstance(body, bytes) else json.dumps(body).encode()
    request = HttpRequest(
        None,  # type: ignore[arg-type]
        method,
        path,
        [],
        raw,
        has_body=True,
        close=False,
    )
    return decode_announcement(request)


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
