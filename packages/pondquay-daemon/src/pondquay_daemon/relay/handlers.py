"""Handlers of callers' requests, and the responses that they send."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from pondquay.routing.buffers import Content

if TYPE_CHECKING:
    from collections.abc import Callable

    from pondquay.routes.entities import CallerLimits
    from pondquay_daemon.relay.flowcontrol import FlowListener
    from pondquay_daemon.relay.messages import HeaderList, RequestHead

SERVICE_UNAVAILABLE = 503


class RequestHandler(ABC):
    """Handles requests that have been read."""

    @abstractmethod
    def handle(self, head: RequestHead, body: bytes, response: CallerResponse) -> None:
        """Begin to serve a request."""

    @abstractmethod
    def limits(self) -> CallerLimits:
        """Return the current limits of requests."""

    def find_time_limit(self, head: RequestHead) -> float | None:
        """Return the seconds from its arrival in which a request must be served.

        :returns: ``None`` if there is no limit, or if the request will be refused
        """
        return None

    def refuse_body(self, head: RequestHead, response: CallerResponse) -> None:
        """Refuse a request, since there is no room for its body."""
        response.send_complete(SERVICE_UNAVAILABLE, [], b"")


class CallerConnection(ABC):
    """The connection on which a response is written."""

    @property
    @abstractmethod
    def paused(self) -> bool:
        """Whether the caller has stopped reading."""

    @abstractmethod
    def write_head(self, status: int, headers: HeaderList, first: bytes) -> float:
        """Write the head of a response.

        :param first: first bytes of the body
        :returns: the time of writing, in seconds
        """

    @abstractmethod
    def write_data(self, data: bytes) -> None:
        """Write a part of a response's body."""

    @abstractmethod
    def finish_response(self) -> None:
        """Write the end of a response, then read the next request or close."""

    @abstractmethod
    def abort(self) -> None:
        """Reset the connection."""


class CallerResponse:
    """The response to one request.

    :param arrived_at: time at which the first byte of the request was read, in seconds
    :ivar open: whether the caller is connected and the response is incomplete
    :ivar started: whether the head was sent
    :ivar began_at: time at which the head was written, in seconds, ``None`` before
    :ivar on_disconnect: called once if the caller disconnects before the response ends
    :ivar content: what the response is, which decides when it gives way
    :ivar flow: is told when the caller stops reading the response, and when it goes on
    """

    def __init__(self, connection: CallerConnection, arrived_at: float) -> None:
        self._connection = connection
        self.arrived_at = arrived_at
        self.open = True
        self.started = False
        self.began_at: float | None = None
        self.on_disconnect: Callable[[], None] | None = None
        self.content = Content.RESPONSE
        self.flow: FlowListener | None = None

    @property
    def paused(self) -> bool:
        """Whether the caller has stopped reading."""
        return self.open and self._connection.paused

    def send_complete(self, status: int, headers: HeaderList, body: bytes) -> None:
        """Send a complete response."""
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
        """Send the head of a response, and optionally the first bytes of its body."""
        if self.open:
            self.started = True
            self.began_at = self._connection.write_head(status, headers, first)

    def send(self, data: bytes) -> None:
        """Send a part of the body."""
        if self.open:
            self._connection.write_data(data)

    def finish(self) -> None:
        """End a complete response."""
        if self.open:
            self.open = False
            self._connection.finish_response()

    def abort(self) -> None:
        """Reset the connection, so that the response cannot seem complete."""
        if self.open:
            self.open = False
            self._connection.abort()

    def note_flow_change(self) -> None:
        """Note that the caller has stopped reading, or goes on."""
        if self.flow is None or not self.open:
            return
        if self.paused:
            self.flow.on_paused()
        else:
            self.flow.on_resumed()

    def note_disconnected(self) -> None:
        """Note that the caller has disconnected."""
        if self.open:
            self.open = False
            if self.on_disconnect is not None:
                self.on_disconnect()
