"""Table programs that store and read the upstreams that operators drain."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay.tables import (
    ABSENT,
    Committed,
    Condition,
    Conflict,
    Transaction,
    Unreachable,
    Write,
    commit_rows,
    read_rows,
)

if TYPE_CHECKING:
    from pondquay.tables import Program

DRAIN_PREFIX = "drain/"


def read_drains() -> Program[list[str] | Unreachable]:
    """Read the names of all drained upstreams."""
    rows = yield from read_rows(prefixes=(DRAIN_PREFIX,))
    if isinstance(rows, Unreachable):
        return rows
    return [key.removeprefix(DRAIN_PREFIX) for key in rows.rows]


def store_drain(upstream: str) -> Program[bool]:
    """Mark an upstream as drained; return whether the mark is known to be stored."""
    key = f"{DRAIN_PREFIX}{upstream}"
    transaction = Transaction(
        key, (Condition(key, ABSENT),), (Write(key, {"upstream": upstream}),)
    )
    reply = yield from commit_rows(transaction)
    if isinstance(reply, Committed | Conflict):
        return True
    rows = yield from read_rows(key)
    return not isinstance(rows, Unreachable) and key in rows.rows
