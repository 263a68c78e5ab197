"""Calls on real sockets to servers that send bytes until the caller closes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory, Protocol, connectionDone

from pondquay_daemon.reactor import EagerWriteReactor

from .singleresponses import write_bodies

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from twisted.internet.interfaces import IAddress
    from twisted.python.failure import Failure

HOST = "127.0.0.1"
MAX_TEST_SECONDS = 10.0
# The server sends no more than this, which is more than any call may take and all
# sockets hold. A caller without a bound takes all of it.
MAX_SENT_BYTES = 160 << 20
PART_BYTES = 1 << 16


@dataclass(slots=True)
class EndlessCall:
    """What became of a call to such a server.

    :ivar is_late: whether the call had no result, or left a connection open, when the
        time of the test was up
    :ivar result: the call's result or failure
    :ivar seconds: time until the result
    :ivar connections: number of connections to the server
    :ivar closed: number of them that the caller closed
    :ivar sent: bytes that the server could send
    """

    is_late: bool = False
    result: Any = None
    seconds: float = MAX_TEST_SECONDS
    connections: int = 0
    closed: int = 0
    sent: int = 0

    @property
    def is_bounded(self) -> bool:
        """Whether the caller closed its connections before it took all bytes."""
        return not self.is_late and 0 < self.sent < MAX_SENT_BYTES


class EndlessServer(Protocol):
    """Sends a head and then the same part again and again.

    :param pause: seconds between two parts, 0 to send as fast as the caller reads
    """

    def __init__(
        self, reactor: Any, state: EndlessCall, head: bytes, part: bytes, pause: float
    ) -> None:
        self._reactor = reactor
        self._state = state
        self._head = head
        self._part = part
        self._pause = pause
        self._is_responding = False
        self.on_closed: Callable[[], None] = lambda: None

    def dataReceived(self, data: bytes) -> None:
        if self._is_responding:
            return
        self._is_responding = True
        self.transport.write(self._head)
        if self._pause:
            self._drip()
        else:
            self.transport.registerProducer(self, False)

    def _drip(self) -> None:
        if self.connected:
            self._send_part()
            self._reactor.callLater(self._pause, self._drip)

    def resumeProducing(self) -> None:  # noqa: N802
        if self._state.sent < MAX_SENT_BYTES:
            self._send_part()
        else:
            self.transport.unregisterProducer()

    def stopProducing(self) -> None:  # noqa: N802
        return

    def _send_part(self) -> None:
        self._state.sent += len(self._part)
        self.transport.write(self._part)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._state.closed += 1
        self.on_closed()


def run_endless_call(
    head: bytes,
    part: bytes,
    call: Callable[[Any, str], Coroutine[Any, Any, Any]],
    pause: float = 0.0,
) -> EndlessCall:
    """Return what became of a call once it has a result and its server is closed.

    :param call: makes the call with a reactor to the server at a URL
    """
    reactor: Any = EagerWriteReactor()
    state = EndlessCall()
    results: list[Any] = []
    whole = part if pause else part * (PART_BYTES // len(part) + 1)

    def stop_if_done() -> None:
        if results and state.closed == state.connections and reactor.running:
            reactor.stop()

    def give_up() -> None:
        state.is_late = True
        reactor.stop()

    class Accepting(Factory):
        noisy = False

        def buildProtocol(self, addr: IAddress | None) -> EndlessServer:
            state.connections += 1
            server = EndlessServer(reactor, state, head, whole, pause)
            server.on_closed = stop_if_done
            return server

    port = reactor.listenTCP(0, Accepting(), interface=HOST)
    url = f"http://{HOST}:{port.getHost().port}"

    def note(result: Any) -> None:
        # The end of the reactor ends connections as well.
        if state.is_late:
            return
        results.append(result)
        state.result = result
        state.seconds = reactor.seconds() - started
        stop_if_done()

    started = reactor.seconds()
    reactor.callWhenRunning(
        lambda: Deferred.fromCoroutine(call(reactor, url)).addBoth(note)
    )
    reactor.callLater(MAX_TEST_SECONDS, give_up)
    with write_bodies(reactor):
        reactor.run(installSignalHandlers=False)
    return state
