"""The gateway's end of tunnels: connects to upstreams for peers that cannot."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, cast

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory, Protocol, connectionDone

from pondquay_daemon.logs import log_event
from pondquay_daemon.relay.dialing import DirectDialer
from pondquay_daemon.relay.tunnelmessages import (
    OpenTunnel,
    TunnelData,
    TunnelEnd,
    TunnelOutcome,
    TunnelResult,
)
from pondquay_daemon.relay.tunnelprotocol import TunnelProtocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.interfaces import IAddress
    from twisted.internet.tcp import Connection
    from twisted.python.failure import Failure

    from pondquay.routing.directory import UpstreamDirectory
    from pondquay.routing.knownupstreams import KnownUpstream
    from pondquay_daemon.relay.dialing import DialFailure
    from pondquay_daemon.relay.metrics import RelayMetrics
    from pondquay_daemon.relay.overloadmonitor import OverloadMonitor
    from pondquay_daemon.relay.pathmonitor import PathMonitor
    from pondquay_daemon.relay.tunnelmessages import TunnelMessage

# Tunnels that an instance carries for peers. Each may buffer 64 KB in each direction.
MAX_TUNNELS = 256
# Shorter than the time that the peer waits, so that it can ask another gateway.
CONNECT_SECONDS = 0.3


class TunnelServer(Factory):
    """Accepts tunnels of peers.

    A tunnel never leads to another gateway.

    :ivar stopping: whether no further tunnel is accepted
    """

    noisy = False

    def __init__(
        self,
        reactor: Any,
        directory: UpstreamDirectory,
        monitor: PathMonitor,
        overload: OverloadMonitor,
        metrics: RelayMetrics,
    ) -> None:
        self._clock = reactor
        self._dialer = DirectDialer(reactor, CONNECT_SECONDS)
        self._directory = directory
        self._monitor = monitor
        self._overload = overload
        self._metrics = metrics
        self._ends: set[PeerEnd] = set()
        monitor.watch(self._dialer)
        self.stopping = False

    def __len__(self) -> int:
        return len(self._ends)

    def buildProtocol(self, addr: IAddress | None) -> PeerEnd:
        """Return the end of a new tunnel."""
        return PeerEnd(self)

    def add(self, end: PeerEnd) -> None:
        """Register a tunnel."""
        self._ends.add(end)

    def discard(self, end: PeerEnd) -> None:
        """Remove a tunnel that has ended."""
        self._ends.discard(end)

    def open(self, end: PeerEnd, request: OpenTunnel) -> None:
        """Connect a tunnel to the upstream that the peer names."""
        upstream = self._directory.find(request.upstream)
        outcome = self._check(request, upstream)
        if outcome is not None or upstream is None:
            self._finish(end, request, outcome or TunnelOutcome.UNKNOWN)
            return

        def finish(outcome: TunnelOutcome) -> None:
            self._finish(end, request, outcome)

        def fail(failure: DialFailure) -> None:
            refused = failure.refused
            finish(TunnelOutcome.REFUSED if refused else TunnelOutcome.UNREACHABLE)

        self._dialer.dial(
            upstream.record.address,
            lambda: UpstreamEnd(end, lambda: finish(TunnelOutcome.OPENED)),
            fail,
        )

    def _check(
        self, request: OpenTunnel, upstream: KnownUpstream | None
    ) -> TunnelOutcome | None:
        """Return why a tunnel is not opened, ``None`` if it is."""
        if self.stopping or self._overload.overloaded or len(self) > MAX_TUNNELS:
            return TunnelOutcome.BUSY
        if upstream is None or str(upstream.record.address) != request.address:
            return TunnelOutcome.UNKNOWN
        if upstream.has_departed(self._clock.seconds()):
            return TunnelOutcome.UNKNOWN
        if self._monitor.avoids(upstream.record):
            if self._monitor.take_retry(upstream.record):
                self._dialer.check(upstream.record.address)
            return TunnelOutcome.CUT_OFF
        return None

    def _finish(
        self, end: PeerEnd, request: OpenTunnel, outcome: TunnelOutcome
    ) -> None:
        self._metrics.tunnels_served.labels(outcome.value).inc()
        log_event(
            "tunnel-served",
            peer=request.instance,
            upstream=request.upstream,
            outcome=outcome.value,
            open=len(self),
        )
        end.report(outcome)


class PeerEnd(TunnelProtocol):
    """The connection to the peer."""

    def __init__(self, server: TunnelServer) -> None:
        super().__init__("")
        self._server = server
        self._requested = False
        self._is_lost = False
        self.upstream: UpstreamEnd | None = None

    def connectionMade(self) -> None:
        """Register the tunnel."""
        super().connectionMade()
        self._server.add(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Reset the connection to the upstream, which then stops its work."""
        self._is_lost = True
        self._server.discard(self)
        upstream, self.upstream = self.upstream, None
        if upstream is not None:
            upstream.connection.unregisterProducer()
            upstream.connection.abortConnection()

    def report(self, outcome: TunnelOutcome) -> None:
        """Tell the peer whether the tunnel is open; close it if not."""
        if self._is_lost:
            return
        self.send(TunnelResult(outcome.value))
        if outcome is not TunnelOutcome.OPENED:
            self.connection.loseConnection()

    def join(self, upstream: UpstreamEnd) -> bool:
        """Forward between the peer and an upstream.

        :returns: whether the peer still waits for it
        """
        if self._is_lost:
            return False
        self.upstream = upstream
        # Each side is read only as fast as the other reads.
        self.connection.registerProducer(upstream.connection, True)
        upstream.connection.registerProducer(self.connection, True)
        return True

    def forward(self, data: bytes) -> None:
        """Send bytes of the upstream to the peer."""
        self.send(TunnelData(data))

    def end(self, *, orderly: bool) -> None:
        """End the tunnel, since the connection to the upstream has ended."""
        if self._is_lost:
            return
        self.upstream = None
        self.connection.unregisterProducer()
        if not orderly:
            self.connection.abortConnection()
            return
        self.send(TunnelEnd())
        self.connection.loseConnection()

    def receive(self, message: TunnelMessage) -> None:
        """Process a message of the peer."""
        if isinstance(message, OpenTunnel) and not self._requested:
            self._requested = True
            self.peer = message.instance
            self._server.open(self, message)
        elif isinstance(message, TunnelData) and self.upstream is not None:
            self.upstream.connection.write(message.data)
        else:
            self.connection.abortConnection()


class UpstreamEnd(Protocol):
    """The connection to the upstream.

    :param on_joined: called once bytes are forwarded
    """

    def __init__(self, peer: PeerEnd, on_joined: Callable[[], None]) -> None:
        self._peer = peer
        self._on_joined = on_joined

    @property
    def connection(self) -> Connection:
        """The transport."""
        return cast("Connection", self.transport)

    def connectionMade(self) -> None:
        """Begin to forward, unless the peer has left."""
        self.connection.setTcpNoDelay(True)
        if self._peer.join(self):
            self._on_joined()
        else:
            self.connection.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        """Forward bytes to the peer."""
        self._peer.forward(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """End the tunnel."""
        if self._peer.upstream is self:
            self._peer.end(orderly=reason.check(ConnectionDone) is not None)
