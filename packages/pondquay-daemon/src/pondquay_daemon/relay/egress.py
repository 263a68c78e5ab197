"""Connections to upstreams and to the store: one request at a time, byte by byte."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import defaultdict
from typing import TYPE_CHECKING, Any, cast

import h11
from twisted.internet.error import ConnectionDone, ConnectionRefusedError
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone

from pondquay_daemon.relay.errors import BrokenExchangeError
from pondquay_daemon.relay.heads import keep_alive_seconds, wants_close
from pondquay_daemon.relay.messages import ResponseHead

if TYPE_CHECKING:
    from twisted.internet.interfaces import IAddress, IDelayedCall
    from twisted.internet.tcp import Client
    from twisted.python.failure import Failure

    from pondquay.addresses import Address
    from pondquay_daemon.relay.messages import HeaderList

MAX_RESPONSE_HEAD_BYTES = 65536
CONNECT_SECONDS = 0.5
# A connection rests no longer than this, even where its peer would keep it.
MAX_REST_SECONDS = 4.0
# Taken off what the peer says, so that its close does not cross a request.
REST_MARGIN_SECONDS = 0.6


class ExchangeListener(ABC):
    """What is told of an exchange. After ``on_end`` or ``on_error`` nothing more comes."""

    @abstractmethod
    def on_head(self, head: ResponseHead) -> None:
        """Take the head of the answer."""

    @abstractmethod
    def on_body(self, data: bytes) -> None:
        """Take a piece of the answer's body."""

    @abstractmethod
    def on_end(self) -> None:
        """Learn that the answer is whole."""

    @abstractmethod
    def on_error(self, error: BrokenExchangeError) -> None:
        """Learn that no whole answer will come."""


