"""Pooled HTTP connections to upstreams and to the store."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, Any, cast

import h11
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Protocol, connectionDone
from zope.interface import implementer

from pondquay.routing.buffers import MAX_UNSENT_BYTES
from pondquay_daemon.relay.chunkedhttp import ClientHttp
from pondquay_daemon.relay.dialing import DirectDialer
from pondquay_daemon.relay.errors import BrokenExchangeError
from pondquay_daemon.relay.exchanges import ExchangeConnection
from pondquay_daemon.relay.heads import keep_alive_seconds, wants_close
from pondquay_daemon.relay.messages import ResponseHead
from pondquay_daemon.relay.tunnels import GatewayLost, TunnelTransport

if TYPE_CHECKING:
    from twisted.internet.interfaces import IDelayedCall
    from twisted.internet.tcp import Client
    from twisted.python.failure import Failure

    from pondquay.addresses import Address
    from pondquay_daemon.relay.dialing import Dialer
    from pondquay_daemon.relay.exchanges import Exchange, ExchangeListener
    from pondquay_daemon.relay.messages import HeaderList

MAX_RESPONSE_HEAD_BYTES = 65536
# Refusals after which a connection is closed rather than kept.
MAX_REFUSALS = 100
# Copies of earlier responses that are ignored before the response to a request, and the
# bytes of their bodies.
MAX_SKIPPED_RESPONSES = 2
MAX_SKIPPED_BYTES = 65536
# Upper limit of the idle time of a connection, whatever its peer allows.
MAX_IDLE_SECONDS = 4.0
# Subtracted from the peer's keep-alive time, so that the peer does not close a
# connection on which a request is being sent.
IDLE_MARGIN_SECONDS = 0.6


@implementer(IPushProducer)
class EgressConnection(Protocol, ExchangeConnection):
    """A connection that carries one exchange after another.

    A body is written only as fast as its upstream reads.

    :ivar open: whether the connection is established
    :ivar sent: whether any byte of the current exchange was sent
    :ivar idle_timer: closes the connection once it has been idle for too long
    """

    def __init__(self, pool: EgressPool, address: Address) -> None:
        super().__init__()
        self._pool = pool
        self.address = address
        self._http = ClientHttp(MAX_RESPONSE_HEAD_BYTES)
        self._listener: ExchangeListener | None = None
        self._keep_alive: int | None = None
        self._close_after = False
        self.open = False
        self.sent = False
        self._method = b""
        self._skipped = 0
        self._skipped_bytes = 0
        self._is_skipping = False
        self.idle_timer: IDelayedCall | None = None
        self._unwritten = memoryview(b"")
        self._is_writing = False
        self._is_full = False
        self._is_paused = False

    def connectionMade(self) -> None:
        """Mark the connection as open."""
        self.open = True
        if isinstance(self.transport, TunnelTransport):
            self.gateway = self.transport.gateway
        cast("Client", self.transport).setTcpNoDelay(True)

    def begin(
        self,
        listener: ExchangeListener,
        method: bytes,
        target: bytes,
        headers: HeaderList,
        body: bytes,
    ) -> None:
        """Send a request, with framing headers added."""
        self._listener = listener
        self._method = method
        self.exchanges += 1
        framing = [(b"Content-Length", b"%d" % len(body))]
        if not body and method in (b"GET", b"HEAD", b"DELETE"):
            framing = []
        try:
            request = h11.Request(
                method=method, target=target, headers=headers + framing
            )
            chunks = [self._http.send(request)]
            if len(body) > MAX_UNSENT_BYTES:
                self._unwritten = memoryview(body)
            elif body:
                chunks.append(self._http.send(h11.Data(data=body)))
            if not self._unwritten:
                chunks.append(self._http.send(h11.EndOfMessage()))
        except h11.LocalProtocolError as error:
            self._fail(f"invalid request: {error}", sent=False)
            return
        self.sent = True
        cast("Client", self.transport).writeSequence([chunk or b"" for chunk in chunks])
        if self._unwritten:
            self._is_writing = True
            cast("Client", self.transport).registerProducer(self, True)
            self._write_body()

    def skip_response(self) -> bool:
        """Ignore the response whose head was read, and read a further one.

        :returns: whether a further one can be read
        """
        is_sent = self._http.our_state is h11.DONE
        if not is_sent or self._skipped >= MAX_SKIPPED_RESPONSES:
            return False
        self._skipped += 1
        self._is_skipping = True
        return True

    def pause_reading(self) -> None:
        """Stop reading the response; neither its end nor its failure is noticed."""
        if self.open and not self._is_paused:
            self._is_paused = True
            cast("Client", self.transport).pauseProducing()

    def resume_reading(self) -> None:
        """Read the response again."""
        if self.open and self._is_paused:
            self._is_paused = False
            cast("Client", self.transport).resumeProducing()

    def pauseProducing(self) -> None:
        """Write no more of the body, as the transport is full."""
        self._is_full = True

    def resumeProducing(self) -> None:
        """Continue to write the body."""
        self._is_full = False
        self._write_body()

    def stopProducing(self) -> None:
        """Write no more of the body, as the connection is lost."""
        self._unwritten = memoryview(b"")

    def _write_body(self) -> None:
        transport = cast("Client", self.transport)
        while self._unwritten and not self._is_full:
            piece = bytes(self._unwritten[:MAX_UNSENT_BYTES])
            self._unwritten = self._unwritten[MAX_UNSENT_BYTES:]
            transport.write(self._http.send(h11.Data(data=piece)) or b"")
        if self._is_writing and not self._unwritten:
            self._is_writing = False
            transport.unregisterProducer()
            transport.write(self._http.send(h11.EndOfMessage()) or b"")

    def dataReceived(self, data: bytes) -> None:
        """Process bytes of a response; close the connection if none is expected."""
        if self._listener is None:
            self.drop()
            return
        self._http.receive_data(data)
        self._read_events()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Fail the exchange, unless a clean close completes its response.

        Only a clean close may end a response that has no length.
        """
        self.open = False
        self._pool.forget(self)
        if self._listener is None:
            return
        if reason.check(ConnectionDone):
            self._http.receive_data(b"")
            self._read_events()
        if self._listener is not None:
            self._fail(
                f"connection lost: {reason.getErrorMessage()}",
                sent=self.sent,
                by_gateway=reason.check(GatewayLost) is not None,
            )

    def drop(self) -> None:
        """Close the connection immediately, without notifying the listener."""
        self._listener = None
        self._is_writing = False
        self._unwritten = memoryview(b"")
        if self.open:
            self.open = False
            cast("Client", self.transport).abortConnection()
        self._pool.forget(self)

    def _read_events(self) -> None:
        while self._listener is not None:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                self._fail(f"invalid response: {error}", sent=self.sent)
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            self._handle_event(event)

    def _handle_event(self, event: object) -> None:
        listener = self._listener
        if listener is None:
            return
        if isinstance(event, h11.Response):
            headers = event.headers.raw_items()
            self._keep_alive = keep_alive_seconds(headers)
            self._close_after = wants_close(headers)
            listener.on_head(ResponseHead(event.status_code, event.reason, headers))
        elif isinstance(event, h11.Data) and self._is_skipping:
            self._skip_data(len(event.data))
        elif isinstance(event, h11.Data):
            listener.on_body(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage) and self._is_skipping:
            self._read_next_response()
        elif isinstance(event, h11.EndOfMessage):
            self._finish(listener)
        elif isinstance(event, h11.ConnectionClosed):
            self._fail("closed without a response", sent=self.sent)

    def _skip_data(self, size: int) -> None:
        self._skipped_bytes += size
        if self._skipped_bytes > MAX_SKIPPED_BYTES:
            self._fail("a copy of an earlier response without an end", sent=True)

    def _read_next_response(self) -> None:
        """Read what follows an ignored response as the response to the request."""
        self._is_skipping = False
        received, is_closed = self._http.trailing_data
        # The parser expects a response only after a request. Of the request, only the
        # method has a meaning for the framing of its response.
        self._http = ClientHttp(MAX_RESPONSE_HEAD_BYTES)
        headers = [(b"Host", b"")]
        request = h11.Request(method=self._method, target=b"/", headers=headers)
        self._http.send(request)
        self._http.send(h11.EndOfMessage())
        if received:
            self._http.receive_data(received)
        if is_closed:
            self._http.receive_data(b"")

    def _finish(self, listener: ExchangeListener) -> None:
        self._listener = None
        self.resume_reading()
        surplus, closed = self._http.trailing_data
        reusable = (
            self.open
            and not surplus
            and not closed
            and not self._close_after
            and not self._skipped
            and len(self.refused) < MAX_REFUSALS
            and self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
        )
        if reusable:
            self._http.start_next_cycle()
            self._pool.keep_idle(self, self._keep_alive)
        else:
            self.drop()
        listener.on_end()

    def _fail(self, message: str, *, sent: bool, by_gateway: bool = False) -> None:
        listener = self._listener
        self.drop()
        if listener is not None:
            error = BrokenExchangeError(message, sent=sent, by_gateway=by_gateway)
            listener.on_error(error)


