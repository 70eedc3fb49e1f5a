"""Generates the example settings file and the table of all settings."""

from collections.abc import Iterator
import dataclasses
import inspect
import json
import re

import msgspec

from turmericrouter_core.validation import allowed_values
from turmericrouter_daemon.settings import Settings

# Values in the example file for settings without a default.
_EXAMPLE_VALUES: dict[str, object] = {
    'host.ip': '127.0.0.1',
    'host.domain': 'north',
    'host.entry_port': 8001,
    'host.peer_port': 8002,
    'host.local_port': 8003,
    'platform.log_url': 'http://127.0.0.1:8080',
}
_ARGUMENT = re.compile(r'^(\w+): (.*)$')


@dataclasses.dataclass(frozen=True, slots=True)
class SettingEntry:
    """Description of one setting.

    Args:
        section: Section of the settings file.
        name: Name in the section, including any unit.
        allowed: Allowed values in words.
        default: Default in TOML; empty for a required setting.
        text: Meaning of the setting.
    """

    section: str
    name: str
    allowed: str
    default: str
    text: str


def list_settings() -> Iterator[SettingEntry]:
    """Yield all settings in the order of the example file."""
    for section in msgspec.structs.fields(Settings):
        texts = _argument_texts(section.type)
        for field in msgspec.structs.fields(section.type):
            yield SettingEntry(
                section.name,
                field.name,
                allowed_values(field.type),
                '' if field.required else _to_toml(field.default),
                texts.get(field.name, ''),
            )


def example_settings() -> str:
    """Return a settings file that names every setting."""
    lines = ['# Settings of turmericrouterd; the values are the defaults.']
    section = ''
    for entry in list_settings():
        if entry.section != section:
            section = entry.section
            lines += ['', f'[{section}]']
        example = _EXAMPLE_VALUES.get(f'{section}.{entry.name}', '')
        lines += [
            f'# {entry.text} Allowed: {entry.allowed}.',
            f'{entry.name} = {entry.default or _to_toml(example)}',
        ]
    return '\n'.join(lines) + '\n'


def settings_table() -> str:
    """Return the Markdown table of settings for docs/OPERATIONS.md."""
    lines = ['| setting | default | allowed | meaning |', '| - | - | - | - |']
    lines += [
        f'| `{entry.section}.{entry.name}` '
        f'| {f"`{entry.default}`" if entry.default else "required"} '
        f'| {entry.allowed} | {entry.text} |'
        for entry in list_settings()
    ]
    return '\n'.join(lines) + '\n'


def _argument_texts(section: type) -> dict[str, str]:
    """Return descriptions by name from the `Args:` part of a docstring."""
    _, _, block = (inspect.getdoc(section) or '').partition('Args:\n')
    texts: dict[str, str] = {}
    name = ''
    for line in inspect.cleandoc(block).splitlines():
        argument = _ARGUMENT.match(line)
        if argument:
            name = argument[1]
            texts[name] = argument[2]
        elif name:
            texts[name] += ' ' + line.strip()
    return texts


def _to_toml(value: object) -> str:
    if isinstance(value, tuple):
        return '[' + ', '.join(_to_toml(item) for item in value) + ']'
    if isinstance(value, bool | str):
        return json.dumps(value)
    return str(value)
