"""Guards against wire names of the platform outside its adapter."""

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


def test_packages_contain_no_wire_name_of_the_platform() -> None:
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
