"""Guards against log events and metrics missing on the operations page."""

import ast
import pathlib

ROOT = pathlib.Path(__file__).parents[2]
PAGE = (ROOT / 'docs' / 'OPERATIONS.md').read_text()
SOURCES = ROOT / 'packages' / 'dataplane' / 'src'


def _names(methods: set[str]) -> set[str]:
    found = set()
    for path in SOURCES.rglob('*.py'):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            function, first = node.func, node.args[0]
            if (
                isinstance(function, ast.Attribute)
                and function.attr in methods
                and isinstance(first, ast.Constant)
                and isinstance(first.value, str)
            ):
                found.add(first.value)
    return found


def test_page_names_each_event() -> None:
    events = _names({'event', 'decision'})
    assert len(events) > 20
    assert not {event for event in events if f'`{event}`' not in PAGE}


def test_page_names_each_counter() -> None:
    for name in _names({'count'}):
        assert f'`turmeric_{name}_total`' in PAGE
