"""Token demand of each workspace at one instance, and the input of grant policies."""

from __future__ import annotations

from dataclasses import dataclass
from math import exp
from typing import TYPE_CHECKING

from pondquay.budgets.policies import GrantView

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence

    from pondquay.budgets.holdings import Holding
    from pondquay.budgets.rows import BudgetRow

# Once this many workspaces are tracked, others are added only at their first request.
MAX_WATCHED = 200
# Time constant of the exponential average of the demand.
RATE_SECONDS = 900.0
# Initial period without demand, so that the first request does not yield a high rate.
INITIAL_SECONDS = 60.0
SECONDS_PER_HOUR = 3600


@dataclass(slots=True)
class Demand:
    """Demand of a workspace at this instance.

    :param budget: the budget's row as last read or written
    :param rate: tokens per second, as an average over the last minutes
    :param total: tokens reserved, with exponentially decaying weights
    :param seconds: time in which they were reserved, with the same weights
    :param reserved: tokens reserved since the last update of the rate
    :param largest: tokens of the largest request
    """

    budget: BudgetRow | None = None
    rate: float = 0.0
    total: float = 0.0
    seconds: float = INITIAL_SECONDS
    reserved: int = 0
    largest: int = 0

    def fleet_rate(self, holdings: Sequence[Holding], instances: int) -> float:
        """Return the tokens that all instances spend per second.

        The budget's row has the reported sum, in which this instance's part is replaced
        by its newer rate. Without a sum, every instance is assumed to have this rate.

        :param holdings: this instance's grants of the workspace
        """
        if self.budget is None or self.budget.demand == 0:
            return self.rate * instances
        own = sum(holding.demand for holding in holdings)
        others = max(0, self.budget.demand - own)
        return self.rate + others / SECONDS_PER_HOUR


class DemandTracker:
    """Tracks the demand of workspaces at one instance."""

    def __init__(self) -> None:
        self._demands: dict[str, Demand] = {}

    def __iter__(self) -> Iterator[str]:
        return iter(list(self._demands))

    def find(self, workspace: str) -> Demand:
        """Return a workspace's demand; start tracking it if it is new."""
        return self._demands.setdefault(workspace, Demand())

    def note(self, workspace: str, tokens: int) -> None:
        """Record the tokens that a request needs to reserve."""
        demand = self.find(workspace)
        demand.reserved += tokens
        demand.largest = max(demand.largest, tokens)

    def watch(self, workspaces: Iterable[str]) -> None:
        """Track workspaces before their first request.

        :param workspaces: names; those beyond a limit are tracked from their first
            request
        """
        for workspace in workspaces:
            if len(self._demands) >= MAX_WATCHED:
                return
            self.find(workspace)

    def update_rates(self, seconds: float) -> None:
        """Update the rates.

        :param seconds: time since the last update
        """
        decay = exp(-seconds / RATE_SECONDS)
        for demand in self._demands.values():
            demand.total = decay * demand.total + demand.reserved
            demand.seconds = decay * demand.seconds + seconds
            demand.rate = demand.total / demand.seconds
            demand.reserved = 0

    def view(
        self,
        workspace: str,
        requested: int,
        holdings: Sequence[Holding],
        instances: int,
    ) -> GrantView:
        """Return a policy's view of a workspace.

        :param requested: tokens that waiting requests need now
        :param holdings: this instance's grants of the workspace
        :param instances: number of instances that spend the budget, as far as known
        """
        demand = self.find(workspace)
        budget = demand.budget
        return GrantView(
            limit=0 if budget is None else budget.limit,
            free=0 if budget is None else budget.free,
            remaining=0 if budget is None else budget.remaining,
            available=sum(holding.free for holding in holdings),
            reserved=sum(holding.reserved for holding in holdings),
            rate=demand.rate,
            fleet_rate=demand.fleet_rate(holdings, instances),
            instances=instances,
            requested=requested,
            largest=demand.largest,
        )
