"""Connections that open while the process stalls."""

from __future__ import annotations

import socket
from contextlib import ExitStack, closing
from typing import TYPE_CHECKING

from twisted.internet.protocol import Factory, Protocol

from pondquay.addresses import Address
from pondquay_daemon.reactor import EagerWriteReactor
from pondquay_daemon.relay.dialing import CONNECT_SECONDS, DirectDialer

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.interfaces import IAddress

    from pondquay_daemon.relay.dialing import DialFailure

HOST = "127.0.0.1"
# More connections than wait to be accepted at a host that accepts none.
FILLING_CONNECTIONS = 4
MAX_TEST_SECONDS = 5.0


class StalledReactor(EagerWriteReactor):
    """A reactor whose clock can be set forward.

    :ivar skipped: seconds by which it was set forward
    """

    skipped = 0.0

    def seconds(self) -> float:
        return super().seconds() + self.skipped


class Opened(Protocol):
    """Reports that its connection is open."""

    def __init__(self, on_open: Callable[[], None]) -> None:
        self._on_open = on_open

    def connectionMade(self) -> None:
        self._on_open()


class Accepting(Factory):
    noisy = False

    def buildProtocol(self, addr: IAddress | None) -> Protocol:
        return Protocol()


def dial_during_stall(reactor: StalledReactor, address: Address) -> list[object]:
    """Open a connection, stall beyond its time, and return what became of it."""
    results: list[object] = []

    def finish(result: object) -> None:
        results.append(result)
        reactor.stop()

    def fail(failure: DialFailure) -> None:
        finish(failure.reason)

    def begin() -> None:
        DirectDialer(reactor).dial(
            address, lambda: Opened(lambda: finish("open")), fail
        )
        reactor.skipped += 2 * CONNECT_SECONDS

    reactor.callLater(0, begin)
    reactor.callLater(MAX_TEST_SECONDS, finish, "late")
    reactor.run(installSignalHandlers=False)
    return results


# Guards against an upstream that counts as unreachable since the process stalled while
# a connection to it opened.
def test_a_connection_that_has_opened_when_a_stall_ends_is_used() -> None:
    reactor = StalledReactor()
    port = reactor.listenTCP(0, Accepting(), interface=HOST)
    address = Address(HOST, port.getHost().port)
    assert dial_during_stall(reactor, address) == ["open"]


# Guards against a request that waits for a connection that does not open.
def test_a_connection_that_has_not_opened_when_a_stall_ends_fails() -> None:
    with ExitStack() as sockets:
        host = sockets.enter_context(closing(socket.socket()))
        host.bind((HOST, 0))
        host.listen(0)
        for _ in range(FILLING_CONNECTIONS):
            filler = sockets.enter_context(closing(socket.socket()))
            filler.setblocking(False)
            filler.connect_ex(host.getsockname())
        address = Address(*host.getsockname())
        (reason,) = dial_during_stall(StalledReactor(), address)
    assert "timeout" in str(reason)
