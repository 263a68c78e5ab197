"""Silences of the stand-ins for replicas, over real connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from pondquay_standins.processes import HOST, wait_until
from pondquay_standins.routedfleet import PLAIN_SERVICE, RoutedFleet
from pondquay_standins.silences import Silence
from pondquay_standins.soak.connections import CallerConnection

if TYPE_CHECKING:
    from collections.abc import Iterator

TIMEOUT_SECONDS = 10.0
EVENTS = 30


def test_actions_are_held_back_in_order() -> None:
    done: list[int] = []
    silence = Silence()
    silence.perform(lambda: done.append(1))
    silence.is_silent = True
    silence.perform(lambda: done.append(2))
    silence.perform(lambda: done.append(3))
    assert done == [1]
    silence.end()
    silence.perform(lambda: done.append(4))
    assert done == [1, 2, 3, 4]


def test_actions_of_a_lost_connection_are_discarded() -> None:
    done: list[int] = []
    silence = Silence()
    silence.is_silent = True
    silence.perform(lambda: done.append(1))
    silence.discard()
    silence.end()
    assert done == []


@pytest.fixture
def fleet() -> Iterator[RoutedFleet]:
    """Run a replica without relays."""
    with RoutedFleet() as started:
        started.start_replicas(PLAIN_SERVICE, "p1")
        yield started


def connect(fleet: RoutedFleet) -> CallerConnection:
    return CallerConnection(HOST, fleet.replica_ports["p1"], TIMEOUT_SECONDS)


def send(connection: CallerConnection, attempt: str, events: int = 0) -> None:
    headers = {"X-Pondquay-Attempt-Id": attempt, "X-Test-Events": str(events)}
    connection.request("POST", "/fetch/", body=b"body", headers=headers)
    connection.send_whole()


def silence(fleet: RoutedFleet, kind: str) -> None:
    fleet.control("silence", name="p1", kind=kind)


def has_ended(fleet: RoutedFleet, attempt: str) -> bool:
    return any(
        run["attempt"] == attempt and run["ended"] == "200" for run in fleet.runs()
    )


def has_received(connection: CallerConnection) -> bool:
    connection.sock.setblocking(False)
    try:
        return bool(connection.sock.recv(1))
    except BlockingIOError:
        return False
    finally:
        connection.sock.settimeout(TIMEOUT_SECONDS)


def test_a_silent_replica_works_on_and_sends_the_response_afterwards(
    fleet: RoutedFleet,
) -> None:
    connection = connect(fleet)
    silence(fleet, "reading")
    send(connection, "a1", EVENTS)
    wait_until(lambda: has_ended(fleet, "a1"), "the run ends")
    assert not has_received(connection)
    assert [run["events"] for run in fleet.runs()] == [0]
    (arrival,) = fleet.arrivals()
    assert arrival.held_seconds == float("inf")
    silence(fleet, "none")
    response = connection.getresponse()
    assert (response.status, response.read().count(b"data:")) == (200, EVENTS)
    (arrival,) = fleet.arrivals()
    assert 0.0 < arrival.held_seconds < TIMEOUT_SECONDS
    assert [run["events"] for run in fleet.runs()] == [EVENTS]
    assert not arrival.waited
    connection.close()


def test_a_stopped_replica_reads_requests_afterwards(fleet: RoutedFleet) -> None:
    connection = connect(fleet)
    send(connection, "a1")
    assert connection.getresponse().read() == b"p1:a1"
    silence(fleet, "stopped")
    send(connection, "a2")
    assert [run["attempt"] for run in fleet.runs()] == ["a1"]
    silence(fleet, "none")
    assert connection.getresponse().read() == b"p1:a2"
    assert [arrival.waited for arrival in fleet.arrivals()] == [False, True]
    send(connection, "a3")
    assert connection.getresponse().read() == b"p1:a3"
    assert not fleet.arrivals()[-1].waited
    connection.close()


def test_a_stream_of_a_stopped_replica_goes_on_where_it_was(
    fleet: RoutedFleet,
) -> None:
    connection = connect(fleet)
    send(connection, "a1", EVENTS)
    response = connection.getresponse()
    body = response.read1()
    silence(fleet, "stopped")
    (before,) = fleet.runs()
    send(other := connect(fleet), "a2")
    assert fleet.runs() == [before]
    silence(fleet, "none")
    body += response.read()
    assert body.count(b"data:") == EVENTS
    assert other.getresponse().read() == b"p1:a2"
    connection.close()
    other.close()


def test_a_replica_may_be_silent_on_every_second_connection(
    fleet: RoutedFleet,
) -> None:
    silent, other = connect(fleet), connect(fleet)
    for connection, attempt in ((silent, "a1"), (other, "a2")):
        send(connection, attempt)
        assert connection.getresponse().read() == f"p1:{attempt}".encode()
    silence(fleet, "partial")
    send(silent, "a3")
    wait_until(lambda: has_ended(fleet, "a3"), "the run ends")
    send(other, "a4")
    assert other.getresponse().read() == b"p1:a4"
    assert not has_received(silent)
    silence(fleet, "none")
    assert silent.getresponse().read() == b"p1:a3"
    silent.close()
    other.close()


def test_a_silence_ends_by_itself(fleet: RoutedFleet) -> None:
    connection = connect(fleet)
    fleet.control("silence", name="p1", kind="stopped", seconds=0.05)
    send(connection, "a1")
    assert connection.getresponse().read() == b"p1:a1"
    connection.close()
