"""How many crashes it takes to find a part, and what is refused beside it."""

from __future__ import annotations

from statistics import fmean

import pytest

from pondquay_lab.partruns import (
    CountRule,
    ExplanationRule,
    Load,
    ServedRule,
    WaitingRule,
    run_draws,
    run_joint_ends,
)

DRAWS = 20
# Crashes that must be borne, and requests that may follow them.
BORNE_CRASHES = 5
MAX_LATE = 3
MAX_REFUSED_FRACTION = 0.1


@pytest.mark.parametrize("neighbours", [1, 8, 64])
def test_a_part_is_found_in_time_and_sound_requests_are_served(neighbours: int) -> None:
    totals = run_draws(ExplanationRule, Load(neighbours, completed=2), DRAWS)
    assert max(totals.crashes) <= BORNE_CRASHES + MAX_LATE
    assert fmean(totals.refused) <= MAX_REFUSED_FRACTION


def test_a_part_is_found_in_time_if_nothing_was_served_before() -> None:
    totals = run_draws(ExplanationRule, Load(8, completed=2, warm=False), DRAWS)
    assert max(totals.crashes) <= BORNE_CRASHES + MAX_LATE
    assert fmean(totals.refused) <= MAX_REFUSED_FRACTION


def test_counting_crashes_alone_refuses_more_sound_requests() -> None:
    load = Load(8, completed=2)
    counted = run_draws(CountRule, load, DRAWS)
    explained = run_draws(ExplanationRule, load, DRAWS)
    assert fmean(explained.refused) < fmean(counted.refused)


def test_a_part_that_was_served_before_is_found_only_by_explanations() -> None:
    load = Load(8, completed=2, served_once=True)
    assert fmean(run_draws(ServedRule, load, DRAWS).crashes) > 2 * BORNE_CRASHES
    found = run_draws(ExplanationRule, load, DRAWS)
    assert fmean(found.crashes) <= BORNE_CRASHES


@pytest.mark.parametrize("neighbours", [1, 8, 64])
def test_a_part_is_found_though_upstreams_crash_before_responses_begin(
    neighbours: int,
) -> None:
    totals = run_draws(WaitingRule, Load(neighbours, completed=2), DRAWS)
    assert max(totals.crashes) <= BORNE_CRASHES + MAX_LATE
    assert fmean(totals.refused) <= MAX_REFUSED_FRACTION


@pytest.mark.parametrize("neighbours", [1, 8, 64])
@pytest.mark.parametrize("warm", [False, True])
def test_upstreams_that_end_together_cause_no_refusals(
    neighbours: int, warm: bool
) -> None:
    load = Load(neighbours, completed=0, warm=warm)
    assert run_joint_ends(load, DRAWS) == [0.0] * DRAWS
