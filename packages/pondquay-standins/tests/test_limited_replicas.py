"""Tests of replicas with a rate limit that all relays share."""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING

import pytest

from pondquay_standins.processes import wait_until
from pondquay_standins.routedfleet import (
    PLAIN_SERVICE,
    RoutedFleet,
    make_configuration,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from pondquay_standins.routedfleet import Relay

RELAYS = ("r1", "r2", "r3")
LIMITED, OTHER = "p1", "p2"
LIMIT = 2.0
PAUSE_SECONDS = 0.02
# Time in which the limit must reach all relays.
PROPAGATION_SECONDS = 3.0
# Time in which arrivals are then counted.
WINDOW_SECONDS = 4.0
MAX_IN_WINDOW = 1.5 * LIMIT * WINDOW_SECONDS + 5


@pytest.fixture
def fleet() -> Iterator[RoutedFleet]:
    """Run three linked relays in front of two replicas."""
    with RoutedFleet() as started:
        started.start_replicas(PLAIN_SERVICE, LIMITED, OTHER)
        started.configure(make_configuration(1))
        for name in RELAYS:
            started.start_relay(name)
        for relay in started.relays.values():
            wait_until(
                lambda r=relay: len(fetch_dump(r)["peers"]) == 2,
                "links between the relays",
            )
        yield started


def fetch_dump(relay: Relay) -> dict[str, object]:
    found: dict[str, object] = json.loads(relay.fetch_report("/dump"))
    return found


def send_requests_for(fleet: RoutedFleet, seconds: float) -> list[int]:
    """Send requests to all relays in turn and return the response statuses."""
    deadline = time.monotonic() + seconds
    statuses = []
    while time.monotonic() < deadline:
        for relay in fleet.relays.values():
            statuses.append(fleet.send_request(relay, "/fetch/x").status)
    return statuses


def count_arrivals(fleet: RoutedFleet, since: float) -> int:
    return sum(
        arrival.replica == LIMITED and arrival.at > since
        for arrival in fleet.arrivals()
    )


def test_relays_share_a_limit_until_it_is_removed(fleet: RoutedFleet) -> None:
    fleet.control("limit", name=LIMITED, limit=LIMIT)
    assert set(send_requests_for(fleet, PROPAGATION_SECONDS)) == {200}
    since = time.monotonic()
    assert set(send_requests_for(fleet, WINDOW_SECONDS)) == {200}
    assert 1 <= count_arrivals(fleet, since) <= MAX_IN_WINDOW
    fleet.control("limit", name=LIMITED, limit=None)
    wait_until(
        lambda: (
            send_requests_for(fleet, 0.1)
            and not any(map(is_limited, fleet.relays.values()))
        ),
        "no relay applies the limit",
    )


def is_limited(relay: Relay) -> bool:
    return any(
        upstream["limit"] is not None for upstream in fetch_dump(relay)["upstreams"]
    )


def test_requests_beyond_all_limits_are_refused_at_once(fleet: RoutedFleet) -> None:
    for name in (LIMITED, OTHER):
        fleet.control("limit", name=name, limit=LIMIT)
    send_requests_for(fleet, PROPAGATION_SECONDS)
    started_at = time.monotonic()
    responses = [
        fleet.send_request(relay, "/fetch/x")
        for relay in fleet.relays.values()
        for _ in "1234"
    ]
    assert time.monotonic() - started_at < 2.0
    refused = [response for response in responses if response.status == 503]
    assert refused
    assert all(float(response.headers["Retry-After"]) > 0 for response in refused)
