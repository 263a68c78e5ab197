from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import pytest

from pondquay.budgets.directory import WitnessDirectory
from pondquay.budgets.holder import Holder
from pondquay.budgets.manager import GrantManager
from pondquay.budgets.rows import BudgetRow, budget_key, dump_row
from pondquay.budgets.sizing import Proportional
from pondquay.budgets.succession import Succession
from pondquay.budgets.witness import Witness
from pondquay.names import InstanceId, RequestName
from pondquay.tables import Transaction, Write
from pondquay_lab.programs import FaultyTable, run_program

if TYPE_CHECKING:
    from collections.abc import Callable

    from pondquay.budgets.holdings import Attempt

WORKSPACE = "captions"


@dataclass
class FixedDirectory(WitnessDirectory):
    """A directory with at most one witness."""

    witness: InstanceId | None
    dead: set[InstanceId] = field(default_factory=set)

    def witnesses(self) -> list[InstanceId]:
        return [] if self.witness is None else [self.witness]

    def is_usable(self, peer: InstanceId) -> bool:
        return peer not in self.dead

    def is_presumed_dead(self, peer: InstanceId) -> bool:
        return peer in self.dead

    def count(self) -> int:
        return len(self.witnesses())


@dataclass
class Pair:
    """A holder and a witness that share a table."""

    table: FaultyTable
    manager: GrantManager
    holder: Holder
    witness: Witness
    succession: Succession
    holder_directory: FixedDirectory
    witness_directory: FixedDirectory

    @property
    def budget(self) -> BudgetRow:
        return BudgetRow(**self.table.value(budget_key(WORKSPACE)))

    def refill(self, tokens: int) -> None:
        run_program(self.manager.refill({WORKSPACE: [tokens]}), self.table)

    def reserve(self, key: str, tokens: int) -> Attempt | None:
        return self.holder.reserve(
            RequestName(WORKSPACE, key), tokens, "engine", self.manager.is_usable
        )

    def exchange(self) -> None:
        """Deliver all messages of the holder and the responses to them."""
        for message in self.holder.take_messages(self.succession.instance):
            response = self.witness.receive(message)
            match response and response.kind:
                case "acknowledge":
                    self.holder.acknowledge(response.grant, response.seqs)  # type: ignore[union-attr]
                case "settled":
                    self.holder.note_witnessed(response.grant, response.seqs)  # type: ignore[union-attr]
                case "refuse" | "settle-refused":
                    self.holder.refuse(response.grant)  # type: ignore[union-attr]

    def declare_holder_dead(self) -> None:
        """Seal and close the grants of the holder."""
        self.witness_directory.dead.add(self.holder.instance)
        self.succession.seal_unresponsive()
        run_program(
            self.succession.seal_unknown_grants(self.holder.instance), self.table
        )
        self.close_sealed()

    def close_sealed(self) -> None:
        for sealed in list(self.succession.sealed.values()):
            run_program(self.succession.close_sealed(sealed), self.table)


@pytest.fixture
def make_pair() -> Callable[[int], Pair]:
    """Return a factory of holders and witnesses that share a budget."""

    def make(limit: int) -> Pair:
        table = FaultyTable()
        write = Write(budget_key(WORKSPACE), dump_row(BudgetRow(limit)))
        table.transact(Transaction("limit", (), (write,)))
        holder_id, witness_id = InstanceId("a", "1"), InstanceId("b", "1")
        holder_directory, witness_directory = (
            FixedDirectory(witness_id),
            FixedDirectory(holder_id),
        )
        holder, witness = Holder(holder_id), Witness()
        manager = GrantManager(holder, Proportional(), holder_directory)
        succession = Succession(witness_id, witness, witness_directory)
        return Pair(
            table,
            manager,
            holder,
            witness,
            succession,
            holder_directory,
            witness_directory,
        )

    return make