class _NewConnection(EgressConnection):
    """A new connection that first carries the exchange that opened it."""

    def __init__(self, pool: EgressPool, address: Address, exchange: Exchange) -> None:
        super().__init__(pool, address)
        self._exchange: Exchange | None = exchange

    def connectionMade(self) -> None:
        """Start the exchange."""
        super().connectionMade()
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.start_on(self)


class EgressPool:
    """Opens connections, and keeps idle ones by address for reuse.

    :param dialer: opens the connections; by default, directly
    :ivar opened: number of connections that were opened, including failed attempts
    """

    def __init__(self, reactor: Any, dialer: Dialer | None = None) -> None:
        self._reactor = reactor
        self._dialer = dialer or DirectDialer(reactor)
        self._idle: dict[Address, list[EgressConnection]] = defaultdict(list)
        self.opened = 0

    def start(
        self, address: Address, exchange: Exchange, *, fresh: bool = False
    ) -> None:
        """Start an exchange on an idle connection or a new one.

        :param fresh: open a new connection even if one is idle
        """
        idle = None if fresh else self._take_idle(address, exchange.name)
        if idle is not None:
            exchange.start_on(idle)
            return
        self.opened += 1
        self._dialer.dial(
            address,
            lambda: _NewConnection(self, address, exchange),
            exchange.fail_connect,
        )

    def _take_idle(self, address: Address, name: str | None) -> EgressConnection | None:
        """Return an idle connection that can be used, ``None`` if there is none.

        :param name: name of the request
        """
        idle = self._idle[address]
        for connection in reversed(idle.copy()):
            if name in connection.refused:
                continue
            idle.remove(connection)
            self._stop_idle_timer(connection)
            if not connection.open:
                continue
            if not self._dialer.trusts(address, connection.gateway):
                connection.drop()
                continue
            if connection.gateway:
                self._dialer.refresh(address)
            return connection
        return None

    def drop_gateway(self, gateway: str) -> None:
        """Close all idle connections that pass through a gateway."""
        for idle in list(self._idle.values()):
            for connection in list(idle):
                if connection.gateway == gateway:
                    connection.drop()

    def keep_idle(self, connection: EgressConnection, seconds: int | None) -> None:
        """Keep an idle connection for reuse, or close it if its peer soon will.

        :param seconds: idle time that its peer allows, ``None`` if unknown
        """
        limit = MAX_IDLE_SECONDS
        if seconds is not None:
            limit = min(limit, seconds - IDLE_MARGIN_SECONDS)
        if limit <= 0:
            connection.drop()
            return
        connection.sent = False
        connection.idle_timer = self._reactor.callLater(limit, connection.drop)
        self._idle[connection.address].append(connection)

    def forget(self, connection: EgressConnection) -> None:
        """Remove a connection from the pool."""
        self._stop_idle_timer(connection)
        idle = self._idle.get(connection.address)
        if idle and connection in idle:
            idle.remove(connection)

    def close(self) -> None:
        """Close all idle connections."""
        for idle in list(self._idle.values()):
            for connection in list(idle):
                connection.drop()

    def _stop_idle_timer(self, connection: EgressConnection) -> None:
        idle_timer, connection.idle_timer = connection.idle_timer, None
        if idle_timer is not None and idle_timer.active():
            idle_timer.cancel()
