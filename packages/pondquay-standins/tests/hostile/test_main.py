from __future__ import annotations

from pondquay_standins.hostile.__main__ import list_plans
from pondquay_standins.hostile.behaviours import list_behaviours


def test_each_behaviour_has_a_plan() -> None:
    plans = list_plans(seed=1, requests=2)
    assert {name for plan in plans for name in plan.behaviours} == set(
        list_behaviours()
    )
    assert any(plan.cut_off and plan.signals for plan in plans)


def test_each_behaviour_can_be_made() -> None:
    assert all(make() is not None for make in list_behaviours().values())
