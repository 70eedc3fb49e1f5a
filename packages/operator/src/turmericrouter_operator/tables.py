"""Formats command output as tables or JSON."""

from collections.abc import Mapping
from collections.abc import Sequence
import json

Row = Mapping[str, object]


def format_table(rows: Sequence[Row], columns: Sequence[str]) -> str:
    """Return rows as aligned columns with a heading.

    Args:
        rows: Cells by column.
        columns: Columns in order.
    """
    heading = [column.replace('_', ' ').upper() for column in columns]
    cells = [
        [_format_cell(row.get(column)) for column in columns] for row in rows
    ]
    widths = [
        max(len(line[index]) for line in [heading, *cells])
        for index in range(len(columns))
    ]
    return '\n'.join(
        '  '.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in [heading, *cells]
    )


def format_rows(
    rows: Sequence[Row], columns: Sequence[str], *, as_json: bool
) -> str:
    """Return rows as a table or as a JSON array.

    Args:
        rows: Cells by column; JSON also includes cells of other columns.
        columns: Columns of the table.
        as_json: Return JSON instead of a table.
    """
    if as_json:
        return json.dumps([dict(row) for row in rows], default=str)
    return format_table(rows, columns) if rows else 'none'


def _format_cell(value: object) -> str:
    if value is None:
        return '-'
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, float):
        return f'{value:.1f}'
    if isinstance(value, list | tuple):
        return ', '.join(map(str, value)) or '-'
    if isinstance(value, Mapping):
        pairs = (f'{name}={item}' for name, item in value.items())
        return ' '.join(pairs) or '-'
    return str(value) or '-'
