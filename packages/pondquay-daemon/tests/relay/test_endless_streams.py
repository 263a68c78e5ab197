"""Upstreams that never end a stream, or an event of it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from pondquay.streamevents import MAX_PENDING_BYTES, MAX_UNNUMBERED_BYTES

from .conftest import ENGINE, EVENT_TOKENS, PROMPT_TOKENS, STEP_SECONDS
from .endless import (
    READY_SECONDS,
    ROUTE_SECONDS,
    EndlessSide,
    is_closed,
)
from .slowreading import LIMIT_BYTES, SlowTransport

if TYPE_CHECKING:
    from .conftest import UpstreamEnd

STREAM_ROUTES = ("live", "stream")
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
OUTPUT_TOKENS = 10
# Events that ``OUTPUT_TOKENS`` pay for; the last is partly filled.
PAID_EVENTS = 4


@pytest.fixture
def side() -> EndlessSide:
    """Return a relay with two upstreams, and two of the service that is paid for."""
    side = EndlessSide()
    for number in range(2):
        side.relay.store.put_upstream(f"e{number}", f"10.0.0.{number + 8}:80", ENGINE)
    side.relay.run_for(1.0)
    return side


def make_chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def make_event(number: int) -> bytes:
    return make_chunk(b"id: %d\ndata: x\n\n" % number)


def make_events(first: int, last: int) -> bytes:
    return b"".join(make_event(number) for number in range(first, last + 1))


def send_paid_request(side: EndlessSide, after: int = 0) -> UpstreamEnd:
    """Send a request for a stream of ``OUTPUT_TOKENS``."""
    headers = {"output": str(OUTPUT_TOKENS), "after": str(after)}
    side.relay.connect_caller("/paid/x", headers=headers)
    return side.accept_request()


def has_event(side: EndlessSide, number: int) -> bool:
    return b"id: %d\n" % number in side.response()


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


# Guards against events that are handed out unpaid, beyond a workspace's budget.
@pytest.mark.parametrize("after", [0, 7])
@pytest.mark.parametrize("at_once", [True, False])
def test_no_event_is_handed_out_beyond_those_paid_for(
    side: EndlessSide, after: int, at_once: bool
) -> None:
    end = send_paid_request(side, after)
    end.send(HEAD)
    last = after + PAID_EVENTS
    if at_once:
        end.send(make_events(after + 1, last + 100))
    else:
        for number in range(after + 1, last + 2):
            assert not is_closed(end)
            end.send(make_event(number))
    assert is_closed(end)
    assert not has_event(side, last + 1)
    assert has_event(side, last) is not at_once
    assert not side.response().endswith(LAST_CHUNK)


# Guards against events that count only for the upstream that sent them.
def test_events_of_all_parts_of_a_stream_count(side: EndlessSide) -> None:
    end = send_paid_request(side)
    end.send(HEAD + make_events(1, PAID_EVENTS - 1))
    end.end()
    second = side.accept_request()
    second.send(HEAD + make_event(PAID_EVENTS))
    assert not is_closed(second)
    second.send(make_event(PAID_EVENTS + 1))
    assert is_closed(second)
    assert has_event(side, PAID_EVENTS)
    assert not has_event(side, PAID_EVENTS + 1)


# Guards against streams that are broken off although their events are paid for.
@pytest.mark.parametrize("after", [0, 7])
def test_a_stream_of_as_many_events_as_paid_for_is_whole(
    side: EndlessSide, after: int
) -> None:
    end = send_paid_request(side, after)
    spent = side.count_spent()
    end.send(HEAD + make_events(after + 1, after + PAID_EVENTS) + LAST_CHUNK)
    assert has_event(side, after + PAID_EVENTS)
    assert side.response().endswith(LAST_CHUNK)
    assert side.count_spent() - spent == PROMPT_TOKENS + OUTPUT_TOKENS
    assert EVENT_TOKENS * PAID_EVENTS > OUTPUT_TOKENS
