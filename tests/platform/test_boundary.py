"""Guards against names of the platform that leak out of its folder."""

import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).parents[2]
WIRE_WORDS = (
    'X-Server-',
    'X-Target-Instance',
    'X-Not-Executed',
    'X-Tenant',
    '/-/',
    'keyed.',
    'log-newest',
    'heartbeat_url',
    'api_keys',
    'NODE_FILE',
)


def test_packages_know_no_name_of_the_platform() -> None:
    for path in (ROOT / 'packages').rglob('*.py'):
        text = path.read_text()
        found = [word for word in WIRE_WORDS if word in text]
        assert not found, path


def test_folder_does_not_hide_the_standard_module() -> None:
    code = 'import platform; print(platform.python_version())'
    done = subprocess.run(
        [sys.executable, '-c', code],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    assert done.stdout.startswith('3.')
