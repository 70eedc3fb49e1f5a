"""Guards against wrong routes, and uneven shares of split routes."""

import collections

from dataplane_values import make_config
from dataplane_values import make_route
from dataplane_values import make_workspace
from turmericrouter_dataplane.policy.route_table import RouteTable


def test_longest_matching_prefix_wins() -> None:
    short = make_route('short', prefix=b'/a/')
    long = make_route('long', prefix=b'/a/b/')
    table = RouteTable(make_config(short, long))
    assert table.find(b'host.example', b'/a/b/c') is long
    assert table.find(b'host.example', b'/a/bc/d') is short
    assert table.find(b'host.example', b'/a/b') is short
    assert table.find(b'host.example', b'/b/') is None


def test_query_is_no_part_of_the_path() -> None:
    table = RouteTable(make_config(make_route(prefix=b'/a/')))
    assert table.find(b'host.example', b'/x?y=/a/') is None
    assert table.find(b'host.example', b'/a/?y=/b/') is not None


def test_hostname_is_found_with_port_and_in_any_case() -> None:
    table = RouteTable(make_config(make_route()))
    assert table.find(b'HOST.example:8080', b'/a/1') is not None
    assert table.find(b'other.example', b'/a/1') is None


def test_split_route_keeps_its_weights_in_short_spans() -> None:
    route = make_route(services=(('design', 90.0), ('works', 10.0)))
    table = RouteTable(make_config(route))
    picks = [table.pick_service(route) for _ in range(20)]
    assert collections.Counter(picks) == {'design': 18, 'works': 2}


def test_split_route_keeps_its_position_over_versions() -> None:
    route = make_route(services=(('design', 1.0), ('works', 1.0)))
    table = RouteTable(make_config(route))
    first = table.pick_service(route)
    table = RouteTable(make_config(route, version=2), table)
    assert table.pick_service(route) != first


def test_withdrawn_key_names_no_workspace() -> None:
    workspace = make_workspace(keys=(b'old', b'new'))
    config = make_config(make_route(), workspaces=(workspace,))
    assert RouteTable(config).find_workspace(b'old') is workspace
    workspace = make_workspace(keys=(b'new',))
    config = make_config(make_route(), workspaces=(workspace,))
    assert RouteTable(config).find_workspace(b'old') is None
