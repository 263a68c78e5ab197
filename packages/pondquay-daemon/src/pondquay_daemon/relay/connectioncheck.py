"""Whether a process still listens at an address."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, Any, cast

from twisted.internet.error import ConnectionRefusedError
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.interfaces import IAddress, IDelayedCall, IReactorTime
    from twisted.internet.tcp import Client
    from twisted.python.failure import Failure

    from pondquay.addresses import Address

CONNECT_SECONDS = 0.5
# A connection that stays for this long, in seconds, shows that a process listens. One
# that is closed sooner shows nothing: its host may take it before the process ends, a
# gateway may take it for one that is gone, and a busy upstream resets what is too many.
MIN_OPEN_SECONDS = 0.1


class Listening(StrEnum):
    """What a check has shown."""

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"


class _Connection(Protocol):
    """A connection on which nothing is sent.

    :param on_shown: called with what it shows
    """

    def __init__(
        self, clock: IReactorTime, on_shown: Callable[[Listening], None]
    ) -> None:
        self._clock = clock
        self._on_shown = on_shown
        self._timer: IDelayedCall | None = None

    def connectionMade(self) -> None:
        """Wait whether it stays."""
        self._timer = self._clock.callLater(MIN_OPEN_SECONDS, self._end)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Take in that the other side does not want it, or was about to end."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
            self._on_shown(Listening.UNKNOWN)

    def _end(self) -> None:
        cast("Client", self.transport).abortConnection()
        self._on_shown(Listening.YES)


class ConnectionCheck(ClientFactory):
    """Opens one connection and closes it.

    :param on_shown: called once with what came of it
    """

    noisy = False

    def __init__(
        self, clock: IReactorTime, on_shown: Callable[[Listening], None]
    ) -> None:
        self._clock = clock
        self._on_shown = on_shown

    @classmethod
    def start(
        cls, reactor: Any, address: Address, on_shown: Callable[[Listening], None]
    ) -> None:
        """Check an address."""
        check = cls(reactor, on_shown)
        reactor.connectTCP(address.host, address.port, check, timeout=CONNECT_SECONDS)

    def buildProtocol(self, addr: IAddress | None) -> Protocol:
        """Return the protocol of the connection."""
        return _Connection(self._clock, self._on_shown)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        """Tell a refusal, which only a host without the process gives, from silence."""
        refused = reason.check(ConnectionRefusedError)
        self._on_shown(Listening.NO if refused else Listening.UNKNOWN)
