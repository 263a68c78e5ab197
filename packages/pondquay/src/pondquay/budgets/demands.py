"""How many tokens each workspace uses at one instance, and what policies are told."""

from __future__ import annotations

from dataclasses import dataclass
from math import exp
from typing import TYPE_CHECKING

from pondquay.budgets.policies import GrantView

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence

    from pondquay.budgets.holdings import Holding
    from pondquay.budgets.rows import BudgetRow

# Workspaces for which an instance keeps tokens without having seen a request.
MAX_WATCHED = 200
MEMORY_SECONDS = 900.0
PRIOR_SECONDS = 60.0
SECONDS_AN_HOUR = 3600


@dataclass(slots=True)
class Demand:
    """What a workspace uses here.

    :param budget: the budget's row as last read
    :param rate: tokens a second, over the last few minutes
    :param total: tokens that the rate was made from, the older the less they count
    :param seconds: the time that they were reserved in, counted alike
    :param reserved: tokens reserved since the rate was last brought up to date
    :param largest: the most that a recent request reserved
    """

    budget: BudgetRow | None = None
    rate: float = 0.0
    total: float = 0.0
    seconds: float = PRIOR_SECONDS
    reserved: int = 0
    largest: int = 0

    def fleet_rate(self, holdings: Sequence[Holding], instances: int) -> float:
        """Return what all instances spend a second, as the budget's row tells it.

        What the row counts of this instance is replaced by what it knows itself.

        :param holdings: this instance's grants of the workspace
        """
        if self.budget is None or self.budget.demand == 0:
            return self.rate * instances
        own = sum(one.demand for one in holdings)
        others = max(0, self.budget.demand - own)
        return self.rate + others / SECONDS_AN_HOUR


class DemandBook:
    """The demand of all workspaces that an instance keeps tokens for."""

    def __init__(self) -> None:
        self._demands: dict[str, Demand] = {}

    def __iter__(self) -> Iterator[str]:
        return iter(list(self._demands))

    def find(self, workspace: str) -> Demand:
        """Return a workspace's demand, which is kept from now on."""
        return self._demands.setdefault(workspace, Demand())

    def note(self, workspace: str, tokens: int) -> None:
        """Count tokens that a request wants to reserve."""
        demand = self.find(workspace)
        demand.reserved += tokens
        demand.largest = max(demand.largest, tokens)

    def watch(self, workspaces: Iterable[str]) -> None:
        """Keep a base of tokens for some workspaces before any request asks for them.

        :param workspaces: names; beyond a bound they wait for their first request
        """
        for workspace in workspaces:
            if len(self._demands) >= MAX_WATCHED:
                return
            self.find(workspace)

    def update_rates(self, seconds: float) -> None:
        """Bring the rates up to date.

        :param seconds: since the last time
        """
        fading = exp(-seconds / MEMORY_SECONDS)
        for demand in self._demands.values():
            demand.total = fading * demand.total + demand.reserved
            demand.seconds = fading * demand.seconds + seconds
            demand.rate = demand.total / demand.seconds
            demand.reserved = 0

    def view(
        self,
        workspace: str,
        requested: int,
        holdings: Sequence[Holding],
        instances: int,
    ) -> GrantView:
        """Return what a policy is told of a workspace.

        :param requested: tokens that waiting requests need now
        :param holdings: this instance's grants of the workspace
        """
        demand = self.find(workspace)
        budget = demand.budget
        return GrantView(
            limit=0 if budget is None else budget.limit,
            free=0 if budget is None else budget.free,
            remaining=0 if budget is None else budget.remaining,
            holding=sum(one.free for one in holdings),
            running=sum(one.reserved for one in holdings),
            rate=demand.rate,
            fleet_rate=demand.fleet_rate(holdings, instances),
            instances=instances,
            requested=requested,
            largest=demand.largest,
        )
