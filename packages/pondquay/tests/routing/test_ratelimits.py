"""Tests that the permits never exceed a rate limit and use most of it."""

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
request_lists = st.lists(
    st.tuples(
        st.sampled_from(["r1", "r2", "r3"]), st.integers(1, 50), st.floats(0.0, 2.0)
    ),
    max_size=60,
)


@given(rates, request_lists)
def test_permits_in_any_time_span_stay_within_the_limit(
    rate: float, requests: list[tuple[str, int, float]]
) -> None:
    issuer = PermitIssuer()
    now = 0.0
    issued: list[tuple[float, int]] = []
    for requester, wanted, wait in requests:
        now += wait
        issued.append((now, issuer.issue(requester, wanted, rate, now).count))
    min_rate = max(rate, 1.0 / PROBE_INTERVAL_SECONDS)
    for start, _ in issued:
        for end, _ in issued:
            if start <= end:
                in_span = sum(count for at, count in issued if start <= at <= end)
                allowed = min_rate * (end - start + BURST_SECONDS) + 1
                assert in_span <= allowed + 1e-6


@given(rates, request_lists)
def test_the_pause_until_the_next_request_is_bounded(
    rate: float, requests: list[tuple[str, int, float]]
) -> None:
    issuer = PermitIssuer()
    now = 0.0
    for requester, wanted, wait in requests:
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
    used = requests = 0
    for step in range(6000):
        now = step * 0.01
        for requester in [name for name, at in next_request_at.items() if at <= now]:
            issued = issuer.issue(requester, 1, rate, now)
            used += issued.count
            requests += 1
            next_request_at[requester] = now + max(issued.pause, 0.01)
    assert 0.8 * rate * 60.0 <= used <= rate * 60.0 + 0.25 * rate + 1
    # At most two requests per permit, and two per instance in each maximum pause,
    # besides its first request.
    assert requests <= 60.0 * (2 * rate + 2 * instances / MAX_PAUSE_SECONDS) + instances


def test_a_higher_limit_applies_within_its_own_interval() -> None:
    issuer = PermitIssuer()
    assert issuer.issue("r1", 5, 0.0, 0.0).count == 1
    assert issuer.issue("r1", 5, 0.0, 1.0).count == 0
    issued = issuer.issue("r1", 5, 10.0, 2.0)
    assert issued.pause <= 1.0 / 10.0 + 1e-6
    assert issuer.issue("r1", 5, 10.0, 2.0 + issued.pause).count >= 1


def test_limits_are_compared_by_rate() -> None:
    low, high, none = RateLimit(1.0, 0.0), RateLimit(2.0, 0.0), RateLimit(None, 0.0)
    assert high.allows_more(low)
    assert none.allows_more(high)
    assert not low.allows_more(high)
    assert not low.allows_more(low)
    assert not high.allows_more(none)
    assert not none.allows_more(none)


def test_a_limit_that_was_never_reported_is_infinitely_old() -> None:
    assert NEVER_REPORTED.age(5.0) == math.inf
    assert RateLimit(1.0, 6.0).age(5.0) == 0.0
