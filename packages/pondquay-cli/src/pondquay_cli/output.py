"""Formatting of tables for the terminal."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

COLUMN_SEPARATOR = "  "


def format_table(columns: Sequence[str], rows: Sequence[Mapping[str, object]]) -> str:
    """Return rows as aligned columns under a header line."""
    table = [list(columns)]
    table += [[_format_cell(row.get(name)) for name in columns] for row in rows]
    widths = [max(len(line[index]) for line in table) for index in range(len(columns))]
    lines = [
        COLUMN_SEPARATOR.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        )
        for line in table
    ]
    return "\n".join(line.rstrip() for line in lines)


def _format_cell(value: object) -> str:
    if value is None:
        return "-"
    if isinstance(value, dict):
        return ", ".join(f"{key}:{item}" for key, item in value.items()) or "-"
    if isinstance(value, list):
        return ", ".join(str(item) for item in value) or "-"
    return str(value)