class EgressConnection(Protocol):
    """A connection that carries one exchange after another."""

    def __init__(self, pool: EgressPool, address: Address) -> None:
        self._pool = pool
        self.address = address
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_RESPONSE_HEAD_BYTES
        )
        self._listener: ExchangeListener | None = None
        self._rest: int | None = None
        self._close_after = False
        self.open = False
        self.sent = False
        self.expiry: IDelayedCall | None = None

    def connectionMade(self) -> None:
        """Begin to carry exchanges."""
        self.open = True
        transport = cast("Client", self.transport)
        transport.setTcpNoDelay(True)

    def begin(
        self,
        listener: ExchangeListener,
        method: bytes,
        target: bytes,
        headers: HeaderList,
        body: bytes,
    ) -> None:
        """Send a request; its framing is written here."""
        self._listener = listener
        framing = [(b"Content-Length", b"%d" % len(body))]
        if not body and method in (b"GET", b"HEAD", b"DELETE"):
            framing = []
        try:
            request = h11.Request(
                method=method, target=target, headers=headers + framing
            )
            parts = [self._http.send(request)]
            if body:
                parts.append(self._http.send(h11.Data(data=body)))
            parts.append(self._http.send(h11.EndOfMessage()))
        except h11.LocalProtocolError as error:
            self._fail(f"cannot be written: {error}", sent=False)
            return
        self.sent = True
        cast("Client", self.transport).writeSequence([one or b"" for one in parts])

    def dataReceived(self, data: bytes) -> None:
        """Take bytes of an answer."""
        if self._listener is None:
            self.drop()
            return
        self._http.receive_data(data)
        self._read_events()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Learn that the connection is gone.

        Only a clean end may be the end of an answer that has no length.
        """
        self.open = False
        self._pool.forget(self)
        if self._listener is None:
            return
        if reason.check(ConnectionDone):
            self._http.receive_data(b"")
            self._read_events()
        if self._listener is not None:
            self._fail(f"connection lost: {reason.getErrorMessage()}", sent=self.sent)

    def drop(self) -> None:
        """Close the connection at once; whatever runs on it is told nothing more."""
        self._listener = None
        if self.open:
            self.open = False
            cast("Client", self.transport).abortConnection()
        self._pool.forget(self)

    def _read_events(self) -> None:
        while self._listener is not None:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                self._fail(f"no answer in the protocol: {error}", sent=self.sent)
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            self._take(event)

    def _take(self, event: object) -> None:
        listener = self._listener
        if listener is None:
            return
        if isinstance(event, h11.Response):
            headers = event.headers.raw_items()
            self._rest = keep_alive_seconds(headers)
            self._close_after = wants_close(headers)
            listener.on_head(ResponseHead(event.status_code, event.reason, headers))
        elif isinstance(event, h11.Data):
            listener.on_body(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._finish(listener)
        elif isinstance(event, h11.ConnectionClosed):
            self._fail("closed without an answer", sent=self.sent)

    def _finish(self, listener: ExchangeListener) -> None:
        self._listener = None
        surplus, closed = self._http.trailing_data
        reusable = (
            self.open
            and not surplus
            and not closed
            and not self._close_after
            and self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
        )
        if reusable:
            self._http.start_next_cycle()
            self._pool.rest(self, self._rest)
        else:
            self.drop()
        listener.on_end()

    def _fail(self, message: str, *, sent: bool) -> None:
        listener = self._listener
        self.drop()
        if listener is not None:
            listener.on_error(BrokenExchangeError(message, sent=sent))


class _Connecting(ClientFactory):
    """One attempt to connect."""

    noisy = False

    def __init__(self, pool: EgressPool, address: Address, exchange: Exchange) -> None:
        self._pool = pool
        self._address = address
        self._exchange = exchange

    def buildProtocol(self, addr: IAddress | None) -> EgressConnection:
        """Hand the new connection to the exchange that waits for it."""
        return _FreshConnection(self._pool, self._address, self._exchange)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        """Tell the exchange that nothing was sent."""
        refused = reason.check(ConnectionRefusedError) is not None
        self._exchange.fail_connect(reason.getErrorMessage(), refused=refused)


class _FreshConnection(EgressConnection):
    """A connection whose first exchange already waits."""

    def __init__(self, pool: EgressPool, address: Address, exchange: Exchange) -> None:
        super().__init__(pool, address)
        self._exchange: Exchange | None = exchange

    def connectionMade(self) -> None:
        """Send what waits."""
        super().connectionMade()
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.start_on(self)


class Exchange:
    """One request and its answer, over a kept connection or a new one."""

    def __init__(
        self,
        listener: ExchangeListener,
        method: bytes,
        target: bytes,
        headers: HeaderList,
        body: bytes = b"",
    ) -> None:
        self._listener = listener
        self._request = (method, target, headers, body)
        self._connection: EgressConnection | None = None
        self._cancelled = False

    @property
    def sent(self) -> bool:
        """Whether any byte was handed to the network."""
        return self._connection is not None

    def start_on(self, connection: EgressConnection) -> None:
        """Send the request."""
        if self._cancelled:
            connection.drop()
            return
        self._connection = connection
        connection.begin(self._listener, *self._request)

    def fail_connect(self, message: str, *, refused: bool) -> None:
        """Learn that no connection could be made."""
        if not self._cancelled:
            error = BrokenExchangeError(message, sent=False, refused=refused)
            self._listener.on_error(error)

    def cancel(self) -> None:
        """Close the exchange's connection; its listener is told nothing more."""
        self._cancelled = True
        if self._connection is not None:
            self._connection.drop()


class EgressPool:
    """Kept connections by address."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._resting: dict[Address, list[EgressConnection]] = defaultdict(list)
        self.opened = 0

    def start(
        self, address: Address, exchange: Exchange, *, fresh: bool = False
    ) -> None:
        """Carry an exchange.

        :param fresh: take a new connection even if one is kept
        """
        resting = self._resting[address]
        while resting and not fresh:
            connection = resting.pop()
            self._stop_expiry(connection)
            if connection.open:
                exchange.start_on(connection)
                return
        self.opened += 1
        self._reactor.connectTCP(
            address.host,
            address.port,
            _Connecting(self, address, exchange),
            timeout=CONNECT_SECONDS,
        )

    def rest(self, connection: EgressConnection, seconds: int | None) -> None:
        """Keep a connection for a while."""
        limit = MAX_REST_SECONDS
        if seconds is not None:
            limit = min(limit, seconds - REST_MARGIN_SECONDS)
        if limit <= 0:
            connection.drop()
            return
        connection.sent = False
        connection.expiry = self._reactor.callLater(limit, connection.drop)
        self._resting[connection.address].append(connection)

    def forget(self, connection: EgressConnection) -> None:
        """Keep a connection no longer."""
        self._stop_expiry(connection)
        resting = self._resting.get(connection.address)
        if resting and connection in resting:
            resting.remove(connection)

    def close(self) -> None:
        """Close all that rest."""
        for resting in list(self._resting.values()):
            for connection in list(resting):
                connection.drop()

    def _stop_expiry(self, connection: EgressConnection) -> None:
        expiry, connection.expiry = connection.expiry, None
        if expiry is not None and expiry.active():
            expiry.cancel()
