"""Guards against imports that violate the layering of the packages."""

import ast
import pathlib

import pytest

PACKAGES = pathlib.Path(__file__).parents[2] / 'packages'
ALLOWED = {
    'core': set(),
    'client': {'core'},
    'daemon': {'core', 'client'},
    'dataplane': {'core'},
    'operator': {'core', 'client'},
    'standins': {'core', 'client', 'daemon', 'operator'},
}
# The core has decision logic only: sockets, files, clocks and sources of
# randomness are provided by its users.
FORBIDDEN_IN_CORE = {
    'aiohttp',
    'asyncio',
    'grpc',
    'os',
    'pathlib',
    'secrets',
    'socket',
    'time',
}


def _imports(path: pathlib.Path) -> set[str]:
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            names.add(node.module or '')
    return {name.partition('.')[0] for name in names}


@pytest.mark.parametrize('package', sorted(ALLOWED))
def test_imports_point_inwards(package: str) -> None:
    """Guards against an import of a package from an outer layer."""
    own = f'turmericrouter_{package}'
    allowed = {f'turmericrouter_{name}' for name in ALLOWED[package]} | {own}
    for path in (PACKAGES / package).rglob('*.py'):
        used = {n for n in _imports(path) if n.startswith('turmericrouter')}
        assert used <= allowed, path


def test_core_does_no_input_or_output() -> None:
    """Guards against I/O modules in the core."""
    for path in (PACKAGES / 'core').rglob('*.py'):
        assert not _imports(path) & FORBIDDEN_IN_CORE, path


def test_policies_do_no_input_or_output() -> None:
    """Guards against I/O modules in the data plane's policies."""
    policies = PACKAGES / 'dataplane/src/turmericrouter_dataplane/policy'
    for path in policies.rglob('*.py'):
        assert not _imports(path) & FORBIDDEN_IN_CORE, path
