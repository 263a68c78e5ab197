"""The instance's end of a tunnel to an upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, cast

from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure

from pondquay_daemon.relay.dialing import CONNECT_SECONDS
from pondquay_daemon.relay.tunnelmessages import (
    CODEC,
    OpenTunnel,
    TunnelData,
    TunnelEnd,
    TunnelOutcome,
    TunnelResult,
    read_outcome,
)
from pondquay_daemon.relay.tunnelprotocol import TunnelProtocol

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from twisted.internet.interfaces import IAddress
    from twisted.internet.tcp import Connection

    from pondquay.routing.gateways import Gateway
    from pondquay_daemon.relay.tunnelmessages import TunnelMessage


class GatewayLost(ConnectionLost):
    """The tunnel broke, which says nothing about the upstream."""


class TunnelTransport:
    """The transport of a protocol whose connection passes through a tunnel.

    :param gateway: name of the gateway
    """

    def __init__(self, connection: Connection, gateway: str) -> None:
        self._connection = connection
        self.gateway = gateway

    def write(self, data: bytes) -> None:
        """Send bytes to the upstream."""
        if data:
            self._connection.write(CODEC.encode(TunnelData(data)))

    def writeSequence(self, chunks: Iterable[bytes]) -> None:
        """Send several pieces at once."""
        self.write(b"".join(chunks))

    def abortConnection(self) -> None:
        """Reset the tunnel, and with it the connection to the upstream."""
        self._connection.abortConnection()

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Do nothing, since tunnels never delay data."""

    def pauseProducing(self) -> None:
        """Stop reading."""
        self._connection.pauseProducing()

    def resumeProducing(self) -> None:
        """Read again."""
        self._connection.resumeProducing()

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        """Pause a producer while the tunnel is full."""
        self._connection.registerProducer(producer, streaming)

    def unregisterProducer(self) -> None:
        """Stop pausing the producer."""
        self._connection.unregisterProducer()


class Tunnel(TunnelProtocol):
    """A tunnel to an upstream.

    :param build: returns the protocol of the connection to the upstream
    :param on_failed: called if the tunnel does not open
    :param on_closed: called once an open tunnel has ended
    """

    def __init__(
        self,
        request: OpenTunnel,
        gateway: Gateway,
        build: Callable[[], Protocol],
        on_failed: Callable[[TunnelOutcome], None],
        on_closed: Callable[[], None],
    ) -> None:
        super().__init__(gateway.name)
        self._request = request
        self._build = build
        self._on_failed = on_failed
        self._on_closed = on_closed
        self._inner: Protocol | None = None
        self._is_settled = False

    def connectionMade(self) -> None:
        """Request the connection to the upstream."""
        super().connectionMade()
        self.send(self._request)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """End the connection to the upstream as broken, unless it has ended."""
        if not self._is_settled:
            self._fail(TunnelOutcome.BUSY)
        inner = self._inner
        if inner is not None:
            self._end(inner, Failure(GatewayLost("gateway lost")))

    def receive(self, message: TunnelMessage) -> None:
        """Process a message of the gateway."""
        inner = self._inner
        if isinstance(message, TunnelResult):
            self._receive_result(read_outcome(message.outcome))
        elif isinstance(message, TunnelData) and inner is not None:
            inner.dataReceived(message.data)
        elif isinstance(message, TunnelEnd) and inner is not None:
            self._end(inner, Failure(ConnectionDone()))
            self.connection.loseConnection()

    def _receive_result(self, outcome: TunnelOutcome) -> None:
        if self._is_settled:
            return
        if outcome is not TunnelOutcome.OPENED:
            self._fail(outcome)
            self.connection.abortConnection()
            return
        self._is_settled = True
        self._inner = self._build()
        transport = TunnelTransport(self.connection, self.peer)
        self._inner.makeConnection(cast("Any", transport))

    def _fail(self, outcome: TunnelOutcome) -> None:
        self._is_settled = True
        self._on_failed(outcome)

    def _end(self, inner: Protocol, reason: Failure) -> None:
        self._inner = None
        self._on_closed()
        inner.connectionLost(reason)


class _TunnelFactory(ClientFactory):
    """Opens one tunnel."""

    noisy = False

    def __init__(
        self, tunnel: Tunnel, on_failed: Callable[[TunnelOutcome], None]
    ) -> None:
        self._tunnel = tunnel
        self._on_failed = on_failed

    def buildProtocol(self, addr: IAddress | None) -> Tunnel:
        """Return the tunnel."""
        return self._tunnel

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        """Report that the gateway cannot be reached."""
        self._on_failed(TunnelOutcome.BUSY)


def open_tunnel(
    reactor: Any,
    gateway: Gateway,
    request: OpenTunnel,
    build: Callable[[], Protocol],
    on_failed: Callable[[TunnelOutcome], None],
    on_closed: Callable[[], None],
) -> None:
    """Open a tunnel; either ``build`` or ``on_failed`` is called once.

    :param build: returns the protocol of the connection to the upstream, once open
    :param on_closed: called once a tunnel that had opened has ended
    """
    tunnel = Tunnel(request, gateway, build, on_failed, on_closed)
    reactor.connectTCP(
        gateway.address.host,
        gateway.address.port,
        _TunnelFactory(tunnel, on_failed),
        timeout=CONNECT_SECONDS,
    )
