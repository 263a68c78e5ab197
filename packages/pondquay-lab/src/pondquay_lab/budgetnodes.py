"""Instances of the budget simulation, which run the production code for budgets."""

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
    """The instances of a run, their table and the state of the network.

    :ivar isolated_domains: domains whose instances cannot reach the table
    """

    def __init__(self, policy: str, limit: int, *, witnesses: bool) -> None:
        self.policy = policy
        self.with_witnesses = witnesses
        self.table = FaultyTable()
        write = Write(budget_key(WORKSPACE), dump_row(BudgetRow(limit)))
        self.table.transact(Transaction("limit", (), (write,)))
        self.isolated_domains: set[int] = set()
        self.now = 0.0
        self.boot_numbers = count(1)
        self.nodes = [Node(self, index) for index in range(INSTANCES)]

    @property
    def budget(self) -> BudgetRow:
        """The stored row of the budget."""
        return BudgetRow(**self.table.value(budget_key(WORKSPACE)))

    def run(self, node: Node, program: Program[Any]) -> Any:
        """Run a table program of an instance to its end and return its result.

        In an isolated domain every call of the program finds the table unreachable.
        """
        fault = (
            Fault.UNREACHABLE if node.domain in self.isolated_domains else Fault.NONE
        )
        run = Run(program)
        while not run.done:
            run.step(self.table, fault)
        return run.result

    def maintain(self, index: int) -> None:
        """Run the periodic maintenance of an instance."""
        self.nodes[index].maintain()

    def find_node(self, instance: InstanceId) -> Node | None:
        """Return a running instance, ``None`` if it has been replaced."""
        return next((node for node in self.nodes if node.own_id == instance), None)


class Node(WitnessDirectory):
    """One simulated instance."""

    def __init__(self, simulation: Simulation, index: int) -> None:
        self.simulation = simulation
        self.index = index
        self.domain = index % DOMAINS
        self.own_id = InstanceId(f"entry-{index}", str(next(simulation.boot_numbers)))
        self.holder = Holder(self.own_id)
        policy = GRANT_POLICIES.create(simulation.policy)
        self.manager = GrantManager(self.holder, policy, self)
        self.witness = Witness()
        self.succession = Succession(self.own_id, self.witness, self)
        self.missing_since: dict[InstanceId, float] = {}

    def witnesses(self) -> list[InstanceId]:
        """Return the other instances of the domain, none in a run without witnesses."""
        if not self.simulation.with_witnesses:
            return []
        others = [node for node in self.simulation.nodes if node is not self]
        return sorted(node.own_id for node in others if node.domain == self.domain)

    def is_usable(self, peer: InstanceId) -> bool:
        """Return whether a peer is running."""
        return self.simulation.find_node(peer) is not None

    def is_presumed_dead(self, peer: InstanceId) -> bool:
        """Return whether a peer has been missing for ``SUSPECT_SECONDS``."""
        if self.simulation.find_node(peer) is not None:
            return False
        since = self.missing_since.setdefault(peer, self.simulation.now)
        return self.simulation.now - since >= SUSPECT_SECONDS

    def count(self) -> int:
        """Return the number of peers."""
        return INSTANCES - 1

    def reserve_tokens(self, name: str, tokens: int) -> Attempt | None:
        """Reserve tokens for a request; refill the grant and recall tokens if needed.

        :returns: ``None`` if the request is refused
        """
        self.manager.demands.note(WORKSPACE, tokens)
        request = RequestName(WORKSPACE, name)
        for _ in range(3):
            attempt = self.holder.reserve(
                request, tokens, "engine", self.manager.is_usable
            )
            if attempt is not None:
                self.deliver_messages()
                return attempt if attempt.state is AttemptState.ACKNOWLEDGED else None
            refill = self.manager.refill({WORKSPACE: [tokens]})
            results = self.simulation.run(self, refill)
            if results.get(WORKSPACE) is RefillResult.EXHAUSTED:
                self.recall(tokens)
        return None

    def recall(self, tokens: int) -> None:
        """Ask all other instances outside isolated domains to return tokens.

        An instance of an isolated domain asks none.
        """
        if self.domain in self.simulation.isolated_domains:
            return
        for node in self.simulation.nodes:
            if node is not self and node.domain not in self.simulation.isolated_domains:
                message = Recall(WORKSPACE, tokens)
                self.simulation.run(node, node.manager.handle_recall(message))

    def deliver_messages(self) -> None:
        """Deliver pending messages to witnesses, and their responses to the holder."""
        for node in self.simulation.nodes:
            if node is self:
                continue
            for message in self.holder.take_messages(node.own_id):
                self.handle_response(node.witness.receive(message))
        for witness, flushed in self.holder.take_finished():
            self.send(witness, flushed)

    def send(self, witness: InstanceId, message: HolderMessage) -> None:
        """Deliver one message to a witness if it is running."""
        node = self.simulation.find_node(witness)
        if node is not None:
            node.witness.receive(message)

    def handle_response(self, response: WitnessMessage | None) -> None:
        """Handle a witness's response."""
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
        """Run the maintenance that the daemon runs every second."""
        self.manager.demands.update_rates(MAINTAIN_SECONDS)
        self.simulation.run(self, self.manager.flush())
        progress = self.simulation.run(self, self.manager.maintain())
        for witness, forget in progress.notices:
            self.send(witness, forget)
        self.deliver_messages()
        self.succession.seal_unresponsive()
        for sealed in list(self.succession.sealed.values()):
            self.simulation.run(self, self.succession.close_sealed(sealed))
