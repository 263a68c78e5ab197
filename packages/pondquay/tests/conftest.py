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
    """A directory with one possible witness."""

    witness: InstanceId | None
    gone: set[InstanceId] = field(default_factory=set)

    def witnesses(self) -> list[InstanceId]:
        return [] if self.witness is None else [self.witness]

    def is_usable(self, peer: InstanceId) -> bool:
        return peer not in self.gone

    def is_presumed_dead(self, peer: InstanceId) -> bool:
        return peer in self.gone

    def count(self) -> int:
        return len(self.witnesses())


@dataclass
class Pair:
    """A holder and its witness with the table between them."""

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
        """Deliver all messages of the holder, and the answers to them."""
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
        """Seal and close what the holder has."""
        self.witness_directory.gone.add(self.holder.instance)
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
    """Build a holder and a witness that share a budget of some tokens."""

    def make(limit: int) -> Pair:
        table = FaultyTable()
        write = Write(budget_key(WORKSPACE), dump_row(BudgetRow(limit)))
        table.transact(Transaction("limit", (), (write,)))
        own_id, peer = InstanceId("a", "1"), InstanceId("b", "1")
        own, others = FixedDirectory(peer), FixedDirectory(own_id)
        holder, witness = Holder(own_id), Witness()
        manager = GrantManager(holder, Proportional(), own)
        succession = Succession(peer, witness, others)
        return Pair(table, manager, holder, witness, succession, own, others)

    return make
