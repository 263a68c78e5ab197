"""Callers that read slowly or not at all hold up nobody and cost little memory."""

from __future__ import annotations

from typing import Any

import pytest
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.python.failure import Failure

from pondquay.routing.buffers import MAX_COLLECTED_BYTES

from .conftest import RelaySide, run_turns
from .slowreading import (
    SendingUpstream,
    SlowTransport,
    body_of,
    make_chunked,
    make_response,
    read_all,
)

MEGABYTE = 1 << 20
BODY = bytes(range(256)) * (2 * MEGABYTE // 256)
UPSTREAMS = 3
# Longer than the timeout of the routes.
LONG_SECONDS = 3.0


class SlowSide:
    """A relay, and exchanges whose callers and upstreams the test moves on."""

    def __init__(self) -> None:
        self.relay = RelaySide()
        for number in range(UPSTREAMS):
            address = f"10.0.0.{number + 1}:80"
            self.relay.store.put_upstream(f"u{number}", address)
        self.relay.start()
        self.relay.run_for(LONG_SECONDS)
        components: Any = self.relay.relay._components
        self.buffers = components.buffers
        self.directory = components.directory

    def send_request(
        self, response: bytes, path: str = "/read/x"
    ) -> tuple[Any, SlowTransport, SendingUpstream]:
        """Return the caller's connection, its transport and its upstream."""
        transport = SlowTransport()
        caller = self.relay.connect_caller(path, transport)
        return caller, transport, self.accept(response)

    def accept(self, response: bytes) -> SendingUpstream:
        """Return an upstream that has begun to send its response."""
        upstream = SendingUpstream(self.relay.accept_connection(), response)
        upstream.send()
        return upstream

    def count_failures(self) -> int:
        upstreams = [self.directory.find(f"u{number}") for number in range(UPSTREAMS)]
        return sum(upstream.circuit.failures for upstream in upstreams)


@pytest.fixture
def side() -> SlowSide:
    """Return a relay with upstreams that are no longer cold."""
    return SlowSide()


def make_stream(count: int) -> bytes:
    events = b"".join(
        b"id: %d\ndata: %b\n\n" % (number, b"x" * 1000)
        for number in range(1, count + 1)
    )
    return make_chunked(events)


def test_callers_that_read_nothing_cost_little_and_get_all_once_they_read(
    side: SlowSide,
) -> None:
    """Load: 40 callers that ask for 2 MB each and read nothing."""
    exchanges = [side.send_request(make_response(BODY)) for _ in range(40)]
    kept = sum(len(transport.unsent) for _, transport, _ in exchanges)
    assert kept <= side.buffers.total <= 16 * MEGABYTE
    _, quick, upstream = side.send_request(make_response(BODY))
    read_all(quick, upstream)
    assert body_of(quick) == BODY
    side.relay.run_for(LONG_SECONDS)
    _, late, upstream = exchanges[7]
    read_all(late, upstream)
    assert body_of(late) == BODY
    assert not any(transport.aborted for _, transport, _ in exchanges)


def test_callers_that_read_nothing_give_way_to_others(side: SlowSide) -> None:
    """Load: more callers that read nothing than the instance has memory for."""
    side.buffers.limit = MEGABYTE
    exchanges = []
    for _ in range(20):
        exchanges.append(side.send_request(make_response(BODY)))
        side.relay.run_for(0.1)
        assert side.buffers.total <= MEGABYTE
    aborted = [transport.aborted for _, transport, _ in exchanges]
    assert aborted == sorted(aborted, reverse=True), "the longest unread are first"
    assert 0 < sum(aborted) < 20
    for _, transport, upstream in exchanges:
        assert upstream.end.transport.disconnecting is transport.aborted
    assert side.count_failures() == 0


@pytest.mark.parametrize("path", ["/read/x", "/once/x", "/stream/x"])
def test_a_caller_that_leaves_while_it_is_unread_ends_the_upstreams_work(
    side: SlowSide, path: str
) -> None:
    response = make_stream(2000) if path == "/stream/x" else make_response(BODY)
    caller, _, upstream = side.send_request(response, path)
    assert not upstream.is_read
    caller.connectionLost(Failure(ConnectionDone()))
    assert upstream.end.transport.disconnecting
    assert side.buffers.total == 0
    side.relay.run_for(LONG_SECONDS)
    assert side.relay.count_connections() == 0


def test_a_request_that_may_not_be_repeated_is_completed_for_a_caller_that_left(
    side: SlowSide,
) -> None:
    caller, _, upstream = side.send_request(make_response(BODY)[:1000], "/once/x")
    caller.connectionLost(Failure(ConnectionDone()))
    assert not upstream.end.transport.disconnecting
    upstream.unsent = BODY
    upstream.send()
    assert side.buffers.total == 0


def test_an_unread_response_is_not_a_silent_upstream(side: SlowSide) -> None:
    _, transport, upstream = side.send_request(make_response(BODY))
    side.relay.run_for(1.5)
    assert side.relay.count_connections() == 0
    read_all(transport, upstream)
    assert body_of(transport) == BODY


@pytest.mark.parametrize("chunked", [False, True])
def test_an_upstream_that_cuts_off_an_unread_response_is_not_at_fault(
    side: SlowSide, chunked: bool
) -> None:
    whole = make_chunked(BODY) if chunked else make_response(BODY)
    _, transport, upstream = side.send_request(whole)
    side.relay.run_for(1.5)
    transport.read(len(transport.unsent))
    upstream.end.protocol.connectionLost(Failure(ConnectionLost()))
    run_turns(side.relay.clock)
    assert transport.aborted
    assert BODY.startswith(body_of(transport)[:MAX_COLLECTED_BYTES]) or chunked
    assert not transport.value().endswith(b"0\r\n\r\n")
    assert side.count_failures() == 0
    side.relay.run_for(LONG_SECONDS)
    assert side.relay.count_connections() == 0, "the request is not repeated"


def test_a_response_that_breaks_while_it_is_read_is_the_upstreams_fault(
    side: SlowSide,
) -> None:
    _, transport, upstream = side.send_request(make_response(BODY))
    transport.read(len(transport.unsent))
    upstream.end.protocol.connectionLost(Failure(ConnectionLost()))
    run_turns(side.relay.clock)
    assert transport.aborted
    assert side.count_failures() == 1


def test_a_response_that_breaks_before_it_was_forwarded_is_repeated(
    side: SlowSide,
) -> None:
    response = make_response(BODY[:MAX_COLLECTED_BYTES])
    _, transport, upstream = side.send_request(response[:-1])
    assert not transport.unsent
    upstream.end.protocol.connectionLost(Failure(ConnectionLost()))
    second = side.accept(response)
    read_all(transport, second)
    assert body_of(transport) == BODY[:MAX_COLLECTED_BYTES]


def test_a_response_that_is_never_read_is_ended(side: SlowSide) -> None:
    _, transport, upstream = side.send_request(make_response(BODY))
    side.relay.run_for(15.0)
    assert transport.aborted
    assert upstream.end.transport.disconnecting
    assert side.buffers.total == 0


def test_a_stream_that_is_never_read_ends_at_its_deadline(side: SlowSide) -> None:
    _, transport, upstream = side.send_request(make_stream(2000), "/stream/x")
    assert not upstream.is_read
    side.relay.run_for(LONG_SECONDS)
    assert transport.aborted
    assert upstream.end.transport.disconnecting


def test_a_stream_that_is_read_late_is_whole_and_without_a_pause(
    side: SlowSide,
) -> None:
    stream = make_stream(2000)
    _, transport, upstream = side.send_request(stream, "/stream/x")
    side.relay.run_for(1.5)
    read_all(transport, upstream)
    assert b"id: 2000\n" in transport.value()
    assert transport.value().endswith(b"0\r\n\r\n")
    assert side.relay.count_connections() == 0


def test_the_next_request_waits_until_the_last_response_was_read(
    side: SlowSide,
) -> None:
    """Load: a caller that sends requests without reading the responses."""
    body = BODY[: 3 * MAX_COLLECTED_BYTES // 4]
    response = make_response(body, b"Connection: close")
    caller, transport, upstream = side.send_request(response)
    caller.dataReceived(b"GET /read/y HTTP/1.1\r\nHost: h\r\n\r\n")
    side.relay.run_for(0.1)
    assert side.relay.count_connections() == 0
    read_all(transport, upstream)
    side.relay.run_for(0.1)
    assert body_of(transport) == body
    second = side.accept(make_response(b"ok"))
    assert b"/read/y" in second.end.transport.value()
    transport.read(len(transport.unsent))
    assert transport.value().endswith(b"ok")
