"""Routes by path, and paths that could mean another route."""

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
    assert not is_safe_path(path)


@pytest.mark.parametrize('path', ['/', '/a/b.c', '/a/...', '/%41?x=../%2f'])
def test_plain_paths_are_safe(path: str) -> None:
    assert is_safe_path(path)


def test_encoded_letters_do_not_hide_a_longer_prefix() -> None:
    # Guards against /open/%6bept reaching a keyed path as an open one.
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
