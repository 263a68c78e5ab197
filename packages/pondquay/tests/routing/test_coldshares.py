"""A fleet without shared state sends cold upstreams no more than they tolerate.

A cold upstream handles 6.6 requests per second and tolerates 14.9 (6.6 x 1.5 + 5).
"""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from pondquay.addresses import Address
from pondquay.routing.coldshares import ColdShares, choose_senders
from pondquay.routing.knownupstreams import KnownUpstream
from pondquay.routing.upstreamrecords import UpstreamRecord

RATE = 6.6
MAX_IN_A_SECOND = RATE * 1.5 + 5
INSTANCES = 74
DOMAINS = ("a", "b", "c")
COLD_SECONDS = 3.0
STEP_SECONDS = 0.05


def make_fleet(first: int, last: int) -> dict[str, str]:
    """Return the domain of each numbered instance; the domains take turns."""
    return {f"i{number}": DOMAINS[number % 3] for number in range(first, last)}


def make_upstream(name: str, domain: str = "a") -> KnownUpstream:
    record = UpstreamRecord(name, "judge", Address("10.0.0.1", 80), domain, 64)
    return KnownUpstream(record, 1, cold_until=COLD_SECONDS)


def make_share(instance: str, view: dict[str, str]) -> ColdShares:
    return ColdShares(instance, lambda: view, lambda _: RATE)


def count_max_per_second(views: list[dict[str, str]], name: str) -> int:
    """Return the maximum number of requests in any second while an upstream is cold.

    :param views: groups of instances; each instance knows the members of its group
    """
    shares = [
        (make_share(instance, view), make_upstream(name))
        for view in views
        for instance in view
    ]
    arrivals = []
    for step in range(int(COLD_SECONDS / STEP_SECONDS)):
        now = step * STEP_SECONDS
        for share, upstream in shares:
            if share.allows(upstream, now):
                upstream.last_sent_at = now
                arrivals.append(now)
    return max(
        sum(0 <= later - start < 1.0 for later in arrivals) for start in arrivals
    )


def test_a_fleet_sends_a_cold_upstream_the_rate_that_it_handles() -> None:
    highest = count_max_per_second([make_fleet(0, INSTANCES)], "u1")
    assert highest == int(RATE)


def test_two_partitioned_halves_stay_within_the_limit() -> None:
    halves = [make_fleet(0, INSTANCES // 2), make_fleet(INSTANCES // 2, INSTANCES)]
    assert count_max_per_second(halves, "u1") <= MAX_IN_A_SECOND


@given(
    st.integers(1, 60), st.integers(0, 8), st.integers(1, 12), st.sampled_from(DOMAINS)
)
def test_members_known_to_some_instances_add_at_most_as_many_senders(
    known: int, more: int, count: int, domain: str
) -> None:
    small, large = make_fleet(0, known), make_fleet(0, known + more)
    senders = choose_senders("u1", domain, small, count)
    both = senders | choose_senders("u1", domain, large, count)
    assert len(both) <= min(count, known) + more


def test_senders_are_in_the_upstreams_domain_if_it_has_enough_instances() -> None:
    fleet = make_fleet(0, INSTANCES)
    assert {fleet[name] for name in choose_senders("u1", "b", fleet, 6)} == {"b"}
    few = {"i1": "a", "i2": "b"}
    assert choose_senders("u1", "b", few, 6) == {"i1", "i2"}


def test_upstreams_that_are_warm_or_without_a_limit_get_all_requests() -> None:
    warm = make_upstream("u1")
    warm.last_sent_at = COLD_SECONDS
    assert ColdShares("i0", dict, lambda _: RATE).allows(warm, COLD_SECONDS)
    assert ColdShares("i0", dict, lambda _: 0.0).allows(make_upstream("u1"), 0.0)


def test_a_rate_below_one_per_second_lengthens_the_pause() -> None:
    upstream = make_upstream("u1")
    share = ColdShares("i0", lambda: {"i0": "a"}, lambda _: 0.5)
    assert share.allows(upstream, 0.0)
    upstream.last_sent_at = 0.0
    assert not share.allows(upstream, 1.9)
    assert share.allows(upstream, 2.0)
