"""A relay process that cannot reach any upstream, while its peer reaches them."""

from __future__ import annotations

from signal import SIGUSR2
from typing import TYPE_CHECKING

import pytest

from pondquay_standins.partitionable import PORTS_VARIABLE
from pondquay_standins.processes import wait_until
from pondquay_standins.routedfleet import (
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    RoutedFleet,
    make_configuration,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from pondquay_standins.routedfleet import Relay

REQUESTS = 10
EVENTS = 20


@pytest.fixture
def fleet() -> Iterator[RoutedFleet]:
    """Run two relays that can be cut off, and two replicas of each service."""
    with RoutedFleet() as started:
        started.daemon = "pondquay_standins.partitionable"
        started.start_replicas(ENGINE_SERVICE, "e1", "e2")
        started.start_replicas(PLAIN_SERVICE, "p1", "p2")
        started.configure(make_configuration(1))
        ports = ",".join(map(str, started.replica_ports.values()))
        for name in ("r1", "r2"):
            started.environments[name] = {PORTS_VARIABLE: ports}
            started.start_relay(name)
        for relay in started.relays.values():
            wait_until(lambda relay=relay: read_gauge(relay, "peers") == 1, "links")
        yield started


def read_gauge(relay: Relay, name: str) -> float:
    """Return the value of one of a relay's gauges or counters."""
    lines = relay.fetch_report("/metrics").splitlines()
    found = [line for line in lines if line.startswith(f"pondquay_{name} ")]
    return float(found[0].split()[-1])


def serves_directly(fleet: RoutedFleet) -> bool:
    """Return whether r1 serves a request and r2 carries no tunnel."""
    response = fleet.send_request(fleet.relays["r1"], "/fetch/x")
    return (
        response.status == 200 and read_gauge(fleet.relays["r2"], "tunnels_open") == 0
    )


# Guards against callers that a relay refuses since its own connections fail, and
# against a request that runs twice or is billed twice since it passes through a peer.
def test_all_kinds_of_requests_are_served_through_a_peer(fleet: RoutedFleet) -> None:
    cut = fleet.relays["r1"]
    assert fleet.send_request(cut, "/fetch/x").status == 200
    cut.process.popen.send_signal(SIGUSR2)
    paths = ("/fetch/x", "/write/x", "/audit/x", "/review/x")
    wait_until(lambda: fleet.send_request(cut, "/fetch/x").status == 200, "the peer")
    for number in range(REQUESTS):
        for path in paths:
            is_stream = path in ("/audit/x", "/review/x")
            response = fleet.send_request(
                cut,
                path,
                attempt=f"{path}-{number}",
                tokens=(100, 60) if is_stream else None,
                events=EVENTS if is_stream else 0,
            )
            assert (response.status, response.complete) == (200, True), path
    runs = [run["attempt"] for run in fleet.runs()]
    assert all(runs.count(f"/write/x-{n}") == 1 for n in range(REQUESTS))
    assert read_gauge(fleet.relays["r2"], "tunnels_open") >= 1
    cut.process.popen.send_signal(SIGUSR2)
    wait_until(lambda: serves_directly(fleet), "the own path")


# Guards against callers who wait or get another's response when a gateway is killed.
def test_requests_are_refused_or_served_when_the_gateway_is_killed(
    fleet: RoutedFleet,
) -> None:
    cut, gateway = fleet.relays["r1"], fleet.relays["r2"]
    cut.process.popen.send_signal(SIGUSR2)
    wait_until(lambda: fleet.send_request(cut, "/fetch/x").status == 200, "the peer")
    gateway.process.kill()
    for number in range(REQUESTS):
        response = fleet.send_request(cut, "/write/x", attempt=f"killed-{number}")
        assert response.status in (502, 503, 504)
    cut.process.popen.send_signal(SIGUSR2)
    wait_until(lambda: fleet.send_request(cut, "/write/x").status == 200, "own path")
    runs = [run["attempt"] for run in fleet.runs()]
    assert all(runs.count(f"killed-{n}") <= 1 for n in range(REQUESTS))
