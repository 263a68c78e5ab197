from __future__ import annotations

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from pondquay.budgets.policies import GrantView
from pondquay.budgets.sizing import BASE_FRACTION, Proportional

LIMIT = 1_000_000
UNUSED = GrantView(
    limit=LIMIT,
    free=LIMIT,
    remaining=LIMIT,
    holding=0,
    running=0,
    rate=0.0,
    fleet_rate=0.0,
    instances=4,
    requested=0,
)


def test_an_instance_without_requests_takes_a_base_and_keeps_it() -> None:
    base = Proportional().decide(UNUSED)
    assert base == BASE_FRACTION * LIMIT / UNUSED.instances
    held = replace(UNUSED, holding=base, free=LIMIT - base)
    assert Proportional().decide(held) == 0


@given(st.integers(1, 400), st.integers(0, LIMIT))
def test_all_bases_together_are_a_small_part(instances: int, remaining: int) -> None:
    view = replace(UNUSED, instances=instances, remaining=remaining)
    assert instances * max(0, Proportional().decide(view)) <= BASE_FRACTION * LIMIT


def test_where_most_is_spent_the_base_goes_back() -> None:
    base = Proportional().decide(UNUSED)
    nearly_spent = replace(UNUSED, holding=base, free=0, remaining=base)
    assert Proportional().decide(nearly_spent) < 0
