"""Output for people: columns that line up."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

GAP = "  "


def format_table(columns: Sequence[str], rows: Sequence[Mapping[str, object]]) -> str:
    """Return rows as aligned text under a heading."""
    cells = [list(columns)]
    cells += [[_format_cell(row.get(name)) for name in columns] for row in rows]
    widths = [max(len(line[index]) for line in cells) for index in range(len(columns))]
    lines = [
        GAP.join(cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        for line in cells
    ]
    return "\n".join(line.rstrip() for line in lines)


def _format_cell(value: object) -> str:
    if value is None:
        return "-"
    if isinstance(value, dict):
        return ", ".join(f"{key}:{one}" for key, one in value.items()) or "-"
    if isinstance(value, list):
        return ", ".join(str(one) for one in value) or "-"
    return str(value)
