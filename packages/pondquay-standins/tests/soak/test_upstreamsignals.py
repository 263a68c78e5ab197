from __future__ import annotations

from typing import Any

from pondquay_standins.replicas import Arrival
from pondquay_standins.soak.callers import Call
from pondquay_standins.soak.upstreamsignals import (
    BACKOFF_PROMISE,
    LEAVING_PROMISE,
    Disturbance,
    Disturbances,
    check_signs,
)

QUIET = Disturbances([])


def make_call(attempt: str, began: float, **fields: Any) -> Call:
    usual = {
        "relay": "r1",
        "route": "fetch",
        "events": 0,
        "status": 200,
        "body": b"",
        "signature": "sig.p1",
        "complete": True,
        "ended": began + 0.1,
    }
    return Call(attempt=attempt, began=began, **{**usual, **fields})


def make_arrival(
    attempt: str, at: float, *, leaving: bool = False, backoff: int = 0, born: int = 1
) -> Arrival:
    return Arrival(attempt, "p1", born, at, leaving, backoff)


def find(
    calls: list[Call], arrivals: list[Arrival], disturbances: Disturbances = QUIET
) -> list[str]:
    return [one.promise for one in check_signs(calls, arrivals, disturbances)]


LEAVING_CALLS = [make_call("a1", 1.0), make_call("a2", 3.2)]
LEAVING = [
    make_arrival("a1", 1.0, leaving=True),
    make_arrival("a2", 3.2, leaving=True),
]
BACKOFF_CALLS = [make_call(f"a{number}", 1.0) for number in range(4)]
BACKOFF = [
    make_arrival(f"a{number}", at, backoff=2)
    for number, at in enumerate((1, 1.6, 2, 2.9))
]


def test_a_request_long_after_an_answer_that_says_so_is_a_breach() -> None:
    assert find(LEAVING_CALLS, LEAVING) == [LEAVING_PROMISE]


def test_one_that_was_sent_shortly_after_is_none() -> None:
    calls = [LEAVING_CALLS[0], make_call("a2", 3.0)]
    assert find(calls, LEAVING) == []


def test_an_answer_that_was_not_passed_on_binds_nobody() -> None:
    calls = [make_call("a1", 1.0, status=503, signature=""), LEAVING_CALLS[1]]
    assert find(calls, LEAVING) == []


def test_an_answer_that_another_passed_on_binds_only_that_one() -> None:
    calls = [make_call("a1", 1.0, relay="r2"), LEAVING_CALLS[1]]
    assert find(calls, LEAVING) == []


def test_more_than_two_requests_in_a_backoff_are_a_breach() -> None:
    assert find(BACKOFF_CALLS, BACKOFF) == [BACKOFF_PROMISE]


def test_what_was_under_way_as_a_backoff_was_asked_for_does_not_count() -> None:
    early = [BACKOFF[0], make_arrival("a1", 1.4), *BACKOFF[2:]]
    assert find(BACKOFF_CALLS, early) == []


def test_what_was_done_to_the_relay_or_the_line_excuses_it() -> None:
    for target in ("r1", "p1"):
        disturbances = Disturbances([Disturbance(target, 1.2, 1.3)])
        assert find(BACKOFF_CALLS, BACKOFF, disturbances) == []
        assert find(LEAVING_CALLS, LEAVING, disturbances) == []


def test_what_was_done_to_others_or_before_does_not() -> None:
    disturbances = Disturbances(
        [Disturbance("r2", 1.2, 1.3), Disturbance("r1", 0.1, 0.9)]
    )
    assert find(BACKOFF_CALLS, BACKOFF, disturbances) == [BACKOFF_PROMISE]
    assert find(LEAVING_CALLS, LEAVING, disturbances) == [LEAVING_PROMISE]


def test_what_another_life_said_binds_nobody() -> None:
    leaving = [LEAVING[0], make_arrival("a2", 3.2, leaving=True, born=2)]
    assert find(LEAVING_CALLS, leaving) == []
    incarnations = [make_arrival(one.attempt, one.at, born=2) for one in BACKOFF[1:]]
    assert find(BACKOFF_CALLS, [BACKOFF[0], *incarnations]) == []
