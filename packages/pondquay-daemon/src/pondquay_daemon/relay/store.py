"""The interface of the platform's table store."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

from pondquay.tables import Committed, Conflict, OutcomeUnknown, Unreachable

if TYPE_CHECKING:
    from pondquay.tables import JsonObject, Row, Transaction

CommitReply: TypeAlias = Committed | Conflict | Unreachable | OutcomeUnknown


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The rows of a table at a version of the store.

    :param now: time by the store's steady clock, in seconds
    """

    rows: tuple[Row, ...]
    version: int
    now: float = 0.0


@dataclass(frozen=True, slots=True)
class RowChange:
    """A row that was written, or deleted if its value is ``None``."""

    key: str
    version: int
    value: JsonObject | None


@dataclass(frozen=True, slots=True)
class Changes:
    """The changes of a table up to a version of the store."""

    changes: tuple[RowChange, ...]
    version: int


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store no longer has the requested changes; the table has to be read."""


class Store(ABC):
    """A client of the store. Its calls return network and store failures as values.

    Keys of transactions and reads are ``TABLE/KEY``. In a partitioned table each row is
    a partition of its own, which the store writes independently of others.
    """

    @abstractmethod
    async def read_table(self, table: str) -> Snapshot | Unreachable:
        """Read all rows of a table.

        Of a partitioned table only the version is read, since reading its rows would
        take one call each.
        """

    @abstractmethod
    async def read_row(self, key: str) -> Row | None | Unreachable:
        """Return one row, ``None`` if it does not exist."""

    @abstractmethod
    async def follow(
        self, table: str, since: int, wait: float
    ) -> Changes | HistoryLost | Unreachable:
        """Wait for changes of a table after a version.

        :param wait: seconds after which the store responds even without changes
        """

    @abstractmethod
    async def commit(self, transaction: Transaction) -> CommitReply:
        """Execute a transaction whose keys belong to one table."""
