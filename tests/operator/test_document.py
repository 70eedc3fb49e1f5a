"""Tests of documents: round trips, and reports of all mistakes."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from turmericrouter_core.config import Fleet
from turmericrouter_core.config import Key
from turmericrouter_core.config import KeylessRule
from turmericrouter_core.config import Retirement
from turmericrouter_core.config import Route
from turmericrouter_core.config import StaleRule
from turmericrouter_core.config import Value
from turmericrouter_core.config import Workspace
from turmericrouter_core.verdict import Importance
from turmericrouter_operator.document import DocumentError
from turmericrouter_operator.document import parse_document
from turmericrouter_operator.document import to_toml

_names = st.from_regex(r'[A-Za-z][A-Za-z0-9._-]{0,8}', fullmatch=True)
_texts = st.text(st.characters(exclude_categories=('Cs',)), max_size=12)
_amounts = st.floats(1, 1e9)
_workspaces = st.builds(Workspace, _amounts, _amounts, _amounts)
_routes = st.builds(
    Route,
    _names,
    _names.map(lambda name: f'/{name}'),
    st.lists(st.sampled_from(['GET', 'POST']), unique=True).map(tuple),
    st.sampled_from(Importance),
    st.booleans(),
    st.booleans(),
    st.integers(1, 3_600_000),
    st.none() | st.sampled_from(StaleRule),
    st.sampled_from(KeylessRule),
)


@st.composite
def _values(draw: st.DrawFn) -> dict[str, Value]:
    values: dict[str, Value] = {}
    domains = draw(st.lists(_names, min_size=1, max_size=3, unique=True))
    values['fleet'] = Fleet(
        tuple(domains), {name: 'r1' for name in domains if draw(st.booleans())}
    )
    for name in draw(st.lists(_names, max_size=3)):
        values[f'workspace/{name}'] = draw(_workspaces)
    for number in range(draw(st.integers(0, 2))):
        values[f'key/{number:064x}'] = Key(
            draw(_names), draw(st.booleans()), draw(_texts)
        )
    for name in draw(st.lists(_names, max_size=2)):
        values[f'retirement/{name}'] = Retirement(draw(_texts))
    for index, name in enumerate(draw(st.lists(_names, max_size=3))):
        route = draw(_routes)
        values[f'route/{name}'] = Route(
            route.service,
            f'{route.path_prefix}/{index}',
            *list(_fields(route))[2:],
        )
    return values


def _fields(route: Route) -> list[object]:
    return [getattr(route, name) for name in route.__struct_fields__]


@given(_values(), st.integers(-1, 10**9))
@settings(derandomize=True, max_examples=150, deadline=None)
def test_printed_document_reads_back_unchanged(
    values: dict[str, Value], base_offset: int
) -> None:
    """Guards against a value that is lost or altered by printing it."""
    text = to_toml(values, base_offset=base_offset)
    document = parse_document(text, source='x.toml')
    assert document.values == values
    assert document.base_offset == base_offset


MISTAKES = """
unknown_section = 1
[fleet]
domains = ["north", "north"]
[workspace.east]
rate_per_s = -1
busrt = 3
[workspace.'a b']
rate_per_s = 1
burst = 1
[key.short]
workspace = "east"
[route.a]
service = "design"
path_prefix = "catalogue"
importance = "urgent"
timeout_ms = 0
[route.b]
service = "design"
path_prefix = "/b"
methods = ["GET"]
[route.c]
service = "design"
path_prefix = "/b/"
"""


@pytest.mark.parametrize(
    'expected',
    [
        'x.toml: unknown_section: unknown name; known are base_offset, fleet',
        'x.toml: fleet: a failure domain is named twice',
        'x.toml: workspace.east.rate_per_s: must be a number above 0',
        'x.toml: workspace.east.busrt: unknown name; known are rate_per_s',
        'x.toml: workspace.east.burst: missing; must be a number at least 1',
        "x.toml: workspace.a b: 'a b' is no name",
        'x.toml: key.short: a key is named by its SHA-256',
        'x.toml: route.a.path_prefix: must be a text matching ^/',
        'importance: must be one of critical, high, normal, low',
        'timeout_ms: must be an integer at least 1 and at most 3600000',
        'x.toml: route.c: has the path and a method of route.b',
    ],
)
def test_every_mistake_is_reported(expected: str) -> None:
    """Guards against a parser that stops at the first mistake."""
    with pytest.raises(DocumentError) as caught:
        parse_document(MISTAKES, source='x.toml')
    assert expected in str(caught.value)
    assert len(caught.value.mistakes) == 11


def test_section_that_is_not_a_table_is_reported() -> None:
    """Guards against a type error on a section that is not a table."""
    for text in ('workspace = 3', '[workspace]\neast = 1', 'fleet = []'):
        with pytest.raises(DocumentError, match='must be a table'):
            parse_document(text, source='x.toml')
