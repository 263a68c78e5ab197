"""Runs of the budget decisions over a workload, in virtual time.

Only the sockets are left out. A run is a heap of events: arrivals, ends, maintenance,
and faults.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import partial
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import TYPE_CHECKING

from pondquay.budgets.rows import GRANT_PREFIX, parse_grant_key
from pondquay_lab.budgetnodes import MAINTAIN_SECONDS, Node, Simulation
from pondquay_lab.budgetscenarios import (
    DOMAINS,
    HOUR,
    INSTANCES,
    SHIFT_DOMAIN,
    WARM_SECONDS,
    Figures,
    Scenario,
    find_limit,
    make_scenario,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from pondquay.budgets.holdings import Attempt
    from pondquay.names import GrantId
    from pondquay_lab.workloads import Arrival

# An instance dies each so many seconds.
DEATH_SECONDS = 600.0


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
        simulation = Simulation(self.policy, self.limit, witnesses=self.witnesses)
        for number, arrival in enumerate(arrivals):
            self.schedule(arrival.at, partial(self.arrive, simulation, arrival, number))
        self.schedule_ticks(simulation)
        self.schedule_faults(simulation)
        while self._events:
            simulation.now, _, event = heappop(self._events)
            event()
        self.figures.writes = simulation.table.table.transactions
        self.figures.stranded = self.count_stranded(simulation)
        self.figures.overspend = max(0, self._spent - self.limit)
        return self.figures

    def schedule(self, at: float, event: Callable[[], None]) -> None:
        """Let something happen at a time."""
        heappush(self._events, (at, next(self._order), event))

    def schedule_ticks(self, simulation: Simulation) -> None:
        """Let every instance maintain its grants each second, none at the same time."""
        for index in range(INSTANCES):
            at = index / INSTANCES
            while at < WARM_SECONDS + HOUR:
                self.schedule(at, partial(simulation.maintain, index))
                at += MAINTAIN_SECONDS

    def schedule_faults(self, simulation: Simulation) -> None:
        """Bring the scenario's faults about."""
        cuts = {"one-cut": {SHIFT_DOMAIN}, "all-cut": set(range(DOMAINS))}
        cut = cuts.get(self.scenario.fault, set())
        self.schedule(WARM_SECONDS, lambda: simulation.cut.update(cut))
        if self.scenario.fault != "deaths":
            return
        random = Random(self.scenario.seed)
        at = WARM_SECONDS + DEATH_SECONDS / 2
        while at < WARM_SECONDS + HOUR:
            victim = random.randrange(INSTANCES)
            self.schedule(at, partial(self.die, simulation, victim))
            at += DEATH_SECONDS

    def die(self, simulation: Simulation, index: int) -> None:
        """Replace an instance by a new one that knows nothing."""
        simulation.nodes[index] = Node(simulation, index)

    def count_stranded(self, simulation: Simulation) -> int:
        """Return what grants of dead holders still keep from the budget."""
        stranded = 0
        for key, row in simulation.table.values(GRANT_PREFIX).items():
            grant = parse_grant_key(key)
            if simulation.find(grant.holder) is None:
                stranded += row["amount"] - self._spent_of.get(grant, 0)
        return stranded

    def arrive(self, simulation: Simulation, arrival: Arrival, number: int) -> None:
        """Take in one request."""
        measured = arrival.at >= WARM_SECONDS
        node = simulation.nodes[arrival.instance]
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
            partial(self.end, simulation, node, attempt, arrival),
        )

    def end(
        self, simulation: Simulation, node: Node, attempt: Attempt, arrival: Arrival
    ) -> None:
        """Settle one request."""
        self._reserved -= arrival.reserve
        self._spent += arrival.used
        grant = attempt.id.grant
        self._spent_of[grant] = self._spent_of.get(grant, 0) + arrival.used
        if simulation.find(node.own_id) is not None:
            node.holder.settle(attempt.id, arrival.used)
            node.exchange()
            return
        # Its instance died; the engine tells the witness what it cost.
        for other in simulation.nodes:
            other.witness.resolve(attempt.id, attempt.request, arrival.used)
