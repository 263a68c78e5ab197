"""Tests that malformed rows in the list of upstreams do not break relays.

Relays that read such rows must start, and use the other upstreams.
"""

from __future__ import annotations

import json
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Any

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

VALID_ROW = {
    "service": PLAIN_SERVICE,
    "address": "127.0.0.1:1",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 1,
}
MALFORMED_ROWS: list[Any] = [
    "text",
    7,
    [VALID_ROW],
    None,
    {},
    *(
        {**VALID_ROW, **fields}
        for fields in (
            {"address": 80},
            {"address": ["127.0.0.1", 1]},
            {"address": "127.0.0.1"},
            {"service": 3},
            {"service": {"name": PLAIN_SERVICE}},
            {"slots": "8"},
            {"cold_remaining_ms": "soon"},
            {"state": "resting"},
        )
    ),
]
REQUESTS = 240
CONCURRENCY = 24


@pytest.fixture
def fleet() -> Iterator[RoutedFleet]:
    """Run two relays in front of a replica, and write the malformed rows."""
    with RoutedFleet() as started:
        started.start_replicas(PLAIN_SERVICE, "p1")
        started.configure(make_configuration(1))
        for name in ("r1", "r2"):
            started.start_relay(name)
        for number, value in enumerate(MALFORMED_ROWS):
            key = f"foreign-{number}"
            started.control("put", table="servers", key=key, value=value)
        yield started


def send_requests(fleet: RoutedFleet, *relays: Relay) -> list[int]:
    def send_request(number: int) -> int:
        return fleet.send_request(relays[number % len(relays)], "/fetch/x").status

    with ThreadPoolExecutor(CONCURRENCY) as pool:
        return list(pool.map(send_request, range(REQUESTS)))


def count_malformed(relay: Relay) -> int:
    return len(json.loads(relay.fetch_report("/dump"))["malformed"])


def test_valid_upstreams_stay_in_use(fleet: RoutedFleet) -> None:
    relays = list(fleet.relays.values())
    for relay in relays:
        wait_until(
            lambda r=relay: count_malformed(r) == len(MALFORMED_ROWS),
            "all malformed rows are read",
        )
    assert send_requests(fleet, *relays) == [200] * REQUESTS
    log = relays[0].process.log.read_text()
    assert log.count("event=row-malformed") == len(MALFORMED_ROWS)


def test_a_relay_started_after_the_malformed_rows_serves(fleet: RoutedFleet) -> None:
    started = fleet.start_relay("r3")
    assert send_requests(fleet, started) == [200] * REQUESTS


def test_a_replica_whose_row_is_overwritten_is_unused_until_it_is_valid_again(
    fleet: RoutedFleet,
) -> None:
    relay = fleet.relays["r1"]
    fleet.control("put", table="servers", key="p1", value={"state": "ready"})
    wait_until(
        lambda: fleet.send_request(relay, "/fetch/x").status == 503,
        "the replica is unused",
    )
    port = fleet.replica_ports["p1"]
    fleet.control("list", name="p1", port=port, state="ready")
    wait_until(
        lambda: fleet.send_request(relay, "/fetch/x").status == 200,
        "the replica is used again",
    )


def test_the_relays_command_shows_malformed_rows(fleet: RoutedFleet) -> None:
    relay = fleet.relays["r1"]
    wait_until(
        lambda: count_malformed(relay) == len(MALFORMED_ROWS),
        "all malformed rows are read",
    )
    url = f"http://127.0.0.1:{relay.reports_port}"
    command = [sys.executable, "-m", "pondquay_cli", "relays", url]
    shown = subprocess.run(command, capture_output=True, text=True, check=True).stdout
    assert shown.count("row foreign-") == len(MALFORMED_ROWS)
