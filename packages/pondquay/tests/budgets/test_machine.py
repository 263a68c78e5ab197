"""A state machine of one domain: budgets and bills are exact under any failures.

Calls to the table and messages are lost, late or doubled; instances pause and crash.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from pondquay.billing.fold import fold_segments
from pondquay.budgets.directory import WitnessDirectory
from pondquay.budgets.holder import Holder
from pondquay.budgets.holdings import Attempt, AttemptState
from pondquay.budgets.manager import GrantManager
from pondquay.budgets.rows import BudgetRow, budget_key, dump_row
from pondquay.budgets.sizing import Proportional
from pondquay.budgets.succession import Succession
from pondquay.budgets.witness import Witness
from pondquay.names import AttemptId, InstanceId, RequestName
from pondquay.tables import Transaction, Write
from pondquay_lab.programs import Fault, FaultyTable, Run, run_program

if TYPE_CHECKING:
    from pondquay.tables import Program

LIMIT = 300
WORKSPACE = "captions"
NAMES = ("a", "b", "c")
KEYS = ("k1", "k2", "k3", "k4")
# Most calls succeed, so that examples reach states in which a fault matters.
faults = st.sampled_from([Fault.NONE] * 8 + list(Fault))
indexes = st.integers(0, 30)


class Directory(WitnessDirectory):
    """The failure detector of one instance, with results set by the test."""

    def __init__(self, simulation: Simulation, own_id: InstanceId) -> None:
        self.simulation = simulation
        self.own_id = own_id
        self.presumed_dead: set[InstanceId] = set()
        self.unresponsive: set[InstanceId] = set()

    def witnesses(self) -> list[InstanceId]:
        others = [peer for peer in self.simulation.nodes if peer != self.own_id]
        return sorted(peer for peer in others if self.is_usable(peer))

    def is_usable(self, peer: InstanceId) -> bool:
        return peer not in self.presumed_dead and peer not in self.unresponsive

    def is_presumed_dead(self, peer: InstanceId) -> bool:
        return peer in self.presumed_dead or peer not in self.simulation.nodes

    def count(self) -> int:
        return len(self.simulation.nodes) - 1


@dataclass
class Stream:
    """A stream at the upstream."""

    request: RequestName
    reserve: int
    state: str = "running"
    tokens: int = 0


class Node:
    """One instance.

    :ivar exclusive_run: the running program of those that must not run concurrently
    :ivar concurrent_runs: other running programs
    """

    def __init__(self, simulation: Simulation, own_id: InstanceId) -> None:
        self.own_id = own_id
        self.directory = Directory(simulation, own_id)
        self.holder = Holder(own_id)
        self.manager = GrantManager(self.holder, Proportional(), self.directory)
        self.witness = Witness()
        self.succession = Succession(own_id, self.witness, self.directory)
        self.exclusive_run: Run[Any] | None = None
        self.concurrent_runs: list[Run[Any]] = []
        self.dispatched: set[AttemptId] = set()

    def attempts(self) -> list[Attempt]:
        holdings = self.holder.list_holdings()
        return [
            attempt for holding in holdings for attempt in holding.attempts.values()
        ]

    def runs(self) -> list[Run[Any]]:
        own = [] if self.exclusive_run is None else [self.exclusive_run]
        return own + self.concurrent_runs


@dataclass
class Simulation:
    """All instances, messages in transit, the table and the upstream's streams."""

    nodes: dict[InstanceId, Node] = field(default_factory=dict)
    messages: list[tuple[InstanceId, InstanceId, Any]] = field(default_factory=list)
    table: FaultyTable = field(default_factory=FaultyTable)
    streams: dict[str, Stream] = field(default_factory=dict)
    boots: int = 0

    def add(self, name: str) -> Node:
        self.boots += 1
        node = Node(self, InstanceId(name, str(self.boots)))
        self.nodes[node.own_id] = node
        return node

    def set_limit(self, limit: int) -> None:
        row = dump_row(BudgetRow(limit))
        write = Write(budget_key(WORKSPACE), row)
        self.table.transact(Transaction("limit", (), (write,)))

    def budget(self) -> BudgetRow:
        return BudgetRow(**self.table.value(budget_key(WORKSPACE)))

    def start_stream(self, attempt: Attempt) -> None:
        """Start the stream of a dispatched attempt; names are never reused."""
        if attempt.stream not in self.streams:
            self.streams[attempt.stream] = Stream(attempt.request, attempt.reserve)

    def cancel(self, stream: str, request: RequestName) -> str:
        known = self.streams.setdefault(stream, Stream(request, 0, "cancelled"))
        if known.state == "running":
            known.state = "cancelled"
        return known.state

    def surplus(self) -> int:
        account = self.table.value(f"account/{WORKSPACE}")
        return 0 if account is None else int(account["surplus"])

    def liability(self) -> int:
        """Return the tokens of finished streams and the reserves of running ones.

        The surplus, which is returned to the budget, is deducted.
        """
        total = 0
        for stream in self.streams.values():
            if stream.state == "running":
                total += stream.reserve
            elif stream.state == "finished":
                total += stream.tokens
        return total - self.surplus()


