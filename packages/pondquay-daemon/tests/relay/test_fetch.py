"""Calls to the table on connections that become unresponsive."""

from __future__ import annotations

from typing import Any

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.testing import StringTransport

from pondquay.addresses import Address
from pondquay.tables import OutcomeUnknown, Unreachable
from pondquay_daemon.relay.egress import EgressPool
from pondquay_daemon.relay.fetch import (
    MAX_FETCHED_BYTES,
    Call,
    FetchedResponse,
    Fetcher,
)

from .stalledclock import StalledClock

SECONDS = 0.7
# Parts in which a response is sent within that time.
STEPS = 8
PIECE = b"x" * 65536
CALL = Call(b"GET", b"/rows", [(b"Host", b"table")])
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class TableTransport(StringTransport):
    """The table's end of a connection."""

    def setTcpNoDelay(self, enabled: bool) -> None:
        pass

    def abortConnection(self) -> None:
        self.loseConnection()


class Table:
    """A fetcher of a simulated table, whose connections the test accepts."""

    def __init__(self) -> None:
        self.clock: Any = StalledClock()
        pool = EgressPool(self.clock)
        self.fetcher = Fetcher(self.clock, pool, Address("10.0.0.9", 80))

    def call(self) -> list[Any]:
        """Start a call; return a list that receives its result."""
        results: list[Any] = []
        fetched = Deferred.fromCoroutine(self.fetcher.fetch(CALL, SECONDS))
        fetched.addCallback(results.append)
        return results

    def connect(self) -> Any:
        """Accept the newest connection and return its protocol."""
        protocol = self.clock.tcpClients[-1][2].buildProtocol(None)
        protocol.makeConnection(TableTransport())
        return protocol


@pytest.fixture
def table() -> Table:
    """Return a table without connections."""
    return Table()


def test_a_call_that_times_out_has_an_unknown_outcome_and_closes_its_connection(
    table: Table,
) -> None:
    results = table.call()
    protocol = table.connect()
    table.clock.advance(SECONDS)
    assert results == [OutcomeUnknown()]
    assert protocol.transport.disconnecting


def test_an_unresponsive_idle_connection_fails_one_call(table: Table) -> None:
    first = table.call()
    table.connect().dataReceived(RESPONSE)
    assert first == [FetchedResponse(200, b"ok")]
    second = table.call()
    assert len(table.clock.tcpClients) == 1, "the idle connection is reused"
    table.clock.advance(SECONDS)
    assert second == [OutcomeUnknown()]
    third = table.call()
    assert len(table.clock.tcpClients) == 2
    table.connect().dataReceived(RESPONSE)
    assert third == [FetchedResponse(200, b"ok")]


# Guards against a write whose outcome counts as unknown since its response was not
# read, as its time passed while the process stalled.
def test_a_response_that_waits_when_a_stall_ends_is_the_result(table: Table) -> None:
    results = table.call()
    protocol = table.connect()
    table.clock.stall(2 * SECONDS, lambda: protocol.dataReceived(RESPONSE))
    assert results == [FetchedResponse(200, b"ok")]


def test_a_call_without_a_connection_is_unreachable(table: Table) -> None:
    results = table.call()
    table.clock.advance(SECONDS)
    assert results == [Unreachable()]


# Guards against a response without an end that fills the memory of the instance.
@pytest.mark.parametrize(
    "framing", [b"", b"Content-Length: 1000000000000\r\n"], ids=["none", "length"]
)
def test_a_response_without_an_end_counts_as_unanswered(
    table: Table, framing: bytes
) -> None:
    results = table.call()
    protocol = table.connect()
    protocol.dataReceived(b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n")
    sent = 0
    while sent <= MAX_FETCHED_BYTES:
        assert not protocol.transport.disconnecting
        protocol.dataReceived(PIECE)
        sent += len(PIECE)
    assert protocol.transport.disconnecting
    assert results == [OutcomeUnknown()]


# Guards against a response that is sent slowly and delays the next call.
@pytest.mark.parametrize("head", [b"HTTP/1.1 200 ", b"HTTP/1.1 200 OK\r\n\r\n"])
def test_a_response_that_is_sent_slowly_ends_at_the_timeout(
    table: Table, head: bytes
) -> None:
    results = table.call()
    protocol = table.connect()
    protocol.dataReceived(head)
    for _ in range(STEPS):
        assert results == []
        table.clock.advance(SECONDS / STEPS)
        protocol.dataReceived(b"x")
    assert results == [OutcomeUnknown()]
    assert protocol.transport.disconnecting
