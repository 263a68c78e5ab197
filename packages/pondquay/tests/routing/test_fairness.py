from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pondquay.routing.fairness import (
    MAX_WAITING,
    Claim,
    FairQueue,
    Rank,
)
from pondquay.routing.tokenrates import TokenRates

if TYPE_CHECKING:
    from collections.abc import Mapping

NORMAL = Rank(0, 1)
TOKENS = 100
# The deadline of callers, in seconds.
PATIENCE_SECONDS = 2.0


def make_claim(
    workspace: str = "a",
    rank: Rank = NORMAL,
    tokens: int = TOKENS,
    until: float = math.inf,
) -> Claim:
    return Claim(rank, workspace, tokens, until)


def take_all(queue: FairQueue) -> list[Claim]:
    taken = []
    while (claim := queue.take(0.0)) is not None:
        taken.append(claim)
    return taken


def serve_demand(
    demand: Mapping[tuple[str, Rank], int], usual: Mapping[str, int], capacity: int
) -> dict[tuple[str, Rank], float]:
    """Return the served fractions of some seconds of demand.

    :param demand: requests per second, by workspace and rank
    :param usual: usual requests per second, by workspace
    :param capacity: requests per second that have room
    """
    usual_demand = TokenRates()
    for workspace, count in usual.items():
        usual_demand.note(workspace, TOKENS * count * 60, 0.0)
    queue = FairQueue(usual_demand)
    asked: Counter[tuple[str, Rank]] = Counter()
    served: Counter[tuple[str, Rank]] = Counter()
    steps = 50
    seconds = 8.0
    for step in range(int((seconds + PATIENCE_SECONDS) * steps)):
        now = step / steps
        for (workspace, rank), count in demand.items() if now < seconds else ():
            due = int((step + 1) * count / steps) - int(step * count / steps)
            for _ in range(due):
                asked[workspace, rank] += 1
                queue.add(
                    make_claim(workspace, rank, until=now + PATIENCE_SECONDS), now
                )
        queue.drop_hopeless(now)
        due = int((step + 1) * capacity / steps) - int(step * capacity / steps)
        for _ in range(due):
            if (claim := queue.take(now)) is not None:
                served[claim.workspace, claim.rank] += 1
                usual_demand.note(claim.workspace, TOKENS, now)
    return {key: served[key] / asked[key] for key in demand}


def test_a_workspace_at_four_times_its_usual_costs_only_itself() -> None:
    """Load: workspaces of different size at their usual, one at four times it."""
    usual = {"hot": 20, "large": 60, "small": 10, "tiny": 5}
    demand = {(name, NORMAL): count for name, count in usual.items()}
    demand["hot", NORMAL] *= 4
    served = serve_demand(demand, usual, capacity=sum(usual.values()))
    assert min(served[name, NORMAL] for name in ("large", "small", "tiny")) >= 0.9
    assert 0.2 <= served["hot", NORMAL] <= 0.5


def test_callers_that_repeat_at_once_cost_only_their_workspace() -> None:
    """Load: the callers of one workspace repeat ten times as often."""
    usual = {name: 10 for name in "abcde"}
    demand = {(name, NORMAL): 10 for name in "abcde"}
    demand["a", NORMAL] = 100
    served = serve_demand(demand, usual, capacity=50)
    assert min(served[name, NORMAL] for name in "bcde") >= 0.9


def test_an_urgent_route_is_served_no_less_than_a_less_urgent_one() -> None:
    """Load: three routes of one service ask for twice what it can take."""
    ranks = [Rank(0, route) for route in range(3)]
    demand = {(name, rank): 10 for name in "abc" for rank in ranks}
    served = serve_demand(demand, {name: 30 for name in "abc"}, capacity=45)
    by_rank = [min(served[name, rank] for name in "abc") for rank in ranks]
    assert by_rank == sorted(by_rank, reverse=True)
    assert by_rank[0] >= 0.95


def test_a_workspace_with_a_higher_priority_goes_first() -> None:
    queue = FairQueue(TokenRates())
    late = make_claim("late", Rank(1, 0))
    first = make_claim("first", Rank(0, 2))
    queue.add(late, 0.0)
    queue.add(first, 0.0)
    assert take_all(queue) == [first, late]


