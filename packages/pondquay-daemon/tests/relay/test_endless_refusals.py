"""Upstreams that send bytes without end, fast or slowly, until the relay closes."""

from __future__ import annotations

import pytest

from pondquay_daemon.relay.bodylimits import MAX_UNUSED_BYTES, MAX_UNUSED_SECONDS

from .endless import (
    AT_ONCE_SECONDS,
    FLOOD_BYTES,
    FRAMINGS,
    REPEATABLE_ROUTES,
    ROUTE_SECONDS,
    ROUTES,
    EndlessSide,
    is_closed,
    make_chunk,
)
from .slowreading import LIMIT_BYTES

REFUSAL = b"HTTP/1.1 503 No\r\nnot-run: 1\r\n"
UNPROVEN = b"HTTP/1.1 503 No\r\n"


@pytest.fixture
def side() -> EndlessSide:
    """Return a relay with two upstreams."""
    return EndlessSide()


@pytest.fixture
def lone_side() -> EndlessSide:
    """Return a relay with a single upstream."""
    return EndlessSide(upstreams=1)


# Guards against requests that are refused only at their deadline, and as if they might
# have run, although their upstream has proven that they did not.
@pytest.mark.parametrize("route", ROUTES)
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("fast", [True, False])
def test_a_refusal_without_an_end_counts_as_not_run_at_once(
    lone_side: EndlessSide, route: str, framing: str, fast: bool
) -> None:
    end = lone_side.send_request(route)
    end.send(REFUSAL + FRAMINGS[framing])
    if fast:
        assert lone_side.flood(end, make_chunk) <= MAX_UNUSED_BYTES + LIMIT_BYTES
    else:
        assert lone_side.drip(end, make_chunk, ROUTE_SECONDS) <= AT_ONCE_SECONDS
    assert is_closed(end)
    assert lone_side.response().startswith(b"HTTP/1.1 503")
    assert lone_side.count_failures() == 1


# Guards against a request that is not served although another upstream could serve it.
@pytest.mark.parametrize("route", ROUTES)
@pytest.mark.parametrize("fast", [True, False])
def test_a_request_goes_elsewhere_after_a_refusal_without_an_end(
    side: EndlessSide, route: str, fast: bool
) -> None:
    end = side.send_request(route)
    end.send(REFUSAL + FRAMINGS["chunks"])
    if fast:
        side.flood(end, make_chunk)
    else:
        side.drip(end, make_chunk, AT_ONCE_SECONDS)
    side.serve_next(route)
    assert side.response().startswith(b"HTTP/1.1 200")


# Guards against a 504, which says that a request may have run, for one that did not.
@pytest.mark.parametrize("route", ["once", "live"])
def test_a_refusal_without_an_end_counts_as_not_run_at_the_deadline(
    side: EndlessSide, route: str
) -> None:
    end = side.send_request(route)
    side.relay.run_for(ROUTE_SECONDS - MAX_UNUSED_SECONDS / 2)
    end.send(REFUSAL + FRAMINGS["chunks"])
    side.drip(end, make_chunk, MAX_UNUSED_SECONDS)
    assert is_closed(end)
    assert side.response().startswith(b"HTTP/1.1 503")


# Guards against a connection that is closed although its refusal ends soon.
@pytest.mark.parametrize("head", [REFUSAL, UNPROVEN])
def test_a_refusal_that_ends_soon_keeps_its_connection(
    lone_side: EndlessSide, head: bytes
) -> None:
    end = lone_side.send_request("once")
    end.send(head + FRAMINGS["chunks"])
    lone_side.drip(end, make_chunk, MAX_UNUSED_SECONDS / 2)
    end.send(b"0\r\n\r\n")
    assert not is_closed(end)
    lone_side.relay.run_for(AT_ONCE_SECONDS)
    assert not is_closed(end)


# Guards against a refusal without proof that counts as one, or that holds its caller
# until the deadline.
@pytest.mark.parametrize("route", ["once", "live"])
@pytest.mark.parametrize("fast", [True, False])
def test_an_unproven_refusal_without_an_end_is_a_failure_at_once(
    side: EndlessSide, route: str, fast: bool
) -> None:
    end = side.send_request(route)
    end.send(UNPROVEN + FRAMINGS["chunks"])
    if fast:
        assert side.flood(end, make_chunk) < FLOOD_BYTES
    else:
        assert side.drip(end, make_chunk, ROUTE_SECONDS) <= AT_ONCE_SECONDS
    assert is_closed(end)
    assert side.response().startswith(b"HTTP/1.1 502")
    assert side.relay.count_connections() == 0, "it may have run"
    assert side.count_failures() == 1


# Guards against a repeatable request that is not sent elsewhere in time.
@pytest.mark.parametrize("route", REPEATABLE_ROUTES)
@pytest.mark.parametrize("fast", [True, False])
def test_an_unproven_refusal_without_an_end_is_repeated_at_once(
    side: EndlessSide, route: str, fast: bool
) -> None:
    end = side.send_request(route)
    end.send(UNPROVEN + FRAMINGS["chunks"])
    if fast:
        side.flood(end, make_chunk)
    else:
        side.drip(end, make_chunk, AT_ONCE_SECONDS)
    side.serve_next(route)
    assert side.response().startswith(b"HTTP/1.1 200")


# Guards against a 503, which promises that a request did not run, after an upstream
# that was left before its response began and may have run it.
def test_a_refusal_after_a_silent_upstream_does_not_count_as_not_run(
    side: EndlessSide,
) -> None:
    silent = side.send_request("read")
    refusing = side.accept_request()
    assert is_closed(silent)
    refusing.send(REFUSAL + FRAMINGS["chunks"])
    side.flood(refusing, make_chunk)
    side.relay.clock.advance(0)
    assert side.response().startswith(b"HTTP/1.1 502")
