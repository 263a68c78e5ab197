"""Upstreams that never end the head of their response."""

from __future__ import annotations

import pytest

from pondquay_daemon.relay.egress import MAX_RESPONSE_HEAD_BYTES
from pondquay_daemon.relay.headlimits import (
    MAX_INTERIM_RESPONSES,
    MAX_RESPONSE_HEADERS,
)

from .conftest import STEP_SECONDS
from .endless import (
    AT_ONCE_SECONDS,
    READY_SECONDS,
    REPEATABLE_ROUTES,
    ROUTE_SECONDS,
    ROUTES,
    SERVED,
    EndlessSide,
    is_closed,
)
from .slowreading import LIMIT_BYTES

INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
# First bytes, and bytes that follow them without end.
HEADS = {
    "line": (b"HTTP/1.1 200 ", b"x"),
    "header": (STATUS_LINE + b"a: ", b"x"),
    "headers": (STATUS_LINE, b"a: b\r\n"),
    "interim": (INTERIM, INTERIM),
    "interim without carriage returns": (INTERIM, b"HTTP/1.1 100 Continue\n\n"),
}
# First bytes that begin no response.
NO_HEADS = [b"x", b"HTTQ", b"HTTP/x", b"HTTP/1.1 x", b"HTTP/1.1 20x", b" ", b"\r"]


@pytest.fixture
def side() -> EndlessSide:
    """Return a relay with two upstreams."""
    return EndlessSide()


# Guards against memory and work that grow with the bytes that an upstream sends.
@pytest.mark.parametrize("route", ROUTES)
@pytest.mark.parametrize("head", HEADS)
def test_a_head_without_an_end_is_read_up_to_its_limit(
    side: EndlessSide, route: str, head: str
) -> None:
    first, more = HEADS[head]
    end = side.send_request(route)
    end.send(first)
    sent = side.flood(end, lambda number: more)
    assert sent <= MAX_RESPONSE_HEAD_BYTES + LIMIT_BYTES
    assert is_closed(end)
    if route in REPEATABLE_ROUTES:
        side.serve_next(route)
        assert side.response().startswith(b"HTTP/1.1 200")
    else:
        assert side.response().startswith(b"HTTP/1.1 502")
        assert side.relay.count_connections() == 0
        assert side.count_failures() == 1


# Guards against callers that wait beyond the time limit of their route.
@pytest.mark.parametrize("route", ROUTES)
@pytest.mark.parametrize("head", HEADS)
def test_a_head_that_is_sent_slowly_holds_nobody_beyond_the_time_limit(
    side: EndlessSide, route: str, head: str
) -> None:
    first, more = HEADS[head]
    end = side.send_request(route)
    end.send(first)
    seconds = side.drip(end, lambda number: more, READY_SECONDS)
    assert seconds <= ROUTE_SECONDS + 2 * STEP_SECONDS
    if route in REPEATABLE_ROUTES:
        assert seconds < ROUTE_SECONDS / 2
        side.serve_next(route)
        assert side.response().startswith(b"HTTP/1.1 200")
    else:
        assert side.response()[:12] in (b"HTTP/1.1 502", b"HTTP/1.1 504")
        assert side.relay.count_connections() == 0


# Guards against callers that wait although the first bytes show that no response comes.
@pytest.mark.parametrize("route", ROUTES)
@pytest.mark.parametrize("first", NO_HEADS)
def test_bytes_that_begin_no_response_are_noticed_at_once(
    side: EndlessSide, route: str, first: bytes
) -> None:
    end = side.send_request(route)
    for position in range(len(first)):
        assert not is_closed(end)
        end.send(first[position : position + 1])
    side.drip(end, lambda number: b"x", AT_ONCE_SECONDS / 2)
    assert is_closed(end)
    if route in REPEATABLE_ROUTES:
        side.serve_next(route)
        assert side.response().startswith(b"HTTP/1.1 200")
    else:
        assert side.response().startswith(b"HTTP/1.1 502")
        assert side.count_failures() == 1


def test_bytes_after_interim_responses_must_begin_a_response_too(
    side: EndlessSide,
) -> None:
    end = side.send_request("once")
    end.send(INTERIM)
    assert not is_closed(end)
    end.send(b"x")
    assert is_closed(end)


# Guards against limits that refuse what upstreams may send.
@pytest.mark.parametrize("size", [1, 7, LIMIT_BYTES])
def test_heads_up_to_the_limits_are_read(size: int) -> None:
    side = EndlessSide(upstreams=1)
    headers = b"".join(b"h%d: x\r\n" % n for n in range(MAX_RESPONSE_HEADERS - 1))
    head = STATUS_LINE + headers + b"Content-Length: 2\r\n\r\n"
    response = INTERIM * MAX_INTERIM_RESPONSES + head + b"ok"
    end = side.send_request("once")
    for start in range(0, len(response), size):
        end.send(response[start : start + size])
    assert side.response().startswith(b"HTTP/1.1 200")
    assert side.response().endswith(b"ok")
    assert not is_closed(end)
    side.relay.connect_caller("/once/x")
    side.relay.clock.advance(0)
    assert side.relay.count_connections() == 0, "the connection is used again"
    end.send(INTERIM + SERVED)
    assert side.response().endswith(b"ok")


# Guards against headers that take much more memory than their bytes.
def test_a_head_of_too_many_headers_is_no_response(side: EndlessSide) -> None:
    end = side.send_request("once")
    end.send(STATUS_LINE + b"a:\r\n" * (MAX_RESPONSE_HEADERS + 1) + b"\r\n")
    assert is_closed(end)
    assert side.response().startswith(b"HTTP/1.1 502")
