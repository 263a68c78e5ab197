"""Responses that end with their connection, on real sockets."""

from __future__ import annotations

from contextlib import suppress
from dataclasses import dataclass, field
from select import EPOLLERR
from typing import TYPE_CHECKING, Any
from unittest.mock import Mock

import pytest
from twisted.internet.protocol import Factory, Protocol

from pondquay.addresses import Address
from pondquay.routing.gateways import Gateway
from pondquay_daemon.reactor import EagerWriteReactor
from pondquay_daemon.relay.dialing import Dialer, DirectDialer
from pondquay_daemon.relay.egress import EgressPool
from pondquay_daemon.relay.exchanges import Exchange, ExchangeListener
from pondquay_daemon.relay.tunnelmessages import OpenTunnel
from pondquay_daemon.relay.tunnels import open_tunnel
from pondquay_daemon.relay.tunnelserver import TunnelServer

from ..disconnections import DisconnectingPoller

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.interfaces import IAddress

    from pondquay_daemon.relay.dialing import DialFailure
    from pondquay_daemon.relay.errors import BrokenExchangeError
    from pondquay_daemon.relay.messages import ResponseHead

HOST = "127.0.0.1"
MAX_TEST_SECONDS = 20.0
HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
PART, REST = b"the first part, ", b"the rest"


class Upstream(Protocol):
    """Sends a part of its response, and the end when the test says so."""

    def dataReceived(self, data: bytes) -> None:
        self.transport.write(HEAD + PART)


@dataclass
class Upstreams(Factory):
    """Accepts connections and keeps the last one."""

    noisy = False
    last: Any = None

    def buildProtocol(self, addr: IAddress | None) -> Upstream:
        self.last = Upstream()
        return self.last


@dataclass
class Listener(ExchangeListener):
    """Records a response, and calls back."""

    on_part: Callable[[], None]
    on_finished: Callable[[], None]
    body: bytes = b""
    is_complete: bool | None = None

    def on_head(self, head: ResponseHead) -> None:
        return

    def on_body(self, data: bytes) -> None:
        self.body += data
        if self.body == PART:
            self.on_part()

    def on_end(self) -> None:
        self.is_complete = True
        self.on_finished()

    def on_error(self, error: BrokenExchangeError) -> None:
        self.is_complete = False
        self.on_finished()


class TunnelDialer(Dialer):
    """Opens all connections through one gateway."""

    def __init__(self, reactor: Any, gateway: Gateway) -> None:
        self._reactor = reactor
        self._gateway = gateway

    def dial(
        self,
        address: Address,
        build: Callable[[], Protocol],
        on_failed: Callable[[DialFailure], None],
    ) -> None:
        request = OpenTunnel("asking", "upstream", str(address))
        open_tunnel(self._reactor, self._gateway, request, build, Mock(), Mock())

    def trusts(self, address: Address, gateway: str) -> bool:
        return True

    def refresh(self, address: Address) -> None:
        return


@dataclass
class Network:
    """A pool of connections to an upstream, directly or through a gateway.

    :ivar poller: reports what the upstream's connection receives as a disconnection
    """

    through_gateway: bool
    reactor: Any = field(default_factory=EagerWriteReactor)
    upstreams: Upstreams = field(default_factory=Upstreams)

    def __post_init__(self) -> None:
        self.poller = DisconnectingPoller.install(self.reactor, EPOLLERR)
        self.address = self._listen(self.upstreams)
        dialer: Dialer = DirectDialer(self.reactor)
        if self.through_gateway:
            gateway = Gateway("gateway", "hall", self._open_gateway())
            dialer = TunnelDialer(self.reactor, gateway)
        self.pool = EgressPool(self.reactor, dialer)

    def _listen(self, factory: Factory) -> Address:
        port = self.reactor.listenTCP(0, factory, interface=HOST)
        return Address(HOST, port.getHost().port)

    def _open_gateway(self) -> Address:
        upstream = Mock()
        upstream.record.address = self.address
        upstream.has_departed.return_value = False
        directory, monitor, overload = Mock(), Mock(), Mock()
        directory.find.return_value = upstream
        monitor.avoids.return_value = False
        overload.overloaded = False
        return self._listen(
            TunnelServer(self.reactor, directory, monitor, overload, Mock())
        )

    def hide_readability(self) -> None:
        """Report the sockets that are connected to the upstream as disconnected."""
        peer = self.upstreams.last.transport.getPeer()
        for selectable in self.reactor.getReaders():
            with suppress(AttributeError, OSError):
                if selectable.getHost() == peer:
                    self.poller.hide(selectable)

    def receive(self, end: Callable[[Any], None]) -> Listener:
        """Return what is received of a response that ends after its first part.

        :param end: ends the upstream's connection
        """

        def on_part() -> None:
            self.hide_readability()
            end(self.upstreams.last.transport)

        listener = Listener(on_part, self.reactor.stop)
        headers = [(b"Host", b"h")]
        self.pool.start(self.address, Exchange(listener, b"GET", b"/", headers))
        self.reactor.callLater(MAX_TEST_SECONDS, self.reactor.stop)
        self.reactor.run(installSignalHandlers=False)
        return listener


def close_after_the_rest(transport: Any) -> None:
    transport.write(REST)
    transport.loseConnection()


# Guards against a reset response without a length, or stream, that looks complete.
@pytest.mark.parametrize("through_gateway", [False, True])
def test_a_reset_response_without_a_length_is_incomplete(through_gateway: bool) -> None:
    network = Network(through_gateway)
    listener = network.receive(lambda transport: transport.abortConnection())
    assert network.poller.hidden
    assert (listener.body, listener.is_complete) == (PART, False)


@pytest.mark.parametrize("through_gateway", [False, True])
def test_a_closed_response_without_a_length_is_complete(through_gateway: bool) -> None:
    network = Network(through_gateway)
    listener = network.receive(close_after_the_rest)
    assert network.poller.hidden
    assert (listener.body, listener.is_complete) == (PART + REST, True)
