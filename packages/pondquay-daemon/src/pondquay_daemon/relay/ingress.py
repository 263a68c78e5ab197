"""Connections of callers, which read complete requests and write responses."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, cast

import h11
from twisted.internet.protocol import Factory, Protocol, connectionDone

from pondquay.routing.buffers import BufferPool
from pondquay_daemon.logs import Level, log_event
from pondquay_daemon.relay.callercloses import (
    CallerClose,
    CloseReason,
    CloseRecorder,
    count_unread_bytes,
)
from pondquay_daemon.relay.chunkedhttp import ServerHttp
from pondquay_daemon.relay.deferredtimers import DeferredTimer, change_due_time
from pondquay_daemon.relay.flowcontrol import MAX_UNREAD_SECONDS
from pondquay_daemon.relay.handlers import CallerConnection, CallerResponse
from pondquay_daemon.relay.heads import find_header
from pondquay_daemon.relay.messages import RequestHead
from pondquay_daemon.relay.requestbodies import RequestBody
from pondquay_daemon.relay.writing import PausingWriter

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.interfaces import IAddress, IReactorTime
    from twisted.internet.tcp import Server
    from twisted.python.failure import Failure

    from pondquay.routes.entities import CallerLimits
    from pondquay_daemon.relay.handlers import RequestHandler
    from pondquay_daemon.relay.messages import HeaderList

    TimeLimit = Callable[[CallerLimits], float]

BAD_REQUEST = 400
REQUEST_TIMEOUT = 408
BODY_TOO_LARGE = 413
HEAD_TOO_LARGE = 431
# Refusals of requests whose callers go on to send them.
TOO_LARGE = frozenset({BODY_TOO_LARGE, HEAD_TOO_LARGE})
# Bytes that a caller may send while it waits for a response.
MAX_READ_AHEAD_BYTES = 1 << 20
# Part of the time left to a request for which its body may wait for room. The rest lets
# its caller try another instance.
MAX_WAIT_FRACTION = 0.5
# Time for which a caller that sends a body may go on after its request was refused. A
# close with unread data would reset the connection, and with it the refusal.
LINGER_SECONDS = 1.0


class IngressConnection(Protocol, CallerConnection):
    """A caller's connection, which carries one request after another."""

    def __init__(
        self, clock: IReactorTime, handler: RequestHandler, server: IngressServer
    ) -> None:
        self._clock = clock
        self._handler = handler
        self._server = server
        limits = handler.limits()
        self._http = ServerHttp(limits.header_bytes)
        self._timer = DeferredTimer(clock)
        self._head: RequestHead | None = None
        self._body = RequestBody(server.buffers, self._pause_body, self._resume_body)
        # Limit that the timer applies, ``None`` if it is not one of the configuration.
        self._time_limit: TimeLimit | None = None
        # Limit of the body when its request began; a lower one is for later requests.
        self._body_limit = limits.body_bytes
        self._body_began_at = 0.0
        # Time by which the body must be complete, ``None`` while it is not known.
        self._body_until: float | None = None
        self._arrived_at: float | None = None
        self._response: CallerResponse | None = None
        self._no_body = False
        self._refused = False
        # Whether it is closed, or will be unless a request arrives before.
        self._closing = False
        self._unsent = server.buffers.open(self.break_off)
        self._writer: PausingWriter | None = None

    @property
    def idle(self) -> bool:
        """Whether no request is being read or served."""
        return self._arrived_at is None and self._response is None and not self.paused

    @property
    def paused(self) -> bool:
        """Whether the caller has stopped reading."""
        return self._writer is not None and self._writer.paused

    def connectionMade(self) -> None:
        """Start to wait for the first request."""
        self._writer = PausingWriter(
            self._clock, self.transport, self._unsent, self._on_flow_change
        )
        self._server.connections.add(self)
        cast("Server", self.transport).setTcpNoDelay(True)
        self._limit_rest()

    def change_limits(self, before: CallerLimits, after: CallerLimits) -> None:
        """Apply changed limits to what the connection waits for.

        Data may be waiting to be read, so this never closes the connection.
        """
        if self._body_until is not None:
            self._change_body_limit(before.idle_timeout, after.idle_timeout)
        elif self._time_limit is not None:
            old, new = self._time_limit(before), self._time_limit(after)
            now, timer = self._clock.seconds(), self._timer
            if old != new:
                timer.move(change_due_time(timer.started_at, now, old, new))

    def dataReceived(self, data: bytes) -> None:
        """Process bytes of requests; ignore those after a refused request."""
        self._timer.note_read()
        if self._refused:
            return
        # The next request is served once the response before it was read.
        may_read = self._response is None and not self.paused
        if self._arrived_at is None and may_read:
            self._begin_request()
        self._http.receive_data(data)
        if may_read:
            self._read_events()
        elif len(self._http.trailing_data[0]) > MAX_READ_AHEAD_BYTES:
            self._reset()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Note that the caller has disconnected."""
        self._closing = True
        self._server.connections.discard(self)
        self._timer.stop()
        self._discard_kept()
        response, self._response = self._response, None
        if response is not None:
            response.note_disconnected()

    def abort(self) -> None:
        """Reset the connection, after what was written last if the caller reads.

        A reset discards what the transport has not sent. The event loop sends it within
        the turns for which the timer waits.
        """
        is_reading = not self.paused
        self._closing = self._refused = True
        self._response = self._time_limit = self._body_until = None
        self._discard_kept()
        if is_reading:
            self._timer.start(0.0, self._abort_transport)
        else:
            self._abort_transport()

    def _abort_transport(self) -> None:
        self._timer.stop()
        cast("Server", self.transport).abortConnection()

    def break_off(self) -> None:
        """Reset the connection, since its caller does not read."""
        unread_since, now = self._unsent.unread_since, self._clock.seconds()
        log_event(
            "caller-broken-off",
            Level.WARNING,
            content=self._unsent.content.name.lower(),
            kept=self._unsent.size,
            unread=0 if unread_since is None else round(now - unread_since, 2),
            total=self._server.buffers.total,
            limit=self._server.buffers.limit,
        )
        self._reset()

    def _reset(self) -> None:
        """Reset the connection, and end its response."""
        response = self._response
        self.abort()
        if response is not None:
            response.note_disconnected()

    def close_unless_used(self) -> None:
        """Close the idle connection, unless a request has arrived."""
        if self._closing:
            return
        self._closing = True
        self._time_limit = None
        rested_since = self._timer.started_at
        self._timer.start(0.0, partial(self._close_for_stop, rested_since))

    def _close_for_stop(self, rested_since: float) -> None:
        limit = self._handler.limits().idle_timeout
        self._record_close(CloseReason.STOP, limit, rested_since)
        self.close()

    def close(self) -> None:
        """Close the connection once all written data is sent."""
        self._closing = True
        self._limit_unread()
        if self._writer is not None:
            self._writer.close()

    def write_head(self, status: int, headers: HeaderList, first: bytes) -> float:
        """Write the head of a response.

        :param first: first bytes of the body
        :returns: the time of writing, in seconds
        """
        if self._server.stopping or self._server.closing or self._refused:
            headers = [*headers, (b"Connection", b"close")]
        head = self._http.send(h11.Response(status_code=status, headers=headers))
        chunks = [head or b""]
        if first:
            chunks.append(self._http.send(h11.Data(data=first)) or b"")
        if self._response is not None:
            self._unsent.content = self._response.content
        self._write(b"".join(chunks))
        return self._clock.seconds()

    def write_data(self, data: bytes) -> None:
        """Write a part of a response's body."""
        if not self._no_body:
            self._write(self._http.send(h11.Data(data=data)))

    def finish_response(self) -> None:
        """Write the end of a response, then read the next request or close."""
        out = self._http.send(h11.EndOfMessage())
        self._response = None
        self._body.discard()
        self._write(out)
        if self._refused:
            self._close_after_reading()
            return
        if self._http.our_state is not h11.DONE or (
            self._http.their_state is not h11.DONE
        ):
            self.close()
            return
        self._http.start_next_cycle()
        self._arrived_at = None
        if self.paused:
            self._limit_unread()
            return
        self._limit_rest()
        self._read_waiting()

    def _read_waiting(self) -> None:
        """Read a request that arrived before the last response was complete."""
        if self._http.trailing_data[0] and not self._refused:
            self._begin_request()
            self._clock.callLater(0, self._read_ahead)

    def _read_ahead(self) -> None:
        """Read what arrived ahead, unless that was done or the connection ended."""
        if not self._closing and self._arrived_at is not None:
            self._read_events()

    def _begin_request(self) -> None:
        """Begin to read the head of a request."""
        self._arrived_at = self._clock.seconds()
        self._closing = False
        limits = self._handler.limits()
        self._http.limit_head(limits.header_bytes)
        self._body_limit = limits.body_bytes
        self._time_limit = _find_header_timeout
        self._timer.start(limits.header_timeout, self._on_read_timeout)

    def _on_flow_change(self) -> None:
        if self._response is not None:
            self._response.note_flow_change()
            return
        if self.paused or self._closing:
            self._limit_unread()
            return
        self._limit_rest()
        if self._arrived_at is None:
            self._read_waiting()

    def _write(self, data: bytes | None) -> None:
        if data and self._writer is not None:
            self._writer.write(data)

    def _discard_kept(self) -> None:
        self._body.discard()
        if self._writer is not None:
            self._writer.stop()

    def _read_events(self) -> None:
        while self._response is None and not self._refused:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                self._refuse(error.error_status_hint)
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                self._send_continue()
                self._limit_body()
                return
            if isinstance(event, h11.ConnectionClosed):
                self.close()
                return
            self._handle_event(event)

    def _handle_event(self, event: object) -> None:
        if isinstance(event, h11.Request):
            headers = event.headers.raw_items()
            if _has_ambiguous_length(headers):
                self._refuse(BAD_REQUEST)
                return
            self._head = RequestHead(event.method, event.target, headers)
            self._no_body = event.method == b"HEAD"
            self._body_until = None
        elif isinstance(event, h11.Data):
            size = self._body.size + len(event.data)
            if size > max(self._body_limit, self._handler.limits().body_bytes):
                self._refuse(BODY_TOO_LARGE)
                return
            self._body.add(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._begin_response()

    def _begin_response(self) -> None:
        self._timer.stop()
        head, self._head = self._head, None
        if head is None or self._arrived_at is None:
            return
        self._body_until = None
        body = self._body.take()
        self._response = CallerResponse(self, self._arrived_at)
        self._handler.handle(head, body, self._response)

    def _send_continue(self) -> None:
        if self._http.they_are_waiting_for_100_continue:
            out = self._http.send(
                h11.InformationalResponse(status_code=100, headers=[])
            )
            self._write(out)

    def _refuse(self, status: int) -> None:
        """Send an error response to an invalid request, and close the connection."""
        self._refused = True
        self._body_until = None
        self._timer.stop()
        log_event(
            "request-rejected", Level.WARNING, status=status, body=self._body.size
        )
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers = [(b"Content-Length", b"0"), (b"Connection", b"close")]
            http_response = h11.Response(status_code=status, headers=headers)
            self._write(self._http.send(http_response))
        self._response = None
        self._body.discard()
        if status in TOO_LARGE:
            self._close_after_reading()
        else:
            self.close()

    def _close_after_reading(self) -> None:
        """Close the connection after a time in which its caller may send the rest."""
        self._time_limit = None
        self._timer.start(LINGER_SECONDS, self.close)

    def _limit_body(self) -> None:
        """Limit the time until a body that has begun is complete."""
        head = self._head
        if head is None or self._arrived_at is None or self._body_until is not None:
            return
        # A body may take longer than a head, but not until its request is overdue.
        now = self._clock.seconds()
        self._time_limit = None
        self._body_began_at = now
        self._body_until = now + self._handler.limits().idle_timeout
        self._start_body_timer()

    def _change_body_limit(self, before: float, after: float) -> None:
        """Apply a changed idle limit to the body that is being read."""
        now = self._clock.seconds()
        if before != after:
            self._body_until = change_due_time(self._body_began_at, now, before, after)
        self._start_body_timer()

    def _start_body_timer(self) -> None:
        """Limit the time for the body, also by that of its request."""
        if self._head is None or self._arrived_at is None or self._body_until is None:
            return
        seconds = self._handler.find_time_limit(self._head)
        if seconds is not None:
            self._body_until = min(self._body_until, self._arrived_at + seconds)
        if self._body.waiting:
            self._limit_wait()
        else:
            remaining = self._body_until - self._clock.seconds()
            self._timer.start(remaining, self._on_read_timeout)

    def _pause_body(self) -> None:
        """Read no more, since there is no room for more of the body."""
        cast("Server", self.transport).pauseProducing()
        if self._body_until is not None:
            self._limit_wait()

    def _limit_wait(self) -> None:
        """Limit the time for which the body waits for room."""
        remaining = (self._body_until or 0.0) - self._clock.seconds()
        self._timer.start(remaining * MAX_WAIT_FRACTION, self._on_no_room)

    def _resume_body(self) -> None:
        """Read on, since there is room for more of the body."""
        if self not in self._server.connections:
            return
        cast("Server", self.transport).resumeProducing()
        if self._body_until is not None:
            remaining = self._body_until - self._clock.seconds()
            self._timer.start(remaining, self._on_read_timeout)

    def _on_no_room(self) -> None:
        """Refuse the request, and read what its caller still sends."""
        head = self._head
        if head is None or self._arrived_at is None:
            return
        self._refused = True
        self._body_until = None
        self._body.discard()
        cast("Server", self.transport).resumeProducing()
        self._handler.refuse_body(head, CallerResponse(self, self._arrived_at))

    def _limit_rest(self) -> None:
        """Limit the time for which the connection is not used."""
        self._time_limit = _find_idle_timeout
        self._timer.start(self._handler.limits().idle_timeout, self._on_idle_timeout)

    def _limit_unread(self) -> None:
        """Limit the time for which the caller reads nothing of what is left."""
        self._time_limit = _find_unread_timeout
        seconds = _find_unread_timeout(self._handler.limits())
        self._timer.start(seconds, self._on_unread_timeout)

    def _on_idle_timeout(self) -> None:
        self._record_close(CloseReason.IDLE, self._handler.limits().idle_timeout)
        self.close()

    def _on_unread_timeout(self) -> None:
        limit = _find_unread_timeout(self._handler.limits())
        self._record_close(CloseReason.UNREAD_RESPONSE, limit)
        self.break_off()

    def _on_read_timeout(self) -> None:
        limits = self._handler.limits()
        limit = limits.header_timeout if self._head is None else limits.idle_timeout
        self._record_close(CloseReason.READ_TIMEOUT, limit)
        self._refuse(REQUEST_TIMEOUT)

    def _record_close(
        self, reason: CloseReason, limit: float, since: float | None = None
    ) -> None:
        """Record that the timer closes this connection.

        :param since: time at which its rest began, by default the start of the timer
        """
        rested_since = self._timer.started_at if since is None else since
        close = CallerClose(
            reason,
            self._clock.seconds() - rested_since,
            limit,
            self._timer.late,
            count_unread_bytes(self.transport),
        )
        self._server.closes.record(close)


class IngressServer(Factory):
    """Accepts callers' connections.

    :param buffers: accounts for the bytes that are kept for callers
    :param closes: is told of each connection that the server closes by itself
    :ivar stopping: whether the process is about to stop
    :ivar closing: whether connections are closed after their next response
    """

    noisy = False

    def __init__(
        self,
        clock: IReactorTime,
        handler: RequestHandler,
        buffers: BufferPool | None = None,
        closes: CloseRecorder | None = None,
    ) -> None:
        self._clock = clock
        self._handler = handler
        self.buffers = buffers or BufferPool()
        self.closes = closes or CloseRecorder()
        self.connections: set[IngressConnection] = set()
        self._limits = handler.limits()
        self.stopping = False
        self.closing = False

    def buildProtocol(self, addr: IAddress | None) -> IngressConnection:
        """Return the protocol of a new connection."""
        return IngressConnection(self._clock, self._handler, self)

    def change_limits(self, limits: CallerLimits) -> None:
        """Apply changed limits to the open connections."""
        before, self._limits = self._limits, limits
        if limits == before:
            return
        for connection in self.connections:
            connection.change_limits(before, limits)

    @property
    def has_open_requests(self) -> bool:
        """Whether any request is being read or served."""
        return any(not connection.idle for connection in self.connections)

    def close_idle(self) -> None:
        """Close the idle connections on which no request has arrived."""
        for connection in list(self.connections):
            if connection.idle:
                connection.close_unless_used()


def _find_idle_timeout(limits: CallerLimits) -> float:
    return limits.idle_timeout


def _find_unread_timeout(limits: CallerLimits) -> float:
    # A caller that reads slowly is not idle.
    return max(limits.idle_timeout, MAX_UNREAD_SECONDS)


def _find_header_timeout(limits: CallerLimits) -> float:
    return limits.header_timeout


def _has_ambiguous_length(headers: HeaderList) -> bool:
    """Return whether two parsers could find different ends of the request."""
    if find_header(headers, b"transfer-encoding") is None:
        return False
    return find_header(headers, b"content-length") is not None
