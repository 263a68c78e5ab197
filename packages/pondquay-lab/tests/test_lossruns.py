"""A fleet that loses all its instances serves what its budgets can still pay."""

from __future__ import annotations

import pytest

from pondquay.policy import RelayPolicy
from pondquay_lab.lossruns import SCENARIOS, run_scenario

# Least fraction of affordable requests that is served late after the return.
MIN_LATE_FRACTION = 0.25
# Least fraction that is served over the day.
MIN_DAY_FRACTION = 0.9
# Least fraction that is served in a short outage of the table while most of the budget
# is left.
MIN_OUTAGE_FRACTION = 0.75
# Factor by which holders by demand serve more in a cut, and one by which the tokens
# that a loss strands may differ by chance.
MIN_CUT_FACTOR = 1.5
MAX_STRANDED_FACTOR = 1.05


def test_late_after_crashes_and_a_loss_of_all_a_quarter_is_served() -> None:
    """Guards against unused tokens of ended instances being lost to their callers."""
    result = run_scenario(SCENARIOS["crashes, loss of all"])
    assert result.late.fraction >= MIN_LATE_FRACTION


def test_in_a_large_fleet_a_loss_of_all_costs_at_most_a_tenth_of_the_service() -> None:
    """Guards against tokens of borrowers that grow with the number of instances."""
    result = run_scenario(SCENARIOS["loss of all, 86 instances"])
    assert result.day.fraction >= MIN_DAY_FRACTION


@pytest.mark.parametrize("name", ["early outage", "early outage, 86 instances"])
def test_an_outage_of_the_table_is_bridged_while_most_of_the_budget_is_left(
    name: str,
) -> None:
    """Guards against headroom that is so small that any outage stops service."""
    assert run_scenario(SCENARIOS[name]).outage.fraction >= MIN_OUTAGE_FRACTION


def test_in_a_cut_an_instance_with_half_the_demand_serves_from_its_allotment() -> None:
    """Guards against borrowers that have most of the callers and nothing ahead."""
    scenario = SCENARIOS["skewed, all cut off, 86 instances"]
    borrows = run_scenario(scenario, RelayPolicy(hold_by_demand=False))
    holds = run_scenario(scenario)
    assert holds.outage.fraction >= MIN_CUT_FACTOR * borrows.outage.fraction


def test_holders_by_demand_do_not_raise_the_price_of_a_loss_of_all() -> None:
    scenario = SCENARIOS["skewed, loss of all, 86 instances"]
    borrows = run_scenario(scenario, RelayPolicy(hold_by_demand=False))
    holds = run_scenario(scenario)
    bound = MAX_STRANDED_FACTOR * borrows.stranded_fraction
    assert holds.stranded_fraction <= bound
