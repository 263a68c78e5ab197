from __future__ import annotations

from functools import partial
from typing import Any

import pytest

from pondquay_standins.replicarecords import Arrival
from pondquay_standins.soak.limits import check_limits
from pondquay_standins.soak.upstreamsignals import Disturbance, Disturbances

from . import calls as served_calls

NO_DISTURBANCES = Disturbances([])
# Requests that a limit of 1 per second allows in a window, tolerances included.
ALLOWED = 11
REPORTED_AT = 10.0
ENFORCED_AT = 13.0
make_call = partial(served_calls.make_call, seconds=0.05)


def count_violations(
    count: int,
    *,
    at: float = ENFORCED_AT,
    interval: float = 0.1,
    disturbances: Disturbances = NO_DISTURBANCES,
    first_call: dict[str, Any] | None = None,
    **more: Any,
) -> int:
    """Return the number of violations for requests that reach a replica.

    The response to an earlier request is the first with the limit.

    :param count: number of requests
    :param at: when the first of them arrives
    :param interval: seconds between successive requests
    :param first_call: fields of the earlier request's call
    :param more: fields of all arrivals
    """
    times = [REPORTED_AT, *(at + number * interval for number in range(count))]
    calls = [make_call(f"a{n}", at) for n, at in enumerate(times)]
    calls[0] = make_call("a0", REPORTED_AT, **(first_call or {}))
    fields = {"limit": 1.0, "born": 1, **more}
    arrivals = [
        Arrival(f"a{n}", "p1", fields["born"], at, False, 0, fields["limit"])
        for n, at in enumerate(times)
    ]
    return len(check_limits(calls, arrivals, disturbances))


def test_more_requests_than_the_limit_allows_are_a_violation() -> None:
    assert count_violations(ALLOWED) == 0
    assert count_violations(ALLOWED + 1) == 1


def test_a_higher_limit_allows_more() -> None:
    assert count_violations(ALLOWED + 1, limit=2.0) == 0
    assert count_violations(ALLOWED + 7, limit=2.0) == 1


def test_a_limit_is_not_enforced_within_the_grace_period() -> None:
    assert count_violations(ALLOWED + 1, at=REPORTED_AT + 0.6) == 0


def test_requests_are_counted_within_a_window() -> None:
    assert count_violations(ALLOWED + 1, interval=0.4) == 0


@pytest.mark.parametrize(
    "first_call", [{"complete": False}, {"signature": ""}, {"relay": "r2"}]
)
def test_a_relay_is_checked_only_once_it_knows_the_limit(
    first_call: dict[str, Any],
) -> None:
    # The relay receives the limit in the next response and is checked half a second
    # later.
    assert count_violations(ALLOWED + 6, first_call=first_call) == 0
    assert count_violations(ALLOWED + 7, first_call=first_call) == 1


def test_requests_of_all_relays_count_together() -> None:
    calls, arrivals = [], []
    for relay in ("r1", "r2"):
        times = [REPORTED_AT, *(ENFORCED_AT + number * 0.1 for number in range(6))]
        for number, at in enumerate(times):
            attempt = f"{relay}-{number}"
            calls.append(make_call(attempt, at, relay=relay))
            arrivals.append(Arrival(attempt, "p1", 1, at, False, 0, 1.0))
    assert len(check_limits(calls, arrivals, NO_DISTURBANCES)) == 1


def test_a_disturbed_relay_is_excused() -> None:
    disturbances = Disturbances([Disturbance("r1", 12.0, 12.5)])
    assert count_violations(ALLOWED + 1, disturbances=disturbances) == 0


def test_the_grace_period_starts_again_after_a_limit_is_withdrawn() -> None:
    times = [
        REPORTED_AT,
        *(ENFORCED_AT + number * 0.1 for number in range(ALLOWED + 1)),
    ]
    calls = [make_call(f"a{n}", at) for n, at in enumerate(times)]
    arrivals = [
        Arrival(f"a{n}", "p1", 1, at, False, 0, None if n == 5 else 1.0)
        for n, at in enumerate(times)
    ]
    assert check_limits(calls, arrivals, NO_DISTURBANCES) == []


def test_a_request_that_waited_in_a_silence_does_not_count() -> None:
    times = [
        REPORTED_AT,
        *(ENFORCED_AT + number * 0.1 for number in range(ALLOWED + 1)),
    ]
    calls = [make_call(f"a{n}", at) for n, at in enumerate(times)]
    for waiting, violations in ((5, 0), (0, 1)):
        arrivals = [
            Arrival(f"a{n}", "p1", 1, at, False, 0, 1.0, waited=n == waiting)
            for n, at in enumerate(times)
        ]
        assert len(check_limits(calls, arrivals, NO_DISTURBANCES)) == violations
