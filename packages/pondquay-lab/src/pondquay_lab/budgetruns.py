"""Runs of the budget decisions over a workload, in virtual time.

The instances are the kernel's own holders, managers and witnesses; only the sockets
are left out. A run is a heap of events: arrivals, ends, maintenance, and faults.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import partial
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import TYPE_CHECKING, Any

from pondquay.budgets.directory import WitnessDirectory
from pondquay.budgets.holder import Holder
from pondquay.budgets.holdings import Attempt, AttemptState
from pondquay.budgets.manager import GrantManager, Refill
from pondquay.budgets.messages import Recall
from pondquay.budgets.policies import GRANT_POLICIES
from pondquay.budgets.rows import (
    GRANT_PREFIX,
    BudgetRow,
    budget_key,
    dump_row,
    parse_grant_key,
)
from pondquay.budgets.succession import Succession
from pondquay.budgets.witness import Witness
from pondquay.names import InstanceId, RequestName
from pondquay.tables import Transaction, Write
from pondquay_lab.programs import Fault, FaultyTable, Run
from pondquay_lab.workloads import Shares, count_tokens, make_arrivals

if TYPE_CHECKING:
    from collections.abc import Callable

    from pondquay.budgets.messages import HolderMessage, WitnessMessage
    from pondquay.names import GrantId
    from pondquay.tables import Program
    from pondquay_lab.workloads import Arrival

WORKSPACE = "bench"
INSTANCES = 8
DOMAINS = 3
WARM_SECONDS = 900.0
HOUR = 3600.0
REQUESTS_A_SECOND = 4.0
MAINTAIN_SECONDS = 1.0
SUSPECT_SECONDS = 4.0
DEATH_SECONDS = 600.0
SHIFT_FACTOR = 3.0
SHIFT_DOMAIN = 0


@dataclass(frozen=True, slots=True)
class Scenario:
    """What a run is like.

    :param ratio: budget left at the start of the hour over the hour's demand
    :param fault: ``well``, ``one-cut``, ``all-cut`` or ``deaths``
    :param demand: ``even``, ``skewed`` or ``shift``
    """

    ratio: float
    fault: str
    demand: str
    seed: int = 1


@dataclass(slots=True)
class Figures:
    """What came of the measured hour.

    :param false_refusals: refused though the budget as a whole could have paid
    :param stranded: tokens that a crash left with nobody
    """

    requests: int = 0
    refused: int = 0
    false_refusals: int = 0
    overspend: int = 0
    stranded: int = 0
    writes: int = 0

    @property
    def false_share(self) -> float:
        """Part of the requests that were falsely refused."""
        return self.false_refusals / max(1, self.requests)


class World:
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
        return next((one for one in self.nodes if one.me == instance), None)


class Node(WitnessDirectory):
    """One instance."""

    def __init__(self, world: World, index: int) -> None:
        self.world = world
        self.index = index
        self.domain = index % DOMAINS
        self.me = InstanceId(f"entry-{index}", str(next(world.boots)))
        self.holder = Holder(self.me)
        policy = GRANT_POLICIES.create(world.policy)
        self.manager = GrantManager(self.holder, policy, self)
        self.witness = Witness()
        self.succession = Succession(self.me, self.witness, self)
        self.died: dict[InstanceId, float] = {}

    def witnesses(self) -> list[InstanceId]:
        """Return the others of the domain, if the run has witnesses at all."""
        if not self.world.with_witnesses:
            return []
        others = [one for one in self.world.nodes if one is not self]
        return sorted(one.me for one in others if one.domain == self.domain)

    def is_usable(self, peer: InstanceId) -> bool:
        """Tell whether a peer lives."""
        return self.world.find(peer) is not None

    def is_gone(self, peer: InstanceId) -> bool:
        """Tell whether a peer has been dead for a while."""
        if self.world.find(peer) is not None:
            return False
        since = self.died.setdefault(peer, self.world.now)
        return self.world.now - since >= SUSPECT_SECONDS

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
            results = self.world.run(self, refill)
            if results.get(WORKSPACE) is Refill.EXHAUSTED:
                self.recall(tokens)
        return None

    def recall(self, tokens: int) -> None:
        """Ask the others to give back; a domain that is cut off does not hear it."""
        if self.domain in self.world.cut:
            return
        for node in self.world.nodes:
            if node is not self and node.domain not in self.world.cut:
                message = Recall(WORKSPACE, tokens)
                self.world.run(node, node.manager.answer_recall(message))

    def exchange(self) -> None:
        """Deliver what witnesses have not been told, and their answers."""
        for node in self.world.nodes:
            if node is self:
                continue
            for message in self.holder.take_messages(node.me):
                self.take_answer(node.witness.receive(message))
        for witness, flushed in self.holder.take_finished():
            self.tell(witness, flushed)

    def tell(self, witness: InstanceId, message: HolderMessage) -> None:
        """Send one message to a witness that lives."""
        node = self.world.find(witness)
        if node is not None:
            node.witness.receive(message)

    def take_answer(self, answer: WitnessMessage | None) -> None:
        """Take in a witness's answer."""
        if answer is None:
            return
        match answer.kind:
            case "acknowledge":
                self.holder.acknowledge(answer.grant, answer.seqs)
            case "settled":
                self.holder.note_witnessed(answer.grant, answer.seqs)
            case _:
                self.holder.refuse(answer.grant)

    def maintain(self) -> None:
        """Do what the daemon does every second."""
        self.manager.demands.update_rates(MAINTAIN_SECONDS)
        self.world.run(self, self.manager.flush())
        progress = self.world.run(self, self.manager.maintain())
        for witness, forget in progress.notices:
            self.tell(witness, forget)
        self.exchange()
        self.succession.seal_silent()
        for sealed in list(self.succession.sealed.values()):
            self.world.run(self, self.succession.wind_up(sealed))


