"""Signals at the start of a daemon, while its libraries are imported."""

import pathlib
import subprocess
import sys

import pytest

from platform_fleet import is_past_start
from platform_fleet import ROOT

# Runs the daemon until its first import beyond the standard library, and
# prints whether both handlers are installed then.
_FIRST_IMPORT = """
import importlib.abc, runpy, signal, sys

class Finder(importlib.abc.MetaPathFinder):
    def find_spec(self, name, path, target=None):
        if name.partition('.')[0] in sys.stdlib_module_names:
            return None
        print(callable(signal.getsignal(signal.SIGTERM)))
        print(signal.getsignal(signal.SIGHUP) is signal.SIG_IGN)
        sys.exit(0)

sys.meta_path.insert(0, Finder())
runpy.run_path('platform/daemon.py', run_name='__main__')
"""
_WAIT = "print('up', flush=True); import time; time.sleep(60)"


def test_handlers_are_installed_before_the_first_import() -> None:
    """Guards against a start that SIGTERM or SIGHUP ends with a failure."""
    result = subprocess.run(
        [sys.executable, '-c', _FIRST_IMPORT],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=30.0,
        check=True,
    )
    assert result.stdout.split() == ['True', 'True']


@pytest.mark.parametrize(
    ('code', 'expected'),
    [
        ('', False),
        ('import signal; signal.signal(signal.SIGTERM, print)', True),
        ('import uvloop', True),
    ],
)
def test_start_of_the_interpreter_is_told_from_the_daemon(
    code: str, expected: bool, tmp_path: pathlib.Path
) -> None:
    """Guards against a soak that excuses a daemon without a handler."""
    with subprocess.Popen(
        [sys.executable, '-c', f'{code}\n{_WAIT}'],
        cwd=tmp_path,
        stdout=subprocess.PIPE,
    ) as process:
        try:
            assert process.stdout is not None
            assert process.stdout.readline() == b'up\n'
            assert is_past_start(process) is expected
        finally:
            process.kill()
