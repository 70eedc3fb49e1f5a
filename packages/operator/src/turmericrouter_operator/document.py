"""Parses, checks and writes configuration documents in TOML."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum
import itertools
import json
import re
import tomllib
from typing import Annotated
from typing import Any

import msgspec

from turmericrouter_core.config import Fleet
from turmericrouter_core.config import Key
from turmericrouter_core.config import KeylessRule
from turmericrouter_core.config import NO_OFFSET
from turmericrouter_core.config import Retirement
from turmericrouter_core.config import Route
from turmericrouter_core.config import StaleRule
from turmericrouter_core.config import Value
from turmericrouter_core.config import Workspace
from turmericrouter_core.errors import ConfigError
from turmericrouter_core.identity import MAX_FAILURE_DOMAINS
from turmericrouter_core.validation import check_fields
from turmericrouter_core.validation import ValidationProblem
from turmericrouter_core.verdict import Importance

BASE_OFFSET = 'base_offset'
_NAME = re.compile(r'[A-Za-z0-9À-ɏ][\w.:-]*')
_DIGEST = re.compile(r'[0-9a-f]{64}')
_BARE_TOML_KEY = re.compile(r'[A-Za-z0-9_-]+')
_MAX_TIMEOUT_MS = 3_600_000

PositiveNumber = Annotated[float, msgspec.Meta(gt=0)]
HttpMethod = Annotated[str, msgspec.Meta(pattern='^[A-Z]+$')]
NonBlankText = Annotated[str, msgspec.Meta(pattern=r'^\S+$')]
UrlPath = Annotated[str, msgspec.Meta(pattern=r'^/[^?#\s]*$')]


class ImportanceName(enum.StrEnum):
    """Importance of a route as written in documents."""

    CRITICAL = 'critical'
    HIGH = 'high'
    NORMAL = 'normal'
    LOW = 'low'


class FleetSection(msgspec.Struct, frozen=True):
    """Section `[fleet]`."""

    domains: tuple[NonBlankText, ...]
    regions: dict[str, str] = {}

    def to_value(self) -> Fleet:
        """Return the configuration value."""
        return Fleet(self.domains, self.regions)


class WorkspaceSection(msgspec.Struct, frozen=True):
    """Section `[workspace.NAME]`."""

    rate_per_s: PositiveNumber
    burst: Annotated[float, msgspec.Meta(ge=1)]
    weight: PositiveNumber = 1.0

    def to_value(self) -> Workspace:
        """Return the configuration value."""
        return Workspace(self.rate_per_s, self.burst, self.weight)


class KeySection(msgspec.Struct, frozen=True):
    """Section `[key.SHA256]`."""

    workspace: NonBlankText
    withdrawn: bool = False
    label: str = ''

    def to_value(self) -> Key:
        """Return the configuration value."""
        return Key(self.workspace, self.withdrawn, self.label)


class RouteSection(msgspec.Struct, frozen=True):
    """Section `[route.NAME]`."""

    service: NonBlankText
    path_prefix: UrlPath
    methods: tuple[HttpMethod, ...] = ()
    importance: ImportanceName = ImportanceName.NORMAL
    idempotent: bool = True
    open_to_all: bool = False
    timeout_ms: Annotated[int, msgspec.Meta(ge=1, le=_MAX_TIMEOUT_MS)] = 10_000
    on_stale: StaleRule | None = None
    without_key: KeylessRule = KeylessRule.REFUSE

    def to_value(self) -> Route:
        """Return the configuration value."""
        return Route(
            self.service,
            self.path_prefix,
            self.methods,
            Importance[self.importance.name],
            self.idempotent,
            self.open_to_all,
            self.timeout_ms,
            self.on_stale,
            self.without_key,
        )


class RetirementSection(msgspec.Struct, frozen=True):
    """Section `[retirement.TARGET]`."""

    note: str = ''

    def to_value(self) -> Retirement:
        """Return the configuration value."""
        return Retirement(self.note)


Section = (
    FleetSection
    | WorkspaceSection
    | KeySection
    | RouteSection
    | RetirementSection
)
SECTIONS: dict[str, type[Section]] = {
    'fleet': FleetSection,
    'workspace': WorkspaceSection,
    'key': KeySection,
    'route': RouteSection,
    'retirement': RetirementSection,
}


class DocumentError(ConfigError):
    """Raised with all mistakes of a document."""

    def __init__(self, mistakes: Iterable[ValidationProblem]) -> None:
        self.mistakes = tuple(mistakes)
        super().__init__('\n'.join(str(mistake) for mistake in self.mistakes))


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """Parsed configuration document.

    Args:
        values: Values by scope.
        base_offset: Log offset of the configuration that the document was
            made from, -1 if not given. Changes to scopes that changed after
            it conflict.
    """

    values: Mapping[str, Value]
    base_offset: int = NO_OFFSET


def parse_document(text: str, *, source: str) -> Document:
    """Parse and check a document.

    Args:
        text: Document in TOML.
        source: Name of the file, for messages.

    Raises:
        DocumentError: The document has mistakes; the error has all of them.
    """
    try:
        tree = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise DocumentError(
            [ValidationProblem(source, 'document', str(error))]
        ) from None
    base_offset = tree.pop(BASE_OFFSET, NO_OFFSET)
    values: dict[str, Value] = {}
    mistakes: list[ValidationProblem] = []
    if not isinstance(base_offset, int) or isinstance(base_offset, bool):
        mistakes.append(
            ValidationProblem(source, BASE_OFFSET, 'must be an integer')
        )
    for kind, table in tree.items():
        for scope, section, problems in _parse_sections(kind, table, source):
            mistakes += problems
            if section is not None:
                values[scope] = section.to_value()
    mistakes += check_values(values, source=source, is_complete=False)
    if mistakes:
        raise DocumentError(mistakes)
    return Document(values, base_offset)


def _parse_sections(
    kind: str, table: Any, source: str
) -> Iterable[tuple[str, Section | None, list[ValidationProblem]]]:
    if kind not in SECTIONS:
        known = ', '.join([BASE_OFFSET, *SECTIONS])
        problem = f'unknown name; known are {known}'
        yield kind, None, [ValidationProblem(source, kind, problem)]
    elif kind == 'fleet':
        section, mistakes = check_fields(
            table, FleetSection, name=kind, source=lambda _: source
        )
        yield kind, section, mistakes
    elif not isinstance(table, dict):
        yield kind, None, [ValidationProblem(source, kind, 'must be a table')]
    else:
        for name, values in table.items():
            dotted = f'{kind}.{name}'
            made, mistakes = check_fields(
                values, SECTIONS[kind], name=dotted, source=lambda _: source
            )
            yield f'{kind}/{name}', made, mistakes


def check_values(
    values: Mapping[str, Value], *, source: str, is_complete: bool = True
) -> list[ValidationProblem]:
    """Return mistakes in names, and in values that depend on each other.

    Args:
        values: Values by scope.
        source: Name of the file, for messages.
        is_complete: Whether the values are the complete configuration, so
            that every workspace they refer to must be among them.
    """
    mistakes: list[ValidationProblem] = []
    for scope, value in values.items():
        dotted = scope.replace('/', '.', 1)
        problem = _check_name(scope) or _check_value(value)
        if problem:
            mistakes.append(ValidationProblem(source, dotted, problem))
        if is_complete and _has_unknown_workspace(value, values):
            problem = 'no such workspace; known are ' + _join_names(
                values, 'workspace'
            )
            mistakes.append(
                ValidationProblem(source, f'{dotted}.workspace', problem)
            )
    return mistakes + _find_route_overlaps(values, source)


def _has_unknown_workspace(value: Value, values: Mapping[str, Value]) -> bool:
    return (
        isinstance(value, Key)
        and not value.withdrawn
        and f'workspace/{value.workspace}' not in values
    )


def _join_names(values: Mapping[str, Value], kind: str) -> str:
    prefix = f'{kind}/'
    names = [s.removeprefix(prefix) for s in values if s.startswith(prefix)]
    return ', '.join(sorted(names)) or 'none'


def _check_name(scope: str) -> str:
    kind, _, name = scope.partition('/')
    if kind == 'fleet':
        return ''
    if kind == 'key':
        if _DIGEST.fullmatch(name):
            return ''
        return (
            'a key is named by its SHA-256 digest in 64 lowercase '
            'hexadecimal digits'
        )
    if _NAME.fullmatch(name):
        return ''
    return (
        f'{name!r} is no name: it must start with a letter or digit and '
        'contain only letters, digits and ._:-'
    )


def _check_value(value: Value) -> str:
    if not isinstance(value, Fleet):
        return ''
    if len(set(value.domains)) != len(value.domains):
        return 'a failure domain is named twice'
    if not 0 < len(value.domains) <= MAX_FAILURE_DOMAINS:
        return f'1 to {MAX_FAILURE_DOMAINS} failure domains are allowed'
    unknown = sorted(set(value.regions) - set(value.domains))
    if unknown:
        return 'regions of unknown failure domains: ' + ', '.join(unknown)
    return ''


def _find_route_overlaps(
    values: Mapping[str, Value], source: str
) -> list[ValidationProblem]:
    """Return a mistake for each pair of routes that match the same requests.

    Only the names of such routes would determine which of them applies.
    """
    by_prefix: dict[tuple[str, ...], list[tuple[str, Route]]] = {}
    for scope, value in values.items():
        if isinstance(value, Route):
            prefix = tuple(p for p in value.path_prefix.split('/') if p)
            by_prefix.setdefault(prefix, []).append((scope, value))
    return [
        ValidationProblem(
            source,
            second.replace('/', '.', 1),
            f'has the path and a method of {first.replace("/", ".", 1)}; '
            'the two routes must differ in path or methods',
        )
        for routes in by_prefix.values()
        for (first, one), (second, other) in itertools.combinations(routes, 2)
        if not one.methods
        or not other.methods
        or set(one.methods) & set(other.methods)
    ]


def _format_key(name: str) -> str:
    return name if _BARE_TOML_KEY.fullmatch(name) else json.dumps(name)


def _format_value(value: object) -> str:
    if isinstance(value, bool):
        return 'true' if value else 'false'
    if isinstance(value, Importance):
        return json.dumps(value.name.lower())
    if isinstance(value, str):
        # JSON strings are valid TOML strings except that JSON leaves DEL
        # unescaped, which TOML does not allow.
        text = json.dumps(value, ensure_ascii=False)
        return text.replace('\x7f', '\\u007f')
    if isinstance(value, dict):
        pairs = ', '.join(
            f'{_format_key(k)} = {_format_value(v)}' for k, v in value.items()
        )
        return '{ ' + pairs + ' }' if pairs else '{}'
    if isinstance(value, tuple):
        return '[' + ', '.join(_format_value(item) for item in value) + ']'
    return str(value)


def _format_fields(value: Value) -> list[str]:
    return [
        f'{field.name} = {_format_value(content)}'
        for field in msgspec.structs.fields(value)
        if (content := getattr(value, field.name)) not in (None, {})
        and (field.required or content != field.default)
    ]


def to_toml(
    values: Mapping[str, Value], *, base_offset: int = NO_OFFSET
) -> str:
    """Return a TOML document of values, without fields at their defaults.

    Args:
        values: Values by scope.
        base_offset: Log offset of the configuration that the values are
            from; written to the document unless it is -1.
    """
    blocks: list[str] = []
    if base_offset != NO_OFFSET:
        blocks.append(f'{BASE_OFFSET} = {base_offset}\n')
    kinds = list(SECTIONS)
    order = sorted(values, key=lambda s: (kinds.index(s.partition('/')[0]), s))
    for scope in order:
        kind, _, name = scope.partition('/')
        lines = [f'[{kind}.{_format_key(name)}]' if name else f'[{kind}]']
        lines += _format_fields(values[scope])
        blocks.append('\n'.join(lines) + '\n')
    return '\n'.join(blocks)
