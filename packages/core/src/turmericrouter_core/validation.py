"""Validation of settings and documents that reports all mistakes at once."""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
from typing import Any
from typing import TypeVar

import msgspec

_T = TypeVar('_T', bound=msgspec.Struct)


@dataclasses.dataclass(frozen=True, slots=True)
class ValidationProblem:
    """One mistake in a file, an environment variable or a flag.

    Args:
        source: File, environment variable or flag that sets the value.
        name: Dotted name of the value.
        problem: What is wrong, with the allowed values.
    """

    source: str
    name: str
    problem: str

    def __str__(self) -> str:
        return f'{self.source}: {self.name}: {self.problem}'


def allowed_values(annotation: Any) -> str:
    """Describe the allowed values of a type."""
    return _describe(msgspec.inspect.type_info(annotation))


def _describe(info: msgspec.inspect.Type) -> str:
    inspect = msgspec.inspect
    if isinstance(info, inspect.EnumType):
        return 'one of ' + ', '.join(str(item.value) for item in info.cls)
    if isinstance(info, inspect.LiteralType):
        return 'one of ' + ', '.join(str(item) for item in info.values)
    if isinstance(info, inspect.IntType):
        return 'an integer' + _range(info)
    if isinstance(info, inspect.FloatType):
        return 'a number' + _range(info)
    if isinstance(info, inspect.BoolType):
        return 'true or false'
    if isinstance(info, inspect.VarTupleType):
        return f'a list; each item {_describe(info.item_type)}'
    if isinstance(info, inspect.UnionType):
        kinds = [k for k in info.types if not isinstance(k, inspect.NoneType)]
        return ' or '.join(_describe(kind) for kind in kinds)
    return _describe_scalar_or_table(info)


def _describe_scalar_or_table(info: msgspec.inspect.Type) -> str:
    if isinstance(info, msgspec.inspect.DictType):
        return f'a table; each value {_describe(info.value_type)}'
    if isinstance(info, msgspec.inspect.StrType):
        return f'a text matching {info.pattern}' if info.pattern else 'a text'
    return 'a table'


def _range(info: msgspec.inspect.IntType | msgspec.inspect.FloatType) -> str:
    limits = [
        f'{word} {bound:.12g}'
        for word, bound in (
            ('above', info.gt),
            ('at least', info.ge),
            ('below', info.lt),
            ('at most', info.le),
        )
        if bound is not None
    ]
    return ' ' + ' and '.join(limits) if limits else ''


def check_fields(
    values: object,
    kind: type[_T],
    *,
    name: str,
    source: Callable[[str], str],
    is_text: Callable[[str], bool] = lambda _: False,
) -> tuple[_T | None, list[ValidationProblem]]:
    """Convert a table to a struct and report every mistake in it.

    Args:
        values: The table.
        kind: Struct type.
        name: Dotted name of the table.
        source: Returns the source of the value with a dotted name.
        is_text: Returns whether the value with a dotted name is text from
            the environment or a flag, which is parsed to the field's type.

    Returns:
        The struct, or None if there are mistakes, and the mistakes.
    """
    if not isinstance(values, Mapping):
        return None, [ValidationProblem(source(name), name, 'must be a table')]
    fields = {field.name: field for field in msgspec.structs.fields(kind)}
    mistakes = [
        ValidationProblem(
            source(f'{name}.{unknown}'),
            f'{name}.{unknown}',
            'unknown name; known are ' + ', '.join(fields),
        )
        for unknown in values
        if unknown not in fields
    ]
    converted: dict[str, Any] = {}
    for field in fields.values():
        dotted = f'{name}.{field.name}'
        allowed = allowed_values(field.type)
        if field.name not in values:
            if field.required:
                problem = f'missing; must be {allowed}'
                mistakes.append(
                    ValidationProblem(source(dotted), dotted, problem)
                )
            continue
        try:
            converted[field.name] = _convert(
                values[field.name], field.type, as_text=is_text(dotted)
            )
        except msgspec.ValidationError as error:
            problem = f'must be {allowed} ({error})'
            mistakes.append(ValidationProblem(source(dotted), dotted, problem))
    return (None, mistakes) if mistakes else (kind(**converted), [])


def _convert(value: object, annotation: Any, *, as_text: bool) -> Any:
    if as_text and isinstance(value, str):
        info = msgspec.inspect.type_info(annotation)
        if isinstance(info, msgspec.inspect.VarTupleType):
            value = [part.strip() for part in value.split(',') if part.strip()]
    return msgspec.convert(value, annotation, strict=not as_text)
