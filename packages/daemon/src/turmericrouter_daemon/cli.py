"""The `turmericrouterd` command.

Exit status: 0 after a graceful stop, 1 after a failure, 2 for a mistake in
settings or arguments, 3 when a second signal ended the process at once.
"""

import os
import pathlib
import sys
from typing import Annotated

import aiomisc
import cyclopts

from turmericrouter_core.errors import SettingsError
from turmericrouter_daemon.application import Application
from turmericrouter_daemon.reference import example_settings
from turmericrouter_daemon.reference import settings_table
from turmericrouter_daemon.settings import Settings
from turmericrouter_daemon.settings_file import load_settings

FAILURE_STATUS = 1
SETTINGS_ERROR_STATUS = 2

app = cyclopts.App(
    name='turmericrouterd',
    help='The turmericrouter daemon, one per target host.',
    help_epilogue=(
        'Settings come from the file, then from environment variables such '
        'as TURMERIC_HOST__IP, then from flags such as --set.host.ip; later '
        'ones win.'
    ),
)

_Overrides = Annotated[
    dict[str, dict[str, str]] | None,
    cyclopts.Parameter(name='--set', help='Override, as --set.host.ip=...'),
]


def _load(
    path: pathlib.Path, overrides: dict[str, dict[str, str]] | None
) -> Settings:
    flags = {
        f'{section}.{name}': value
        for section, values in (overrides or {}).items()
        for name, value in values.items()
    }
    try:
        return load_settings(path, environment=os.environ, overrides=flags)
    except SettingsError as error:
        print(error, file=sys.stderr)
        raise SystemExit(SETTINGS_ERROR_STATUS) from error


async def _serve(settings: Settings) -> None:
    try:
        await Application(settings).run()
    except SettingsError as error:
        print(error, file=sys.stderr)
        raise SystemExit(SETTINGS_ERROR_STATUS) from error
    except OSError as error:
        print(f'cannot listen: {error}', file=sys.stderr)
        raise SystemExit(FAILURE_STATUS) from error


@app.default
def run(path: pathlib.Path, *, override: _Overrides = None) -> None:
    """Run the daemon until SIGTERM.

    Args:
        path: Settings file in TOML.
        override: Values by dotted name.
    """
    settings = _load(path, override)
    with aiomisc.entrypoint(log_config=False) as loop:
        loop.run_until_complete(_serve(settings))


@app.command(name='check-settings')
def check_settings(path: pathlib.Path, *, override: _Overrides = None) -> None:
    """Check a settings file and exit.

    Args:
        path: Settings file in TOML.
        override: Values by dotted name.
    """
    _load(path, override)
    print(f'{path}: ok')


@app.command(name='example-settings')
def print_example_settings() -> None:
    """Print a settings file that names every setting."""
    print(example_settings(), end='')


@app.command(name='list-settings')
def print_settings_table() -> None:
    """Print the table of settings of docs/OPERATIONS.md."""
    print(settings_table(), end='')


def main() -> None:
    """Run the command line."""
    try:
        app(exit_on_error=False)
    except cyclopts.CycloptsError as error:
        raise SystemExit(SETTINGS_ERROR_STATUS) from error


if __name__ == '__main__':
    main()
