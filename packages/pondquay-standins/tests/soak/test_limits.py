from __future__ import annotations

from typing import Any

import pytest

from pondquay_standins.replicas import Arrival
from pondquay_standins.soak.callers import Call
from pondquay_standins.soak.limits import check_limits
from pondquay_standins.soak.upstreamsignals import Disturbance, Disturbances

QUIET = Disturbances([])
# A limit of 1 a second allows this many in the window that is judged.
ALLOWED = 11
NAMED_AT = 10.0
BINDING_AT = 13.0


def make_call(attempt: str, at: float, **fields: Any) -> Call:
    usual = {
        "relay": "r1",
        "route": "fetch",
        "events": 0,
        "status": 200,
        "body": b"",
        "signature": "sig.p1",
        "complete": True,
        "ended": at + 0.05,
    }
    return Call(attempt=attempt, began=at, **{**usual, **fields})


def count_breaches(
    count: int,
    *,
    at: float = BINDING_AT,
    every: float = 0.1,
    disturbances: Disturbances = QUIET,
    first: dict[str, Any] | None = None,
    **more: Any,
) -> int:
    """Return how many breaches are found where a replica gets some requests.

    :param first: fields of the call by which the relay is told
    """
    times = [NAMED_AT, *(at + number * every for number in range(count))]
    calls = [make_call(f"a{n}", at) for n, at in enumerate(times)]
    calls[0] = make_call("a0", NAMED_AT, **(first or {}))
    fields = {"limit": 1.0, "born": 1, **more}
    arrivals = [
        Arrival(f"a{n}", "p1", fields["born"], at, False, 0, fields["limit"])
        for n, at in enumerate(times)
    ]
    return len(check_limits(calls, arrivals, disturbances))


def test_more_than_a_limit_allows_is_a_breach() -> None:
    assert count_breaches(ALLOWED) == 0
    assert count_breaches(ALLOWED + 1) == 1


def test_a_higher_limit_allows_more() -> None:
    assert count_breaches(ALLOWED + 1, limit=2.0) == 0
    assert count_breaches(ALLOWED + 7, limit=2.0) == 1


def test_what_comes_shortly_after_it_was_named_is_none() -> None:
    assert count_breaches(ALLOWED + 1, at=NAMED_AT + 0.6) == 0


def test_a_window_is_some_seconds_long() -> None:
    assert count_breaches(ALLOWED + 1, every=0.4) == 0


@pytest.mark.parametrize(
    "first", [{"complete": False}, {"signature": ""}, {"relay": "r2"}]
)
def test_a_relay_that_was_not_told_is_not_bound(first: dict[str, Any]) -> None:
    # The first of its own requests tells it, and binds it half a second later.
    assert count_breaches(ALLOWED + 6, first=first) == 0
    assert count_breaches(ALLOWED + 7, first=first) == 1


def test_relays_count_together() -> None:
    calls, arrivals = [], []
    for relay in ("r1", "r2"):
        times = [NAMED_AT, *(BINDING_AT + number * 0.1 for number in range(6))]
        for number, at in enumerate(times):
            attempt = f"{relay}-{number}"
            calls.append(make_call(attempt, at, relay=relay))
            arrivals.append(Arrival(attempt, "p1", 1, at, False, 0, 1.0))
    assert len(check_limits(calls, arrivals, QUIET)) == 1


def test_a_relay_to_which_something_was_done_is_excused() -> None:
    done = Disturbances([Disturbance("r1", 12.0, 12.5)])
    assert count_breaches(ALLOWED + 1, disturbances=done) == 0


def test_a_limit_that_was_not_named_all_the_while_binds_only_while_it_was() -> None:
    times = [NAMED_AT, *(BINDING_AT + number * 0.1 for number in range(ALLOWED + 1))]
    calls = [make_call(f"a{n}", at) for n, at in enumerate(times)]
    arrivals = [
        Arrival(f"a{n}", "p1", 1, at, False, 0, None if n == 5 else 1.0)
        for n, at in enumerate(times)
    ]
    assert check_limits(calls, arrivals, QUIET) == []
