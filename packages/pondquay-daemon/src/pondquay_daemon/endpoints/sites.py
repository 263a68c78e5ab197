"""Serves klein applications with limits on request bodies and idle connections."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.internet.protocol import connectionDone
from twisted.web.http import HTTPChannel
from twisted.web.server import Request, Site

if TYPE_CHECKING:
    from klein import Klein
    from twisted.internet.interfaces import IDelayedCall, IListeningPort
    from twisted.python.failure import Failure

    from pondquay.addresses import Address

TOO_LARGE = "Pondquay-Too-Large"
IDLE_SECONDS = 120


class BoundedRequest(Request):
    """A request that sets ``too_large`` and stops storing a body over the limit."""

    max_bytes = 1 << 20
    too_large = False

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Set ``too_large`` if the announced length of the body is over the limit."""
        if length is not None and length > self.max_bytes:
            self.too_large = True
        announced = 0 if self.too_large else length
        super().gotLength(announced)  # type: ignore[no-untyped-call]

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Store a chunk of the body, unless the body is over the limit."""
        if self.too_large:
            return
        assert self.content is not None
        if self.content.tell() + len(data) > self.max_bytes:
            self.too_large = True
            return
        super().handleContentChunk(data)  # type: ignore[no-untyped-call]


class IdleChannel(HTTPChannel):
    """A connection that is closed after ``IdleChannel.timeOut`` without a read.

    After a stall of the process, the event loop runs timers before it reads sockets. So
    the connection is closed only after a further turn in which nothing is read.
    """

    _reads = 0
    _reads_before = 0
    _closing: IDelayedCall | None = None

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse received bytes."""
        self._reads += 1
        super().dataReceived(data)  # type: ignore[no-untyped-call]

    def timeoutConnection(self) -> None:  # noqa: N802
        """Close the connection after the next turn, unless something is read."""
        self._reads_before = self._reads
        self._closing = self.callLater(0, self._close_unread)  # type: ignore[no-untyped-call]

    def _close_unread(self) -> None:
        self._closing = None
        if self._reads == self._reads_before:
            super().timeoutConnection()  # type: ignore[no-untyped-call]
        elif self.timeOut is not None:
            self.setTimeout(self.timeOut)  # type: ignore[no-untyped-call]

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """End the requests in progress."""
        if self._closing is not None:
            self._closing.cancel()
            self._closing = None
        super().connectionLost(reason)  # type: ignore[no-untyped-call]


async def listen_http(
    reactor: Any, address: Address, app: Klein, max_bytes: int
) -> IListeningPort:
    """Serve an application at an address.

    :param max_bytes: maximum size of a request's body
    """
    site = make_site(reactor, app, max_bytes)
    endpoint = TCP4ServerEndpoint(reactor, address.port, interface=address.host)
    port: IListeningPort = await endpoint.listen(site)
    return port


def make_site(reactor: Any, app: Klein, max_bytes: int) -> Site:
    """Return the factory of the connections on which an application is served.

    :param max_bytes: maximum size of a request's body
    """

    class LimitedRequest(BoundedRequest):
        pass

    LimitedRequest.max_bytes = max_bytes
    site = Site(
        app.resource(),
        requestFactory=LimitedRequest,
        timeout=IDLE_SECONDS,
        reactor=reactor,
    )
    site.protocol = IdleChannel  # type: ignore[method-assign, assignment]
    site.displayTracebacks = False
    site.noisy = False
    return site
