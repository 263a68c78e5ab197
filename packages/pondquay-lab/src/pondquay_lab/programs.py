"""Execution of table programs on an in-memory table, step by step and with faults."""

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
    """A fault that is injected into a call.

    For a transaction, ``LOST_BEFORE`` drops the request, ``LOST_AFTER`` drops only the
    reply, and ``DELAYED`` makes it take effect later; the outcome is unknown to the
    caller. Any fault makes a read fail as unreachable.
    """

    NONE = "none"
    UNREACHABLE = "unreachable"
    LOST_BEFORE = "lost-before"
    LOST_AFTER = "lost-after"
    DELAYED = "delayed"


@dataclass(slots=True)
class FaultyTable:
    """An in-memory table with injected faults.

    :param delayed: transactions that have not been executed yet
    """

    table: Table = field(default_factory=Table)
    delayed: list[Transaction] = field(default_factory=list)

    def call(self, call: TableCall, fault: Fault = Fault.NONE) -> TableReply:
        """Execute a call and return the reply that its caller receives."""
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
        """Return the rows of a read call."""
        rows = self.table.read(list(call.keys), list(call.prefixes))
        return Rows({row["key"]: Row(**row) for row in rows})

    def transact(self, call: Transaction) -> bool:
        """Execute a transaction, with its values converted to JSON and back.

        :returns: whether its conditions held
        """
        conditions = [
            {"key": condition.key, "version": condition.version}
            for condition in call.conditions
        ]
        writes: list[dict[str, Any]] = [
            {"key": write.key, "value": json.loads(json.dumps(write.value))}
            for write in call.writes
        ]
        return self.table.transact(conditions, writes)

    def deliver_delayed(self, index: int) -> None:
        """Execute a delayed transaction."""
        self.transact(self.delayed.pop(index))

    def value(self, key: str) -> Any:
        """Return the value of a row, ``None`` if there is no such row."""
        row = self.table.rows.get(key)
        return None if row is None else row.value

    def values(self, prefix: str) -> dict[str, Any]:
        """Return the values of all rows whose keys start with a prefix, by key."""
        return {
            key: row.value
            for key, row in self.table.rows.items()
            if key.startswith(prefix)
        }


class Run(Generic[T]):
    """The execution of a program in steps, which can be interleaved with other runs.

    :ivar done: whether the program has ended
    :ivar result: the program's return value, once it is done
    :ivar call: the call that the next step executes, ``None`` once it is done
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
        """Execute the program's next call, if it is not done."""
        if self.call is not None:
            self._advance(table.call(self.call, fault))


def run_program(
    program: Program[T], table: FaultyTable, faults: tuple[Fault, ...] = ()
) -> T:
    """Run a program to its end and return its result.

    :param faults: faults that are injected into the first calls, in order
    """
    run = Run(program)
    pending = list(faults)
    while not run.done:
        run.step(table, pending.pop(0) if pending else Fault.NONE)
    result: T = run.result  # type: ignore[assignment]
    return result
