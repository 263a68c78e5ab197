"""Calls to the platform's table service, and programs composed of them.

A program is a generator: it yields calls, receives the reply to each through
``send()``, and returns its result. It does no I/O and reads no clock, so a test can
stop or delay it at any step or drop any reply.
"""

from __future__ import annotations

from collections.abc import Generator, Mapping
from dataclasses import dataclass, field
from typing import Any, TypeAlias, TypeVar

JsonObject: TypeAlias = Mapping[str, Any]
ABSENT = 0


@dataclass(frozen=True, slots=True)
class Row:
    """A row that was read from a table.

    :param version: increases with each write of the row, always greater than ``ABSENT``
    """

    key: str
    version: int
    value: JsonObject


@dataclass(frozen=True, slots=True)
class Condition:
    """The version that a row must have, or ``ABSENT`` if it must not exist."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Write:
    """A new value for a row, or ``None`` to delete it."""

    key: str
    value: JsonObject | None


@dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that are applied atomically if all conditions hold.

    :param name: name of the operation in the platform's log
    """

    name: str
    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


@dataclass(frozen=True, slots=True)
class Read:
    """A read of individual rows and of all rows whose keys start with a prefix."""

    keys: tuple[str, ...] = ()
    prefixes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Rows:
    """The rows found by a read, by key."""

    rows: Mapping[str, Row] = field(default_factory=dict)

    def version(self, key: str) -> int:
        """Return the version of a row, or ``ABSENT`` if it does not exist."""
        row = self.rows.get(key)
        return ABSENT if row is None else row.version

    def list_with_prefix(self, prefix: str) -> list[Row]:
        """Return the rows whose keys start with a prefix, sorted by key."""
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        return [self.rows[key] for key in keys]


@dataclass(frozen=True, slots=True)
class Committed:
    """The transaction took effect.

    :param version: version of the written rows, ``ABSENT`` if the table does not
        report it
    """

    version: int = ABSENT


@dataclass(frozen=True, slots=True)
class Conflict:
    """A condition did not hold, and nothing was written.

    :param rows: the current rows of the conditions, if the table reports them
    """

    rows: Rows = field(default_factory=Rows)


@dataclass(frozen=True, slots=True)
class Unreachable:
    """The call certainly had no effect."""


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """No reply arrived: the transaction may have taken effect or may still do so."""


TableCall: TypeAlias = Read | Transaction
TableReply: TypeAlias = Rows | Committed | Conflict | Unreachable | OutcomeUnknown

T = TypeVar("T")
Program: TypeAlias = Generator[TableCall, TableReply, T]


def read_rows(
    *keys: str, prefixes: tuple[str, ...] = ()
) -> Program[Rows | Unreachable]:
    """Read rows; return ``Unreachable`` for any reply other than rows."""
    reply = yield Read(keys, prefixes)
    return reply if isinstance(reply, Rows) else Unreachable()


def commit_rows(
    transaction: Transaction,
) -> Program[Committed | Conflict | Unreachable | OutcomeUnknown]:
    """Commit a transaction; retry it once if no reply arrives.

    The retry is safe, because the conditions of a transaction of this package no
    longer hold once it has taken effect. Any reply to the retry other than
    ``Committed`` leaves the outcome unknown: the first attempt may have taken effect.
    """
    reply = yield transaction
    if not isinstance(reply, OutcomeUnknown):
        return _as_commit_reply(reply)
    retried = yield transaction
    if isinstance(retried, Committed):
        return retried
    return OutcomeUnknown()


def _as_commit_reply(
    reply: TableReply,
) -> Committed | Conflict | Unreachable | OutcomeUnknown:
    """Treat rows, which are no reply to a transaction, as an unknown outcome."""
    return OutcomeUnknown() if isinstance(reply, Rows) else reply
