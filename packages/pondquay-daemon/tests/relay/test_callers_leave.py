"""A request is ended when its caller disconnects, at every stage."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

if TYPE_CHECKING:
    from typing import Any

    from .conftest import RelaySide

EVENTS = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
    b"11\r\nid: 1\ndata: one\n\n\r\n"
)
PATHS = ["/read/x", "/stream/x"]
# Longer than the timeout of the routes.
LONG_SECONDS = 3.0


@pytest.fixture(params=PATHS)
def path(request: Any) -> str:
    """Return the path of a repeatable request."""
    return str(request.param)


@pytest.fixture
def running_relay(relay: RelaySide) -> RelaySide:
    """Return a running relay with two upstreams."""
    relay.store.put_upstream("u1", "10.0.0.1:80")
    relay.store.put_upstream("u2", "10.0.0.2:80")
    relay.start()
    return relay


def disconnect(caller: Any) -> None:
    caller.connectionLost(Failure(ConnectionDone()))


@pytest.mark.parametrize("leaves", [False, True])
def test_a_request_is_not_sent_if_its_caller_leaves_while_waiting_for_tokens(
    relay: RelaySide, leaves: bool
) -> None:
    relay.store.put_upstream("e1", "10.0.0.3:80", "judge")
    relay.start()
    relay.run_for(LONG_SECONDS)
    caller = relay.connect_caller("/paid/x")
    assert relay.count_connections() == 0, "the request has to wait for tokens"
    if leaves:
        disconnect(caller)
    relay.run_for(LONG_SECONDS)
    assert relay.count_connections() == (0 if leaves else 1)


def test_a_request_is_not_sent_if_its_caller_leaves_during_the_connect(
    running_relay: RelaySide, path: str
) -> None:
    caller = running_relay.connect_caller(path)
    disconnect(caller)
    upstream = running_relay.accept_connection()
    assert upstream.transport.value() == b""
    assert upstream.transport.disconnecting
    running_relay.run_for(LONG_SECONDS)
    assert running_relay.count_connections() == 0


def test_a_caller_that_leaves_before_the_response_ends_the_upstreams_work(
    running_relay: RelaySide, path: str
) -> None:
    caller = running_relay.connect_caller(path)
    upstream = running_relay.accept_connection()
    assert upstream.transport.value().startswith(b"GET ")
    disconnect(caller)
    assert upstream.transport.disconnecting
    running_relay.run_for(LONG_SECONDS)
    assert running_relay.count_connections() == 0


def test_a_caller_that_leaves_during_a_stream_ends_the_upstreams_work(
    running_relay: RelaySide,
) -> None:
    caller = running_relay.connect_caller("/stream/x")
    upstream = running_relay.accept_connection()
    upstream.send(EVENTS)
    assert b"data: one" in running_relay.responses()[-1]
    disconnect(caller)
    assert upstream.transport.disconnecting


def test_a_request_is_not_retried_if_its_caller_leaves_during_the_second_connect(
    running_relay: RelaySide, path: str
) -> None:
    caller = running_relay.connect_caller(path)
    running_relay.accept_connection().end()
    assert running_relay.count_connections() == 1
    disconnect(caller)
    second = running_relay.accept_connection()
    assert second.transport.value() == b""
    assert second.transport.disconnecting


def test_a_request_is_not_retried_if_its_caller_leaves_as_an_upstream_fails(
    running_relay: RelaySide, path: str
) -> None:
    caller = running_relay.connect_caller(path)
    upstream = running_relay.accept_connection()
    disconnect(caller)
    upstream.end()
    running_relay.run_for(LONG_SECONDS)
    assert running_relay.count_connections() == 0