@dataclass(slots=True)
class BudgetRun:
    """One run of one policy over one scenario.

    :param witnesses: whether grants have witnesses
    """

    scenario: Scenario
    policy: str
    witnesses: bool = True
    figures: Figures = field(default_factory=Figures)
    _events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    _order: count[int] = field(default_factory=count)
    _reserved: int = 0
    _spent: int = 0
    _spent_of: dict[GrantId, int] = field(default_factory=dict)
    limit: int = 0

    def run(self) -> Figures:
        """Play the scenario and return its figures."""
        arrivals = make_scenario(self.scenario)
        self.limit = find_limit(arrivals, self.scenario.ratio)
        world = World(self.policy, self.limit, witnesses=self.witnesses)
        for number, arrival in enumerate(arrivals):
            self.schedule(arrival.at, partial(self.arrive, world, arrival, number))
        self.schedule_ticks(world)
        self.schedule_faults(world)
        while self._events:
            world.now, _, event = heappop(self._events)
            event()
        self.figures.writes = world.table.table.transactions
        self.figures.stranded = self.count_stranded(world)
        self.figures.overspend = max(0, self._spent - self.limit)
        return self.figures

    def schedule(self, at: float, event: Callable[[], None]) -> None:
        """Let something happen at a time."""
        heappush(self._events, (at, next(self._order), event))

    def schedule_ticks(self, world: World) -> None:
        """Let every instance maintain its grants each second, none at the same time."""
        for index in range(INSTANCES):
            at = index / INSTANCES
            while at < WARM_SECONDS + HOUR:
                self.schedule(at, partial(world.maintain, index))
                at += MAINTAIN_SECONDS

    def schedule_faults(self, world: World) -> None:
        """Bring the scenario's faults about."""
        cuts = {"one-cut": {SHIFT_DOMAIN}, "all-cut": set(range(DOMAINS))}
        cut = cuts.get(self.scenario.fault, set())
        self.schedule(WARM_SECONDS, lambda: world.cut.update(cut))
        if self.scenario.fault != "deaths":
            return
        random = Random(self.scenario.seed)
        at = WARM_SECONDS + DEATH_SECONDS / 2
        while at < WARM_SECONDS + HOUR:
            victim = random.randrange(INSTANCES)
            self.schedule(at, partial(self.die, world, victim))
            at += DEATH_SECONDS

    def die(self, world: World, index: int) -> None:
        """Replace an instance by a new one that knows nothing."""
        world.nodes[index] = Node(world, index)

    def count_stranded(self, world: World) -> int:
        """Return what grants of dead holders still keep from the budget."""
        stranded = 0
        for key, row in world.table.values(GRANT_PREFIX).items():
            grant = parse_grant_key(key)
            if world.find(grant.holder) is None:
                stranded += row["amount"] - self._spent_of.get(grant, 0)
        return stranded

    def arrive(self, world: World, arrival: Arrival, number: int) -> None:
        """Take in one request."""
        measured = arrival.at >= WARM_SECONDS
        node = world.nodes[arrival.instance]
        attempt = node.serve(f"r{number}", arrival.reserve)
        self.figures.requests += measured
        if attempt is None:
            could = self.limit - self._spent - self._reserved >= arrival.reserve
            self.figures.refused += measured
            self.figures.false_refusals += measured and could
            return
        self._reserved += arrival.reserve
        self.schedule(
            arrival.at + arrival.seconds,
            partial(self.end, world, node, attempt, arrival),
        )

    def end(self, world: World, node: Node, attempt: Attempt, arrival: Arrival) -> None:
        """Settle one request."""
        self._reserved -= arrival.reserve
        self._spent += arrival.used
        grant = attempt.id.grant
        self._spent_of[grant] = self._spent_of.get(grant, 0) + arrival.used
        if world.find(node.me) is not None:
            node.holder.settle(attempt.id, arrival.used)
            node.exchange()
            return
        # Its instance died; the engine tells the witness what it cost.
        for other in world.nodes:
            other.witness.resolve(attempt.id, attempt.request, arrival.used)


