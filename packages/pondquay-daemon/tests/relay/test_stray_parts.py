"""An upstream sends a part of another response before the response to a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

if TYPE_CHECKING:
    from .conftest import RelaySide

FIRST, SECOND = "10.0.0.1:80", "10.0.0.2:80"
FRAMING = b"attempt: mine\r\nContent-Length: 2\r\n\r\n"
SUCCESS = b"HTTP/1.1 200 OK\r\n" + FRAMING + b"ok"
FAILURE = b"HTTP/1.1 500 Failed\r\n" + FRAMING + b"no"
# Cut off within the value of a header, which the next line then completes.
PARTS_OF_REFUSALS = (
    b"HTTP/1.1 503 No\r\nnot-run: ",
    b"HTTP/1.1 503 No\r\nnot-run: 1\r\nserver: x",
    b"HTTP/1.1 421 No\r\nnot-run: 1\r\nserver: x\r\n ",
)
PARTS_OF_SUCCESSES = (b"HTTP/1.1 200 ", b"HTTP/1.1 200 O", b"HTTP/1.1 200 OK\r\na: b")


def respond(relay: RelaySide, route: str, data: bytes) -> None:
    """Let the only upstream respond, with another one to which a retry could go."""
    relay.store.put_upstream("first", FIRST)
    relay.start()
    relay.run_for(1.0)
    relay.connect_caller(f"/{route}/x", headers={"attempt": "mine"})
    relay.clock.advance(0)
    end = relay.accept_connection()
    relay.store.put_upstream("second", SECOND)
    relay.run_for(1.0)
    end.send(data)
    relay.run_for(0.1)


# Guards against a second run after a success that a part of a refusal stands before.
@pytest.mark.parametrize("part", PARTS_OF_REFUSALS)
def test_a_part_of_a_refusal_before_a_success_is_no_promise(
    relay: RelaySide, part: bytes
) -> None:
    respond(relay, "once", part + SUCCESS)
    # The relay may open connections to see whether the upstream has crashed.
    opened = [relay.accept_connection() for _ in range(relay.count_connections())]
    relay.run_for(0.1)
    assert b"".join(end.transport.value() for end in opened) == b""
    (response,) = relay.responses()
    assert response.startswith(b"HTTP/1.1 502")


# Guards against a success that is put together of a part of one and of a failure.
@pytest.mark.parametrize("part", PARTS_OF_SUCCESSES)
def test_a_part_of_a_success_before_a_failure_is_no_success(
    relay: RelaySide, part: bytes
) -> None:
    respond(relay, "once", part + FAILURE)
    (response,) = relay.responses()
    assert response.startswith(b"HTTP/1.1 502")
