"""The `turmericrouterd` command."""

import os
import pathlib
import sys
from typing import Annotated

import aiomisc
import cyclopts

from turmericrouter_core.errors import SettingsError
from turmericrouter_daemon.application import Application
from turmericrouter_daemon.settings import load_settings
from turmericrouter_daemon.settings import Settings

SETTINGS_ERROR_STATUS = 2

app = cyclopts.App(name='turmericrouterd', help='The turmericrouter daemon.')

_Overrides = Annotated[
    dict[str, str] | None,
    cyclopts.Parameter(name='--set', help='Override, as --set.host.ip=...'),
]


def _load(path: pathlib.Path, overrides: dict[str, str] | None) -> Settings:
    try:
        return load_settings(path, environment=os.environ, overrides=overrides)
    except SettingsError as error:
        print(error, file=sys.stderr)
        raise SystemExit(SETTINGS_ERROR_STATUS) from error


async def _serve(settings: Settings) -> None:
    try:
        application = Application(settings)
    except SettingsError as error:
        print(error, file=sys.stderr)
        raise SystemExit(SETTINGS_ERROR_STATUS) from error
    await application.run()


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


def main() -> None:
    """Run the command line."""
    app()


if __name__ == '__main__':
    main()
