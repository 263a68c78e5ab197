"""Calls on real sockets to servers that send one response and end the connection."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory, Protocol

from pondquay_daemon.reactor import EagerWriteReactor

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from twisted.internet.interfaces import IAddress

HOST = "127.0.0.1"
MAX_TEST_SECONDS = 20.0


class Server(Protocol):
    """Sends its response to the first request, then ends the connection."""

    def __init__(self, response: bytes, end: Callable[[Any], None]) -> None:
        self._response = response
        self._end = end

    def dataReceived(self, data: bytes) -> None:
        # The transport would discard what it has not sent before an abort.
        self.transport.getHandle().sendall(self._response)
        self._end(self.transport)


def run_call(
    response: bytes,
    end: Callable[[Any], None],
    call: Callable[[Any, str], Coroutine[Any, Any, Any]],
) -> Any:
    """Return the result of a call, or its failure.

    :param end: ends the server's connection after the response
    :param call: makes the call with a reactor to the server at a URL
    """
    reactor: Any = EagerWriteReactor()
    results: list[Any] = []

    class Accepting(Factory):
        noisy = False

        def buildProtocol(self, addr: IAddress | None) -> Server:
            return Server(response, end)

    port = reactor.listenTCP(0, Accepting(), interface=HOST)
    url = f"http://{HOST}:{port.getHost().port}"

    def start() -> None:
        done = Deferred.fromCoroutine(call(reactor, url))
        done.addBoth(results.append).addCallback(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.callLater(MAX_TEST_SECONDS, reactor.stop)
    reactor.run(installSignalHandlers=False)
    (result,) = results
    return result
