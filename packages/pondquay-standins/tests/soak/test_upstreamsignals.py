from __future__ import annotations

import math
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from pondquay_standins.replicarecords import Arrival
from pondquay_standins.soak.upstreamsignals import (
    BACKOFF_INVARIANT,
    LEAVING_INVARIANT,
    Disturbance,
    Disturbances,
    check_upstream_signals,
)

from .calls import make_call

if TYPE_CHECKING:
    from pondquay_standins.soak.callers import Call

NO_DISTURBANCES = Disturbances([])


def make_arrival(
    attempt: str, at: float, *, leaving: bool = False, backoff: int = 0, born: int = 1
) -> Arrival:
    return Arrival(attempt, "p1", born, at, leaving, backoff)


def list_violations(
    calls: list[Call],
    arrivals: list[Arrival],
    disturbances: Disturbances = NO_DISTURBANCES,
) -> list[str]:
    return [
        violation.invariant
        for violation in check_upstream_signals(calls, arrivals, disturbances)
    ]


LEAVING_CALLS = [make_call("a1", 1.0), make_call("a2", 3.2)]
LEAVING_ARRIVALS = [
    make_arrival("a1", 1.0, leaving=True),
    make_arrival("a2", 3.2, leaving=True),
]
BACKOFF_CALLS = [make_call(f"a{number}", 1.0) for number in range(4)]
BACKOFF_ARRIVALS = [
    make_arrival(f"a{number}", at, backoff=2)
    for number, at in enumerate((1, 1.6, 2, 2.9))
]


def test_a_request_long_after_a_leaving_signal_is_a_violation() -> None:
    assert list_violations(LEAVING_CALLS, LEAVING_ARRIVALS) == [LEAVING_INVARIANT]


def test_a_request_within_the_grace_period_is_allowed() -> None:
    calls = [LEAVING_CALLS[0], make_call("a2", 3.0)]
    assert list_violations(calls, LEAVING_ARRIVALS) == []


def test_a_leaving_signal_that_was_not_forwarded_is_ignored() -> None:
    calls = [make_call("a1", 1.0, status=503, signature=""), LEAVING_CALLS[1]]
    assert list_violations(calls, LEAVING_ARRIVALS) == []


def test_a_leaving_signal_forwarded_by_another_relay_is_ignored() -> None:
    calls = [make_call("a1", 1.0, relay="r2"), LEAVING_CALLS[1]]
    assert list_violations(calls, LEAVING_ARRIVALS) == []


def test_more_than_two_requests_in_a_backoff_are_a_violation() -> None:
    assert list_violations(BACKOFF_CALLS, BACKOFF_ARRIVALS) == [BACKOFF_INVARIANT]


def test_requests_in_flight_when_a_backoff_begins_do_not_count() -> None:
    early = [BACKOFF_ARRIVALS[0], make_arrival("a1", 1.4), *BACKOFF_ARRIVALS[2:]]
    assert list_violations(BACKOFF_CALLS, early) == []


@pytest.mark.parametrize(("route", "is_violated"), [("fetch", False), ("write", True)])
def test_a_backoff_after_the_caller_has_left_counts_if_the_relay_still_reads(
    route: str, is_violated: bool
) -> None:
    first = make_call("a0", 0.0, seconds=0.5, route=route)
    calls = [first, *(make_call(f"a{number}", 1.0) for number in range(1, 4))]
    assert bool(list_violations(calls, BACKOFF_ARRIVALS)) is is_violated


def test_disturbances_of_the_relay_or_the_replica_excuse_violations() -> None:
    for target in ("r1", "p1"):
        disturbances = Disturbances([Disturbance(target, 1.2, 1.3)])
        assert list_violations(BACKOFF_CALLS, BACKOFF_ARRIVALS, disturbances) == []
        assert list_violations(LEAVING_CALLS, LEAVING_ARRIVALS, disturbances) == []


def test_other_or_earlier_disturbances_do_not_excuse_violations() -> None:
    disturbances = Disturbances(
        [Disturbance("r2", 1.2, 1.3), Disturbance("r1", 0.1, 0.9)]
    )
    assert list_violations(BACKOFF_CALLS, BACKOFF_ARRIVALS, disturbances) == [
        BACKOFF_INVARIANT
    ]
    assert list_violations(LEAVING_CALLS, LEAVING_ARRIVALS, disturbances) == [
        LEAVING_INVARIANT
    ]


def test_signals_of_another_incarnation_are_ignored() -> None:
    leaving = [LEAVING_ARRIVALS[0], make_arrival("a2", 3.2, leaving=True, born=2)]
    assert list_violations(LEAVING_CALLS, leaving) == []
    others = [
        make_arrival(arrival.attempt, arrival.at, born=2)
        for arrival in BACKOFF_ARRIVALS[1:]
    ]
    assert list_violations(BACKOFF_CALLS, [BACKOFF_ARRIVALS[0], *others]) == []


# Guards against reports of requests that were sent before a silent replica's response
# could tell of its back-off.
def test_a_backoff_begins_when_a_silent_replica_can_send_it() -> None:
    held = [replace(arrival, held_seconds=2.0) for arrival in BACKOFF_ARRIVALS]
    assert list_violations(BACKOFF_CALLS, held) == []
    later = [
        held[0],
        *(make_arrival(f"a{number}", 3.6 + number / 10) for number in range(1, 4)),
    ]
    assert list_violations(BACKOFF_CALLS, later) == [BACKOFF_INVARIANT]
    unsent = [replace(arrival, held_seconds=math.inf) for arrival in BACKOFF_ARRIVALS]
    assert list_violations(BACKOFF_CALLS, unsent) == []


def test_a_request_that_waited_in_a_silence_is_not_late() -> None:
    waited = [
        *BACKOFF_ARRIVALS[:2],
        *(replace(a, waited=True) for a in BACKOFF_ARRIVALS[2:]),
    ]
    assert list_violations(BACKOFF_CALLS, waited) == []
