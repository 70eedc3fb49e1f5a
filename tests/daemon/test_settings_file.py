"""Settings: precedence of sources, and reports of every mistake."""

import os
import pathlib
import re
import subprocess
import sys
import tomllib

import pytest

from turmericrouter_core.errors import SettingsError
from turmericrouter_daemon.reference import example_settings
from turmericrouter_daemon.reference import list_settings
from turmericrouter_daemon.settings_file import load_settings

MINIMAL = """
[host]
ip = "127.0.0.1"
domain = "north"
entry_port = 8001
peer_port = 8002
local_port = 8003
[platform]
log_url = "http://127.0.0.1:8080"
"""


def _write(directory: pathlib.Path, text: str) -> pathlib.Path:
    path = directory / 'daemon.toml'
    path.write_text(text)
    return path


def test_flag_wins_over_environment_and_environment_over_file(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a source that overrules a later one."""
    path = _write(tmp_path, MINIMAL + '[stop]\ndrain_s = 1\nannounce_s = 1\n')
    environment = {
        'TURMERIC_STOP__DRAIN_S': '2',
        'TURMERIC_HOST__PEERS': '127.0.0.2:1, 127.0.0.3:2',
        'TURMERIC_LOG__DECISIONS': 'false',
        'TURMERIC_LOG_URL': 'not a setting of the daemon',
        'OTHER': 'x',
    }
    flags = {'stop.drain_s': '3', 'host.entry_port': '9'}
    loaded = load_settings(path, environment=environment, overrides=flags)
    assert loaded.stop.announce_s == 1
    assert loaded.stop.drain_s == 3
    assert loaded.host.peers == ('127.0.0.2:1', '127.0.0.3:2')
    assert loaded.log.decisions is False
    assert loaded.host.entry_port == 9
    assert loaded.host.admin_port == 0
    only_environment = load_settings(path, environment=environment)
    assert only_environment.stop.drain_s == 2


WRONG = MINIMAL.replace('8001', '"many"').replace('"127.0.0.1"', '"here"')


@pytest.mark.parametrize(
    'expected',
    [
        'daemon.toml: host.entry_port: must be an integer at least 1 and at',
        "daemon.toml: host.ip: must be an IP address, not 'here'",
        'environment TURMERIC_LOG__LEVEL: log.level: must be one of debug,',
        'flag --set.quota.holders: quota.holders: unknown name; known are',
        'daemon.toml: shop: unknown section; known are host, platform',
        'daemon.toml: stop: must be a table',
        'flag --set.drain: drain: must be named SECTION.NAME',
        'daemon.toml: metrics.host: must be an IP address',
    ],
)
def test_every_mistake_is_reported_at_once(
    tmp_path: pathlib.Path, expected: str
) -> None:
    """Guards against a report of only the first mistake."""
    text = 'stop = 3\n' + WRONG + '[shop]\n[metrics]\nhost = "statsd"\n'
    with pytest.raises(SettingsError) as caught:
        load_settings(
            _write(tmp_path, text),
            environment={'TURMERIC_LOG__LEVEL': 'loud'},
            overrides={'quota.holders': '1', 'drain': '1'},
        )
    # A wrong section hides the format checks of that section only.
    if 'host.ip' in expected:
        text = WRONG.replace('"many"', '8001')
        with pytest.raises(SettingsError) as caught:
            load_settings(_write(tmp_path, text))
    assert expected in str(caught.value)


def test_example_names_every_setting_and_is_valid(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against an example that lags behind the settings."""
    text = example_settings()
    tree = tomllib.loads(text)
    for entry in list_settings():
        assert entry.name in tree[entry.section]
        assert entry.text, f'{entry.section}.{entry.name} has no description'
    assert load_settings(_write(tmp_path, text)).host.domain == 'north'


def test_command_checks_settings(tmp_path: pathlib.Path) -> None:
    """Guards against wrong exit statuses of the command."""
    command = [sys.executable, '-m', 'turmericrouter_daemon']
    good = _write(tmp_path, MINIMAL)

    def run(*arguments: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [*command, *arguments],
            env=dict(os.environ, PYTHONPATH=os.pathsep.join(sys.path)),
            capture_output=True,
            text=True,
            timeout=60,
        )

    assert run('check-settings', str(good)).returncode == 0
    wrong = run('check-settings', str(good), '--set.host.entry_port=0')
    assert wrong.returncode == 2
    assert 'flag --set.host.entry_port' in wrong.stderr
    assert run('check-settings').returncode == 2
    example = run('example-settings')
    assert re.search(r'^drain_s = 30\.0$', example.stdout, re.MULTILINE)
