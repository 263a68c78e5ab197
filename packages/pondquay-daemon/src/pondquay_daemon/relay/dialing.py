"""Opening of connections."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, cast

from twisted.internet.base import BaseConnector
from twisted.internet.error import ConnectionRefusedError, TimeoutError
from twisted.internet.protocol import ClientFactory, Protocol

from pondquay_daemon.readtimers import ReadTimer

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.interfaces import IAddress, IConnector, IReactorTime
    from twisted.internet.tcp import Connection
    from twisted.python.failure import Failure

    from pondquay.addresses import Address

CONNECT_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class DialFailure:
    """A connection that could not be opened.

    :param refused: whether the host refused it, so that nothing listens there
    """

    reason: str
    refused: bool = False


class Dialer(ABC):
    """Opens connections."""

    @abstractmethod
    def dial(
        self,
        address: Address,
        build: Callable[[], Protocol],
        on_failed: Callable[[DialFailure], None],
    ) -> None:
        """Open a connection; either ``build`` or ``on_failed`` is called once.

        :param build: returns the protocol of the connection, once it has opened
        """

    @abstractmethod
    def trusts(self, address: Address, gateway: str) -> bool:
        """Return whether an idle connection should be used.

        :param gateway: name of the peer through which it passes, empty if it is direct
        """

    @abstractmethod
    def refresh(self, address: Address) -> None:
        """Check whether a direct connection opens again, as a gateway is in use."""


class UnusedConnection(Protocol):
    """A connection that is not needed any more once it has opened."""

    def connectionMade(self) -> None:
        """Close it."""
        cast("Connection", self.transport).abortConnection()


class DirectDialer(Dialer):
    """Opens connections from this instance.

    :param timeout: seconds after which an attempt has failed
    :ivar on_opened: called with the address of each new connection and the seconds that
        it took to open
    :ivar on_failed: called with the address of each connection that failed and whether
        the host refused it
    """

    def __init__(self, reactor: Any, timeout: float = CONNECT_SECONDS) -> None:
        self._reactor = reactor
        self._timeout = timeout
        self.on_opened: Callable[[Address, float], None] | None = None
        self.on_failed: Callable[[Address, bool], None] | None = None

    def dial(
        self,
        address: Address,
        build: Callable[[], Protocol],
        on_failed: Callable[[DialFailure], None],
    ) -> None:
        """Open a connection."""
        began_at = self._reactor.seconds()

        def build_opened() -> Protocol:
            if self.on_opened is not None:
                self.on_opened(address, self._reactor.seconds() - began_at)
            return build()

        def fail(failure: DialFailure) -> None:
            if self.on_failed is not None:
                self.on_failed(address, failure.refused)
            on_failed(failure)

        self._reactor.connectTCP(
            address.host,
            address.port,
            _DialFactory(self._reactor, build_opened, fail),
            timeout=self._timeout,
        )

    def check(self, address: Address) -> None:
        """Open a connection only to learn whether it opens."""
        self.dial(address, UnusedConnection, lambda failure: None)

    def trusts(self, address: Address, gateway: str) -> bool:
        """Return whether an idle connection should be used, which is always so."""
        return True

    def refresh(self, address: Address) -> None:
        """Do nothing, since no connection passes through a gateway."""


class _DialFactory(ClientFactory):
    """Opens one connection."""

    noisy = False

    def __init__(
        self,
        clock: IReactorTime,
        build: Callable[[], Protocol],
        on_failed: Callable[[DialFailure], None],
    ) -> None:
        self._clock = clock
        self._build = build
        self._on_failed = on_failed

    def startedConnecting(self, connector: IConnector) -> None:  # noqa: N802
        """Let the connection fail only if it has not opened when sockets are read."""
        if not isinstance(connector, BaseConnector):
            return
        dialed = cast("Any", connector)

        def fail() -> None:
            dialed.transport.failIfNotConnected(TimeoutError())

        dialed.cancelTimeout()
        dialed.timeoutID = ReadTimer(self._clock, dialed.timeout, fail)

    def buildProtocol(self, addr: IAddress | None) -> Protocol:
        """Return the protocol of the connection."""
        return self._build()

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        """Report the failure."""
        refused = reason.check(ConnectionRefusedError) is not None
        self._on_failed(DialFailure(reason.getErrorMessage(), refused))