class BudgetMachine(RuleBasedStateMachine):
    """Applies rules in any order and checks the invariants after each of them."""

    def __init__(self) -> None:
        super().__init__()
        self.simulation = Simulation()
        self.simulation.set_limit(LIMIT)
        for name in NAMES:
            self.simulation.add(name)

    def pick_node(self, index: int) -> Node:
        nodes = list(self.simulation.nodes.values())
        return nodes[index % len(nodes)]

    # Actions of an instance

    @rule(index=indexes, tokens=st.integers(1, 90))
    def refill(self, index: int, tokens: int) -> None:
        node = self.pick_node(index)
        if node.exclusive_run is None:
            node.manager.demands.note(WORKSPACE, tokens)
            node.exclusive_run = Run(node.manager.refill({WORKSPACE: [tokens]}))

    @rule(index=indexes, rebalance=st.booleans())
    def maintain(self, index: int, rebalance: bool) -> None:
        node = self.pick_node(index)
        if node.exclusive_run is None:
            node.manager.demands.update_rates(1.0)
            node.exclusive_run = Run(node.manager.maintain(rebalance=rebalance))

    @rule(index=indexes)
    def close_all(self, index: int) -> None:
        node = self.pick_node(index)
        if node.exclusive_run is None:
            node.exclusive_run = Run(node.manager.close_all())

    @rule(index=indexes)
    def flush(self, index: int) -> None:
        node = self.pick_node(index)
        self.begin(node, node.manager.flush(2))

    def begin(self, node: Node, program: Program[Any]) -> None:
        if len(node.concurrent_runs) < 3:
            node.concurrent_runs.append(Run(program))

    @rule(index=indexes, which=indexes, fault=faults)
    def step(self, index: int, which: int, fault: Fault) -> None:
        """Execute one call of one running program, with or without a fault."""
        node = self.pick_node(index)
        runs = node.runs()
        if runs:
            runs[which % len(runs)].step(self.simulation.table, fault)
        if node.exclusive_run is not None and node.exclusive_run.done:
            node.exclusive_run = None
        node.concurrent_runs = [run for run in node.concurrent_runs if not run.done]

    @rule(index=indexes, key=st.sampled_from(KEYS), tokens=st.integers(1, 60))
    def serve(self, index: int, key: str, tokens: int) -> None:
        """Reserve tokens for a request and dispatch it, without any fault."""
        node = self.pick_node(index)
        self.finish_program(index)
        request = RequestName(WORKSPACE, key)
        usable = node.manager.is_usable
        if node.holder.reserve(request, tokens, "engine", usable) is None:
            run_program(
                node.manager.refill({WORKSPACE: [tokens]}), self.simulation.table
            )
            node.holder.reserve(request, tokens, "engine", usable)
        self.send(index)
        self.deliver_all()
        self.dispatch(index, 0)

    @rule(index=indexes)
    def finish_program(self, index: int) -> None:
        """Run the exclusive program to its end."""
        node = self.pick_node(index)
        while node.exclusive_run is not None:
            self.step(index, 0, Fault.NONE)

    @rule(index=indexes, which=indexes, percent=st.integers(0, 100))
    def finish_and_bill(self, index: int, which: int, percent: int) -> None:
        """Finish a stream and write its bill to the table."""
        node = self.pick_node(index)
        self.finish_stream(which, percent)
        self.settle(index, 0)
        run_program(node.manager.flush(), self.simulation.table)

    @rule(index=indexes, tokens=st.integers(1, 90), fault=faults)
    def refill_with_fault(self, index: int, tokens: int, fault: Fault) -> None:
        """Refill with the same fault in the second and third call to the table."""
        node = self.pick_node(index)
        if node.exclusive_run is None:
            program = node.manager.refill({WORKSPACE: [tokens]})
            run_program(program, self.simulation.table, (Fault.NONE, fault, fault))

    @rule(index=indexes, tokens=st.integers(1, 90), fault=faults)
    def return_with_fault(self, index: int, tokens: int, fault: Fault) -> None:
        """Return tokens with the same fault in the second and third call."""
        node = self.pick_node(index)
        if node.exclusive_run is None:
            program = node.manager.return_tokens(WORKSPACE, tokens)
            run_program(program, self.simulation.table, (Fault.NONE, fault, fault))

    @rule(index=indexes, other=indexes, fault=faults)
    def close_grants_of_peer(self, index: int, other: int, fault: Fault) -> None:
        """Close the grants of a running peer that is wrongly presumed dead."""
        node, peer = self.pick_node(index), self.pick_node(other)
        if node is peer:
            return
        node.directory.presumed_dead.add(peer.own_id)
        node.succession.seal_unresponsive()
        run_program(
            node.succession.seal_unknown_grants(peer.own_id), self.simulation.table
        )
        for sealed in list(node.succession.sealed.values()):
            program = node.succession.close_sealed(sealed)
            run_program(program, self.simulation.table, (Fault.NONE, fault, fault))

    @rule()
    def deliver_all(self) -> None:
        """Deliver all messages in transit, once and in order."""
        while self.simulation.messages:
            self.handle_message(*self.simulation.messages.pop(0))

    @rule(index=indexes, key=st.sampled_from(KEYS), tokens=st.integers(1, 60))
    def reserve(self, index: int, key: str, tokens: int) -> None:
        node = self.pick_node(index)
        request = RequestName(WORKSPACE, key)
        node.holder.reserve(request, tokens, "engine", node.manager.is_usable)

    @rule(index=indexes)
    def send(self, index: int) -> None:
        node = self.pick_node(index)
        for peer in list(self.simulation.nodes):
            for message in node.holder.take_messages(peer):
                self.simulation.messages.append((node.own_id, peer, message))
        for peer, flushed in node.holder.take_finished():
            self.simulation.messages.append((node.own_id, peer, flushed))

    @rule(index=indexes)
    def reconnect(self, index: int) -> None:
        node = self.pick_node(index)
        for peer in list(self.simulation.nodes):
            node.holder.requeue_unconfirmed(peer)

    @rule(index=indexes, which=indexes)
    def dispatch(self, index: int, which: int) -> None:
        """Dispatch an acknowledged attempt, however late."""
        node = self.pick_node(index)
        ready = [
            candidate
            for candidate in node.attempts()
            if candidate.state is AttemptState.ACKNOWLEDGED
            and candidate.id not in node.dispatched
        ]
        if ready:
            attempt = ready[which % len(ready)]
            node.dispatched.add(attempt.id)
            self.simulation.start_stream(attempt)

    @rule(index=indexes, which=indexes)
    def settle(self, index: int, which: int) -> None:
        """Settle dispatched attempts whose streams have ended."""
        node = self.pick_node(index)
        for attempt in node.attempts()[which % 5 :]:
            stream = self.simulation.streams.get(attempt.stream)
            if attempt.id in node.dispatched and stream is not None:
                self.settle_from_stream(node, attempt, stream)

    def settle_from_stream(self, node: Node, attempt: Attempt, stream: Stream) -> None:
        if stream.state == "finished":
            node.holder.settle(attempt.id, stream.tokens)
        elif stream.state == "cancelled":
            node.holder.settle(attempt.id, None)

    @rule(index=indexes, which=indexes)
    def settle_unacknowledged(self, index: int, which: int) -> None:
        """Settle an attempt that is not acknowledged yet."""
        node = self.pick_node(index)
        waiting = [
            attempt
            for attempt in node.attempts()
            if attempt.state is AttemptState.INTENDED
        ]
        if waiting:
            node.holder.settle(waiting[which % len(waiting)].id, None)

    # Actions of the network, the upstream and the platform

    @precondition(lambda self: self.simulation.messages)
    @rule(which=indexes, duplicate=st.booleans())
    def deliver(self, which: int, duplicate: bool) -> None:
        messages = self.simulation.messages
        sender, receiver, message = messages[which % len(messages)]
        if not duplicate:
            del messages[which % len(messages)]
        self.handle_message(sender, receiver, message)

    def handle_message(
        self, sender: InstanceId, receiver: InstanceId, message: Any
    ) -> None:
        node = self.simulation.nodes.get(receiver)
        if node is None:
            return
        match message.kind:
            case "acknowledge":
                node.holder.acknowledge(message.grant, message.seqs)
            case "refuse" | "settle-refused":
                node.holder.refuse(message.grant)
            case "settled":
                node.holder.note_witnessed(message.grant, message.seqs)
            case _:
                response = node.witness.receive(message)
                if response is not None:
                    self.simulation.messages.append((receiver, sender, response))

    @precondition(lambda self: self.simulation.messages)
    @rule(which=indexes)
    def lose_message(self, which: int) -> None:
        del self.simulation.messages[which % len(self.simulation.messages)]

    @precondition(lambda self: self.simulation.table.delayed)
    @rule(which=indexes)
    def deliver_delayed_call(self, which: int) -> None:
        """Let a delayed transaction take effect."""
        delayed = self.simulation.table.delayed
        self.simulation.table.deliver_delayed(which % len(delayed))

    @rule(which=indexes, percent=st.integers(0, 100))
    def finish_stream(self, which: int, percent: int) -> None:
        running = [
            candidate
            for candidate in self.simulation.streams.values()
            if candidate.state == "running"
        ]
        if running:
            stream = running[which % len(running)]
            stream.state = "finished"
            stream.tokens = stream.reserve * percent // 100

    @rule()
    def fold(self) -> None:
        run_program(fold_segments(3), self.simulation.table)

    @rule(fault=faults)
    def fold_with_fault(self, fault: Fault) -> None:
        run_program(
            fold_segments(3), self.simulation.table, (Fault.NONE, Fault.NONE, fault)
        )

    # Failure detection, crashes, succession

    @rule(index=indexes, other=indexes, presumed_dead=st.booleans())
    def suspect(self, index: int, other: int, presumed_dead: bool) -> None:
        node, peer = self.pick_node(index), self.pick_node(other)
        if node is not peer:
            (
                node.directory.presumed_dead
                if presumed_dead
                else node.directory.unresponsive
            ).add(peer.own_id)

    @rule(index=indexes)
    def clear_suspicion(self, index: int) -> None:
        directory = self.pick_node(index).directory
        directory.presumed_dead.clear()
        directory.unresponsive.clear()

    @rule(index=indexes, calls_lost=st.booleans())
    def crash(self, index: int, calls_lost: bool) -> None:
        """Crash an instance, whose last calls may still reach the table."""
        node = self.pick_node(index)
        del self.simulation.nodes[node.own_id]
        for run in node.runs():
            if not calls_lost and isinstance(run.call, Transaction):
                self.simulation.table.delayed.append(run.call)
        self.simulation.add(node.own_id.name)

    @rule(index=indexes)
    def close_sealed_grants(self, index: int) -> None:
        node = self.pick_node(index)
        node.succession.seal_unresponsive()
        for sealed in list(node.succession.sealed.values()):
            grant = node.witness.grants.get(sealed.id)
            if grant is not None and sealed.closed:
                self.resolve_open_attempts(node, grant)
            self.begin(node, node.succession.close_sealed(sealed))

    def resolve_open_attempts(self, node: Node, grant: Any) -> None:
        """Resolve open attempts with the upstream, as the recovery task does."""
        for seq, intent in list(grant.open.items()):
            stream = self.simulation.streams.get(intent.stream)
            if stream is not None and stream.state == "running":
                continue
            state = self.simulation.cancel(intent.stream, intent.request)
            attempt = AttemptId(grant.id, seq)
            if state == "finished":
                tokens = self.simulation.streams[intent.stream].tokens
                node.witness.resolve(attempt, intent.request, tokens)
            elif state == "cancelled":
                node.witness.resolve(attempt, intent.request, None)

    @rule(index=indexes)
    def seal_unknown(self, index: int) -> None:
        node = self.pick_node(index)
        for key in self.simulation.table.values("grant/"):
            holder = InstanceId.parse(key.removeprefix("grant/").rpartition("/")[0])
            if node.directory.is_presumed_dead(holder):
                self.begin(node, node.succession.seal_unknown_grants(holder))

    # Invariants

    @invariant()
    def spend_never_exceeds_the_budget(self) -> None:
        budget = self.simulation.budget()
        assert 0 <= budget.granted <= budget.limit
        assert self.simulation.liability() <= budget.granted

    @invariant()
    def ledger_bills_each_request_once_and_as_it_ran(self) -> None:
        for key, billed in self.simulation.table.values(f"bill/{WORKSPACE}/").items():
            request = RequestName(WORKSPACE, key.rpartition("/")[2])
            finished = [
                stream
                for stream in self.simulation.streams.values()
                if stream.request == request and stream.state == "finished"
            ]
            assert len(set(billed["attempts"])) == len(billed["attempts"])
            assert len(billed["attempts"]) <= len(finished)
            assert billed["tokens"] in [stream.tokens for stream in finished]

    def teardown(self) -> None:
        """Check that after all faults each request is billed and no tokens are lost."""
        if not self.simulation.nodes:
            return
        simulation = self.simulation
        self.spend_all()
        while simulation.table.delayed:
            simulation.table.deliver_delayed(0)
        self.spend_all()
        for stream in simulation.streams.values():
            if stream.state == "running":
                stream.state = "finished"
                stream.tokens = stream.reserve // 2
        orphaned = self.orphaned_grants()
        for _ in range(4):
            for node in simulation.nodes.values():
                self.quiesce(node)
            while simulation.messages:
                self.handle_message(*simulation.messages.pop(0))
        self.check_end(orphaned)

    def spend_all(self) -> None:
        """Let every instance spend all its free tokens."""
        for index, node in enumerate(list(self.simulation.nodes.values())):
            node.directory.unresponsive.clear()
            node.directory.presumed_dead.clear()
            self.reconnect(index)
            self.send(index)
            self.deliver_all()
            for holding in node.holder.list_holdings():
                while holding.free > 0:
                    request = RequestName(
                        WORKSPACE, f"last-{len(self.simulation.streams)}"
                    )
                    free = holding.free
                    node.holder.reserve(request, free, "engine", lambda _: True)
                    self.send(index)
                    self.deliver_all()
                    self.dispatch_all(node)
        self.spend_never_exceeds_the_budget()

    def dispatch_all(self, node: Node) -> None:
        for attempt in node.attempts():
            if attempt.state is AttemptState.ACKNOWLEDGED:
                node.dispatched.add(attempt.id)
                self.simulation.start_stream(attempt)

    def orphaned_grants(self) -> set[str]:
        """Return the grants that no running instance can close."""
        orphaned = set()
        for key, row in list_grant_rows(self.simulation).items():
            holder = InstanceId.parse(key.rpartition("/")[0])
            witness = InstanceId.parse(row["witness"]) if row["witness"] else None
            if (
                holder not in self.simulation.nodes
                and witness not in self.simulation.nodes
            ):
                orphaned.add(key)
            if holder not in self.simulation.nodes and row["state"] == "sealed":
                orphaned.add(key)
        return orphaned

    def quiesce(self, node: Node) -> None:
        table = self.simulation.table
        node.directory.presumed_dead.clear()
        node.directory.unresponsive.clear()
        for run in node.runs():
            while not run.done:
                run.step(table)
        node.exclusive_run = None
        node.concurrent_runs = []
        for attempt in node.attempts():
            stream = self.simulation.streams.get(attempt.stream)
            if attempt.state is AttemptState.SETTLED:
                continue
            if stream is None:
                node.holder.settle(attempt.id, None)
            else:
                self.settle_from_stream(node, attempt, stream)
        self.reconnect_all(node)
        run_program(node.manager.flush(), table)
        run_program(node.manager.close_all(), table)
        for key in list(list_grant_rows(self.simulation)):
            holder = InstanceId.parse(key.rpartition("/")[0])
            if holder not in self.simulation.nodes:
                run_program(node.succession.seal_unknown_grants(holder), table)
        node.succession.seal_unresponsive()
        for sealed in list(node.succession.sealed.values()):
            run_program(node.succession.close_sealed(sealed), table)
            grant = node.witness.grants.get(sealed.id)
            if grant is not None:
                self.resolve_open_attempts(node, grant)
                run_program(node.succession.close_sealed(sealed), table)

    def reconnect_all(self, node: Node) -> None:
        for peer in self.simulation.nodes:
            node.holder.requeue_unconfirmed(peer)
            for message in node.holder.take_messages(peer):
                self.simulation.messages.append((node.own_id, peer, message))

    def check_end(self, orphaned: set[str]) -> None:
        while run_program(fold_segments(), self.simulation.table).segments:  # type: ignore[union-attr]
            pass
        self.spend_never_exceeds_the_budget()
        self.ledger_bills_each_request_once_and_as_it_ran()
        remaining = list_grant_rows(self.simulation)
        held = sum(
            row["amount"] - row["spent"] if row["state"] == "open" else 0
            for row in remaining.values()
        )
        assert not set(remaining) - orphaned, (
            "a grant that can be closed is still open or held"
        )
        if orphaned:
            return
        account = self.simulation.table.value(f"account/{WORKSPACE}") or {"billed": 0}
        finished = {
            stream.request
            for stream in self.simulation.streams.values()
            if stream.state == "finished"
        }
        billed = self.simulation.table.values(f"bill/{WORKSPACE}/")
        assert len(billed) == len(finished), "a finished request is not billed"
        assert self.simulation.budget().granted == account["billed"] + held


def list_grant_rows(simulation: Simulation) -> dict[str, Any]:
    """Return the rows of grants by the grants' identifiers."""
    rows = simulation.table.values("grant/")
    return {key.removeprefix("grant/"): row for key, row in rows.items()}


TestBudgets = BudgetMachine.TestCase
TestBudgets.settings = settings(max_examples=150, stateful_step_count=60, deadline=None)
