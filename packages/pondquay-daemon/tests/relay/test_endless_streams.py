"""Upstreams that never end a stream, or an event of it."""

from __future__ import annotations

import pytest

from pondquay.streamevents import MAX_PENDING_BYTES, MAX_UNNUMBERED_BYTES

from .conftest import STEP_SECONDS
from .endless import (
    READY_SECONDS,
    ROUTE_SECONDS,
    EndlessSide,
    is_closed,
)
from .slowreading import LIMIT_BYTES, SlowTransport

STREAM_ROUTES = ("live", "stream")
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


@pytest.fixture
def side() -> EndlessSide:
    """Return a relay with two upstreams."""
    return EndlessSide()


def make_chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def make_event(number: int) -> bytes:
    return make_chunk(b"id: %d\ndata: x\n\n" % number)


# Guards against an event that is kept until it is complete, by many streams at once.
@pytest.mark.parametrize("route", STREAM_ROUTES)
@pytest.mark.parametrize("framing", ["chunks", "one chunk", "none"])
def test_an_event_without_an_end_breaks_its_stream(
    side: EndlessSide, route: str, framing: str
) -> None:
    end = side.send_request(route)
    if framing == "none":
        end.send(b"HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: ")
    elif framing == "one chunk":
        end.send(HEAD + b"ffffffff\r\nid: 1\ndata: ")
    else:
        end.send(HEAD + make_chunk(b"id: 1\ndata: "))
    assert side.buffers.total == len(b"id: 1\ndata: ")
    piece = make_chunk(b"x" * 100) if framing == "chunks" else b"x" * 100
    sent = side.flood(end, lambda number: piece)
    assert sent <= 2 * MAX_PENDING_BYTES + LIMIT_BYTES
    assert is_closed(end)
    assert side.buffers.total == 0
    if route == "stream":
        side.serve_next(route)
        assert side.response().startswith(b"HTTP/1.1 200")
    else:
        assert side.response().startswith(b"HTTP/1.1 502")
        assert side.count_failures() == 1


# Guards against comments without end that seem to be a stream.
@pytest.mark.parametrize("route", STREAM_ROUTES)
@pytest.mark.parametrize("text", [b":\n\n", b"\n\n", b"data: x\n\n", b":\n"])
def test_events_without_a_number_and_an_end_break_their_stream(
    side: EndlessSide, route: str, text: bytes
) -> None:
    end = side.send_request(route)
    end.send(HEAD + make_event(1))
    limit = 4 * MAX_UNNUMBERED_BYTES + LIMIT_BYTES
    piece = make_chunk(text * 50)
    assert side.flood(end, lambda number: piece) <= limit
    assert is_closed(end)
    assert not side.response().endswith(LAST_CHUNK)


# Guards against streams that outlast their time limit, also if nobody reads them.
@pytest.mark.parametrize("route", STREAM_ROUTES)
@pytest.mark.parametrize("piece", [make_chunk(b":\n\n"), make_chunk(b":"), b""])
@pytest.mark.parametrize("reads", [True, False])
def test_a_stream_without_an_end_ends_at_the_time_limit(
    side: EndlessSide, route: str, piece: bytes, reads: bool
) -> None:
    transport = None if reads else SlowTransport()
    end = side.send_request(route, transport)
    end.send(HEAD)
    seconds = side.drip(
        end, lambda number: piece or make_event(number + 1), READY_SECONDS
    )
    assert seconds <= ROUTE_SECONDS + 2 * STEP_SECONDS
    assert is_closed(end)
    assert not side.response().endswith(LAST_CHUNK)
