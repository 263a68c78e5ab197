from __future__ import annotations

from dataclasses import replace

import pytest

from pondquay.routes.entities import CallerLimits
from pondquay_daemon.relay.flowcontrol import MAX_UNREAD_SECONDS
from pondquay_daemon.relay.ingress import (
    LINGER_SECONDS,
    MAX_READ_AHEAD_BYTES,
    MAX_WAIT_FRACTION,
)

from ..stalledclock import run_due_calls
from .conftest import CallerSide, CallerTransport, run_turns
from .slowreading import LIMIT_BYTES, SlowTransport

GET = b"GET /a/b?c=d HTTP/1.1\r\nHost: one.example\r\nX-Own: 1\r\n\r\n"


def test_a_complete_request_keeps_its_header_names(caller: CallerSide) -> None:
    caller.send(
        b"POST /a HTTP/1.1\r\nHost: h\r\nX-OwN: v\r\nContent-Length: 5\r\n\r\nhe"
    )
    assert not caller.handler.requests
    caller.send(b"llo")
    head, body, _ = caller.handler.requests[0]
    assert (head.method, head.target, body) == (b"POST", b"/a", b"hello")
    assert (b"X-OwN", b"v") in head.headers


def test_a_chunked_body_is_joined(caller: CallerSide) -> None:
    caller.send(
        b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n"
    )
    assert caller.handler.requests[0][1] == b"hello"


def test_two_requests_on_one_connection_are_served_in_order(
    caller: CallerSide,
) -> None:
    caller.send(GET + GET)
    assert len(caller.handler.requests) == 1
    caller.handler.requests[0][2].send_complete(200, [], b"one")
    caller.clock.advance(0)
    assert len(caller.handler.requests) == 2
    caller.handler.requests[1][2].send_complete(200, [], b"two")
    assert caller.sent_back().count(b"HTTP/1.1 200") == 2
    assert caller.sent_back().index(b"one") < caller.sent_back().index(b"two")


@pytest.mark.parametrize(
    "head",
    [
        b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n",
        b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
        b"Content-Length: 5\r\n\r\n",
        b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n",
        b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n",
        b"GET /a b HTTP/1.1\r\nHost: h\r\n\r\n",
        b"GET /a HTTP/1.1\r\n\r\n",
    ],
)
def test_an_invalid_request_is_refused_and_its_connection_closed(
    caller: CallerSide, head: bytes
) -> None:
    caller.send(head + b"0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n")
    assert not caller.handler.requests
    assert caller.sent_back()[:12] in (b"HTTP/1.1 400", b"HTTP/1.1 501")
    assert caller.transport.disconnecting


