"""Calls to the platform's table service, and programs made of them.

A program is a generator: it yields one call after another, is sent the reply to
each, and returns its result. It has no socket and no clock, so a test can stop it,
delay it or lose any reply between any two of its steps.
"""

from __future__ import annotations

from collections.abc import Generator, Mapping
from dataclasses import dataclass, field
from typing import Any, TypeAlias, TypeVar

JsonObject: TypeAlias = Mapping[str, Any]
ABSENT = 0


@dataclass(frozen=True, slots=True)
class Row:
    """A row as it was read.

    :param version: counts up with each write of the key, from 1
    """

    key: str
    version: int
    value: JsonObject


@dataclass(frozen=True, slots=True)
class Condition:
    """The version that a row must have, ``ABSENT`` if it must not exist."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Write:
    """A new value for a row, ``None`` to delete it."""

    key: str
    value: JsonObject | None


@dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that happen together if all conditions hold.

    :param name: names the operation in the platform's own log
    """

    name: str
    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


@dataclass(frozen=True, slots=True)
class Read:
    """A read of single rows and of all rows whose keys start with a prefix."""

    keys: tuple[str, ...] = ()
    prefixes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Rows:
    """The reply to a read; a key that is missing has no row."""

    rows: Mapping[str, Row] = field(default_factory=dict)

    def version(self, key: str) -> int:
        """Return the version of a key, ``ABSENT`` if it has no row."""
        row = self.rows.get(key)
        return ABSENT if row is None else row.version

    def list_with_prefix(self, prefix: str) -> list[Row]:
        """Return the rows below a prefix, in the order of their keys."""
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        return [self.rows[key] for key in keys]


@dataclass(frozen=True, slots=True)
class Committed:
    """The transaction took effect.

    :param version: of the rows that it wrote, where the table tells it
    """

    version: int = ABSENT


@dataclass(frozen=True, slots=True)
class Conflict:
    """A condition did not hold; nothing took effect.

    :param rows: the rows of the conditions as they stand, where the table tells them
    """

    rows: Rows = field(default_factory=Rows)


@dataclass(frozen=True, slots=True)
class Unreachable:
    """The call was certainly not carried out."""


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """No answer: the transaction may have taken effect, or may still do so."""


TableCall: TypeAlias = Read | Transaction
TableReply: TypeAlias = Rows | Committed | Conflict | Unreachable | OutcomeUnknown

T = TypeVar("T")
Program: TypeAlias = Generator[TableCall, TableReply, T]


def read_rows(
    *keys: str, prefixes: tuple[str, ...] = ()
) -> Program[Rows | Unreachable]:
    """Read rows; an answer that does not come counts as unreachable."""
    reply = yield Read(keys, prefixes)
    return reply if isinstance(reply, Rows) else Unreachable()


def commit_rows(
    transaction: Transaction,
) -> Program[Committed | Conflict | Unreachable | OutcomeUnknown]:
    """Carry out a transaction, sending it once more if its answer is lost.

    The conditions of the transactions of this package never hold twice, so the
    second sending does no harm; it turns many a lost answer into a known one. After
    a lost answer a conflict says only that the outcome has to be read.
    """
    reply = yield transaction
    if not isinstance(reply, OutcomeUnknown):
        return _narrow(reply)
    again = yield transaction
    if isinstance(again, Committed):
        return again
    return OutcomeUnknown()


def _narrow(reply: TableReply) -> Committed | Conflict | Unreachable | OutcomeUnknown:
    """Refuse the one reply that answers no transaction."""
    return OutcomeUnknown() if isinstance(reply, Rows) else reply
