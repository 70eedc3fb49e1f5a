"""Tests of the library with which operators build a configuration."""

import io

import pytest

from turmericrouter_core.config import Key
from turmericrouter_core.config import key_digest
from turmericrouter_core.config import Route
from turmericrouter_core.errors import ConfigError
from turmericrouter_core.verdict import Importance
from turmericrouter_operator.builder import Configuration
from turmericrouter_operator.document import DocumentError
from turmericrouter_operator.document import parse_document


def _configuration(shown: io.StringIO) -> tuple[Configuration, str]:
    config = Configuration(
        domains=['north', 'south'],
        regions={'north': 'coast'},
        keys_shown_on=shown,
    )
    secret = config.workspace('east', rate_per_s=5, burst=10).key(label='t')
    config.route(
        'deposit',
        service='treasury',
        path='/deposit',
        methods=['POST'],
        importance='critical',
        idempotent=False,
    )
    config.retire('works-0', note='moved')
    return config, secret


def test_new_key_is_shown_once_and_only_its_digest_is_printed() -> None:
    """Guards against a published document that contains a key itself.

    The document may contain only the digest; the key is printed once.
    """
    shown = io.StringIO()
    config, secret = _configuration(shown)
    assert shown.getvalue().count(secret) == 1
    assert secret not in str(config)
    values = parse_document(str(config), source='built').values
    assert values == config.values
    assert values[f'key/{key_digest(secret)}'] == Key('east', label='t')
    route = values['route/deposit']
    assert isinstance(route, Route)
    assert route.importance is Importance.CRITICAL


def test_mistakes_are_refused_when_the_document_is_printed() -> None:
    """Guards against a printed document with mistakes.

    Daemons would apply it differently from what the operator intended, for
    example one of two routes that match the same requests.
    """
    config, _ = _configuration(io.StringIO())
    config.route('other', service='x', path='/deposit/')
    config.add('key/' + '0' * 64, Key('nobody'))
    with pytest.raises(DocumentError):
        str(config)
    with pytest.raises(ConfigError, match='critical, high, normal, low'):
        config.route('x', service='x', path='/x', importance='urgent')
    with pytest.raises(ConfigError, match='given twice'):
        config.workspace('east', rate_per_s=1, burst=1)
