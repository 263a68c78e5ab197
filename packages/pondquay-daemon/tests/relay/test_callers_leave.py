"""What becomes of a request whose caller leaves: its work ends at every stage."""

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
# Seconds, more than a route's time-out here.
LONG = 3.0


@pytest.fixture(params=PATHS)
def path(request: Any) -> str:
    """The path of a request that may run again."""
    return str(request.param)


@pytest.fixture
def served(relay: RelaySide) -> RelaySide:
    """A relay with two upstreams."""
    relay.store.put_upstream("u1", "10.0.0.1:80")
    relay.store.put_upstream("u2", "10.0.0.2:80")
    relay.start()
    return relay


def leave(caller: Any) -> None:
    caller.connectionLost(Failure(ConnectionDone()))


@pytest.mark.parametrize("leaves", [False, True])
def test_one_that_leaves_while_it_waits_for_tokens_is_never_sent(
    relay: RelaySide, leaves: bool
) -> None:
    relay.store.put_upstream("e1", "10.0.0.3:80", "judge")
    relay.start()
    relay.run_for(LONG)
    caller = relay.connect_caller("/paid/x")
    assert relay.count_calls() == 0, "it has to wait for tokens"
    if leaves:
        leave(caller)
    relay.run_for(LONG)
    assert relay.count_calls() == (0 if leaves else 1)


def test_one_that_leaves_while_an_upstream_is_connected_is_never_sent(
    served: RelaySide, path: str
) -> None:
    caller = served.connect_caller(path)
    leave(caller)
    upstream = served.accept_call()
    assert upstream.transport.value() == b""
    assert upstream.transport.disconnecting
    served.run_for(LONG)
    assert served.count_calls() == 0


def test_one_that_leaves_before_an_answer_begins_ends_the_upstreams_work(
    served: RelaySide, path: str
) -> None:
    caller = served.connect_caller(path)
    upstream = served.accept_call()
    assert upstream.transport.value().startswith(b"GET ")
    leave(caller)
    assert upstream.transport.disconnecting
    served.run_for(LONG)
    assert served.count_calls() == 0


def test_one_that_leaves_within_a_stream_ends_the_upstreams_work(
    served: RelaySide,
) -> None:
    caller = served.connect_caller("/stream/x")
    upstream = served.accept_call()
    upstream.send(EVENTS)
    assert b"data: one" in served.responses()[-1]
    leave(caller)
    assert upstream.transport.disconnecting


def test_one_that_leaves_while_a_second_upstream_is_connected_is_not_sent_again(
    served: RelaySide, path: str
) -> None:
    caller = served.connect_caller(path)
    served.accept_call().end()
    assert served.count_calls() == 1
    leave(caller)
    second = served.accept_call()
    assert second.transport.value() == b""
    assert second.transport.disconnecting


def test_one_that_leaves_as_an_upstream_fails_is_not_sent_again(
    served: RelaySide, path: str
) -> None:
    caller = served.connect_caller(path)
    upstream = served.accept_call()
    leave(caller)
    upstream.end()
    served.run_for(LONG)
    assert served.count_calls() == 0
