"""Callers' connections after a stall of the process."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import pytest

from pondquay_daemon.relay.callercloses import CloseRecorder
from pondquay_daemon.relay.deferredtimers import MAX_DEFERRED_TURNS
from pondquay_daemon.relay.ingress import LINGER_SECONDS, MAX_WAIT_FRACTION

from .slowreading import SlowTransport
from .stalledloops import StalledLoop

if TYPE_CHECKING:
    from .conftest import CallerSide

GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
LONG_BODY_BYTES = 400_000
POST = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % LONG_BODY_BYTES


@pytest.fixture
def loop(caller: CallerSide) -> StalledLoop:
    """Return the loop that reads the caller's connection."""
    return StalledLoop(caller)


# Guards against a close of a connection at rest whose request waits unread.
def test_a_request_that_waits_during_a_stall_is_read(
    caller: CallerSide, loop: StalledLoop
) -> None:
    loop.receive(GET)
    loop.stall(caller.handler.bounds.idle_timeout + 1.0)
    loop.turn_until_read()
    assert len(caller.handler.requests) == 1
    assert not caller.transport.disconnecting


# Guards against a request that is refused although its rest waits unread.
@pytest.mark.parametrize("sent", [10, len(POST), len(POST) + 1000])
def test_a_request_whose_rest_waits_during_a_stall_is_read(
    caller: CallerSide, loop: StalledLoop, sent: int
) -> None:
    request = POST + b"x" * LONG_BODY_BYTES
    loop.receive(request[:sent])
    loop.turn_until_read()
    loop.receive(request[sent:])
    loop.stall(caller.handler.bounds.idle_timeout + 1.0)
    loop.turn_until_read()
    assert caller.sent_back() == b""
    assert [len(body) for _, body, _ in caller.handler.requests] == [LONG_BODY_BYTES]


# Guards against a long body that is refused between two reads from its socket.
def test_a_long_request_that_waits_during_two_stalls_is_read(
    caller: CallerSide, loop: StalledLoop
) -> None:
    loop.receive(POST + b"x" * LONG_BODY_BYTES)
    loop.stall(caller.handler.bounds.idle_timeout + 1.0)
    loop.turn()
    loop.turn()
    loop.stall(caller.handler.bounds.idle_timeout + 1.0)
    loop.turn_until_read()
    assert caller.sent_back() == b""
    assert [len(body) for _, body, _ in caller.handler.requests] == [LONG_BODY_BYTES]


# Guards against a caller that holds its connection by sending in small pieces.
def test_a_head_that_arrives_in_pieces_is_refused_after_the_timeout(
    caller: CallerSide, loop: StalledLoop
) -> None:
    loop.receive(GET[:10])
    loop.turn_until_read()
    loop.stall(caller.handler.bounds.header_timeout)
    for _ in range(MAX_DEFERRED_TURNS + 1):
        loop.receive(b"x")
        loop.turn()
    assert caller.sent_back().startswith(b"HTTP/1.1 408")


def test_a_connection_at_rest_is_closed_after_a_stall(
    caller: CallerSide, loop: StalledLoop
) -> None:
    loop.stall(caller.handler.bounds.idle_timeout)
    loop.turn_until_read()
    assert caller.transport.disconnecting


# Guards against a reset of a response that its caller has read during the stall.
def test_a_response_that_was_read_during_a_stall_is_not_broken_off(
    caller: CallerSide,
) -> None:
    transport = SlowTransport()
    caller.transport, caller.protocol = transport, caller.server.buildProtocol(None)
    caller.protocol.makeConnection(transport)
    caller.send(GET)
    caller.handler.requests[0][2].send_complete(200, [], bytes(300_000))
    loop = StalledLoop(caller)
    loop.stall(60.0)
    loop.turn()
    while transport.unsent:
        transport.read(len(transport.unsent))
    loop.turn_until_read()
    assert not transport.aborted


# Guards against a close with unread bytes, which would discard the refusal before it.
def test_a_refused_body_is_read_before_its_connection_is_closed(
    caller: CallerSide, loop: StalledLoop
) -> None:
    caller.handler.time_limit = 2.0
    caller.server.buffers.limit = 4
    other = caller.server.buffers.open_work()
    other.resize(5)
    assert caller.server.buffers.may_grow(other)
    loop.receive(POST + b"x")
    loop.turn()
    assert caller.transport.producerState == "paused"
    caller.clock.advance(2.0 * MAX_WAIT_FRACTION)
    assert caller.sent_back().startswith(b"HTTP/1.1 503")
    loop.receive(b"x" * LONG_BODY_BYTES)
    loop.stall(LINGER_SECONDS)
    loop.turn()
    loop.turn()
    assert not caller.transport.disconnecting
    loop.turn_until_read()
    assert caller.transport.disconnecting


# Guards against a planned stop that closes a connection whose request waits unread.
def test_a_request_that_waits_while_a_relay_closes_idle_connections_is_read(
    caller: CallerSide, loop: StalledLoop
) -> None:
    caller.server.stopping = True
    caller.clock.callLater(1.0, caller.server.close_idle)
    loop.receive(GET)
    loop.stall(1.0)
    loop.turn_until_read()
    assert not caller.transport.disconnecting
    ((_, _, response),) = caller.handler.requests
    response.send_complete(200, [], b"")
    assert b"connection: close" in caller.sent_back().lower()
    assert caller.transport.disconnecting


def test_a_stop_closes_and_counts_each_idle_connection_once(
    caller: CallerSide, loop: StalledLoop
) -> None:
    counts: Counter[str] = Counter()
    caller.server.closes = CloseRecorder(lambda reason: counts.update([reason]))
    for _ in range(3):
        caller.server.close_idle()
        loop.turn_until_read()
        assert caller.transport.disconnecting
    assert counts == {"stop": 1}
