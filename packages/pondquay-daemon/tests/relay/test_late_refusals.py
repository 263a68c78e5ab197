"""An upstream repeats a refusal late, in the place of the next request's response."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from pondquay_daemon.relay.egress import (
    MAX_REFUSALS,
    MAX_SKIPPED_BYTES,
    MAX_SKIPPED_RESPONSES,
)

if TYPE_CHECKING:
    from .conftest import RelaySide, UpstreamEnd

REFUSING, OTHER = "10.0.0.1:80", "10.0.0.2:80"
# After this time an upstream that has refused is tried again; its idle connection is
# kept for longer.
PAUSE_SECONDS = 1.0
ROUTES = ("read", "once", "stream")
EVENT = b"id: 1\ndata: first\n\n"
# Enough that the least loaded upstream gets one of them.
CONCURRENT_REQUESTS = 4


def make_refusal(attempt: str, body: str = "") -> bytes:
    """Return the refusal of a request, after which the connection stays open."""
    lines = f"not-run: 1\r\nattempt: {attempt}\r\nContent-Length: {len(body)}\r\n"
    return f"HTTP/1.1 503 No\r\n{lines}\r\n{body}".encode()


def make_success(attempt: str) -> bytes:
    """Return the response to a request, which also is a whole stream."""
    lines = f"attempt: {attempt}\r\nContent-Length: {len(EVENT)}\r\n"
    return f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode() + EVENT


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
    assert relay.responses()[-1] == b""
    end.end()
    assert relay.responses()[-1].startswith(b"HTTP/1.1 502")


# Guards against a request that is lost with its own response right behind the refusal.
@pytest.mark.parametrize("copies", [1, MAX_SKIPPED_RESPONSES])
@pytest.mark.parametrize("route", ROUTES)
def test_the_response_behind_a_late_refusal_is_delivered(
    relay: RelaySide, route: str, copies: int
) -> None:
    end = take_refusal(relay)
    send_request(relay, route, "next")
    end.send(make_refusal("refused") * copies + make_success("next"))
    assert relay.responses()[-1].startswith(b"HTTP/1.1 200")
    assert EVENT in relay.responses()[-1]
    assert end.transport.aborted


# Guards against an upstream that is read without end, as it repeats responses.
@pytest.mark.parametrize("body", ["", "x" * MAX_SKIPPED_BYTES + "x"])
def test_a_connection_with_many_or_long_copies_is_closed(
    relay: RelaySide, body: str
) -> None:
    end = take_refusal(relay)
    send_request(relay, "once", "next")
    copy = make_refusal("refused", body)
    end.send(copy if body else copy * (MAX_SKIPPED_RESPONSES + 1))
    assert relay.responses()[-1].startswith(b"HTTP/1.1 502")
    assert end.transport.aborted


# Guards against waiting for a further response behind one that no earlier request of
# the connection explains.
def test_a_response_to_an_unknown_request_ends_the_attempt(relay: RelaySide) -> None:
    end = take_refusal(relay)
    send_request(relay, "once", "next")
    end.send(make_refusal("elsewhere"))
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
    end.send(make_success(attempt))
    response = relay.responses()[1 + attempts.index(attempt)]
    assert response.startswith(b"HTTP/1.1 200")


# Guards against a late refusal that cannot be told from that of a request with the same
# identifier, which callers may send again.
def test_a_refused_request_is_sent_again_only_on_another_connection(
    relay: RelaySide,
) -> None:
    end = take_refusal(relay)
    send_request(relay, "once", "refused")
    assert end.transport.value() == b""
    again = relay.accept_connection()
    assert b"attempt: refused\r\n" in again.transport.value()
    end.send(make_refusal("refused"))
    again.send(b"HTTP/1.1 200 OK\r\nattempt: refused\r\nContent-Length: 2\r\n\r\nok")
    assert relay.responses()[-1].startswith(b"HTTP/1.1 200")


def test_a_connection_with_many_refusals_is_closed(relay: RelaySide) -> None:
    end = take_refusal(relay)
    for number in range(1, MAX_REFUSALS):
        relay.run_for(PAUSE_SECONDS)
        send_request(relay, "once", f"refused-{number}")
        assert f"refused-{number}".encode() in end.transport.value()
        end.send(make_refusal(f"refused-{number}"))
        assert end.transport.aborted is (number == MAX_REFUSALS - 1)
