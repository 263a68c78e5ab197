"""Connections of callers: requests read whole, answers written as they come."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, cast

import h11
from twisted.internet.protocol import Factory, Protocol, connectionDone

from pondquay_daemon.relay.heads import find_header
from pondquay_daemon.relay.messages import RequestHead

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.interfaces import IAddress, IDelayedCall, IReactorTime
    from twisted.internet.tcp import Server
    from twisted.python.failure import Failure

    from pondquay.routes.entities import CallerLimits
    from pondquay_daemon.relay.messages import HeaderList

BAD_REQUEST = 400
REQUEST_TIMEOUT = 408
BODY_TOO_LARGE = 413
HEAD_TOO_LARGE = 431
READ_AHEAD_BYTES = 1 << 20


class RequestHandler(ABC):
    """What is done with a request that has been read."""

    @abstractmethod
    def handle(self, head: RequestHead, body: bytes, response: CallerResponse) -> None:
        """Begin to answer a request."""

    @abstractmethod
    def limits(self) -> CallerLimits:
        """Return what a caller may send now."""


class CallerResponse:
    """The answer to one request, and whether its caller is still there.

    :param arrived: when the first byte of the request was read, in seconds
    :ivar began: when the first byte of the answer was written, in seconds
    """

    def __init__(self, connection: IngressConnection, arrived: float) -> None:
        self._connection = connection
        self.arrived = arrived
        self.open = True
        self.started = False
        self.began: float | None = None
        self.on_gone: Callable[[], None] | None = None

    def send_complete(self, status: int, headers: HeaderList, body: bytes) -> None:
        """Send an answer that is known as a whole."""
        if not self.open:
            return
        framing = (
            [] if status in (204, 304) else [(b"Content-Length", b"%d" % len(body))]
        )
        self.begin(status, headers + framing)
        if body:
            self.send(body)
        self.finish()

    def begin(self, status: int, headers: HeaderList, first: bytes = b"") -> None:
        """Send the head of an answer, and perhaps the first bytes of its body."""
        if self.open:
            self.started = True
            self.began = self._connection.write_head(status, headers, first)

    def send(self, data: bytes) -> None:
        """Send a piece of the body."""
        if self.open:
            self._connection.write_data(data)

    def finish(self) -> None:
        """End an answer that is whole."""
        if self.open:
            self.open = False
            self._connection.finish_response()

    def break_off(self) -> None:
        """End the connection so that the answer cannot be taken as whole."""
        if self.open:
            self.open = False
            self._connection.abort()

    def lose(self) -> None:
        """Learn that the caller has gone."""
        if self.open:
            self.open = False
            if self.on_gone is not None:
                self.on_gone()


class IngressConnection(Protocol):
    """One caller's connection: one request after the other."""

    def __init__(
        self, clock: IReactorTime, handler: RequestHandler, server: IngressServer
    ) -> None:
        self._clock = clock
        self._handler = handler
        self._server = server
        limits = handler.limits()
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        self._timer: IDelayedCall | None = None
        self._head: RequestHead | None = None
        self._body: list[bytes] = []
        self._size = 0
        self._arrived: float | None = None
        self._response: CallerResponse | None = None
        self._no_body = False
        self._refused = False

    @property
    def idle(self) -> bool:
        """Whether nothing has been read of a request, and none is answered."""
        return self._arrived is None and self._response is None

    def connectionMade(self) -> None:
        """Wait for the first request."""
        self._server.connections.add(self)
        cast("Server", self.transport).setTcpNoDelay(True)
        self._wait(self._handler.limits().idle_timeout, self._end_idle)

    def dataReceived(self, data: bytes) -> None:
        """Take bytes of a request; what follows a refused one is not read."""
        if self._refused:
            return
        if self._arrived is None and self._response is None:
            self._arrived = self._clock.seconds()
            self._wait(self._handler.limits().header_timeout, self._end_slow)
        self._http.receive_data(data)
        if self._response is None:
            self._read_events()
        elif len(self._http.trailing_data[0]) > READ_AHEAD_BYTES:
            self.abort()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Learn that the caller has gone."""
        self._server.connections.discard(self)
        self._stop_timer()
        response, self._response = self._response, None
        if response is not None:
            response.lose()

    def abort(self) -> None:
        """Reset the connection."""
        self._response = None
        cast("Server", self.transport).abortConnection()

    def close(self) -> None:
        """Close the connection after what has been written."""
        cast("Server", self.transport).loseConnection()

    def write_head(self, status: int, headers: HeaderList, first: bytes) -> float:
        """Write the head of an answer; return when."""
        if self._server.stopping:
            headers = [*headers, (b"Connection", b"close")]
        head = self._http.send(h11.Response(status_code=status, headers=headers))
        parts = [head or b""]
        if first:
            parts.append(self._http.send(h11.Data(data=first)) or b"")
        cast("Server", self.transport).writeSequence(parts)
        return self._clock.seconds()

    def write_data(self, data: bytes) -> None:
        """Write a piece of an answer's body."""
        if not self._no_body:
            out = self._http.send(h11.Data(data=data))
            cast("Server", self.transport).write(out or b"")

    def finish_response(self) -> None:
        """Write the end of an answer and go on to the next request."""
        out = self._http.send(h11.EndOfMessage())
        self._response = None
        if out:
            cast("Server", self.transport).write(out)
        if self._http.our_state is not h11.DONE or (
            self._http.their_state is not h11.DONE
        ):
            self.close()
            return
        self._http.start_next_cycle()
        self._arrived = None
        self._wait(self._handler.limits().idle_timeout, self._end_idle)
        if self._http.trailing_data[0]:
            self._arrived = self._clock.seconds()
            self._clock.callLater(0, self._read_events)

    def _read_events(self) -> None:
        while self._response is None and not self._refused:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                self._refuse(error.error_status_hint)
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                self._invite_body()
                return
            if isinstance(event, h11.ConnectionClosed):
                self.close()
                return
            self._take(event)

    def _take(self, event: object) -> None:
        if isinstance(event, h11.Request):
            headers = event.headers.raw_items()
            if _ambiguous(headers):
                self._refuse(BAD_REQUEST)
                return
            self._head = RequestHead(event.method, event.target, headers)
            self._no_body = event.method == b"HEAD"
            self._body = []
            self._size = 0
            # The head is in time; a long body may take as long as a rest.
            self._wait(self._handler.limits().idle_timeout, self._end_slow)
        elif isinstance(event, h11.Data):
            self._size += len(event.data)
            if self._size > self._handler.limits().body_bytes:
                self._refuse(BODY_TOO_LARGE)
                return
            self._body.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._begin_response()

    def _begin_response(self) -> None:
        self._stop_timer()
        head, self._head = self._head, None
        if head is None or self._arrived is None:
            return
        body = b"".join(self._body)
        self._body = []
        self._response = CallerResponse(self, self._arrived)
        self._handler.handle(head, body, self._response)

    def _invite_body(self) -> None:
        if self._http.they_are_waiting_for_100_continue:
            out = self._http.send(
                h11.InformationalResponse(status_code=100, headers=[])
            )
            cast("Server", self.transport).write(out or b"")

    def _refuse(self, status: int) -> None:
        """Answer what cannot be a request, and close."""
        self._refused = True
        self._stop_timer()
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers = [(b"Content-Length", b"0"), (b"Connection", b"close")]
            http_response = h11.Response(status_code=status, headers=headers)
            out = self._http.send(http_response)
            cast("Server", self.transport).write(out or b"")
        self._response = None
        self.close()

    def _wait(self, seconds: float, then: Callable[[], None]) -> None:
        self._stop_timer()
        self._timer = self._clock.callLater(seconds, then)

    def _stop_timer(self) -> None:
        timer, self._timer = self._timer, None
        if timer is not None and timer.active():
            timer.cancel()

    def _end_idle(self) -> None:
        self.close()

    def _end_slow(self) -> None:
        self._refuse(REQUEST_TIMEOUT)


class IngressServer(Factory):
    """Accepts callers' connections."""

    noisy = False

    def __init__(self, clock: IReactorTime, handler: RequestHandler) -> None:
        self._clock = clock
        self._handler = handler
        self.connections: set[IngressConnection] = set()
        self.stopping = False

    def buildProtocol(self, addr: IAddress | None) -> IngressConnection:
        """Return the protocol of a new connection."""
        return IngressConnection(self._clock, self._handler, self)

    @property
    def busy(self) -> bool:
        """Whether any request is being read or answered."""
        return any(not one.idle for one in self.connections)

    def close_idle(self) -> None:
        """Close the connections on which nothing happens."""
        for connection in list(self.connections):
            if connection.idle:
                connection.close()


def _ambiguous(headers: HeaderList) -> bool:
    """Tell whether two readers could find different ends of the request."""
    if find_header(headers, b"transfer-encoding") is None:
        return False
    return find_header(headers, b"content-length") is not None
