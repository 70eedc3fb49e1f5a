"""Guards against check-ins of other writers that change the target."""

import json
from typing import Any

import pytest

from turmericrouter_dataplane.announcements import Departure
from turmericrouter_dataplane.announcements import Ignored
from turmericrouter_dataplane.http_server import HttpRequest
from turmericrouter_dataplane.local_target import LocalTarget
from turmericrouter_dataplane.policy.target_chooser import TargetState
from turmericrouter_platform.announcement import decode_announcement

CHECK_IN: dict[str, Any] = {
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
) -> LocalTarget | Departure | Ignored:
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


def test_check_in_names_the_target() -> None:
    target = decode(CHECK_IN)
    assert isinstance(target, LocalTarget)
    assert (target.target_id, target.slots) == ('i-1', 130)
    assert target.state is TargetState.SERVING
    leaving = decode(CHECK_IN | {'state': 'draining'})
    assert isinstance(leaving, LocalTarget)
    assert leaving.state is TargetState.LEAVING


def test_deletion_is_a_departure() -> None:
    assert decode(b'', b'DELETE') == Departure('i-1')


@pytest.mark.parametrize(
    'body',
    [
        b'\xff\xfe',
        {},
        CHECK_IN | {'state': 'asleep'},
        CHECK_IN | {'slots': 'many'},
        CHECK_IN | {'slots': 0},
        CHECK_IN | {'born': 1.5},
        CHECK_IN | {'address': 'nowhere'},
        CHECK_IN | {'service': ''},
    ],
)
def test_check_in_of_another_writer_is_ignored(body: Any) -> None:
    assert isinstance(decode(body), Ignored)


def test_other_paths_and_methods_are_ignored() -> None:
    assert isinstance(decode(CHECK_IN, path=b'/other'), Ignored)
    assert isinstance(decode(CHECK_IN, method=b'POST'), Ignored)