def test_workspaces_of_one_rank_share_by_tokens() -> None:
    queue = FairQueue(TokenRates())
    for _ in range(6):
        queue.add(make_claim("long", tokens=300), 0.0)
    for _ in range(6):
        queue.add(make_claim("short", tokens=100), 0.0)
    taken = [queue.take(0.0) for _ in range(8)]
    counts = Counter(claim.workspace for claim in taken if claim is not None)
    assert counts == {"short": 6, "long": 2}


def test_a_workspace_gains_nothing_from_the_time_when_it_did_not_wait() -> None:
    queue = FairQueue(TokenRates())
    for _ in range(40):
        queue.add(make_claim("busy"), 0.0)
    for _ in range(20):
        queue.take(0.0)
    for _ in range(20):
        queue.add(make_claim("new"), 0.0)
    first = [queue.take(0.0) for _ in range(10)]
    counts = Counter(claim.workspace for claim in first if claim is not None)
    assert counts == {"busy": 5, "new": 5}


def test_what_cannot_be_served_in_time_is_refused_at_once() -> None:
    queue = FairQueue(TokenRates())
    for _ in range(20):
        queue.add(make_claim(), 0.0)
    for step in range(5):
        queue.take(step * 0.1)
    hopeless = make_claim(until=1.0)
    urgent = make_claim(rank=Rank(0, 0), until=1.0)
    assert queue.add(hopeless, 0.5) is hopeless
    assert queue.add(urgent, 0.5) is None
    assert queue.estimate_drain() == pytest.approx(1.6)


def test_what_became_hopeless_is_refused_before_its_time() -> None:
    """Load: urgent requests arrive while less urgent ones wait."""
    queue = FairQueue(TokenRates())
    for _ in range(10):
        queue.add(make_claim(), 0.0)
    for step in range(5):
        queue.take(step * 0.1)
    late = make_claim(until=2.0)
    assert queue.add(late, 0.5) is None
    assert queue.drop_hopeless(0.5) == []
    for _ in range(20):
        queue.add(make_claim(rank=Rank(0, 0)), 0.5)
    assert queue.drop_hopeless(0.5) == [late]


def test_a_full_queue_refuses_the_least_urgent() -> None:
    queue = FairQueue(TokenRates())
    for number in range(MAX_WAITING):
        queue.add(make_claim(str(number % 4)), 0.0)
    urgent = make_claim(rank=Rank(0, 0))
    refused = queue.add(urgent, 0.0)
    assert refused is not None
    assert refused.rank == NORMAL
    assert len(queue) == MAX_WAITING
    last = make_claim(rank=Rank(9, 9))
    assert queue.add(last, 0.0) is last


claims = st.builds(
    make_claim,
    workspace=st.sampled_from("abc"),
    rank=st.builds(Rank, st.integers(0, 1), st.integers(0, 1)),
    tokens=st.integers(0, 1000),
)


@given(st.lists(st.none() | claims, max_size=60))
def test_each_request_goes_once_and_never_before_a_more_urgent_one(
    steps: list[Claim | None],
) -> None:
    queue = FairQueue(TokenRates())
    waiting: list[Claim] = []
    for step in steps:
        if step is not None:
            queue.add(step, 0.0)
            waiting.append(step)
            continue
        claim = queue.take(0.0)
        assert (claim is None) == (not waiting)
        if claim is None:
            continue
        assert claim.rank == min(other.rank for other in waiting)
        same = [
            other
            for other in waiting
            if (other.rank, other.workspace) == (claim.rank, claim.workspace)
        ]
        assert claim is same[0], "in the order of arrival within a workspace"
        waiting.remove(claim)
    assert sorted(map(id, queue)) == sorted(map(id, waiting))


@given(st.lists(st.tuples(st.integers(1, 50), st.integers(1, 50)), min_size=30))
def test_workspaces_that_wait_get_the_same_tokens_but_for_one_request(
    sizes: list[tuple[int, int]],
) -> None:
    queue = FairQueue(TokenRates())
    for first, second in sizes:
        queue.add(make_claim("a", tokens=first), 0.0)
        queue.add(make_claim("b", tokens=second), 0.0)
    got = {"a": 0, "b": 0}
    while {claim.workspace for claim in queue} == {"a", "b"}:
        claim = queue.take(0.0)
        assert claim is not None
        got[claim.workspace] += claim.tokens
        assert abs(got["a"] - got["b"]) <= 50
