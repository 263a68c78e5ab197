"""A loopback proxy that delays, resets or drops traffic on its connections.

``python -m pondquay_standins.soak.proxycommand --control PORT --map LISTEN:TARGET ...``
runs it as a process. ``POST /fault`` at the control port sets the fault of one
listening port.
"""

from __future__ import annotations

from argparse import ArgumentParser
from collections import deque
from enum import StrEnum
from typing import TYPE_CHECKING, Any, cast

from klein import Klein
from twisted.internet.error import ConnectionDone
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

    ``DELAY`` forwards bytes late, and ``RESET`` resets connections. ``NO_REQUESTS`` and
    ``NO_RESPONSES`` drop bytes in one direction. ``SILENT`` drops them in both
    directions and does not forward the closing of connections.
    """

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    NO_REQUESTS = "no-requests"
    NO_RESPONSES = "no-answers"
    SILENT = "silent"


class PortMapping:
    """A listening port, its target port and its open connections.

    :param target: the target port
    :ivar fault: current fault of its connections
    :ivar ends: both ends of all open connections
    """

    def __init__(self, target: int) -> None:
        self.target = target
        self.fault = ProxyFault.NONE
        self.ends: set[ProxyEnd] = set()

    def set_fault(self, fault: ProxyFault) -> None:
        """Set or clear the fault.

        ``RESET`` resets all open connections. So does setting any fault after one that
        drops bytes, since connections that have lost bytes are unusable.
        """
        was_dropping = self.fault in (
            ProxyFault.NO_REQUESTS,
            ProxyFault.NO_RESPONSES,
            ProxyFault.SILENT,
        )
        self.fault = fault
        if fault is ProxyFault.RESET or was_dropping:
            for end in list(self.ends):
                end.abort()


class ProxyEnd(Protocol):
    """One end of a proxied connection.

    :param dropping_faults: faults during which bytes received by this end are dropped
    """

    def __init__(
        self, mapping: PortMapping, dropping_faults: frozenset[ProxyFault]
    ) -> None:
        self.mapping = mapping
        self._dropping_faults = dropping_faults
        self.other: ProxyEnd | None = None
        # Bytes received before the other end is connected.
        self._pending: list[bytes] = []
        # Delayed bytes that are not forwarded yet, in order.
        self._delayed: deque[bytes] = deque()
        self._has_dropped = False
        self._is_closed = False

    def connectionMade(self) -> None:
        """Register with the mapping, so that its faults affect this connection."""
        self.mapping.ends.add(self)

    def dataReceived(self, data: bytes) -> None:
        """Forward, delay or drop bytes, depending on the fault."""
        fault = self.mapping.fault
        if fault in self._dropping_faults:
            self._has_dropped = True
            return
        if fault is ProxyFault.DELAY or self._delayed:
            # Bytes received after the fault ends must not overtake delayed ones.
            self._delayed.append(data)
            reactor.callLater(DELAY_SECONDS, self._forward_delayed)
            return
        self._forward(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """End the other end in the same way, unless the fault is ``SILENT``.

        An orderly close follows all bytes. If some were dropped, it becomes a reset.
        """
        self.mapping.ends.discard(self)
        if self.other is None or self.mapping.fault is ProxyFault.SILENT:
            return
        if self._has_dropped or not reason.check(ConnectionDone):
            self.other.abort()
        elif self._delayed:
            self._is_closed = True
        else:
            self.other.close()

    def close(self) -> None:
        """Close this end once all bytes are written."""
        cast("Any", self.transport).loseConnection()

    def abort(self) -> None:
        """Reset this end."""
        cast("Any", self.transport).abortConnection()

    def join(self, other: ProxyEnd) -> None:
        """Forward to another end all bytes, including those received before."""
        self.other = other
        pending, self._pending = self._pending, []
        for data in pending:
            self._forward(data)

    def _forward_delayed(self) -> None:
        self._forward(self._delayed.popleft())
        if self._is_closed and not self._delayed and self.other is not None:
            self.other.close()

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
        """Return the client's end of a new connection and connect to the target.

        During ``RESET`` the connection is reset instead.
        """
        client_end = ProxyEnd(self._mapping, REQUEST_DROPPING_FAULTS)
        if self._mapping.fault is ProxyFault.RESET:
            reactor.callLater(0, client_end.abort)
            return client_end
        reactor.connectTCP(
            HOST, self._mapping.target, TargetFactory(client_end), timeout=2
        )
        return client_end


class TargetFactory(ClientFactory):
    """Opens the target's end of a connection.

    :param client_end: the client's end
    """

    noisy = False

    def __init__(self, client_end: ProxyEnd) -> None:
        self._client_end = client_end

    def buildProtocol(self, addr: IAddress | None) -> ProxyEnd:
        """Return the target's end, joined with the client's end."""
        target_end = ProxyEnd(self._client_end.mapping, RESPONSE_DROPPING_FAULTS)
        target_end.join(self._client_end)
        reactor.callLater(0, self._client_end.join, target_end)
        return target_end

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """Close the client's end, since the connection to the target failed."""
        self._client_end.close()


def make_control(mappings: dict[int, PortMapping]) -> Any:
    """Return the web application of the control port.

    :param mappings: port mappings by listening port
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
