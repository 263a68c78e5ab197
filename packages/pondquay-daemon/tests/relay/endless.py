"""Upstreams whose responses have no end, and a relay that reads them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from .conftest import STEP_SECONDS, WORKSPACE, RelaySide
from .memorystore import SERVICE
from .slowreading import LIMIT_BYTES

if TYPE_CHECKING:
    from collections.abc import Callable

    from .conftest import CallerTransport, UpstreamEnd

MEGABYTE = 1 << 20
# Requests that may be repeated, that may not, a stream that may not be resumed, and
# one that may.
ROUTES = ("read", "once", "live", "stream")
REPEATABLE_ROUTES = ("read", "stream")
# Timeout of the routes, and longer than the time in which a new relay is ready.
ROUTE_SECONDS = 2.0
READY_SECONDS = 3.0
# Time in which a caller has its response once it is known that there is none.
AT_ONCE_SECONDS = 0.3
# More than a relay may read of bytes that are no answer.
FLOOD_BYTES = 4 * MEGABYTE

# Headers that let a body go on without end.
FRAMINGS = {
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n",
    "length": b"Content-Length: 1000000000000\r\n\r\n",
    "none": b"\r\n",
}

SERVED = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
SERVED_STREAM = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"f\r\nid: 1\ndata: x\n\n\r\n0\r\n\r\n"
)


def make_chunk(number: int) -> bytes:
    """Return a chunk of a body."""
    return b"4\r\nxxxx\r\n"


def is_closed(end: UpstreamEnd) -> bool:
    """Return whether the relay has closed a connection."""
    return bool(end.transport.disconnecting)


class EndlessSide:
    """A relay with upstreams whose responses the test writes."""

    def __init__(self, upstreams: int = 2) -> None:
        self.relay = RelaySide()
        for number in range(upstreams):
            self.relay.store.put_upstream(f"u{number}", f"10.0.0.{number + 1}:80")
        self.relay.start()
        self.relay.run_for(READY_SECONDS)
        components: Any = self.relay.relay._components
        self.buffers = components.buffers
        self.directory = components.directory
        self._accounts = components.accounts

    def send_request(
        self,
        route: str,
        transport: CallerTransport | None = None,
        headers: dict[str, str] | None = None,
    ) -> UpstreamEnd:
        """Send a request and return its upstream's end."""
        self.relay.connect_caller(f"/{route}/x", transport, headers)
        self.relay.clock.advance(0)
        return self.relay.accept_connection()

    def accept_request(self) -> UpstreamEnd:
        """Return the end of the next connection on which a request is sent."""
        for _ in range(round(ROUTE_SECONDS / STEP_SECONDS)):
            while self.relay.count_connections():
                end = self.relay.accept_connection()
                if end.transport.value():
                    return end
            self.relay.run_for(STEP_SECONDS)
        raise AssertionError("no request is sent")

    def response(self) -> bytes:
        """Return what the last caller has received."""
        return self.relay.responses()[-1]

    def serve_next(self, route: str) -> None:
        """Serve the request at the next upstream that it is sent to."""
        self.relay.clock.advance(0)
        end = self.relay.accept_connection()
        end.send(SERVED_STREAM if route in ("stream", "live") else SERVED)
        self.relay.clock.advance(0)

    def flood(self, end: UpstreamEnd, make_piece: Callable[[int], bytes]) -> int:
        """Send pieces as fast as the relay reads.

        :param make_piece: returns the piece with a number
        :returns: bytes that were sent until the relay closed, at most ``FLOOD_BYTES``
        """
        sent = number = 0
        while sent < FLOOD_BYTES and not is_closed(end):
            read = b""
            while len(read) < LIMIT_BYTES:
                read += make_piece(number)
                number += 1
            end.send(read)
            sent += len(read)
            self.relay.clock.advance(0)
        return sent

    def drip(
        self, end: UpstreamEnd, make_piece: Callable[[int], bytes], seconds: float
    ) -> float:
        """Send a piece at each step.

        :returns: seconds until the relay closed, at most those given
        """
        began = self.relay.clock.seconds()
        number = 0
        while self.relay.clock.seconds() - began < seconds and not is_closed(end):
            end.send(make_piece(number))
            number += 1
            self.relay.clock.advance(STEP_SECONDS)
        return float(self.relay.clock.seconds() - began)

    def count_failures(self) -> int:
        """Return the number of failures in a row that upstreams are blamed for."""
        upstreams = self.directory.candidates(SERVICE, None)
        return sum(upstream.circuit.failures for upstream in upstreams)

    def count_spent(self) -> int:
        """Return the tokens that the workspace has used."""
        return int(self._accounts._accounts[WORKSPACE.name].used)
