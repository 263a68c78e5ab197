from __future__ import annotations

from typing import Any

from pondquay_standins.deadlinebounds import MAX_LATE
from pondquay_standins.replicarecords import Arrival
from pondquay_standins.retrybounds import RetryBound
from pondquay_standins.soak.callers import Call
from pondquay_standins.soak.repeatchecks import (
    ATTEMPTS_INVARIANT,
    SHARE_INVARIANT,
    TIME_INVARIANT,
    check_attempts,
    check_share,
    check_time,
)
from pondquay_standins.soak.upstreamsignals import Disturbance, Disturbances

BOUND = RetryBound(0.2, 1.0, 4.0)
SERVICES = {"p1": "board", "p2": "board", "p3": "board", "e1": "judge"}
CALM = Disturbances([])


def make_call(number: int, began: float, route: str = "fetch") -> Call:
    fields = (f"a{number}", "r1", route, 0, 200, b"", "sig.p1", True)
    return Call(*fields, began, began + 1.0)


def make_arrival(number: int, at: float, replica: str = "p1", **fields: Any) -> Arrival:
    return Arrival(f"a{number}", replica, 1, at, False, 0, **fields)


def make_run(number: int, replica: str, ended: str = "200") -> dict[str, Any]:
    return {"attempt": f"a{number}", "replica": replica, "ended": ended}


def test_retries_within_the_bound_are_allowed() -> None:
    calls = [make_call(number, number / 10) for number in range(10)]
    arrivals = [make_arrival(number, number / 10) for number in range(10)]
    arrivals += [make_arrival(number, 1.0, "p2") for number in range(3)]
    assert check_share(calls, arrivals, SERVICES, BOUND) == []


def test_retries_beyond_the_bound_are_found() -> None:
    calls = [make_call(number, number / 10) for number in range(10)]
    arrivals = [make_arrival(number, number / 10) for number in range(10)]
    arrivals += [make_arrival(number, 1.0, "p2") for number in range(4)]
    (found,) = check_share(calls, arrivals, SERVICES, BOUND)
    assert (found.invariant, found.subject) == (SHARE_INVARIANT, "board")


def test_requests_of_another_service_cover_no_retries() -> None:
    calls = [make_call(number, 0.0, "audit") for number in range(100)]
    arrivals = [make_arrival(200, 0.0), make_arrival(200, 0.1)]
    arrivals += [make_arrival(201, 0.0), make_arrival(201, 0.1)]
    (found,) = check_share(calls, arrivals, SERVICES, BOUND)
    assert found.subject == "board"


def test_requests_of_earlier_windows_cover_no_retries() -> None:
    calls = [make_call(number, 0.0) for number in range(100)]
    arrivals = [make_arrival(number, 0.0) for number in range(100)]
    assert check_share(
        calls,
        [*arrivals, *(make_arrival(number, 9.0) for number in range(3))],
        SERVICES,
        BOUND,
    )


def test_runs_at_too_many_replicas_are_found() -> None:
    runs = [make_run(1, name) for name in ("p1", "p2", "p3")]
    (found,) = check_attempts([make_call(1, 0.0)], runs, CALM)
    assert found.invariant == ATTEMPTS_INVARIANT
    assert check_attempts([make_call(1, 0.0)], runs[:2], CALM) == []


def test_replicas_that_ended_or_were_cut_off_do_not_count() -> None:
    runs = [make_run(1, name) for name in ("p1", "p2")]
    calls = [make_call(1, 0.0)]
    crashed = [*runs, make_run(1, "p3", "crashed")]
    assert check_attempts(calls, crashed, CALM) == []
    cut = Disturbances([Disturbance("p3", 0.5, 0.6)])
    assert check_attempts(calls, [*runs, make_run(1, "p3")], cut) == []


def test_many_late_or_missing_deadlines_are_found() -> None:
    numbers = range(MAX_LATE + 1)
    calls = [make_call(number, 0.0) for number in numbers]
    for deadline in (None, 3.0):
        arrivals = [make_arrival(number, 0.1, deadline=deadline) for number in numbers]
        (found,) = check_time(calls, arrivals, CALM)
        assert found.invariant == TIME_INVARIANT
        assert check_time(calls, arrivals[1:], CALM) == []
    arrivals = [make_arrival(number, 0.1, deadline=1.9) for number in numbers]
    assert check_time(calls, arrivals, CALM) == []
