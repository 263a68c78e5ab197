"""Serves klein applications with limits on request bodies and idle connections."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.internet.protocol import connectionDone
from twisted.web.http import HTTPChannel
from twisted.web.server import Request, Site

from pondquay_daemon.tasks import read_arrived, wait_at_most

if TYPE_CHECKING:
    from klein import Klein
    from twisted.internet.interfaces import IDelayedCall, IListeningPort, IReactorTime
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

    :param channels: the open connections of which it becomes one
    """

    _is_ending = False
    _reads = 0
    _reads_before = 0
    _closing: IDelayedCall | None = None

    def __init__(self, channels: OpenChannels) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._channels = channels

    def connectionMade(self) -> None:  # noqa: N802
        """Start the idle time."""
        self._channels.add(self)
        super().connectionMade()  # type: ignore[no-untyped-call]

    def end(self) -> None:
        """Close the connection once all that was received has been answered."""
        self._is_ending = True
        self.persistent = False
        for request in self.requests:
            request.responseHeaders.setRawHeaders(b"Connection", [b"close"])
        if not self.requests:
            # The transport closes the connection once it has sent all responses.
            self.setTimeout(None)  # type: ignore[no-untyped-call]
            self.loseConnection()  # type: ignore[no-untyped-call]

    def checkPersistence(self, request: Request, version: bytes) -> bool:  # noqa: N802
        """Return whether the connection stays open after the response to a request."""
        if self._is_ending:
            request.responseHeaders.setRawHeaders(b"Connection", [b"close"])
            return False
        return bool(super().checkPersistence(request, version))  # type: ignore[no-untyped-call]

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
        self._channels.remove(self)


class OpenChannels:
    """The open connections of an instance's endpoints."""

    def __init__(self) -> None:
        self._open: set[IdleChannel] = set()
        self._all_closed: Deferred[None] | None = None

    def add(self, channel: IdleChannel) -> None:
        """Add a connection that was opened."""
        self._open.add(channel)

    def remove(self, channel: IdleChannel) -> None:
        """Remove a connection that was closed."""
        self._open.discard(channel)
        if not self._open and self._all_closed is not None:
            self._all_closed.callback(None)
            self._all_closed = None

    async def close(self, seconds: float, clock: IReactorTime) -> int:
        """Close all connections once their responses have been sent.

        :param seconds: maximum wait
        :returns: the number of connections whose responses were not sent in time
        """
        await read_arrived(clock)
        for channel in list(self._open):
            channel.end()
        if self._open:
            self._all_closed = Deferred()
            await wait_at_most(self._all_closed, seconds, clock, None)
        return len(self._open)


async def listen_http(
    reactor: Any, address: Address, app: Klein, max_bytes: int, channels: OpenChannels
) -> IListeningPort:
    """Serve an application at an address.

    :param max_bytes: maximum size of a request's body
    :param channels: the open connections, of which those of the address become part
    """
    site = make_site(reactor, app, max_bytes, channels)
    endpoint = TCP4ServerEndpoint(reactor, address.port, interface=address.host)
    port: IListeningPort = await endpoint.listen(site)
    return port


def make_site(reactor: Any, app: Klein, max_bytes: int, channels: OpenChannels) -> Site:
    """Return the factory of the connections on which an application is served.

    :param max_bytes: maximum size of a request's body
    :param channels: the open connections, of which those of the site become part
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
    site.protocol = partial(IdleChannel, channels)  # type: ignore[method-assign, assignment]
    site.displayTracebacks = False
    site.noisy = False
    return site
