"""Discrete-event simulation of the budget decisions over a workload.

The events of a run are arrivals and ends of requests, maintenance, and faults. Messages
and table calls are direct calls instead of network traffic.
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
    HOUR_SECONDS,
    INSTANCES,
    SHIFT_DOMAIN,
    WARMUP_SECONDS,
    BudgetResults,
    Scenario,
    compute_limit,
    make_scenario_arrivals,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from pondquay.budgets.holdings import Attempt
    from pondquay.names import GrantId
    from pondquay_lab.workloads import Arrival

# Interval between crashes of instances.
CRASH_INTERVAL_SECONDS = 600.0


@dataclass(slots=True)
class BudgetRun:
    """One run of one policy over one scenario.

    :param witnesses: whether grants have witnesses
    """

    scenario: Scenario
    policy: str
    witnesses: bool = True
    results: BudgetResults = field(default_factory=BudgetResults)
    _events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    _order: count[int] = field(default_factory=count)
    _reserved: int = 0
    _spent: int = 0
    _spent_of: dict[GrantId, int] = field(default_factory=dict)
    limit: int = 0

    def run(self) -> BudgetResults:
        """Run the scenario and return its results."""
        arrivals = make_scenario_arrivals(self.scenario)
        self.limit = compute_limit(arrivals, self.scenario.ratio)
        simulation = Simulation(self.policy, self.limit, witnesses=self.witnesses)
        for number, arrival in enumerate(arrivals):
            self.schedule(arrival.at, partial(self.arrive, simulation, arrival, number))
        self.schedule_maintenance(simulation)
        self.schedule_faults(simulation)
        while self._events:
            simulation.now, _, event = heappop(self._events)
            event()
        self.results.writes = simulation.table.table.transactions
        self.results.stranded = self.count_stranded(simulation)
        self.results.overspend = max(0, self._spent - self.limit)
        return self.results

    def schedule(self, at: float, event: Callable[[], None]) -> None:
        """Schedule an event at a time."""
        heappush(self._events, (at, next(self._order), event))

    def schedule_maintenance(self, simulation: Simulation) -> None:
        """Schedule maintenance of every instance each second, at staggered times."""
        for index in range(INSTANCES):
            at = index / INSTANCES
            while at < WARMUP_SECONDS + HOUR_SECONDS:
                self.schedule(at, partial(simulation.maintain, index))
                at += MAINTAIN_SECONDS

    def schedule_faults(self, simulation: Simulation) -> None:
        """Schedule the scenario's faults."""
        isolated_by_fault = {"one-cut": {SHIFT_DOMAIN}, "all-cut": set(range(DOMAINS))}
        isolated_domains = isolated_by_fault.get(self.scenario.fault, set())
        self.schedule(
            WARMUP_SECONDS, lambda: simulation.isolated_domains.update(isolated_domains)
        )
        if self.scenario.fault != "deaths":
            return
        random = Random(self.scenario.seed)
        at = WARMUP_SECONDS + CRASH_INTERVAL_SECONDS / 2
        while at < WARMUP_SECONDS + HOUR_SECONDS:
            index = random.randrange(INSTANCES)
            self.schedule(at, partial(self.replace_instance, simulation, index))
            at += CRASH_INTERVAL_SECONDS

    def replace_instance(self, simulation: Simulation, index: int) -> None:
        """Simulate a crash: replace an instance by a new incarnation without state."""
        simulation.nodes[index] = Node(simulation, index)

    def count_stranded(self, simulation: Simulation) -> int:
        """Return the unspent tokens in the grants of crashed holders."""
        stranded = 0
        for key, row in simulation.table.values(GRANT_PREFIX).items():
            grant = parse_grant_key(key)
            if simulation.find_node(grant.holder) is None:
                stranded += row["amount"] - self._spent_of.get(grant, 0)
        return stranded

    def arrive(self, simulation: Simulation, arrival: Arrival, number: int) -> None:
        """Handle the arrival of a request."""
        measured = arrival.at >= WARMUP_SECONDS
        node = simulation.nodes[arrival.instance]
        attempt = node.reserve_tokens(f"r{number}", arrival.reserve)
        self.results.requests += measured
        if attempt is None:
            affordable = self.limit - self._spent - self._reserved >= arrival.reserve
            self.results.refused += measured
            self.results.false_refusals += measured and affordable
            return
        self._reserved += arrival.reserve
        self.schedule(
            arrival.at + arrival.seconds,
            partial(self.end, simulation, node, attempt, arrival),
        )

    def end(
        self, simulation: Simulation, node: Node, attempt: Attempt, arrival: Arrival
    ) -> None:
        """Settle a request that has ended."""
        self._reserved -= arrival.reserve
        self._spent += arrival.used
        grant = attempt.id.grant
        self._spent_of[grant] = self._spent_of.get(grant, 0) + arrival.used
        if simulation.find_node(node.own_id) is not None:
            node.holder.settle(attempt.id, arrival.used)
            node.deliver_messages()
            return
        # The instance has crashed, so the engine reports the cost to the witnesses.
        for other in simulation.nodes:
            other.witness.resolve(attempt.id, attempt.request, arrival.used)
