"""An upstream sends another stream's response within the body of a stream."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

if TYPE_CHECKING:
    from .conftest import RelaySide

# Only the end of its connection ends the stream.
OWN = b"HTTP/1.1 200 OK\r\nattempt: mine\r\n\r\nid: 1\ndata: own\n\n"
OTHER = b"HTTP/1.1 200 OK\r\nattempt: another\r\n\r\nid: 2\ndata: another\n\n"


# Guards against a stream that is joined with one of another run, whose events go on
# where its own have ended.
@pytest.mark.parametrize("own", [OWN, OWN[:-1], OWN[: -len(b"own\n\n")]])
@pytest.mark.parametrize("route", ["stream", "live"])
def test_a_response_within_a_stream_is_not_forwarded(
    relay: RelaySide, route: str, own: bytes
) -> None:
    relay.store.put_upstream("only", "10.0.0.1:80")
    relay.start()
    relay.run_for(1.0)
    relay.connect_caller(f"/{route}/x", headers={"attempt": "mine"})
    relay.clock.advance(0)
    end = relay.accept_connection()
    end.send(own + OTHER)
    end.protocol.connectionLost(Failure(ConnectionDone()))
    relay.run_for(0.1)
    (response,) = relay.responses()
    assert b"another" not in response
    assert not response.endswith(b"0\r\n\r\n")
