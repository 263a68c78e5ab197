"""Budgets beside naive versions.

The same is admitted when all is well; when it is not, the naive ones overspend.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from pondquay_lab.programs import Fault, run_program

if TYPE_CHECKING:
    from collections.abc import Callable

    from conftest import Pair


@dataclass
class CentralCounter:
    """Naive: one counter that is asked at each request."""

    remaining: int

    def reserve(self, tokens: int) -> bool:
        if tokens > self.remaining:
            return False
        self.remaining -= tokens
        return True

    def settle(self, reserved: int, used: int) -> None:
        self.remaining += reserved - used


requests = st.lists(
    st.tuples(st.integers(1, 60), st.integers(0, 100), st.booleans()), max_size=25
)


@settings(suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(limit=st.integers(0, 300), requests=requests)
def test_without_failures_the_same_is_admitted_as_by_a_central_counter(
    make_pair: Callable[[int], Pair],
    limit: int,
    requests: list[tuple[int, int, bool]],
) -> None:
    pair = make_pair(limit)
    naive = CentralCounter(limit)
    running: list[tuple[int, int]] = []
    for number, (tokens, part, at_once) in enumerate(requests):
        admitted = serve(pair, f"k{number}", tokens)
        assert admitted == naive.reserve(tokens)
        if admitted:
            running.append((number, tokens * part // 100))
        if at_once:
            end_all(pair, naive, running)
    end_all(pair, naive, running)
    run_program(pair.manager.close_all(), pair.table)
    assert pair.budget.granted == limit - naive.remaining


def serve(pair: Pair, key: str, tokens: int) -> bool:
    """Reserve and acknowledge, refilling if need be."""
    attempt = pair.reserve(key, tokens)
    if attempt is None:
        pair.refill(tokens)
        attempt = pair.reserve(key, tokens)
    pair.exchange()
    return attempt is not None


def end_all(pair: Pair, naive: CentralCounter, running: list[tuple[int, int]]) -> None:
    """End the requests that run."""
    used = {f"k{number}": tokens for number, tokens in running}
    for holding in pair.holder.list_holdings():
        for attempt in list(holding.running()):
            spent = used[attempt.request.key]
            pair.holder.settle(attempt.id, spent)
            naive.settle(attempt.reserve, spent)
    running.clear()
    pair.exchange()
    run_program(pair.manager.flush(), pair.table)
    pair.holder.take_finished()


@dataclass
class TimedGrant:
    """Naive: a grant that comes back by itself when its time is over.

    Its holder looks at the clock, then dispatches; a pause in between is unbounded.
    """

    tokens: int
    expires: float

    def may_spend(self, now: float) -> bool:
        return now < self.expires


def test_a_grant_that_relies_on_time_overspends_and_ours_does_not(
    make_pair: Callable[[int], Pair],
) -> None:
    limit = 100
    dispatched = 0
    granted = TimedGrant(limit, expires=10.0)
    checked = granted.may_spend(now=9.9)
    # Here the holder is paused for an hour; the grant runs out and is made anew.
    renewed = TimedGrant(limit, expires=3700.0)
    dispatched += renewed.tokens if renewed.may_spend(now=3600.0) else 0
    dispatched += granted.tokens if checked else 0
    assert dispatched > limit, "the naive version was meant to overspend"

    pair = make_pair(limit)
    pair.refill(limit)
    attempt = pair.reserve("k1", limit)
    assert attempt is not None
    # Paused before its intent went out; the witness takes it for dead.
    pair.declare_holder_dead()
    assert pair.budget.free == limit
    pair.exchange()
    assert attempt.billed is None
    assert not list(pair.holder.holdings[attempt.id.grant].running())


def test_a_refill_spent_before_its_outcome_is_known_overspends(
    make_pair: Callable[[int], Pair],
) -> None:
    faults = (Fault.NONE, Fault.LOST_BEFORE, Fault.LOST_BEFORE)
    pair = make_pair(100)
    run_program(pair.manager.refill({"captions": [100]}), pair.table, faults)
    naive_spent = 100  # it takes a lost answer for a yes
    others = pair.budget.free
    assert naive_spent + others > 100, "the naive version was meant to overspend"
    assert pair.reserve("k1", 1) is None
