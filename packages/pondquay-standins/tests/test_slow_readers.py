"""Tests of callers that read long responses late, against a real relay."""

from __future__ import annotations

import socket
import time
from http.client import HTTPConnection
from pathlib import Path
from typing import TYPE_CHECKING

import pytest

from pondquay_standins.processes import HOST, wait_until
from pondquay_standins.routedfleet import (
    PLAIN_SERVICE,
    RoutedFleet,
    make_configuration,
    read_body,
)
from pondquay_standins.soak.callers import make_headers

if TYPE_CHECKING:
    from collections.abc import Iterator

    from pondquay_standins.routedfleet import Relay

READERS = 40
RESPONSE_BYTES = 2_000_000
RECEIVE_BUFFER_BYTES = 131_072
# What all responses that nobody reads may cost a relay together.
MAX_GROWTH_BYTES = 16 << 20
# The memory is compared once it has not grown for this long.
STEADY_SECONDS = 0.5
ROUTE_MS = 30_000


@pytest.fixture
def relay() -> Iterator[Relay]:
    with RoutedFleet() as fleet:
        fleet.start_replicas(PLAIN_SERVICE, "p1", "p2")
        configuration = make_configuration(1)
        for route in configuration["routes"]:
            route["timeout_ms"] = ROUTE_MS
        fleet.configure(configuration)
        yield fleet.start_relay("r1")


def read_resident_bytes(relay: Relay) -> int:
    status = Path(f"/proc/{relay.process.popen.pid}/status").read_text()
    (line,) = (text for text in status.splitlines() if text.startswith("VmRSS:"))
    return int(line.split()[1]) * 1024


def send_request(relay: Relay, attempt: str, size: int) -> HTTPConnection:
    connection = HTTPConnection(HOST, relay.port, timeout=20)
    connection.connect()
    connection.sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )
    headers = {**make_headers(attempt, 0), "X-Test-Bytes": str(size)}
    connection.request("POST", "/fetch/", body=b"body", headers=headers)
    return connection


def is_steady(relay: Relay, seen: list[tuple[float, int]]) -> bool:
    """Return whether the relay's memory has not grown for ``STEADY_SECONDS``."""
    now, used = time.monotonic(), read_resident_bytes(relay)
    if not seen or used > seen[-1][1]:
        seen.append((now, used))
    return now - seen[-1][0] >= STEADY_SECONDS


# A relay must not run out of memory because callers do not read their responses.
def test_responses_that_nobody_reads_cost_little_memory(relay: Relay) -> None:
    served = send_request(relay, "first", 0)
    assert read_body(served.getresponse()) == (b"p1:first", True)
    before = read_resident_bytes(relay)
    slow = [
        send_request(relay, f"slow-{number}", RESPONSE_BYTES)
        for number in range(READERS)
    ]
    seen: list[tuple[float, int]] = []
    wait_until(lambda: is_steady(relay, seen), "steady memory")
    assert seen[-1][1] - before <= MAX_GROWTH_BYTES

    quick = send_request(relay, "quick", 0)
    body, complete = read_body(quick.getresponse())
    assert complete
    assert body.endswith(b":quick")

    for number, connection in enumerate(slow):
        body, complete = read_body(connection.getresponse())
        assert complete
        assert len(body) == RESPONSE_BYTES
        assert body.rstrip(b".").endswith(f":slow-{number}".encode())
