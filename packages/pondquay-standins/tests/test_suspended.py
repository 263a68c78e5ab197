"""Tests of relays whose processes are paused or whose hosts are suspended."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor
from signal import SIGUSR1
from typing import TYPE_CHECKING

import pytest

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

# Sending them takes 1.2 s: more than the time after which an upstream counts as
# silent, less than the route's timeout.
EVENTS = 120
ROUTE_TIMEOUT_SECONDS = 2.0
STALL_EVENT = "event=stood-still"


@pytest.fixture
def fleet() -> Iterator[RoutedFleet]:
    """Run two suspendable relays in front of two replicas of each service."""
    with RoutedFleet() as started:
        started.daemon = "pondquay_standins.suspendable"
        started.start_replicas(ENGINE_SERVICE, "e1", "e2")
        started.start_replicas(PLAIN_SERVICE, "p1", "p2")
        started.configure(make_configuration(1))
        for name in ("r1", "r2"):
            started.start_relay(name)
        yield started


def count_in_log(relay: Relay, text: str) -> int:
    return relay.process.log.read_text().count(text)


def count_runs(fleet: RoutedFleet, attempt: str) -> int:
    return sum(run["attempt"] == attempt for run in fleet.runs())


def test_a_stream_continues_after_its_relay_was_paused(
    fleet: RoutedFleet,
) -> None:
    """The relay reads buffered data before it considers the upstream silent."""
    relay = fleet.relays["r1"]
    with ThreadPoolExecutor() as pool:
        pending = pool.submit(
            fleet.send_request,
            relay,
            "/audit/x",
            tokens=(100, 3 * EVENTS),
            events=EVENTS,
            attempt="still",
        )
        wait_until(lambda: count_runs(fleet, "still") == 1, "the request runs")
        relay.process.pause()
        wait_until(lambda: count_events(fleet) == EVENTS, "the last event is sent")
        relay.process.resume()
        response = pending.result()
    assert (response.status, response.complete) == (200, True)
    assert count_runs(fleet, "still") == 1


def count_events(fleet: RoutedFleet) -> int:
    return sum(run["events"] for run in fleet.runs() if run["attempt"] == "still")


def test_a_resumed_relay_reads_the_store_before_it_is_ready(
    fleet: RoutedFleet,
) -> None:
    relay = fleet.relays["r1"]
    fleet.control("store", fault="silent")
    before = count_in_log(relay, STALL_EVENT)
    relay.process.popen.send_signal(SIGUSR1)
    wait_until(
        lambda: count_in_log(relay, STALL_EVENT) > before,
        "the relay notices the suspension",
    )
    assert not relay.ready
    assert fleet.send_request(relay, "/unknown/").status == 503
    fleet.control("store", fault="none")
    wait_until(lambda: relay.ready, "the relay is ready again")
    assert fleet.send_request(relay, "/unknown/").status == 404
    assert fleet.send_request(relay, "/fetch/x").status == 200


def test_a_request_whose_deadline_passed_during_a_suspension_ends_at_once(
    fleet: RoutedFleet,
) -> None:
    relay = fleet.relays["r1"]
    for name in ("p1", "p2"):
        fleet.control("replica", name=name, fault="hang")
    with ThreadPoolExecutor() as pool:
        pending = pool.submit(fleet.send_request, relay, "/write/x", attempt="held")
        wait_until(lambda: count_runs(fleet, "held") == 1, "the request runs")
        started_at = time.monotonic()
        relay.process.popen.send_signal(SIGUSR1)
        assert pending.result().status == 504
    assert time.monotonic() - started_at < ROUTE_TIMEOUT_SECONDS / 2
