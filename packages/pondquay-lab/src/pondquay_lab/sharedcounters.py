"""A baseline for the budget simulation: counters shared by groups of instances."""

from __future__ import annotations

from heapq import heappop, heappush
from typing import TYPE_CHECKING

from pondquay_lab.budgetscenarios import (
    WARMUP_SECONDS,
    BudgetResults,
    Scenario,
    compute_limit,
    make_scenario_arrivals,
)
from pondquay_lab.workloads import count_tokens

if TYPE_CHECKING:
    from collections.abc import Callable

    from pondquay_lab.workloads import Arrival


def run_shared_counters(
    scenario: Scenario, group_of: Callable[[int], int | None]
) -> BudgetResults:
    """Run a scenario with one counter for each group of instances.

    The budget is split among the groups at the start of the hour, in proportion to
    their demand in that hour, which a real system cannot know beforehand.

    :param group_of: returns an instance's group, ``None`` if it can reach no counter
    """
    arrivals = make_scenario_arrivals(scenario)
    limit = compute_limit(arrivals, scenario.ratio)
    hour_arrivals = [arrival for arrival in arrivals if arrival.at >= WARMUP_SECONDS]
    remaining: dict[int | None, float] = {None: 0.0}
    demand = count_tokens(hour_arrivals)
    budget = limit - count_tokens(
        [arrival for arrival in arrivals if arrival.at < WARMUP_SECONDS]
    )
    for arrival in hour_arrivals:
        group = group_of(arrival.instance)
        if group is not None:
            remaining[group] = (
                remaining.get(group, 0.0) + budget * arrival.used / demand
            )
    return _run_counters(hour_arrivals, remaining, budget, group_of)


def _run_counters(
    hour_arrivals: list[Arrival],
    remaining: dict[int | None, float],
    total_remaining: float,
    group_of: Callable[[int], int | None],
) -> BudgetResults:
    """Run the measured hour.

    A refusal is false if the remaining budget of all groups covers the request.
    """
    results = BudgetResults()
    ends: list[tuple[float, int, int | None, int]] = []
    for number, arrival in enumerate(hour_arrivals):
        while ends and ends[0][0] <= arrival.at:
            _, _, group, unused = heappop(ends)
            remaining[group] += unused
            total_remaining += unused
        group = group_of(arrival.instance)
        results.requests += 1
        if remaining[group] >= arrival.reserve:
            remaining[group] -= arrival.reserve
            total_remaining -= arrival.reserve
            unused = arrival.reserve - arrival.used
            heappush(ends, (arrival.at + arrival.seconds, number, group, unused))
            continue
        results.refused += 1
        results.false_refusals += total_remaining >= arrival.reserve
    return results
