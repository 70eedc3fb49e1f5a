"""Guards against settings that are lost, or applied although invalid."""

import dataclasses
from typing import Any

from recording_log import RecordingLog
from turmericrouter_core.errors import SettingsError
from turmericrouter_dataplane.settings import Address
from turmericrouter_dataplane.settings import Settings
from turmericrouter_dataplane.settings_reload import SettingsReload

_ADDRESS = Address('127.0.0.1', 1)
_SETTINGS = Settings(
    host='own',
    domain='north',
    service='design',
    target=_ADDRESS,
    callers=_ADDRESS,
    ready=_ADDRESS,
    control=_ADDRESS,
    peers=_ADDRESS,
    advertised=_ADDRESS,
    metrics=_ADDRESS,
    log_service=_ADDRESS,
    stop_within_s=6.0,
    retry_ratio=0.2,
    retry_slack=10.0,
)


class _Source:
    """Settings that a test changes; None is a file that can't be used."""

    def __init__(self) -> None:
        self.content: Settings | None = _SETTINGS
        self.fingerprint = 0
        self.loads = 0

    def write(self, content: Settings | None) -> None:
        self.content = content
        self.fingerprint += 1

    def load_settings(self) -> Settings:
        self.loads += 1
        if self.content is None:
            raise SettingsError('malformed')
        return self.content

    def settings_fingerprint(self) -> object:
        return self.fingerprint


class _Fixture:
    def __init__(self) -> None:
        self.source = _Source()
        self.applied: list[Settings] = []
        self.log = RecordingLog()
        log: Any = self.log
        self.reload = SettingsReload(
            self.source, _SETTINGS, self.applied.append, log
        )


def test_unchanged_settings_are_not_read_again() -> None:
    """Guards against a reload at each check."""
    fixture = _Fixture()
    fixture.reload.check()
    assert fixture.source.loads == 0
    assert not fixture.log.events


def test_changed_settings_are_applied_once() -> None:
    """Guards against a change that is missed, or reported at each check."""
    fixture = _Fixture()
    changed = dataclasses.replace(_SETTINGS, retry_ratio=0.5, domain='south')
    fixture.source.write(changed)
    fixture.reload.check()
    fixture.reload.check()
    assert fixture.applied == [changed]
    assert fixture.reload.settings == changed
    assert fixture.log.events == [
        (
            'reloaded',
            {
                'cause': 'changed',
                'changed': 'domain,retry_ratio',
                'needs_restart': 'domain',
            },
        )
    ]


def test_invalid_settings_keep_the_old_ones() -> None:
    """Guards against a malformed file that takes settings out of force."""
    fixture = _Fixture()
    fixture.source.write(None)
    fixture.reload.check()
    assert not fixture.applied
    assert fixture.reload.settings == _SETTINGS
    assert fixture.log.events == [
        ('settings_refused', {'cause': 'changed', 'error': 'malformed'})
    ]


def test_invalid_settings_are_reported_once_and_can_be_mended() -> None:
    """Guards against a line at each check, and a file that stays refused."""
    fixture = _Fixture()
    fixture.source.write(None)
    fixture.reload.check()
    fixture.reload.check()
    assert [event for event, _ in fixture.log.events] == ['settings_refused']
    mended = dataclasses.replace(_SETTINGS, retry_slack=3.0)
    fixture.source.write(mended)
    fixture.reload.check()
    assert fixture.applied == [mended]


def test_reload_by_a_signal_needs_no_change() -> None:
    """Guards against a SIGHUP without a line that answers it."""
    fixture = _Fixture()
    fixture.reload.reload('SIGHUP')
    assert fixture.applied == [_SETTINGS]
    assert fixture.log.events == [
        ('reloaded', {'cause': 'SIGHUP', 'changed': '', 'needs_restart': ''})
    ]


def test_change_is_told_against_the_settings_before_it() -> None:
    """Guards against changes that are named again at later reloads."""
    fixture = _Fixture()
    first = dataclasses.replace(_SETTINGS, service='works')
    fixture.source.write(first)
    fixture.reload.check()
    fixture.source.write(dataclasses.replace(first, stop_within_s=3.0))
    fixture.reload.check()
    changed = [fields['changed'] for _, fields in fixture.log.events]
    assert changed == ['service', 'stop_within_s']
