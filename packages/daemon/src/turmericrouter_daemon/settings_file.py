"""Reads settings from a TOML file, the environment and flags.

Each source overrides the ones before it. All mistakes are reported together,
each with its source, dotted name and allowed values, before a socket opens.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import ipaddress
import pathlib
import tomllib
from typing import Any
import urllib.parse

import msgspec

from turmericrouter_core.errors import SettingsError
from turmericrouter_core.identity import HostAddress
from turmericrouter_core.validation import check_fields
from turmericrouter_core.validation import ValidationProblem
from turmericrouter_daemon.settings import HostSettings
from turmericrouter_daemon.settings import MetricsSettings
from turmericrouter_daemon.settings import PlatformSettings
from turmericrouter_daemon.settings import Settings

ENVIRONMENT_PREFIX = 'TURMERIC_'
# Two underscores separate section and name; names contain single ones.
ENVIRONMENT_SEPARATOR = '__'


def load_settings(
    path: pathlib.Path,
    *,
    environment: Mapping[str, str] | None = None,
    overrides: Mapping[str, str] | None = None,
) -> Settings:
    """Read and check all settings.

    Args:
        path: TOML file.
        environment: Variables; `TURMERIC_HOST__IP` sets `host.ip`.
        overrides: Values by dotted name; they override the environment.

    Raises:
        SettingsError: The file cannot be read, or settings are missing,
            unknown or invalid; the message has a line for each mistake.
    """
    try:
        tree: dict[str, Any] = tomllib.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise SettingsError(f'{path}: {error}') from error
    reader = _Reader(str(path), tree)
    reader.add_environment(environment or {})
    for name, value in (overrides or {}).items():
        reader.set(name, value, f'flag --set.{name}')
    return reader.read()


class _Reader:
    """Merges the sources and records where each override came from."""

    def __init__(self, path: str, tree: dict[str, Any]) -> None:
        self._path = path
        self._tree = tree
        self._sources: dict[str, str] = {}
        self._mistakes: list[ValidationProblem] = []

    def add_environment(self, environment: Mapping[str, str]) -> None:
        for variable, value in environment.items():
            if not variable.startswith(ENVIRONMENT_PREFIX):
                continue
            short = variable.removeprefix(ENVIRONMENT_PREFIX).lower()
            if ENVIRONMENT_SEPARATOR in short:
                name = short.replace(ENVIRONMENT_SEPARATOR, '.')
                self.set(name, value, f'environment {variable}')

    def set(self, name: str, value: str, source: str) -> None:
        section, _, field = name.partition('.')
        table = self._tree.setdefault(section, {})
        if not field or not isinstance(table, dict):
            self._mistakes.append(
                ValidationProblem(source, name, 'must be named SECTION.NAME')
            )
            return
        table[field] = value
        self._sources[name] = source

    def read(self) -> Settings:
        fields = {f.name: f for f in msgspec.structs.fields(Settings)}
        for name in self._tree:
            if name not in fields:
                known = ', '.join(fields)
                problem = f'unknown section; known are {known}'
                self._mistakes.append(
                    ValidationProblem(self._path, name, problem)
                )
        sections: dict[str, Any] = {}
        for name, field in fields.items():
            section, mistakes = check_fields(
                self._tree.get(name, {}),
                field.type,
                name=name,
                source=self._source,
                is_text=self._sources.__contains__,
            )
            sections[name] = section
            self._mistakes += mistakes + list(self._check(section))
        if self._mistakes:
            raise SettingsError('\n'.join(map(str, self._mistakes)))
        return Settings(**sections)

    def _source(self, name: str) -> str:
        return self._sources.get(name, self._path)

    def _check(self, section: object) -> Iterable[ValidationProblem]:
        """Check formats that types do not cover: addresses and URLs."""
        for name, text, expected in _expected_formats(section):
            if expected:
                problem = f'must be {expected}, not {text!r}'
                yield ValidationProblem(self._source(name), name, problem)


def _expected_formats(section: object) -> Iterable[tuple[str, str, str]]:
    """Yield the name, value and expected format of each checked setting.

    The expected format is empty if the value has it.
    """
    if isinstance(section, HostSettings):
        yield 'host.ip', section.ip, _expected_ip_format(section.ip)
        yield (
            'host.local_ip',
            section.local_ip,
            _expected_ip_format(section.local_ip),
        )
        for peer in section.peers:
            yield 'host.peers', peer, _expected_address_format(peer)
    elif isinstance(section, PlatformSettings):
        url = section.log_url
        yield 'platform.log_url', url, _expected_url_format(url)
    elif isinstance(section, MetricsSettings) and section.host:
        # Host names are rejected: a DNS lookup would delay requests.
        yield 'metrics.host', section.host, _expected_ip_format(section.host)


def _expected_ip_format(text: str) -> str:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return 'an IP address'
    return ''


def _expected_address_format(text: str) -> str:
    try:
        address = HostAddress.parse(text)
    except ValueError:
        return 'IP:PORT'
    in_range = 0 < address.port < 65_536
    return _expected_ip_format(address.ip) if in_range else 'IP:PORT'


def _expected_url_format(text: str) -> str:
    url = urllib.parse.urlsplit(text)
    is_url = url.scheme in ('http', 'https') and url.netloc
    return '' if is_url else 'a URL as http://IP:PORT'
