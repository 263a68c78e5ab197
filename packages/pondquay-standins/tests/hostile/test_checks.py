"""Checks of what callers received against what ran."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from pondquay_standins.deadlinebounds import MAX_LATE
from pondquay_standins.hostile.callers import ROUTES, HostileCall
from pondquay_standins.hostile.checks import RETRY_WINDOW_SECONDS, find_all
from pondquay_standins.hostile.exchanges import Visit, format_event

if TYPE_CHECKING:
    from pondquay_standins.hostile.callers import RoutePlan

ROUTE_BY_NAME = {route.name: route for route in ROUTES}
SERVICE = ROUTE_BY_NAME["write"].service
RETRY_EXTRA = 2


def make_call(
    route: str = "write",
    *,
    status: int = 200,
    name: str = "a",
    signature: str = "sig.p1",
    body: bytes = b"p1:a",
    complete: bool = True,
    attempt: str = "a",
    began: float = 0.0,
) -> HostileCall:
    plan: RoutePlan = ROUTE_BY_NAME[route]
    events = 2 if plan.streaming else 0
    return HostileCall(
        *(attempt, plan, "r1", events, status, name, signature),
        *(body, complete, began),
    )


def make_run(replica: str = "p1", **fields: object) -> Visit:
    visit = Visit("a", replica, SERVICE, 0.0, ran=True, status=200, whole=True)
    visit.deadline = 1.0
    for name, value in fields.items():
        setattr(visit, name, value)
    return visit


def list_rules(calls: list[HostileCall], visits: list[Visit]) -> list[str]:
    return [finding.rule for finding in find_all(calls, visits, RETRY_EXTRA)]


def test_a_request_that_is_served_once_breaks_no_rule() -> None:
    assert list_rules([make_call()], [make_run()]) == []


# Guards against replicas that work on for callers that have left.
@pytest.mark.parametrize("deadline", [None, 2.1])
def test_replicas_get_no_more_time_than_is_left(deadline: float | None) -> None:
    calls = [make_call("fetch", attempt=f"a{n}") for n in range(MAX_LATE + 1)]
    visits = [
        make_run(attempt=call.attempt, ran=False, deadline=deadline) for call in calls
    ]
    assert "too much time" in list_rules(calls, visits)
    assert "too much time" not in list_rules(calls, visits[1:])


@pytest.mark.parametrize("status", [408, 421, 429, 503])
@pytest.mark.parametrize(
    ("route", "rules"), [("write", ["refused but ran"]), ("fetch", [])]
)
def test_a_request_that_may_not_be_repeated_is_not_refused_if_it_ran(
    status: int, route: str, rules: list[str]
) -> None:
    refused = make_call(route, status=status, signature="", body=b"")
    assert list_rules([refused], [make_run()]) == rules
    assert list_rules([refused], [make_run(ran=False)]) == []


@pytest.mark.parametrize(
    ("route", "rules"),
    [
        ("write", ["ran twice", "on too many upstreams"]),
        ("write-thrice", ["ran twice"]),
        ("fetch-once", ["on too many upstreams"]),
        ("fetch", []),
    ],
)
def test_a_request_runs_as_often_as_its_route_allows(
    route: str, rules: list[str]
) -> None:
    assert list_rules([make_call(route)], [make_run(), make_run("p2")]) == rules


@pytest.mark.parametrize(
    "call",
    [
        make_call(name="b"),
        make_call(signature=""),
        make_call(signature="sig.p2"),
        make_call(body=b"p1:b"),
        make_call(body=b"p1"),
        make_call(status=500),
        make_call("review", body=format_event("b", 1) + format_event("b", 2)),
        make_call("review", body=format_event("a", 1)),
    ],
)
def test_a_response_is_the_whole_response_of_a_replica_that_ran_the_request(
    call: HostileCall,
) -> None:
    assert list_rules([call], [make_run()]) == ["not its own response"]


def test_a_response_that_ends_early_does_not_look_complete() -> None:
    cut = make_run(whole=False)
    assert list_rules([make_call()], [cut]) == ["not its own response"]
    assert list_rules([make_call(body=b"p", complete=False)], [cut]) == []


def test_a_replica_runs_what_a_caller_sent() -> None:
    assert list_rules([make_call()], [make_run(wrong="other bytes")]) == [
        "not what was sent"
    ]
    stray = make_run()
    stray.attempt = "stray"
    assert list_rules([make_call(attempt="a", status=0)], [stray]) == [
        "not what was sent"
    ]


@pytest.mark.parametrize(("requests", "rules"), [(1, ["too many repeats"]), (5, [])])
def test_repeats_of_all_relays_stay_within_the_share_of_a_window(
    requests: int, rules: list[str]
) -> None:
    calls = [make_call("fetch", status=0)]
    others = [
        make_call("fetch", status=0, attempt=f"b{number}")
        for number in range(requests - 1)
    ]
    visits = [make_run(at=0.1 * number, ran=False) for number in range(4)]
    assert list_rules(calls + others, visits) == rules
    late = [make_run(at=RETRY_WINDOW_SECONDS * number) for number in range(4)]
    assert list_rules(calls, late) == []
