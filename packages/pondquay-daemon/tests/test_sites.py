"""Connections of callers on which an application is served, in memory."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from pondquay_daemon.endpoints.sites import IDLE_SECONDS, OpenChannels, make_site

from .stalledclock import StalledClock

if TYPE_CHECKING:
    from twisted.web.server import Request

REQUEST = b"POST /echo HTTP/1.1\r\nHost: entry\r\nContent-Length: 4\r\n\r\nbody"
RESPONSE_END = b"\r\nbody\r\n0\r\n\r\n"
MAX_BYTES = 1 << 20
STOP_SECONDS = 300.0


def make_application() -> Klein:
    app = Klein()

    def echo(request: Request) -> bytes:
        assert request.content is not None
        return request.content.read()

    app.route("/echo", methods=["POST"])(echo)
    return app


class Connection:
    """A caller's connection, which is read once in each turn of the loop."""

    def __init__(self) -> None:
        self.clock = StalledClock()
        self.transport = StringTransport()
        self.channels = OpenChannels()
        site = make_site(self.clock, make_application(), MAX_BYTES, self.channels)
        self._channel: Any = site.buildProtocol(None)
        self._channel.makeConnection(self.transport)

    def send(self, data: bytes) -> None:
        """Deliver data unless the connection has been closed."""
        if not self.transport.disconnecting:
            self._channel.dataReceived(data)

    def stop(self) -> list[int]:
        """Begin to close all connections; return the result once there is one."""
        unsent: list[int] = []
        closed = Deferred.fromCoroutine(self.channels.close(STOP_SECONDS, self.clock))
        closed.addCallback(unsent.append)
        return unsent

    def lose(self) -> None:
        """Report that the transport has sent everything and is closed."""
        self._channel.connectionLost(Failure(ConnectionDone()))

    @property
    def responses(self) -> bytes:
        return self.transport.value()


# Guards against a request on a kept connection that is closed without a response, since
# the connection expired while the process did not run.
@pytest.mark.parametrize("stall", [1.0, 5.0, 15.0])
def test_a_request_that_arrives_during_a_stall_is_answered(stall: float) -> None:
    connection = Connection()
    connection.send(REQUEST)
    assert connection.responses.endswith(RESPONSE_END)
    connection.transport.clear()
    connection.clock.stall(IDLE_SECONDS - 0.5)
    connection.clock.turn()
    connection.clock.stall(stall)
    connection.clock.turn(lambda: connection.send(REQUEST))
    connection.clock.turn()
    assert connection.responses.startswith(b"HTTP/1.1 200")
    assert not connection.transport.disconnecting


# Guards against a request whose rest arrives during a stall and is not read.
def test_a_body_that_arrives_during_a_stall_is_read_in_several_turns() -> None:
    connection = Connection()
    connection.send(REQUEST[:-4])
    connection.clock.stall(IDLE_SECONDS + 1.0)
    connection.clock.turn(lambda: connection.send(REQUEST[-4:-2]))
    connection.clock.turn(lambda: connection.send(REQUEST[-2:]))
    connection.clock.turn()
    assert connection.responses.endswith(RESPONSE_END)
    assert not connection.transport.disconnecting


@pytest.mark.parametrize("sent", [b"", REQUEST[:-2], REQUEST])
def test_an_idle_connection_is_closed(sent: bytes) -> None:
    connection = Connection()
    if sent:
        connection.send(sent)
    connection.clock.advance(IDLE_SECONDS - 0.5)
    assert not connection.transport.disconnecting
    connection.clock.advance(1.0)
    assert connection.transport.disconnecting


def test_an_unfinished_request_is_closed_after_a_further_idle_time() -> None:
    connection = Connection()
    connection.clock.stall(IDLE_SECONDS + 1.0)
    connection.clock.turn(lambda: connection.send(REQUEST[:-2]))
    connection.clock.turn()
    connection.clock.advance(IDLE_SECONDS - 0.5)
    assert not connection.transport.disconnecting
    connection.clock.advance(1.0)
    assert connection.transport.disconnecting


# Guards against a request that a planned stop leaves unread.
def test_a_request_that_waits_as_an_instance_stops_is_answered() -> None:
    connection = Connection()
    unsent = connection.stop()
    connection.clock.turn(lambda: connection.send(REQUEST[:-2]))
    connection.clock.turn(lambda: connection.send(REQUEST[-2:]))
    assert connection.responses.endswith(RESPONSE_END)
    assert connection.transport.disconnecting
    assert unsent == []
    connection.lose()
    assert unsent == [0]


def test_a_request_after_the_stop_began_ends_its_connection() -> None:
    connection = Connection()
    connection.send(REQUEST[:-2])
    connection.stop()
    connection.clock.advance(0)
    assert not connection.transport.disconnecting
    connection.send(REQUEST[-2:])
    assert b"connection: close" in connection.responses.lower()
    assert connection.transport.disconnecting


def test_a_stop_waits_for_responses_only_for_a_while() -> None:
    connection = Connection()
    connection.send(REQUEST)
    unsent = connection.stop()
    connection.clock.advance(0)
    connection.clock.advance(STOP_SECONDS - 1.0)
    assert connection.transport.disconnecting
    assert unsent == []
    connection.clock.advance(1.0)
    assert unsent == [1]
