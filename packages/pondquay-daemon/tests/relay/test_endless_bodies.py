"""Upstreams that never end the body of a plain response."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from pondquay.routing.buffers import MAX_COLLECTED_BYTES
from pondquay_daemon.relay.bodylimits import MAX_FAILURE_SECONDS

from .conftest import STEP_SECONDS
from .endless import (
    AT_ONCE_SECONDS,
    FLOOD_BYTES,
    FRAMINGS,
    READY_SECONDS,
    REPEATABLE_ROUTES,
    ROUTE_SECONDS,
    EndlessSide,
    is_closed,
    make_chunk,
)
from .slowreading import LIMIT_BYTES, SlowTransport

if TYPE_CHECKING:
    from .conftest import UpstreamEnd

SUCCESS = b"HTTP/1.1 200 OK\r\n"
FAILURE = b"HTTP/1.1 500 No\r\n"
PLAIN_ROUTES = ("read", "once")
LAST_CHUNK = b"0\r\n\r\n"
# What a relay keeps of one response, with one read in progress.
MAX_KEPT_BYTES = MAX_COLLECTED_BYTES + 3 * LIMIT_BYTES


@pytest.fixture
def side() -> EndlessSide:
    """Return a relay with two upstreams."""
    return EndlessSide()


@pytest.fixture
def lone_side() -> EndlessSide:
    """Return a relay with a single upstream."""
    return EndlessSide(upstreams=1)


def read_slowly(
    side: EndlessSide, end: UpstreamEnd, transport: SlowTransport, size: int
) -> float:
    """Let a caller read some bytes at each step while the upstream sends what it can.

    :returns: seconds until the relay closed the upstream's connection
    """
    began = side.relay.clock.seconds()
    while not is_closed(end) and side.relay.clock.seconds() - began < READY_SECONDS:
        while end.transport.producerState == "producing" and not is_closed(end):
            end.send(make_chunk(0) * (LIMIT_BYTES // len(make_chunk(0))))
        assert max(len(transport.unsent), side.buffers.total) <= MAX_KEPT_BYTES
        transport.read(size)
        side.relay.clock.advance(STEP_SECONDS)
    return float(side.relay.clock.seconds() - began)


# Guards against a retry that is lost since a failure is forwarded.
@pytest.mark.parametrize("route", REPEATABLE_ROUTES)
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("fast", [True, False])
def test_a_request_goes_elsewhere_after_a_failure_without_an_end(
    side: EndlessSide, route: str, framing: str, fast: bool
) -> None:
    end = side.send_request(route)
    end.send(FAILURE + FRAMINGS[framing])
    if fast:
        assert side.flood(end, make_chunk) <= 3 * MAX_COLLECTED_BYTES
    else:
        seconds = side.drip(end, make_chunk, ROUTE_SECONDS)
        assert seconds <= MAX_FAILURE_SECONDS + 2 * STEP_SECONDS
    assert is_closed(end)
    side.serve_next(route)
    assert side.response().startswith(b"HTTP/1.1 200")
    assert side.count_failures() == 1


# Guards against a caller that gets nothing of a failure that cannot be repeated.
@pytest.mark.parametrize("route", ["read", "once", "live", "stream"])
def test_a_failure_that_ends_late_is_forwarded_if_nothing_else_can_serve(
    lone_side: EndlessSide, route: str
) -> None:
    end = lone_side.send_request(route)
    end.send(FAILURE + FRAMINGS["chunks"])
    lone_side.drip(end, make_chunk, 2 * MAX_FAILURE_SECONDS)
    assert not is_closed(end)
    end.send(LAST_CHUNK)
    assert lone_side.response().startswith(b"HTTP/1.1 500")
    assert lone_side.response().endswith(b"x")


# Guards against a failure in the middle of a stream that its caller already reads.
@pytest.mark.parametrize("fast", [True, False])
def test_a_failure_without_an_end_is_no_part_of_a_stream(
    side: EndlessSide, fast: bool
) -> None:
    end = side.send_request("stream")
    end.send(SUCCESS + FRAMINGS["chunks"] + b"f\r\nid: 1\ndata: x\n\n\r\n")
    end.end()
    received = side.response()
    side.relay.clock.advance(0)
    second = side.relay.accept_connection()
    second.send(FAILURE + FRAMINGS["chunks"])
    if fast:
        assert side.flood(second, make_chunk) < FLOOD_BYTES
    else:
        assert side.drip(second, make_chunk, ROUTE_SECONDS) <= AT_ONCE_SECONDS
    assert is_closed(second)
    assert side.response() == received
    assert not received.endswith(LAST_CHUNK)


# Guards against responses that are forwarded for ever, or that seem complete.
@pytest.mark.parametrize("route", PLAIN_ROUTES)
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("fast", [True, False])
def test_a_success_without_an_end_ends_at_the_time_limit(
    side: EndlessSide, route: str, framing: str, fast: bool
) -> None:
    end = side.send_request(route)
    end.send(SUCCESS + FRAMINGS[framing])
    if fast:
        assert side.flood(end, make_chunk) >= FLOOD_BYTES
        assert side.buffers.total <= MAX_KEPT_BYTES
    seconds = side.drip(end, make_chunk, READY_SECONDS)
    assert seconds <= ROUTE_SECONDS + 2 * STEP_SECONDS
    assert is_closed(end)
    if fast:
        assert side.response().startswith(b"HTTP/1.1 200")
        assert not side.response().endswith(LAST_CHUNK)
    else:
        assert side.response().startswith(b"HTTP/1.1 504")
    assert side.relay.count_connections() == 0


# Guards against responses without an end that outlast their time limit, as their caller
# reads more slowly than the upstream sends.
@pytest.mark.parametrize("route", PLAIN_ROUTES)
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("size", [1000, LIMIT_BYTES, 4 * LIMIT_BYTES])
def test_a_success_without_an_end_ends_in_time_for_a_slow_caller(
    side: EndlessSide, route: str, framing: str, size: int
) -> None:
    transport = SlowTransport()
    end = side.send_request(route, transport)
    end.send(SUCCESS + FRAMINGS[framing])
    seconds = read_slowly(side, end, transport, size)
    assert seconds <= ROUTE_SECONDS + 2 * STEP_SECONDS
    assert is_closed(end)
    assert transport.aborted
    assert not transport.value().endswith(LAST_CHUNK)
    assert side.buffers.total == 0


# Guards against framing without an end that is kept while it is read.
@pytest.mark.parametrize("route", PLAIN_ROUTES)
@pytest.mark.parametrize(
    ("first", "more"),
    [
        (b"0", b"0"),
        (b"4;", b"x"),
        (b"4\r\nxxxx\r\n0\r\n", b"a: b\r\n"),
        (b"4\r\nxxxx\r\n0\r\na: ", b"x"),
        (b"4\r\nxxxx", b"x"),
    ],
)
def test_framing_without_an_end_is_no_response(
    side: EndlessSide, route: str, first: bytes, more: bytes
) -> None:
    end = side.send_request(route)
    end.send(SUCCESS + FRAMINGS["chunks"] + first)
    assert side.flood(end, lambda number: more) <= 2 * LIMIT_BYTES
    assert is_closed(end)
    if route == "read":
        side.serve_next(route)
        assert side.response().startswith(b"HTTP/1.1 200")
    else:
        assert side.response().startswith(b"HTTP/1.1 502")


# Guards against one chunk without an end that is kept until it is complete.
@pytest.mark.parametrize("line", [b"ffffffff\r\n", b"fffffffffffffff\r\n"])
def test_one_chunk_without_an_end_is_forwarded_as_it_arrives(
    side: EndlessSide, line: bytes
) -> None:
    end = side.send_request("once")
    end.send(SUCCESS + FRAMINGS["chunks"] + line)
    assert side.flood(end, lambda number: b"xxxx") >= FLOOD_BYTES
    assert side.buffers.total == 0
    assert len(side.response()) >= FLOOD_BYTES
    side.relay.run_for(READY_SECONDS)
    assert is_closed(end)


# Guards against bytes after a response that are read, or taken for a response.
@pytest.mark.parametrize("route", PLAIN_ROUTES)
@pytest.mark.parametrize("at_once", [True, False])
def test_bytes_without_end_after_a_response_close_the_connection(
    lone_side: EndlessSide, route: str, at_once: bool
) -> None:
    end = lone_side.send_request(route)
    whole = SUCCESS + b"Content-Length: 2\r\n\r\nok"
    end.send(2 * whole if at_once else whole)
    assert lone_side.flood(end, lambda number: whole) <= LIMIT_BYTES + len(whole)
    assert is_closed(end)
    assert lone_side.response().endswith(b"ok")
    lone_side.relay.connect_caller(f"/{route}/x")
    lone_side.relay.clock.advance(0)
    assert lone_side.relay.count_connections() == 1
