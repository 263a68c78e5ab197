"""The instances of a run: the kernel's own holders, managers and witnesses."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING, Any

from pondquay.budgets.directory import WitnessDirectory
from pondquay.budgets.holder import Holder
from pondquay.budgets.holdings import Attempt, AttemptState
from pondquay.budgets.manager import GrantManager, RefillResult
from pondquay.budgets.messages import Recall
from pondquay.budgets.policies import GRANT_POLICIES
from pondquay.budgets.rows import BudgetRow, budget_key, dump_row
from pondquay.budgets.succession import Succession
from pondquay.budgets.witness import Witness
from pondquay.names import InstanceId, RequestName
from pondquay.tables import Transaction, Write
from pondquay_lab.budgetscenarios import DOMAINS, INSTANCES
from pondquay_lab.programs import Fault, FaultyTable, Run

if TYPE_CHECKING:
    from pondquay.budgets.messages import HolderMessage, WitnessMessage
    from pondquay.tables import Program

WORKSPACE = "bench"
MAINTAIN_SECONDS = 1.0
SUSPECT_SECONDS = 4.0


class Simulation:
    """The instances of a run and what is between them."""

    def __init__(self, policy: str, limit: int, *, witnesses: bool) -> None:
        self.policy = policy
        self.with_witnesses = witnesses
        self.table = FaultyTable()
        write = Write(budget_key(WORKSPACE), dump_row(BudgetRow(limit)))
        self.table.transact(Transaction("limit", (), (write,)))
        self.cut: set[int] = set()
        self.now = 0.0
        self.boots = count(1)
        self.nodes = [Node(self, index) for index in range(INSTANCES)]

    @property
    def budget(self) -> BudgetRow:
        """The budget's row."""
        return BudgetRow(**self.table.value(budget_key(WORKSPACE)))

    def run(self, node: Node, program: Program[Any]) -> Any:
        """Run a program of an instance, if the table can be reached from there."""
        fault = Fault.UNREACHABLE if node.domain in self.cut else Fault.NONE
        run = Run(program)
        while not run.done:
            run.step(self.table, fault)
        return run.result

    def maintain(self, index: int) -> None:
        """Let an instance do what it does every second."""
        self.nodes[index].maintain()

    def find(self, instance: InstanceId) -> Node | None:
        """Return a living instance."""
        return next((one for one in self.nodes if one.own_id == instance), None)


class Node(WitnessDirectory):
    """One instance."""

    def __init__(self, simulation: Simulation, index: int) -> None:
        self.simulation = simulation
        self.index = index
        self.domain = index % DOMAINS
        self.own_id = InstanceId(f"entry-{index}", str(next(simulation.boots)))
        self.holder = Holder(self.own_id)
        policy = GRANT_POLICIES.create(simulation.policy)
        self.manager = GrantManager(self.holder, policy, self)
        self.witness = Witness()
        self.succession = Succession(self.own_id, self.witness, self)
        self.died: dict[InstanceId, float] = {}

    def witnesses(self) -> list[InstanceId]:
        """Return the others of the domain, if the run has witnesses at all."""
        if not self.simulation.with_witnesses:
            return []
        others = [one for one in self.simulation.nodes if one is not self]
        return sorted(one.own_id for one in others if one.domain == self.domain)

    def is_usable(self, peer: InstanceId) -> bool:
        """Tell whether a peer lives."""
        return self.simulation.find(peer) is not None

    def is_presumed_dead(self, peer: InstanceId) -> bool:
        """Tell whether a peer has been dead for a while."""
        if self.simulation.find(peer) is not None:
            return False
        since = self.died.setdefault(peer, self.simulation.now)
        return self.simulation.now - since >= SUSPECT_SECONDS

    def count(self) -> int:
        """Return how many peers there are."""
        return INSTANCES - 1

    def serve(self, name: str, tokens: int) -> Attempt | None:
        """Reserve for a request, refilling if need be."""
        self.manager.demands.note(WORKSPACE, tokens)
        request = RequestName(WORKSPACE, name)
        for _ in range(3):
            attempt = self.holder.reserve(
                request, tokens, "engine", self.manager.is_usable
            )
            if attempt is not None:
                self.exchange()
                return attempt if attempt.state is AttemptState.ACKNOWLEDGED else None
            refill = self.manager.refill({WORKSPACE: [tokens]})
            results = self.simulation.run(self, refill)
            if results.get(WORKSPACE) is RefillResult.EXHAUSTED:
                self.recall(tokens)
        return None

    def recall(self, tokens: int) -> None:
        """Ask the others to give back; a domain that is cut off does not hear it."""
        if self.domain in self.simulation.cut:
            return
        for node in self.simulation.nodes:
            if node is not self and node.domain not in self.simulation.cut:
                message = Recall(WORKSPACE, tokens)
                self.simulation.run(node, node.manager.handle_recall(message))

    def exchange(self) -> None:
        """Deliver what witnesses have not been told, and their answers."""
        for node in self.simulation.nodes:
            if node is self:
                continue
            for message in self.holder.take_messages(node.own_id):
                self.take_response(node.witness.receive(message))
        for witness, flushed in self.holder.take_finished():
            self.tell(witness, flushed)

    def tell(self, witness: InstanceId, message: HolderMessage) -> None:
        """Send one message to a witness that lives."""
        node = self.simulation.find(witness)
        if node is not None:
            node.witness.receive(message)

    def take_response(self, response: WitnessMessage | None) -> None:
        """Take in a witness's answer."""
        if response is None:
            return
        match response.kind:
            case "acknowledge":
                self.holder.acknowledge(response.grant, response.seqs)
            case "settled":
                self.holder.note_witnessed(response.grant, response.seqs)
            case _:
                self.holder.refuse(response.grant)

    def maintain(self) -> None:
        """Do what the daemon does every second."""
        self.manager.demands.update_rates(MAINTAIN_SECONDS)
        self.simulation.run(self, self.manager.flush())
        progress = self.simulation.run(self, self.manager.maintain())
        for witness, forget in progress.notices:
            self.tell(witness, forget)
        self.exchange()
        self.succession.seal_unresponsive()
        for sealed in list(self.succession.sealed.values()):
            self.simulation.run(self, self.succession.close_sealed(sealed))
