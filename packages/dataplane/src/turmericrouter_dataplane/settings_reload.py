"""Applies settings that change while the daemon runs."""

from collections.abc import Callable
import dataclasses
from typing import Protocol

from turmericrouter_core.errors import SettingsError
from turmericrouter_dataplane.decision_log import DecisionLog
from turmericrouter_dataplane.settings import Settings

# Settings that take effect only after a restart.
_RESTART_SETTINGS = frozenset(
    {
        'host',
        'domain',
        'callers',
        'ready',
        'control',
        'peers',
        'advertised',
        'metrics',
    }  # fmt: skip
)


class SettingsSource(Protocol):
    """Where the settings of the daemon come from."""

    def load_settings(self) -> Settings:
        """Read the settings.

        Raises:
            SettingsError: The settings are invalid.
        """

    def settings_fingerprint(self) -> object:
        """Return a value that changes whenever the settings change."""


class SettingsReload:
    """Keeps the newest valid settings.

    Args:
        source: Where the settings come from.
        settings: Settings that were read at the start.
        apply: Called with each reloaded settings.
        log: Decision log.
    """

    def __init__(
        self,
        source: SettingsSource,
        settings: Settings,
        apply: Callable[[Settings], None],
        log: DecisionLog,
    ) -> None:
        self._source = source
        self._settings = settings
        self._fingerprint = source.settings_fingerprint()
        self._apply = apply
        self._log = log

    @property
    def settings(self) -> Settings:
        """Return the newest valid settings."""
        return self._settings

    def check(self) -> None:
        """Reload the settings if they have changed."""
        if self._source.settings_fingerprint() != self._fingerprint:
            self.reload('changed')

    def reload(self, cause: str) -> None:
        """Apply the settings, or keep the old ones if they are invalid.

        Args:
            cause: Why they are reloaded, for the log.
        """
        try:
            self._fingerprint = self._source.settings_fingerprint()
            settings = self._source.load_settings()
        except SettingsError as error:
            self._log.event('settings_refused', cause=cause, error=str(error))
            return
        before, self._settings = self._settings, settings
        changed = [
            field.name
            for field in dataclasses.fields(Settings)
            if getattr(before, field.name) != getattr(settings, field.name)
        ]
        self._apply(settings)
        self._log.event(
            'reloaded',
            cause=cause,
            changed=','.join(changed),
            needs_restart=','.join(
                name for name in changed if name in _RESTART_SETTINGS
            ),
        )