def make_scenario(scenario: Scenario) -> list[Arrival]:
    """Return the requests of the warm-up and of the measured hour."""
    random = Random(scenario.seed)
    even = Shares.even(INSTANCES)
    shares = even if scenario.demand == "even" else Shares.skewed(INSTANCES)
    half = WARM_SECONDS + HOUR / 2
    later = shares
    if scenario.demand == "shift":
        shares = even
        domain = {one for one in range(INSTANCES) if one % DOMAINS == SHIFT_DOMAIN}
        later = even.shifted(frozenset(domain), SHIFT_FACTOR)
    rate = REQUESTS_A_SECOND
    arrivals = make_arrivals(random, shares, rate, 0.0, half)
    return arrivals + make_arrivals(random, later, rate, half, WARM_SECONDS + HOUR)


def find_limit(arrivals: list[Arrival], ratio: float) -> int:
    """Return the limit that leaves a ratio of the hour's demand at its start."""
    warm = [one for one in arrivals if one.at < WARM_SECONDS]
    hour = [one for one in arrivals if one.at >= WARM_SECONDS]
    return count_tokens(warm) + int(ratio * count_tokens(hour))


def run_shared(scenario: Scenario, groups: Callable[[int], int | None]) -> Figures:
    """Play a scenario with counters that some instances share, as a baseline.

    At the start of the hour the budget is split between the groups in proportion to
    what each will need, which only hindsight knows.

    :param groups: the group of an instance, ``None`` if it can reach no counter
    """
    arrivals = make_scenario(scenario)
    limit = find_limit(arrivals, scenario.ratio)
    hour = [one for one in arrivals if one.at >= WARM_SECONDS]
    left: dict[int | None, float] = {None: 0.0}
    total = count_tokens(hour)
    budget = limit - count_tokens([one for one in arrivals if one.at < WARM_SECONDS])
    for one in hour:
        group = groups(one.instance)
        if group is not None:
            left[group] = left.get(group, 0.0) + budget * one.used / total
    return _play_counters(hour, left, budget, groups)


def _play_counters(
    hour: list[Arrival],
    left: dict[int | None, float],
    whole: float,
    groups: Callable[[int], int | None],
) -> Figures:
    """Play the hour; what is refused falsely is judged by the whole budget."""
    figures = Figures()
    ends: list[tuple[float, int, int | None, int]] = []
    for number, one in enumerate(hour):
        while ends and ends[0][0] <= one.at:
            _, _, group, back = heappop(ends)
            left[group] += back
            whole += back
        group = groups(one.instance)
        figures.requests += 1
        if left[group] >= one.reserve:
            left[group] -= one.reserve
            whole -= one.reserve
            back = one.reserve - one.used
            heappush(ends, (one.at + one.seconds, number, group, back))
            continue
        figures.refused += 1
        figures.false_refusals += whole >= one.reserve
    return figures
