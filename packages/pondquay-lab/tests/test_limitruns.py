"""What is shared by permits stays within what is borne, and is used, at real sizes."""

from __future__ import annotations

import pytest

from pondquay_lab.limitruns import EvenShare, FewSenders, LimitRun, Permits, Scenario

MIN_USED = 0.8


@pytest.mark.parametrize("instances", [8, 100, 195])
@pytest.mark.parametrize("limit", [0.5, 5.0])
@pytest.mark.parametrize("busy", [False, True])
def test_permits_keep_to_the_limit_and_use_it(
    instances: int, limit: float, busy: bool
) -> None:
    found = LimitRun(Scenario(instances, limit, busy), Permits).run()
    assert found.most <= 1.0
    assert found.used >= MIN_USED


@pytest.mark.parametrize("fleet", [{"churn": True}, {"mixed": True}])
def test_they_keep_to_it_while_the_fleet_changes(fleet: dict[str, bool]) -> None:
    for instances in (8, 100):
        found = LimitRun(Scenario(instances, 5.0, **fleet), Permits).run()
        assert found.most <= 1.0
        assert found.used >= MIN_USED


def test_an_even_share_is_too_much_at_many_instances() -> None:
    assert LimitRun(Scenario(195, 5.0), EvenShare).run().most > 1.0


def test_few_senders_leave_a_limit_unused_where_others_have_the_callers() -> None:
    assert LimitRun(Scenario(100, 5.0, busy=True), FewSenders).run().used < MIN_USED
