"""Permits keep a fleet within an upstream's limit and use most of the limit."""

from __future__ import annotations

import pytest

from pondquay_lab.limitruns import EvenShare, FewSenders, LimitRun, Permits, Scenario

MIN_UTILIZATION = 0.8


@pytest.mark.parametrize("instances", [8, 100, 195])
@pytest.mark.parametrize("limit", [0.5, 5.0])
@pytest.mark.parametrize("concentrated", [False, True])
def test_permits_keep_to_the_limit_and_use_it(
    instances: int, limit: float, concentrated: bool
) -> None:
    result = LimitRun(Scenario(instances, limit, concentrated), Permits).run()
    assert result.peak_ratio <= 1.0
    assert result.utilization >= MIN_UTILIZATION


@pytest.mark.parametrize("fleet", [{"churn": True}, {"mixed": True}])
def test_permits_keep_to_the_limit_while_fleet_changes(fleet: dict[str, bool]) -> None:
    for instances in (8, 100):
        result = LimitRun(Scenario(instances, 5.0, **fleet), Permits).run()
        assert result.peak_ratio <= 1.0
        assert result.utilization >= MIN_UTILIZATION


def test_even_share_exceeds_limit_with_many_instances() -> None:
    assert LimitRun(Scenario(195, 5.0), EvenShare).run().peak_ratio > 1.0


def test_few_senders_underuse_limit_if_callers_use_one_instance() -> None:
    assert (
        LimitRun(Scenario(100, 5.0, concentrated=True), FewSenders).run().utilization
        < MIN_UTILIZATION
    )
