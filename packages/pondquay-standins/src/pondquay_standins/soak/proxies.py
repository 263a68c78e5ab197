"""A loopback proxy that delays, resets, cuts and silences what goes through it.

``python -m pondquay_standins.soak.proxies --control PORT --map LISTEN:TARGET ...`` runs
it as a process. ``POST /fault`` at the control address sets what happens to the
connections of one listening port.
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
    """What happens to connections.

    ``NO_REQUESTS`` and ``NO_ANSWERS`` cut one way: bytes of that way are dropped, and
    the other way goes on. ``SILENT`` drops both ways without closing anything.
    """

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    NO_REQUESTS = "no-requests"
    NO_ANSWERS = "no-answers"
    SILENT = "silent"


class Line:
    """All connections of one listening port.

    :ivar fault: what happens to them now
    """

    def __init__(self, target: int) -> None:
        self.target = target
        self.fault = ProxyFault.NONE
        self.ends: set[ProxyEnd] = set()

    def set_fault(self, fault: ProxyFault) -> None:
        """Begin a fault, or end one.

        Bytes that were dropped are lost, so their connections cannot go on afterwards.
        """
        dropped = self.fault in (
            ProxyFault.NO_REQUESTS,
            ProxyFault.NO_ANSWERS,
            ProxyFault.SILENT,
        )
        self.fault = fault
        if fault is ProxyFault.RESET or dropped:
            for end in list(self.ends):
                end.abort()


class ProxyEnd(Protocol):
    """One end of a connection that goes through the proxy.

    :param drops: the faults in which what comes in here is dropped
    """

    def __init__(self, line: Line, drops: frozenset[ProxyFault]) -> None:
        self.line = line
        self._drops = drops
        self.other: ProxyEnd | None = None
        self._early: list[bytes] = []
        # What has come and is to be passed on later, in order.
        self._delayed: deque[bytes] = deque()

    def connectionMade(self) -> None:
        """Take part in the line's faults."""
        self.line.ends.add(self)

    def dataReceived(self, data: bytes) -> None:
        """Pass bytes on, as the fault allows."""
        fault = self.line.fault
        if fault in self._drops:
            return
        if fault is ProxyFault.DELAY or self._delayed:
            # Nothing overtakes on a connection, also once the fault is over.
            self._delayed.append(data)
            reactor.callLater(DELAY_SECONDS, self._pass_on_next)
            return
        self._pass_on(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Close the other end too."""
        self.line.ends.discard(self)
        if self.other is not None and self.line.fault is not ProxyFault.SILENT:
            self.other.close()

    def close(self) -> None:
        """Close this end once all is written."""
        cast("Any", self.transport).loseConnection()

    def abort(self) -> None:
        """Reset this end."""
        cast("Any", self.transport).abortConnection()

    def join(self, other: ProxyEnd) -> None:
        """Pass on to another end, also what came before it was there."""
        self.other = other
        early, self._early = self._early, []
        for data in early:
            self._pass_on(data)

    def _pass_on_next(self) -> None:
        self._pass_on(self._delayed.popleft())

    def _pass_on(self, data: bytes) -> None:
        if self.other is None:
            self._early.append(data)
        elif self.other.transport is not None:
            cast("Any", self.other.transport).write(data)


REQUESTS_DROPPED = frozenset({ProxyFault.NO_REQUESTS, ProxyFault.SILENT})
ANSWERS_DROPPED = frozenset({ProxyFault.NO_ANSWERS, ProxyFault.SILENT})


class LineFactory(Factory):
    """Accepts connections of a line and opens their other ends."""

    noisy = False

    def __init__(self, line: Line) -> None:
        self._line = line

    def buildProtocol(self, addr: IAddress | None) -> ProxyEnd:
        """Return the near end of a new connection."""
        near = ProxyEnd(self._line, REQUESTS_DROPPED)
        if self._line.fault is ProxyFault.RESET:
            reactor.callLater(0, near.abort)
            return near
        reactor.connectTCP(HOST, self._line.target, FarFactory(near), timeout=2)
        return near


class FarFactory(ClientFactory):
    """Opens the far end of a connection."""

    noisy = False

    def __init__(self, near: ProxyEnd) -> None:
        self._near = near

    def buildProtocol(self, addr: IAddress | None) -> ProxyEnd:
        """Return the far end, joined with the near one."""
        far = ProxyEnd(self._near.line, ANSWERS_DROPPED)
        far.join(self._near)
        reactor.callLater(0, self._near.join, far)
        return far

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """Close the near end: nobody listens at the other."""
        self._near.close()


def make_control(lines: dict[int, Line]) -> Any:
    """Return the control address's call."""
    app: Any = Klein()

    def set_fault(request: Request) -> bytes:
        body = read_body(request)
        lines[body["port"]].set_fault(ProxyFault(body["fault"]))
        return write_body(request, {})

    app.route("/fault", methods=["POST"])(set_fault)
    app.route("/ready", methods=["GET"])(lambda request: write_body(request, {}))
    return app


def main() -> None:
    """Run until the process is ended."""
    parser = ArgumentParser(prog="soak-proxies")
    parser.add_argument("--control", type=int, required=True)
    parser.add_argument("--map", action="append", default=[], metavar="LISTEN:TARGET")
    options = parser.parse_args()
    lines: dict[int, Line] = {}
    for text in options.map:
        listen, target = (int(part) for part in text.split(":"))
        lines[listen] = Line(target)
        reactor.listenTCP(listen, LineFactory(lines[listen]), interface=HOST)
    site = Site(make_control(lines).resource())
    site.noisy = False
    reactor.listenTCP(options.control, site, interface=HOST)
    reactor.run()


if __name__ == "__main__":
    main()
