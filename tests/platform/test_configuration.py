"""Guards against wrong decoding and acceptance of bad configurations."""

import json
from typing import Any

import pytest

from turmericrouter_core.errors import ConfigError
from turmericrouter_platform.configuration import decode_config


def make_document(**changes: Any) -> dict[str, Any]:
    document: dict[str, Any] = {
        'version': 7,
        'routes': {
            'columns': [
                'name', 'hostname', 'path_prefix', 'route_type', 'timeout_s',
                'target_latency_s', 'priority', 'weighted_services',
                'max_attempts', 'allow_anonymous', 'service',
            ],
            'rows': [
                ['r1', 'A.example', '/a/', 'idempotent', 0.8, 1.5, 2,
                 [{'service': 's1', 'weight': 90},
                  {'service': 's2', 'weight': 10}], 2, False, None],
                ['r2', 'b.example', '/b/', 'non_idempotent', 1, None, 0,
                 None, 3, True, 's2'],
            ],
        },
        'services': {
            'columns': ['name', 'max_connections'],
            'rows': [['s1', 11], ['s2', 22]],
        },
        'limits': {'max_header_bytes': 100, 'idle_timeout_s': 15},
        'tenants': {
            'columns': ['name', 'api_keys', 'priority', 'rate_per_s', 'burst'],
            'rows': [['east', ['k1', 'k2'], 1, 215, 200], ['west', [], 0,
                                                           None, None]],
        },
    }  # fmt: skip
    return document | changes


def encode(document: dict[str, Any]) -> bytes:
    return json.dumps(document).encode()


def test_table_rows_are_decoded() -> None:
    config = decode_config(encode(make_document()))
    first, second = config.routes
    assert config.version == 7
    assert first.hostname == b'a.example'
    assert [(s.name, s.weight) for s in first.services] == [
        ('s1', 90.0),
        ('s2', 10.0),
    ]
    assert first.is_idempotent
    assert not second.is_idempotent
    assert second.is_open_to_all
    assert second.latency_objective_s == second.timeout_s == 1.0
    assert config.workspaces[0].keys == (b'k1', b'k2')
    assert config.workspaces[1].rate_per_s == 0.0
    assert config.limits.max_header_bytes == 100


@pytest.mark.parametrize(
    'change',
    [
        {'version': 'x'},
        {'routes': {'columns': ['name'], 'rows': [['r1']]}},
        {'routes': {'columns': ['name'], 'rows': [['r1', 'surplus']]}},
        {'services': {'columns': ['name'], 'rows': [['other']]}},
    ],
)
def test_unusable_configuration_is_refused(change: dict[str, Any]) -> None:
    with pytest.raises(ConfigError):
        decode_config(encode(make_document(**change)))


def test_truncated_document_is_refused() -> None:
    with pytest.raises(ConfigError):
        decode_config(encode(make_document())[:-20])
