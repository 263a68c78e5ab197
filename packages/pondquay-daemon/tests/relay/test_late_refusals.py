"""An upstream repeats a refusal late, in the place of the next request's response."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

if TYPE_CHECKING:
    from .conftest import RelaySide, UpstreamEnd

REFUSING, OTHER = "10.0.0.1:80", "10.0.0.2:80"
ROUTES = ("read", "once", "stream")
# Enough that the least loaded upstream gets one of them.
CONCURRENT_REQUESTS = 4


def make_refusal(attempt: str) -> bytes:
    """Return the refusal of a request, after which the connection stays open."""
    lines = f"not-run: 1\r\nattempt: {attempt}\r\nContent-Length: 0\r\n"
    return f"HTTP/1.1 503 No\r\n{lines}\r\n".encode()


def send_request(relay: RelaySide, route: str, attempt: str) -> None:
    relay.connect_caller(f"/{route}/x", headers={"attempt": attempt})
    relay.clock.advance(0)


def take_refusal(relay: RelaySide) -> UpstreamEnd:
    """Let the only upstream refuse a request, and return its end of the connection."""
    relay.store.put_upstream("refusing", REFUSING)
    relay.start()
    relay.run_for(1.0)
    send_request(relay, "once", "refused")
    end = relay.accept_connection()
    end.send(make_refusal("refused"))
    end.transport.clear()
    return end


# Guards against the promise that a request did not run while it runs.
@pytest.mark.parametrize("route", ROUTES)
def test_no_promise_follows_from_a_late_refusal(relay: RelaySide, route: str) -> None:
    end = take_refusal(relay)
    assert relay.responses()[0].startswith(b"HTTP/1.1 503")
    send_request(relay, route, "next")
    assert b"attempt: next" in end.transport.value()
    end.send(make_refusal("refused"))
    relay.run_for(0.1)
    assert relay.responses()[-1].startswith(b"HTTP/1.1 502")
    assert end.transport.aborted


# Guards against a second run of a request that must run at most once.
def test_a_late_refusal_sends_nothing_elsewhere(relay: RelaySide) -> None:
    end = take_refusal(relay)
    relay.store.put_upstream("other", OTHER)
    relay.run_for(1.0)
    attempts = [f"next-{number}" for number in range(CONCURRENT_REQUESTS)]
    for attempt in attempts:
        send_request(relay, "once", attempt)
    running = end.transport.value().decode()
    (attempt,) = [name for name in attempts if f"attempt: {name}\r\n" in running]
    others = [relay.accept_connection() for _ in range(relay.count_connections())]
    end.send(make_refusal("refused"))
    relay.run_for(0.1)
    sent = b"".join(other.transport.value() for other in others)
    assert relay.count_connections() == 0
    assert f"attempt: {attempt}\r\n".encode() not in sent
    response = relay.responses()[1 + attempts.index(attempt)]
    assert response.startswith(b"HTTP/1.1 502")
