"""A baseline for budgets: counters that some instances share."""

from __future__ import annotations

from heapq import heappop, heappush
from typing import TYPE_CHECKING

from pondquay_lab.budgetscenarios import (
    WARM_SECONDS,
    Figures,
    Scenario,
    find_limit,
    make_scenario,
)
from pondquay_lab.workloads import count_tokens

if TYPE_CHECKING:
    from collections.abc import Callable

    from pondquay_lab.workloads import Arrival


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
