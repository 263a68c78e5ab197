"""Requests whose time is over."""

from __future__ import annotations

import pytest

from .conftest import ROUTES, STEP_SECONDS, RelaySide, UpstreamEnd
from .stalledclock import StalledClock

(TIMEOUT_SECONDS,) = {route.timeout for route in ROUTES}
STALL_SECONDS = 0.5
HEAD = b"HTTP/1.1 200 OK\r\n"
RESPONSE = HEAD + b"Content-Length: 2\r\n\r\nok"
FIRST_PART = HEAD + b"Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: x\n\n\r\n"
LAST_PART = b"f\r\nid: 2\ndata: y\n\n\r\n0\r\n\r\n"
STREAM = FIRST_PART + LAST_PART


@pytest.fixture
def relay() -> RelaySide:
    """Return a relay with an upstream."""
    relay = RelaySide(clock=StalledClock())
    relay.store.put_upstream("s1", "10.0.0.9:80")
    relay.start()
    relay.run_for(1.0)
    return relay


def send_request(relay: RelaySide, path: str) -> UpstreamEnd:
    """Send a request that is overdue within the next stall."""
    relay.connect_caller(path)
    end = relay.accept_connection()
    relay.run_for(TIMEOUT_SECONDS - STALL_SECONDS / 2)
    return end


# Guards against a response that has arrived and is not read, as the deadline passed
# while the process stalled.
@pytest.mark.parametrize("path", ["/once/x", "/read/x"])
def test_a_response_that_waits_when_a_stall_ends_is_sent(
    relay: RelaySide, path: str
) -> None:
    end = send_request(relay, path)
    relay.clock.stall(STALL_SECONDS, lambda: end.send(RESPONSE))
    (response,) = relay.responses()
    assert response.startswith(b"HTTP/1.1 200")
    assert response.endswith(b"ok")


# Guards against a stream that is broken off before its last events are read, as the
# deadline passed while the process stalled.
@pytest.mark.parametrize("before", [b"", FIRST_PART], ids=["none", "one"])
def test_a_stream_that_waits_when_a_stall_ends_is_sent(
    relay: RelaySide, before: bytes
) -> None:
    end = send_request(relay, "/stream/x")
    if before:
        end.send(before)
    relay.clock.stall(STALL_SECONDS, lambda: end.send(STREAM[len(before) :]))
    (response,) = relay.responses()
    assert response.startswith(b"HTTP/1.1 200")
    assert response.endswith(b"0\r\n\r\n")


# Guards against a request that is held on after its time, as its upstream is silent.
def test_an_overdue_request_is_refused_after_a_stall(relay: RelaySide) -> None:
    send_request(relay, "/read/x")
    relay.clock.stall(STALL_SECONDS, lambda: None)
    relay.run_for(STEP_SECONDS)
    (response,) = relay.responses()
    assert response.startswith(b"HTTP/1.1 504")
