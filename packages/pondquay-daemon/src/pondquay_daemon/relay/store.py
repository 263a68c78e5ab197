"""The interface to the platform's table store."""

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
    """A table as it was at a version of the store."""

    rows: tuple[Row, ...]
    version: int


@dataclass(frozen=True, slots=True)
class RowChange:
    """A row that was written, or deleted if it has no value."""

    key: str
    version: int
    value: JsonObject | None


@dataclass(frozen=True, slots=True)
class Changes:
    """What changed in a table, up to a version of the store."""

    changes: tuple[RowChange, ...]
    version: int


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store no longer knows what changed; the table has to be read."""


class Store(ABC):
    """A client of the store. No call raises for what the network or store does.

    Keys of transactions and reads are ``TABLE/KEY``. In a partitioned table each row is
    a partition by itself, which the store writes to without waiting for others.
    """

    @abstractmethod
    async def read_table(self, table: str) -> Snapshot | Unreachable:
        """Read all rows of a table.

        Of a partitioned table only the version is read, as that takes one call and its
        rows would take one each.
        """

    @abstractmethod
    async def read_row(self, key: str) -> Row | None | Unreachable:
        """Read one row, ``None`` if it is not there."""

    @abstractmethod
    async def follow(
        self, table: str, since: int, wait: float
    ) -> Changes | HistoryLost | Unreachable:
        """Wait for what changes in a table after a version.

        :param wait: seconds after which an answer comes in any case
        """

    @abstractmethod
    async def commit(self, transaction: Transaction) -> CommitReply:
        """Carry out a transaction whose keys lie in one table."""
