"""Guards against a start with unusable settings."""

import copy
import pathlib
from typing import Any

import pytest

from turmericrouter_core.errors import SettingsError
from turmericrouter_platform import node_file

DOCUMENT: dict[str, Any] = {
    'node_name': 'h1',
    'zone': 'north',
    'service': 'design',
    'ip': '10.0.0.1',
    'internal_ports': [7000, 7015],
    'app_addr': '10.0.0.1:8547',
    'bounds': ['grace_s=6', 'retry_slack=49', 'revoke_strict=false'],
    'listen': {
        'inbound': '10.0.0.1:1',
        'outbound': '10.0.0.1:2',
        'ready': '10.0.0.1:3',
        'control': '10.0.0.1:4',
    },
    'platform': {'address': '10.9.0.1:8545'},
    'a_new_field': 1,
}


def test_fields_are_mapped_to_settings() -> None:
    settings = node_file.decode_settings(DOCUMENT)
    assert (settings.host, settings.domain) == ('h1', 'north')
    assert str(settings.callers) == '10.0.0.1:2'
    assert str(settings.peers) == '10.0.0.1:7000'
    assert settings.retry_slack == 49.0
    assert settings.retry_ratio == 0.2


@pytest.mark.parametrize(
    ('field', 'value'),
    [('listen', {}), ('app_addr', 'nowhere'), ('internal_ports', 5)],
)
def test_unusable_field_is_refused(field: str, value: Any) -> None:
    document = copy.deepcopy(DOCUMENT) | {field: value}
    with pytest.raises(SettingsError):
        node_file.decode_settings(document)


def test_malformed_toml_is_refused(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / 'node.toml'
    path.write_text('node_name = ')
    monkeypatch.setenv(node_file.FILE_VARIABLE, str(path))
    with pytest.raises(SettingsError, match='node.toml'):
        node_file.load_settings()
