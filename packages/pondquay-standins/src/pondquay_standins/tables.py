"""In-memory table with versioned rows and conditional transactions."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True)
class TableRow:
    """A row's value and version.

    :ivar version: number of writes of the row, 1 after its creation
    """

    version: int
    value: Any


@dataclass(slots=True)
class Table:
    """Versioned rows and counts of the calls to the table.

    :ivar transactions: number of transactions, including those that were not applied
    :ivar row_writes: number of row writes, including deletions
    :ivar reads: number of calls of :meth:`read`
    """

    rows: dict[str, TableRow] = field(default_factory=dict)
    transactions: int = 0
    row_writes: int = 0
    reads: int = 0

    def read(self, keys: list[str], prefixes: list[str]) -> list[dict[str, Any]]:
        """Return the rows with the given keys or key prefixes, sorted by key."""
        self.reads += 1
        found = {key for key in keys if key in self.rows}
        for prefix in prefixes:
            found |= {key for key in self.rows if key.startswith(prefix)}
        return [
            {
                "key": key,
                "version": self.rows[key].version,
                "value": self.rows[key].value,
            }
            for key in sorted(found)
        ]

    def transact(
        self, conditions: list[dict[str, Any]], writes: list[dict[str, Any]]
    ) -> bool:
        """Apply all writes if all conditions hold.

        A write without a value deletes the row.

        :returns: whether the writes were applied
        """
        self.transactions += 1
        for condition in conditions:
            row = self.rows.get(condition["key"])
            if (0 if row is None else row.version) != condition["version"]:
                return False
        for write in writes:
            self._write(write["key"], write["value"])
        return True

    def _write(self, key: str, value: Any) -> None:
        self.row_writes += 1
        if value is None:
            self.rows.pop(key, None)
            return
        row = self.rows.get(key)
        version = 1 if row is None else row.version + 1
        self.rows[key] = TableRow(version, value)
