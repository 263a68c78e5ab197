"""Running table programs against an in-memory table, step by step and with faults."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING, Any, Generic, TypeVar

from pondquay.tables import (
    Committed,
    Conflict,
    OutcomeUnknown,
    Read,
    Row,
    Rows,
    Transaction,
    Unreachable,
)
from pondquay_standins.tables import Table

if TYPE_CHECKING:
    from pondquay.tables import Program, TableCall, TableReply

T = TypeVar("T")


class Fault(StrEnum):
    """What becomes of one call."""

    NONE = "none"
    UNREACHABLE = "unreachable"
    LOST_BEFORE = "lost-before"
    LOST_AFTER = "lost-after"
    DELAYED = "delayed"


@dataclass(slots=True)
class FaultyTable:
    """A table whose calls may go wrong.

    :param delayed: transactions still on their way; they may take effect later
    """

    table: Table = field(default_factory=Table)
    delayed: list[Transaction] = field(default_factory=list)

    def call(self, call: TableCall, fault: Fault = Fault.NONE) -> TableReply:
        """Carry out a call and return what its sender learns."""
        if isinstance(call, Read):
            if fault is not Fault.NONE:
                return Unreachable()
            return self.read(call)
        if fault is Fault.UNREACHABLE:
            return Unreachable()
        if fault is Fault.LOST_BEFORE:
            return OutcomeUnknown()
        if fault is Fault.DELAYED:
            self.delayed.append(call)
            return OutcomeUnknown()
        committed = self.transact(call)
        if fault is Fault.LOST_AFTER:
            return OutcomeUnknown()
        return Committed() if committed else Conflict()

    def read(self, call: Read) -> Rows:
        """Read rows."""
        found = self.table.read(list(call.keys), list(call.prefixes))
        return Rows({one["key"]: Row(**one) for one in found})

    def transact(self, call: Transaction) -> bool:
        """Carry out a transaction, with its values as the network would carry them."""
        conditions = [
            {"key": one.key, "version": one.version} for one in call.conditions
        ]
        writes: list[dict[str, Any]] = [
            {"key": one.key, "value": json.loads(json.dumps(one.value))}
            for one in call.writes
        ]
        return self.table.transact(conditions, writes)

    def deliver_delayed(self, index: int) -> None:
        """Let a transaction that was on its way arrive."""
        self.transact(self.delayed.pop(index))

    def value(self, key: str) -> Any:
        """Return the value of a row, ``None`` if there is none."""
        row = self.table.rows.get(key)
        return None if row is None else row.value

    def values(self, prefix: str) -> dict[str, Any]:
        """Return the values of all rows below a prefix."""
        return {
            key: row.value
            for key, row in self.table.rows.items()
            if key.startswith(prefix)
        }


class Run(Generic[T]):
    """A program under way; between two steps anything else may happen.

    :param result: what the program returned, once ``done``
    """

    def __init__(self, program: Program[T]) -> None:
        self._program = program
        self.done = False
        self.result: T | None = None
        self.call: TableCall | None = None
        self._advance(None)

    def _advance(self, reply: TableReply | None) -> None:
        try:
            self.call = (
                next(self._program) if reply is None else self._program.send(reply)
            )
        except StopIteration as stop:
            self.done = True
            self.call = None
            self.result = stop.value

    def step(self, table: FaultyTable, fault: Fault = Fault.NONE) -> None:
        """Carry out the program's next call."""
        if self.call is not None:
            self._advance(table.call(self.call, fault))


def run_program(
    program: Program[T], table: FaultyTable, faults: tuple[Fault, ...] = ()
) -> T:
    """Run a program to its end.

    :param faults: what goes wrong with its first calls
    """
    run = Run(program)
    pending = list(faults)
    while not run.done:
        run.step(table, pending.pop(0) if pending else Fault.NONE)
    result: T = run.result  # type: ignore[assignment]
    return result
