"""docs/OPERATIONS.md against the source."""

import ast
from collections.abc import Iterator
import pathlib

from turmericrouter_daemon.reference import settings_table

ROOT = pathlib.Path(__file__).parents[2]
PAGE = (ROOT / 'docs' / 'OPERATIONS.md').read_text()
SOURCES = ROOT / 'packages' / 'daemon' / 'src'
LOG_METHODS = {'debug', 'info', 'warning', 'error', 'record'}
METRIC_METHODS = {'incr', 'gauge', 'timing'}


def _first_arguments(methods: set[str], owner: str) -> Iterator[str]:
    """Yield the first argument of calls on objects named like `owner`."""
    for path in SOURCES.rglob('*.py'):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            called = node.func
            if (
                isinstance(called, ast.Attribute)
                and called.attr in methods
                and owner in ast.unparse(called.value)
            ):
                yield _name(node.args[0])


def _name(argument: ast.expr) -> str:
    if isinstance(argument, ast.Constant):
        return str(argument.value)
    if isinstance(argument, ast.JoinedStr):
        first = argument.values[0]
        return str(first.value) if isinstance(first, ast.Constant) else ''
    return ''


def test_table_of_settings_is_current() -> None:
    """Guards against a page that lags behind settings.py."""
    _, _, rest = PAGE.partition('<!-- settings -->\n')
    table, end, _ = rest.partition('<!-- end of settings -->')
    assert end
    assert table == settings_table(), (
        'replace the table by the output of turmericrouterd list-settings'
    )


def test_every_log_event_is_listed() -> None:
    """Guards against a log event that operators cannot look up."""
    events = set(_first_arguments(LOG_METHODS - {'record'}, 'log'))
    events |= set(_first_arguments({'record'}, 'decisions'))
    events = {event for event in events if event}
    assert 'daemon_started' in events
    assert 'request_routed' in events
    missing = [event for event in events if f'`{event}`' not in PAGE]
    assert not missing


def test_every_metric_is_listed() -> None:
    """Guards against a metric that operators cannot look up."""
    metrics = set(_first_arguments(METRIC_METHODS, 'metrics'))
    assert 'entry.refused.' in metrics
    missing = [name for name in metrics if f'`{name}' not in PAGE]
    assert not missing
