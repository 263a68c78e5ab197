"""Which peer an instance asks for a connection to an upstream."""

from __future__ import annotations

from random import Random

import pytest

from pondquay.addresses import Address
from pondquay.routing.gateways import (
    ANY_UPSTREAM,
    BACKOFF_SECONDS,
    CUT_OFF_BACKOFF_SECONDS,
    MAX_TRIED,
    NEAR_PREFERENCE_TUNNELS,
    Gateway,
    GatewayTable,
)

UPSTREAM = "10.0.0.1:80"
SERVICE = "board"
SCOPES = (UPSTREAM, SERVICE)


def make_table(*domains: str, full: frozenset[str] = frozenset()) -> GatewayTable:
    """Return a table of an instance in domain a, with a peer in each of the domains."""
    table = GatewayTable("a", Random(1), lambda peer: peer not in full)
    for number, domain in enumerate(domains):
        table.put(f"r{number}", domain, Address("10.0.0.9", number))
    return table


def choose(
    table: GatewayTable, *tried: Gateway, target: str = "c", now: float = 0.0
) -> Gateway:
    gateway = table.choose(SCOPES, target, tried, now)
    assert gateway is not None
    return gateway


def test_a_gateway_of_the_own_domain_comes_first() -> None:
    assert choose(make_table("b", "c", "a")).name == "r2"


def test_then_one_of_the_domain_of_the_upstream() -> None:
    assert choose(make_table("b", "c", "d")).name == "r1"


# Guards against a domain that is cut off as a whole and asks only its own instances.
def test_a_domain_that_was_not_tried_comes_next() -> None:
    table = make_table("a", "a", "b")
    first = choose(table)
    assert (first.domain, choose(table, first).domain) == ("a", "b")


# Guards against one peer that carries all tunnels of its domain.
def test_tunnels_spread_over_domains() -> None:
    table = make_table("a", "b", "c")
    counts = {"r0": 0, "r1": 0, "r2": 0}
    for _ in range(12 * NEAR_PREFERENCE_TUNNELS):
        gateway = choose(table)
        counts[gateway.name] += 1
        table.note_tunnel(gateway.name, 1)
    assert counts["r0"] - counts["r2"] in (0, NEAR_PREFERENCE_TUNNELS)
    assert counts["r2"] - counts["r1"] in (0, NEAR_PREFERENCE_TUNNELS)


def test_tunnels_that_end_are_not_counted() -> None:
    table = make_table("a", "a")
    for _ in range(3):
        table.note_tunnel("r0", 1)
    assert choose(table).name == "r1"
    table.note_tunnel("r1", 1)
    for _ in range(4):
        table.note_tunnel("r0", -1)
    assert choose(table).name == "r0"


@pytest.mark.parametrize("scope", [ANY_UPSTREAM, SERVICE, UPSTREAM])
def test_a_gateway_that_failed_is_not_asked_for_some_time(scope: str) -> None:
    table = make_table("a")
    table.note_failed("r0", scope, 0.0)
    assert table.choose(SCOPES, "c", (), BACKOFF_SECONDS / 2) is None
    assert choose(table, now=BACKOFF_SECONDS).name == "r0"


def test_a_gateway_is_asked_for_other_upstreams_meanwhile() -> None:
    table = make_table("a")
    table.note_failed("r0", "judge", 0.0)
    table.note_failed("r0", "10.0.0.2:80", 0.0)
    assert choose(table).name == "r0"


def test_a_peer_without_room_is_not_asked() -> None:
    table = make_table("a", "b", full=frozenset({"r0"}))
    assert choose(table).name == "r1"


def test_a_peer_that_withdraws_its_offer_is_not_asked() -> None:
    table = make_table("a")
    table.note_failed("r0", SERVICE, 0.0)
    table.remove("r0")
    assert table.choose(SCOPES, "c", (), 0.0) is None
    table.put("r0", "a", Address("10.0.0.9", 1))
    assert choose(table).name == "r0"


def test_an_offer_that_is_repeated_keeps_the_count_of_tunnels() -> None:
    table = make_table("a", "a")
    table.note_tunnel("r0", 1)
    table.put("r0", "a", Address("10.0.0.9", 7))
    assert choose(table).name == "r1"


# Guards against a connection for which every instance of a large fleet is asked.
def test_few_gateways_are_asked_for_one_connection() -> None:
    table = make_table(*["a"] * (2 * MAX_TRIED))
    tried: list[Gateway] = []
    while gateway := table.choose(SCOPES, "c", tried, 0.0):
        tried.append(gateway)
    assert len(tried) == MAX_TRIED


# Guards against a fleet where the only instance that reaches upstreams is not found.
def test_the_only_gateway_that_is_not_cut_off_is_found() -> None:
    size = 80
    table = make_table(*["a", "b"] * (size // 2))
    helper = "r79"
    now = 0.0
    while now < CUT_OFF_BACKOFF_SECONDS:
        tried: list[Gateway] = []
        while gateway := table.choose(SCOPES, "c", tried, now):
            if gateway.name == helper:
                return
            tried.append(gateway)
            table.note_failed(gateway.name, SERVICE, now, CUT_OFF_BACKOFF_SECONDS)
        now += 0.25
    raise AssertionError("not found")