def test_a_body_that_is_too_large_is_refused(caller: CallerSide) -> None:
    caller.handler.bounds = CallerLimits(body_bytes=4)
    caller.send(b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello")
    assert caller.sent_back().startswith(b"HTTP/1.1 413")
    assert not caller.handler.requests


def test_a_head_that_is_too_large_is_refused(caller: CallerSide) -> None:
    caller.send(b"GET /a HTTP/1.1\r\nHost: h\r\nX-Long: " + b"a" * 20000)
    assert caller.sent_back().startswith(b"HTTP/1.1 431")


def test_a_head_that_does_not_end_is_refused_after_the_timeout(
    caller: CallerSide,
) -> None:
    caller.send(b"GET /a HTTP/1.1\r\n")
    caller.clock.advance(caller.handler.bounds.header_timeout)
    assert caller.sent_back().startswith(b"HTTP/1.1 408")


def test_an_idle_connection_is_closed_after_the_timeout(caller: CallerSide) -> None:
    caller.send(GET)
    caller.handler.requests[0][2].send_complete(200, [], b"")
    caller.clock.advance(caller.handler.bounds.idle_timeout - 0.1)
    assert not caller.transport.disconnecting
    caller.clock.advance(0.2)
    assert caller.transport.disconnecting


def test_an_aborted_stream_does_not_seem_complete(caller: CallerSide) -> None:
    caller.send(GET)
    response = caller.handler.requests[0][2]
    response.begin(200, [], b"id: 1\n\n")
    response.abort()
    run_turns(caller.clock)
    assert caller.transport.aborted
    assert b"0\r\n\r\n" not in caller.sent_back()


# Guards against callers that get nothing of a response that breaks right after its head
# was written: the reset discards what the event loop has not sent yet.
def test_a_connection_is_reset_once_the_loop_has_sent_what_was_written(
    caller: CallerSide,
) -> None:
    caller.send(GET)
    response = caller.handler.requests[0][2]
    response.begin(200, [], b"id: 1\n\n")
    response.abort()
    # The loop runs the calls that are due before it sends, so one turn is too early.
    run_due_calls(caller.clock)
    assert not caller.transport.aborted
    run_due_calls(caller.clock)
    assert caller.transport.aborted


def test_requests_that_arrive_before_the_reset_are_not_read(caller: CallerSide) -> None:
    caller.send(GET)
    caller.handler.requests[0][2].abort()
    caller.send(GET)
    caller.clock.advance(0)
    assert caller.transport.aborted
    assert len(caller.handler.requests) == 1


# A reset that waits for a caller that does not read would wait without end.
def test_a_connection_whose_caller_does_not_read_is_reset_at_once(
    caller: CallerSide,
) -> None:
    caller.send(GET)
    response = caller.handler.requests[0][2]
    response.begin(200, [], b"id: 1\n\n")
    caller.transport.producer.pauseProducing()
    response.abort()
    assert caller.transport.aborted


def test_a_disconnected_caller_is_reported_once(caller: CallerSide) -> None:
    caller.send(GET)
    response = caller.handler.requests[0][2]
    notices: list[bool] = []
    response.on_disconnect = lambda: notices.append(True)
    caller.protocol.connectionLost()
    response.send_complete(200, [], b"late")
    assert notices == [True]
    assert caller.sent_back() == b""


def test_responses_close_their_connections_while_stopping(caller: CallerSide) -> None:
    caller.server.stopping = True
    caller.send(GET)
    caller.handler.requests[0][2].send_complete(200, [], b"x")
    assert b"connection: close" in caller.sent_back().lower()
    assert caller.transport.disconnecting


def test_a_long_body_may_take_longer_than_a_head(caller: CallerSide) -> None:
    caller.send(b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhe")
    caller.clock.advance(caller.handler.bounds.header_timeout + 1)
    caller.send(b"llo")
    assert caller.handler.requests[0][1] == b"hello"


BODY_HEAD = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\n"


def connect_another(caller: CallerSide) -> CallerSide:
    """Return a second caller of the same server."""
    protocol = caller.server.buildProtocol(None)
    transport = CallerTransport()
    protocol.makeConnection(transport)
    return replace(caller, transport=transport, protocol=protocol)


def fill_room(caller: CallerSide) -> CallerSide:
    """Fill the room with a body, and return a caller whose body waits for room."""
    caller.server.buffers.limit = 4
    caller.send(BODY_HEAD + b"hello")
    other = connect_another(caller)
    other.send(BODY_HEAD + b"world")
    assert caller.transport.producerState == "producing"
    assert other.transport.producerState == "paused"
    return other


def test_bodies_are_read_only_while_there_is_room(caller: CallerSide) -> None:
    """Load: many callers that send long bodies at once."""
    other = fill_room(caller)
    caller.send(b"!")
    assert other.transport.producerState == "paused"
    assert caller.server.buffers.total == len(b"hello!") + len(b"world")
    caller.handler.requests[0][2].send_complete(200, [], b"")
    assert other.transport.producerState == "producing"
    other.send(b"!")
    assert caller.handler.requests[1][1] == b"world!"
    caller.handler.requests[1][2].send_complete(200, [], b"")
    assert caller.server.buffers.total == 0


def test_a_caller_that_leaves_makes_room_for_another_body(caller: CallerSide) -> None:
    other = fill_room(caller)
    caller.protocol.connectionLost()
    assert other.transport.producerState == "producing"


# Guards against a body that has no room until its caller has given up.
def test_a_body_without_room_is_refused_while_there_is_time_for_another_try(
    caller: CallerSide,
) -> None:
    caller.handler.time_limit = 2.0
    other = fill_room(caller)
    caller.clock.advance(2.0 * MAX_WAIT_FRACTION)
    assert other.sent_back().startswith(b"HTTP/1.1 503")
    assert b"connection: close" in other.sent_back().lower()
    assert caller.server.buffers.total == len(b"hello")
    # It still reads what its caller sends, as a reset could discard the refusal.
    assert other.transport.producerState == "producing"
    other.send(b"!")
    assert not other.transport.disconnecting
    caller.clock.advance(LINGER_SECONDS)
    assert other.transport.disconnecting
    assert not caller.handler.requests


def test_a_body_that_had_to_wait_is_not_refused_once_there_is_room(
    caller: CallerSide,
) -> None:
    caller.handler.time_limit = 2.0
    other = fill_room(caller)
    caller.protocol.connectionLost()
    caller.clock.advance(2.0 * MAX_WAIT_FRACTION)
    other.send(b"!")
    assert caller.handler.requests[0][1] == b"world!"


# Guards against a stalled body that holds the room of others for the idle timeout.
def test_a_body_that_is_incomplete_when_its_request_is_overdue_is_refused(
    caller: CallerSide,
) -> None:
    caller.handler.time_limit = 2.0
    fill_room(caller)
    caller.clock.advance(2.0)
    assert caller.sent_back().startswith(b"HTTP/1.1 408")
    assert caller.server.buffers.total == 0


# Guards against a second response to a body that was refused for want of room.
def test_a_change_of_limits_does_not_reach_a_body_that_was_refused(
    caller: CallerSide,
) -> None:
    caller.handler.time_limit = 6.0
    other = fill_room(caller)
    caller.clock.advance(6.0 * MAX_WAIT_FRACTION)
    caller.handler.bounds = CallerLimits(idle_timeout=9.0)
    caller.server.change_limits(caller.handler.bounds)
    caller.clock.advance(LINGER_SECONDS)
    assert other.transport.disconnecting
    assert other.sent_back().count(b"HTTP/1.1") == 1


def test_a_complete_body_no_longer_waits_for_room(caller: CallerSide) -> None:
    caller.server.buffers.limit = 4
    caller.send(BODY_HEAD + b"hello")
    other = connect_another(caller)
    other.send(BODY_HEAD + b"world!")
    assert other.handler.requests[0][1] == b"world!"
    assert other.transport.producerState == "producing"
    assert caller.server.buffers.count_waiting() == 0


def connect_slow(caller: CallerSide) -> tuple[SlowTransport, bytes]:
    """Send a request, and a long response that its caller does not read."""
    transport, body = SlowTransport(), bytes(300_000)
    protocol = caller.server.buildProtocol(None)
    protocol.makeConnection(transport)
    protocol.dataReceived(GET)
    caller.handler.requests[-1][2].send_complete(200, [], body)
    return transport, body


def test_a_connection_closes_only_once_its_response_was_read(
    caller: CallerSide,
) -> None:
    caller.server.stopping = True
    transport, body = connect_slow(caller)
    assert not transport.disconnecting
    while transport.unsent:
        transport.read(50_000)
    assert transport.value().endswith(body)
    assert transport.disconnecting
    assert not transport.aborted


# A connection that is closed after its response waited for its caller without end.
@pytest.mark.parametrize("stopping", [False, True])
def test_a_complete_response_that_is_never_read_is_broken_off(
    caller: CallerSide, stopping: bool
) -> None:
    caller.server.stopping = stopping
    transport, body = connect_slow(caller)
    transport.read(len(transport.unsent))
    caller.clock.advance(caller.handler.bounds.idle_timeout - 0.1)
    transport.read(len(transport.unsent))
    caller.clock.advance(caller.handler.bounds.idle_timeout - 0.1)
    assert not transport.aborted
    caller.clock.advance(0.2)
    assert transport.aborted
    assert len(transport.value()) < len(body)
    assert caller.server.buffers.total == 0


# Guards against a head that arrived beside a response and is closed without one.
def test_a_head_that_begins_before_the_last_response_ends_gets_the_time_of_a_head(
    caller: CallerSide,
) -> None:
    caller.handler.bounds = CallerLimits(header_timeout=3.0, idle_timeout=1.0)
    caller.send(GET + GET[:10])
    caller.handler.requests[0][2].send_complete(200, [], b"")
    caller.clock.advance(2.9)
    assert not caller.transport.disconnecting
    caller.clock.advance(0.2)
    assert b"HTTP/1.1 408" in caller.sent_back()
    assert caller.transport.disconnecting


# Guards against a reset of a complete response that its caller reads slowly.
@pytest.mark.parametrize("stopping", [False, True])
def test_a_short_idle_limit_does_not_break_off_a_response_that_is_being_read(
    caller: CallerSide, stopping: bool
) -> None:
    caller.handler.bounds = CallerLimits(idle_timeout=1.0)
    caller.server.stopping = stopping
    transport, body = connect_slow(caller)
    while transport.unsent:
        caller.clock.advance(MAX_UNREAD_SECONDS - 0.1)
        assert not transport.aborted
        transport.read(len(transport.unsent))
    assert transport.value().endswith(body)
    caller.clock.advance(1.0)
    assert transport.disconnecting
    assert not transport.aborted


def test_a_short_idle_limit_breaks_off_a_response_that_is_never_read(
    caller: CallerSide,
) -> None:
    caller.handler.bounds = CallerLimits(idle_timeout=1.0)
    transport, _ = connect_slow(caller)
    caller.clock.advance(MAX_UNREAD_SECONDS)
    assert transport.aborted
    assert caller.server.buffers.total == 0


# Guards against a connection that stays open since its caller reads no last bytes.
def test_a_connection_that_cannot_be_closed_is_broken_off(caller: CallerSide) -> None:
    caller.server.stopping = True
    caller.send(GET)
    caller.handler.requests[0][2].send_complete(200, [], b"x")
    assert caller.transport.disconnecting
    caller.clock.advance(caller.handler.bounds.idle_timeout)
    assert caller.transport.aborted


# Guards against an upstream that works on for a caller that the relay has reset.
def test_a_caller_that_sends_too_far_ahead_is_reported_as_disconnected(
    caller: CallerSide,
) -> None:
    caller.send(GET)
    response = caller.handler.requests[0][2]
    notices: list[bool] = []
    response.on_disconnect = lambda: notices.append(True)
    caller.send(bytes(MAX_READ_AHEAD_BYTES + 1))
    run_turns(caller.clock)
    assert caller.transport.aborted
    assert notices == [True]
    assert not response.open


# Guards against a request that runs although its caller has already left.
def test_a_request_that_arrived_ahead_is_not_served_once_its_caller_left(
    caller: CallerSide,
) -> None:
    caller.send(GET + GET)
    caller.handler.requests[0][2].send_complete(200, [], b"")
    caller.protocol.connectionLost()
    caller.clock.advance(0)
    assert len(caller.handler.requests) == 1


# Guards against a request that is read and forgotten, as its caller reads slowly.
def test_a_request_that_arrives_ahead_of_a_slow_reader_is_served(
    caller: CallerSide,
) -> None:
    transport, requests = SlowTransport(), caller.handler.requests
    caller.protocol = caller.server.buildProtocol(None)
    caller.protocol.makeConnection(transport)
    caller.send(GET + GET[:-2])
    requests[0][2].send_complete(200, [], bytes(LIMIT_BYTES - 500))
    assert not caller.protocol.paused
    # The rest arrives in the same turn, and is answered at once.
    caller.send(GET[-2:] + GET)
    assert len(requests) == 2
    requests[1][2].send_complete(200, [], bytes(1000))
    assert caller.protocol.paused
    caller.clock.advance(0)
    transport.read(len(transport.unsent))
    transport.read(len(transport.unsent))
    caller.clock.advance(0)
    assert len(requests) == 3
