"""Documents of the platform that several tests decode."""

from typing import Any

from turmericrouter_dataplane.http_server import HttpRequest

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


def make_announcement_request(
    body: bytes, method: bytes = b'PUT', path: bytes = b'/-/instances/i-1'
) -> HttpRequest:
    """Return the request of a target that announces itself."""
    return HttpRequest(
        None,  # type: ignore[arg-type]
        method,
        path,
        [],
        body,
        has_body=True,
        close=False,
    )
