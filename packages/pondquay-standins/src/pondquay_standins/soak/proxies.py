"""A loopback proxy that delays, resets or drops traffic on its connections.

``python -m pondquay_standins.soak.proxies --control PORT --map LISTEN:TARGET ...`` runs
it as a process. ``POST /fault`` at the control port sets the fault of one listening
port.
"""

from __future__ import annotations

from argparse import ArgumentParser
from collections import deque
from enum import StrEnum
from typing import TYPE_CHECKING, Any, cast

from klein import Klein
from twisted.internet.protocol import ClientFactory, Factory, Protocol, connectionDone
from twisted.web.server import Site

from pondquay_standins.processes import HOST
from pondquay_standins.web import reactor, read_body, write_body

if TYPE_CHECKING:
    from twisted.internet.interfaces import IAddress
    from twisted.python.failure import Failure
    from twisted.web.server import Request

DELAY_SECONDS = 0.15


class ProxyFault(StrEnum):
    """A fault of a listening port's connections.

    ``NO_REQUESTS`` and ``NO_RESPONSES`` drop bytes in one direction. ``SILENT`` drops
    them in both directions and doesn't forward the closing of connections.
    """

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    NO_REQUESTS = "no-requests"
    NO_RESPONSES = "no-answers"
    SILENT = "silent"


class PortMapping:
    """A listening port, its target port and its open connections.

    :ivar fault: the fault of its connections now
    :ivar ends: both ends of all its connections
    """

    def __init__(self, target: int) -> None:
        self.target = target
        self.fault = ProxyFault.NONE
        self.ends: set[ProxyEnd] = set()

    def set_fault(self, fault: ProxyFault) -> None:
        """Set or clear the fault.

        Connections from which bytes were dropped are reset, since they cannot go on.
        """
        dropped = self.fault in (
            ProxyFault.NO_REQUESTS,
            ProxyFault.NO_RESPONSES,
            ProxyFault.SILENT,
        )
        self.fault = fault
        if fault is ProxyFault.RESET or dropped:
            for end in list(self.ends):
                end.abort()


class ProxyEnd(Protocol):
    """One end of a proxied connection.

    :param dropping_faults: the faults in which bytes received here are dropped
    """

    def __init__(
        self, mapping: PortMapping, dropping_faults: frozenset[ProxyFault]
    ) -> None:
        self.mapping = mapping
        self._dropping_faults = dropping_faults
        self.other: ProxyEnd | None = None
        # Received before the other end is connected.
        self._pending: list[bytes] = []
        # Received during a delay and not forwarded yet, in order.
        self._delayed: deque[bytes] = deque()

    def connectionMade(self) -> None:
        """Register with the mapping, so that its faults affect this connection."""
        self.mapping.ends.add(self)

    def dataReceived(self, data: bytes) -> None:
        """Forward, delay or drop bytes, depending on the fault."""
        fault = self.mapping.fault
        if fault in self._dropping_faults:
            return
        if fault is ProxyFault.DELAY or self._delayed:
            # Keeps bytes in order when the fault ends before delayed bytes are sent.
            self._delayed.append(data)
            reactor.callLater(DELAY_SECONDS, self._forward_delayed)
            return
        self._forward(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Close the other end too, unless the fault hides it."""
        self.mapping.ends.discard(self)
        if self.other is not None and self.mapping.fault is not ProxyFault.SILENT:
            self.other.close()

    def close(self) -> None:
        """Close this end once all bytes are written."""
        cast("Any", self.transport).loseConnection()

    def abort(self) -> None:
        """Reset this end."""
        cast("Any", self.transport).abortConnection()

    def join(self, other: ProxyEnd) -> None:
        """Forward to another end, including the bytes received so far."""
        self.other = other
        pending, self._pending = self._pending, []
        for data in pending:
            self._forward(data)

    def _forward_delayed(self) -> None:
        self._forward(self._delayed.popleft())

    def _forward(self, data: bytes) -> None:
        if self.other is None:
            self._pending.append(data)
        elif self.other.transport is not None:
            cast("Any", self.other.transport).write(data)


REQUEST_DROPPING_FAULTS = frozenset({ProxyFault.NO_REQUESTS, ProxyFault.SILENT})
RESPONSE_DROPPING_FAULTS = frozenset({ProxyFault.NO_RESPONSES, ProxyFault.SILENT})


class ListenerFactory(Factory):
    """Accepts connections of a mapping and connects them to the target."""

    noisy = False

    def __init__(self, mapping: PortMapping) -> None:
        self._mapping = mapping

    def buildProtocol(self, addr: IAddress | None) -> ProxyEnd:
        """Return the client's end of a new connection."""
        near = ProxyEnd(self._mapping, REQUEST_DROPPING_FAULTS)
        if self._mapping.fault is ProxyFault.RESET:
            reactor.callLater(0, near.abort)
            return near
        reactor.connectTCP(HOST, self._mapping.target, TargetFactory(near), timeout=2)
        return near


class TargetFactory(ClientFactory):
    """Opens the target's end of a connection.

    :param near: the client's end
    """

    noisy = False

    def __init__(self, near: ProxyEnd) -> None:
        self._near = near

    def buildProtocol(self, addr: IAddress | None) -> ProxyEnd:
        """Return the target's end, joined with the client's end."""
        far = ProxyEnd(self._near.mapping, RESPONSE_DROPPING_FAULTS)
        far.join(self._near)
        reactor.callLater(0, self._near.join, far)
        return far

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """Close the client's end, since the target doesn't accept connections."""
        self._near.close()


def make_control(mappings: dict[int, PortMapping]) -> Any:
    """Return the web application of the control port.

    :param mappings: by listening port
    """
    app: Any = Klein()

    def set_fault(request: Request) -> bytes:
        body = read_body(request)
        mappings[body["port"]].set_fault(ProxyFault(body["fault"]))
        return write_body(request, {})

    app.route("/fault", methods=["POST"])(set_fault)
    app.route("/ready", methods=["GET"])(lambda request: write_body(request, {}))
    return app


def main() -> None:
    """Run the proxy until the process is ended."""
    parser = ArgumentParser(prog="soak-proxies")
    parser.add_argument("--control", type=int, required=True)
    parser.add_argument("--map", action="append", default=[], metavar="LISTEN:TARGET")
    options = parser.parse_args()
    mappings: dict[int, PortMapping] = {}
    for text in options.map:
        listen, target = (int(part) for part in text.split(":"))
        mappings[listen] = PortMapping(target)
        reactor.listenTCP(listen, ListenerFactory(mappings[listen]), interface=HOST)
    site = Site(make_control(mappings).resource())
    site.noisy = False
    reactor.listenTCP(options.control, site, interface=HOST)
    reactor.run()


if __name__ == "__main__":
    main()
