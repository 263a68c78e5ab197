"""What instances get of a limit: never more than it allows, and most of it."""

from __future__ import annotations

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pondquay.routing.ratelimits import (
    BURST_SECONDS,
    MAX_PAUSE_SECONDS,
    NEVER_REPORTED,
    PROBE_INTERVAL_SECONDS,
    PermitIssuer,
    RateLimit,
)

rates = st.floats(0.0, 100.0)
asks = st.lists(
    st.tuples(
        st.sampled_from(["r1", "r2", "r3"]), st.integers(1, 50), st.floats(0.0, 2.0)
    ),
    max_size=60,
)


@given(rates, asks)
def test_no_span_brings_more_than_the_limit_allows(
    rate: float, asked: list[tuple[str, int, float]]
) -> None:
    issuer = PermitIssuer()
    now = 0.0
    issued: list[tuple[float, int]] = []
    for requester, wanted, wait in asked:
        now += wait
        issued.append((now, issuer.issue(requester, wanted, rate, now).count))
    least = max(rate, 1.0 / PROBE_INTERVAL_SECONDS)
    for began, _ in issued:
        for ended, _ in issued:
            if began <= ended:
                of_span = sum(n for at, n in issued if began <= at <= ended)
                allowed = least * (ended - began + BURST_SECONDS) + 1
                assert of_span <= allowed + 1e-6


@given(rates, asks)
def test_who_asks_is_told_when_to_ask_again(
    rate: float, asked: list[tuple[str, int, float]]
) -> None:
    issuer = PermitIssuer()
    now = 0.0
    for requester, wanted, wait in asked:
        now += wait
        issued = issuer.issue(requester, wanted, rate, now)
        assert 0 <= issued.count <= wanted
        assert 0 <= issued.pause <= max(PROBE_INTERVAL_SECONDS, MAX_PAUSE_SECONDS) + 1.0


@pytest.mark.parametrize("rate", [0.5, 2.0, 10.0, 50.0])
@pytest.mark.parametrize("instances", [1, 2, 30, 195])
def test_instances_that_take_turns_use_most_of_a_limit(
    rate: float, instances: int
) -> None:
    issuer = PermitIssuer()
    next_request_at = {f"r{number}": 0.0 for number in range(instances)}
    used = asks = 0
    for step in range(6000):
        now = step * 0.01
        for requester in [one for one, at in next_request_at.items() if at <= now]:
            issued = issuer.issue(requester, 1, rate, now)
            used += issued.count
            asks += 1
            next_request_at[requester] = now + max(issued.pause, 0.01)
    assert 0.8 * rate * 60.0 <= used <= rate * 60.0 + 0.25 * rate + 1
    # What turns cost: two asks for each permit, and each instance one in 3 s.
    assert asks <= 60.0 * (2 * rate + 2 * instances / MAX_PAUSE_SECONDS) + instances


def test_a_higher_limit_holds_within_its_own_interval() -> None:
    issuer = PermitIssuer()
    assert issuer.issue("r1", 5, 0.0, 0.0).count == 1
    assert issuer.issue("r1", 5, 0.0, 1.0).count == 0
    issued = issuer.issue("r1", 5, 10.0, 2.0)
    assert issued.pause <= 1.0 / 10.0 + 1e-6
    assert issuer.issue("r1", 5, 10.0, 2.0 + issued.pause).count >= 1


def test_what_allows_more() -> None:
    low, high, none = RateLimit(1.0, 0.0), RateLimit(2.0, 0.0), RateLimit(None, 0.0)
    assert high.allows_more(low)
    assert none.allows_more(high)
    assert not low.allows_more(high)
    assert not low.allows_more(low)
    assert not high.allows_more(none)
    assert not none.allows_more(none)


def test_what_was_never_said_is_older_than_anything() -> None:
    assert NEVER_REPORTED.age(5.0) == math.inf
    assert RateLimit(1.0, 6.0).age(5.0) == 0.0
