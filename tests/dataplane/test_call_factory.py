"""Guards against wrong time limits, ranks and parents of requests."""

import pytest

from dataplane_values import make_config
from dataplane_values import make_route
from dataplane_values import make_workspace
from dataplane_values import NAMES
from turmericrouter_dataplane.call_factory import CallFactory
from turmericrouter_dataplane.call_factory import find_workspace
from turmericrouter_dataplane.http_server import HttpRequest
from turmericrouter_dataplane.http_server import HttpServer
from turmericrouter_dataplane.http_server import HttpServerConnection
from turmericrouter_dataplane.policy.route_table import RouteTable


class _NoHandler:
    def handle(self, request: HttpRequest) -> None:
        pass

    def abandon(self, request: HttpRequest) -> None:
        pass


def make_request() -> HttpRequest:
    return HttpRequest(
        HttpServerConnection(HttpServer(_NoHandler())),
        b'GET',
        b'/a/1',
        [],
        b'',
        has_body=False,
        close=False,
    )


def make_factory() -> CallFactory:
    return CallFactory(NAMES, 'design', lambda request_id: request_id[:-2])


@pytest.mark.parametrize(
    ('sent', 'remaining_s'), [(b'400', 0.4), (b'9000', 1.0), (b'no', 1.0)]
)
def test_time_limit_is_the_lower_of_route_and_caller(
    sent: bytes, remaining_s: float
) -> None:
    """Guards against a target that works on after its caller's time limit."""
    call = make_factory().make(
        make_request(), {b'x-left': sent}, make_route(), None, 10.0
    )
    assert call.expires_at == 10.0 + remaining_s


def test_only_nested_call_has_a_parent() -> None:
    """Guards against a caller's id that is taken for one of a nested call."""
    values = {b'x-id': b'abc.1'}
    factory = make_factory()
    nested = factory.make(make_request(), values, make_route(), None, 0.0)
    own = factory.make(
        make_request(), values, make_route(), make_workspace(), 0.0
    )
    assert (nested.is_nested, nested.parent) == (True, b'abc')
    assert (own.is_nested, own.parent) == (False, b'')
    assert (nested.rank, own.rank) == (0, 2)


def test_workspace_is_found_by_bearer_key_only() -> None:
    """Guards against keys of another scheme, or unknown, that are accepted."""
    table = RouteTable(make_config(workspaces=(make_workspace(),)), None)
    found = find_workspace(table, b'Bearer key-1')
    assert found is not None and found.name == 'east'
    assert find_workspace(table, b'Basic key-1') is None
    assert find_workspace(table, b'Bearer key-2') is None
