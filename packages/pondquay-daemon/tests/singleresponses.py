"""Calls on real sockets to servers that send one response and end the connection."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from unittest.mock import patch

from twisted.internet import task
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory, Protocol

from pondquay_daemon.reactor import EagerWriteReactor

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from contextlib import AbstractContextManager

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


def write_bodies(reactor: Any) -> AbstractContextManager[Any]:
    """Let a reactor write the bodies of requests.

    The process's cooperator writes them, and its own reactor does not run in tests.
    """
    cooperator = task.Cooperator(scheduler=lambda step: reactor.callLater(0, step))
    return patch.object(task, "_theCooperator", cooperator)


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
    with write_bodies(reactor):
        reactor.run(installSignalHandlers=False)
    (result,) = results
    return result
