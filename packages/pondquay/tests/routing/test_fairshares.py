from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pondquay.routing.fairshares import FairShares

TOKENS = 100
USUAL_SECONDS = 60
RECENT_SECONDS = 10


def make_shares(usual: dict[str, int], asked: dict[str, int]) -> FairShares:
    """Return the shares after some time of usual and then of recent demand.

    :param usual: requests per second, by workspace
    :param asked: the same, recently
    """
    shares = FairShares()
    for second in range(USUAL_SECONDS):
        for name, count in usual.items():
            shares.note_served(name, TOKENS * count, second)
    for second in range(RECENT_SECONDS):
        for name, count in asked.items():
            shares.note_asked(name, TOKENS * count, USUAL_SECONDS + second)
    return shares


def find_all(
    shares: FairShares, names: dict[str, int], fraction: float
) -> dict[str, float]:
    now = USUAL_SECONDS + RECENT_SECONDS
    return {name: shares.find_refused(name, fraction, now) for name in names}


def test_a_workspace_at_four_times_its_usual_bears_the_refusals() -> None:
    """Load: an overloaded instance whose load is the surge of one workspace."""
    usual = {"hot": 20, "large": 60, "small": 10}
    asked = {**usual, "hot": 80}
    refused = find_all(make_shares(usual, asked), asked, fraction=0.4)
    assert refused["large"] == pytest.approx(0.0)
    assert refused["small"] == pytest.approx(0.0)
    assert refused["hot"] == pytest.approx(0.4 * 150 / 80)


def test_workspaces_at_their_usual_bear_refusals_alike() -> None:
    """Load: an instance that turned slow, with even demand."""
    usual = {"large": 60, "small": 20}
    refused = find_all(make_shares(usual, usual), usual, fraction=0.5)
    assert refused["large"] == pytest.approx(0.5)
    assert refused["small"] == pytest.approx(0.5)


def test_callers_that_repeat_at_once_bear_the_refusals() -> None:
    """Load: callers of one workspace repeat each refused request five times."""
    usual = {name: 10 for name in "abcd"}
    asked = {**usual, "a": 60}
    refused = find_all(make_shares(usual, asked), asked, fraction=0.5)
    assert max(refused[name] for name in "bcd") == pytest.approx(0.0)
    assert refused["a"] > 0.7


def test_an_unknown_workspace_is_refused_as_the_mean() -> None:
    assert FairShares().find_refused("new", 0.3, 0.0) == 0.3


demand = st.integers(1, 100)


@given(st.lists(st.tuples(demand, demand), min_size=1, max_size=8), st.floats(0, 1))
def test_the_refused_tokens_add_up_to_the_fraction(
    demands: list[tuple[int, int]], fraction: float
) -> None:
    usual = {str(number): first for number, (first, _) in enumerate(demands)}
    asked = {str(number): second for number, (_, second) in enumerate(demands)}
    refused = find_all(make_shares(usual, asked), asked, fraction)
    assert all(0 <= part <= 1 for part in refused.values())
    total = sum(refused[name] * count for name, count in asked.items())
    assert total == pytest.approx(fraction * sum(asked.values()), abs=1e-6)
