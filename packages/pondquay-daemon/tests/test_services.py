"""Responses of plain services, on real sockets."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest
from twisted.internet.defer import ensureDeferred
from twisted.internet.protocol import Factory, Protocol

from pondquay_daemon.errors import MayHaveRunError
from pondquay_daemon.reactor import EagerWriteReactor
from pondquay_daemon.services import ServiceCall, ServiceResponse, Services

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.interfaces import IAddress
    from twisted.python.failure import Failure

HOST = "127.0.0.1"
MAX_TEST_SECONDS = 20.0
WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\n\r\nthe first part"
WITH_LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\nthe first part"


class Service(Protocol):
    """Sends its response, then ends the connection."""

    def __init__(self, response: bytes, end: Callable[[Any], None]) -> None:
        self._response = response
        self._end = end

    def dataReceived(self, data: bytes) -> None:
        # The transport would discard what it has not sent before an abort.
        self.transport.getHandle().sendall(self._response)
        self._end(self.transport)


def call_service(
    response: bytes, end: Callable[[Any], None]
) -> ServiceResponse | Failure:
    """Return what a call to a service gives that ends its connection.

    :param end: ends the connection after the response
    """
    reactor: Any = EagerWriteReactor()
    results: list[Any] = []

    class Accepting(Factory):
        noisy = False

        def buildProtocol(self, addr: IAddress | None) -> Service:
            return Service(response, end)

    port = reactor.listenTCP(0, Accepting(), interface=HOST)
    url = f"http://{HOST}:{port.getHost().port}"
    services = Services(reactor)

    def start() -> None:
        call = services.call(url, "r1-1", ServiceCall("GET", "page", b"", {}))
        done = ensureDeferred(call)
        done.addBoth(results.append).addCallback(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.callLater(MAX_TEST_SECONDS, reactor.stop)
    reactor.run(installSignalHandlers=False)
    (result,) = results
    return result


# Guards against a reset response without a length that is delivered as complete.
def test_a_reset_response_without_a_length_may_have_run() -> None:
    result = call_service(WITHOUT_LENGTH, lambda transport: transport.abortConnection())
    assert not isinstance(result, ServiceResponse)
    assert result.check(MayHaveRunError)


@pytest.mark.parametrize("response", [WITHOUT_LENGTH, WITH_LENGTH])
def test_a_response_is_complete_after_an_orderly_close(response: bytes) -> None:
    result = call_service(response, lambda transport: transport.loseConnection())
    assert isinstance(result, ServiceResponse)
    assert (result.status, result.body) == (200, b"the first part")
