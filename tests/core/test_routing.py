"""Route lookup, and paths that a target could resolve to another route."""

import pytest

from turmericrouter_core.config import Route
from turmericrouter_core.routing import is_safe_path
from turmericrouter_core.routing import RouteTable


@pytest.mark.parametrize(
    'path',
    [
        '/a/../b',
        '/a/./b',
        '/a/..',
        '/a/..;x/b',
        '/a/%2e%2E/b',
        '/a%2fb',
        '/a%5Cb',
        '/a\\b',
        '/a%00',
        '/a%zz',
        '/a#/b',
        'http://host/a',
        '*',
        '',
    ],
)
def test_ambiguous_paths_are_not_safe(path: str) -> None:
    """Guards against a path that the target resolves to another route."""
    assert not is_safe_path(path)


@pytest.mark.parametrize('path', ['/', '/a/b.c', '/a/...', '/%41?x=../%2f'])
def test_plain_paths_are_safe(path: str) -> None:
    """Guards against valid paths that are refused as ambiguous."""
    assert is_safe_path(path)


def test_encoded_paths_match_the_longest_prefix() -> None:
    """Guards against access without a key to a route that needs one.

    An encoded letter, as in /open/%6bept, must not select the open route
    while the target decodes the path to /open/kept.
    """
    table = RouteTable(
        [
            ('open', Route('s', '/open', open_to_all=True)),
            ('kept', Route('s', '/open/kept')),
        ]
    )
    for path in ('/open/kept/1', '/open/%6bept/1', '/open//kept?x'):
        named = table.find('GET', path)
        assert named is not None
        assert named.name == 'kept', path
