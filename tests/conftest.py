"""Passes over the tests that KNOWN-RED.txt lists, and prints them."""

import pathlib

import pytest

_KNOWN_RED = pathlib.Path(__file__).parents[1] / 'KNOWN-RED.txt'
_PREFIX = 'Test: '


def _listed_tests() -> list[str]:
    if not _KNOWN_RED.exists():
        return []
    lines = (line.strip() for line in _KNOWN_RED.read_text().splitlines())
    return [
        line.removeprefix(_PREFIX)
        for line in lines
        if line.startswith(_PREFIX)
    ]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Let a listed test fail without failing the run."""
    listed = _listed_tests()
    for item in items:
        if item.nodeid in listed:
            item.add_marker(
                pytest.mark.xfail(reason='KNOWN-RED.txt', strict=False)
            )


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Print the listed tests."""
    for test in _listed_tests():
        terminalreporter.write_line(f'KNOWN-RED.txt lists {test}')
