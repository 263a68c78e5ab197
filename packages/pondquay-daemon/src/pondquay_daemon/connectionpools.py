"""Pools of HTTP connections that tell how a response has ended.

The client of Twisted reports ``PotentialDataLoss`` for each response that ends with its
connection, whether that was closed in an orderly way or reset, and treq takes it for
complete. Here such a response is complete only after an orderly close.

That client limits a line of a head, but neither the number of lines nor of interim
heads. Here their bytes are limited together. A head that contains a further status line
is invalid.
"""

from __future__ import annotations

from itertools import chain
from typing import TYPE_CHECKING, Any

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.components import proxyForInterface
from twisted.python.failure import Failure
from twisted.web._newclient import BODY, DONE, HTTP11ClientProtocol, ParseError
from twisted.web.client import HTTPConnectionPool, ResponseDone, ResponseFailed
from twisted.web.http import PotentialDataLoss
from twisted.web.iweb import IResponse

from pondquay_daemon.statuslines import contain_status_line

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.defer import Deferred
    from twisted.internet.interfaces import IAddress, ITransport
    from twisted.web._newclient import HTTPClientParser

MAX_IDLE_CONNECTIONS = 8
# For the head of a response and all interim heads before it; as in the relay.
MAX_HEAD_BYTES = 65536


class _Connection(HTTP11ClientProtocol):
    """A connection that keeps the reason of its end, and limits heads."""

    _end: Failure | None = None
    _head_bytes = 0

    def request(self, request: Any) -> Deferred[Any]:
        """Send a request, and return its response once the head has arrived."""
        self._head_bytes = 0
        response: Deferred[Any] = super().request(request)
        return response.addCallback(self._wrap, self._parser)

    def _wrap(self, response: Any, parser: Any) -> _Response:
        # The parser keeps the headers on the connection apart from the others.
        headers = chain(
            response.headers.getAllRawHeaders(), parser.connHeaders.getAllRawHeaders()
        )
        values = chain.from_iterable(values for _, values in headers)
        if contain_status_line((response.phrase, *values)):
            self.abort_response(self._parser)
            error = ParseError("a status line within a head", response.phrase)
            raise ResponseFailed([Failure(error)])
        return _Response(response, self, self._parser)

    def dataReceived(self, data: bytes) -> None:
        """Parse received bytes; abort the connection if a head has too many."""
        super().dataReceived(data)  # type: ignore[no-untyped-call]
        if self._parser is None or self._parser.state in (BODY, DONE):
            return
        self._head_bytes += len(data)
        if self._head_bytes > MAX_HEAD_BYTES and self.transport is not None:
            self.transport.abortConnection()  # type: ignore[attr-defined]

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Keep the reason, then end the response in progress."""
        self._end = reason
        super().connectionLost(reason)  # type: ignore[no-untyped-call]

    def abort_response(self, parser: HTTPClientParser | None) -> None:
        """Abort the connection unless the response of a parser has ended.

        The connection may carry another request by then.
        """
        if parser is not None and parser is self._parser:
            self.transport.abortConnection()  # type: ignore[union-attr]

    def explain_end(self) -> Failure:
        """Return why a response that ends with this connection has ended."""
        if self._end is not None and self._end.check(ConnectionDone):
            return Failure(ResponseDone())
        return Failure(ResponseFailed([self._end or Failure(PotentialDataLoss())]))


class _Response(proxyForInterface(IResponse)):  # type: ignore[misc]
    """A response that tells the receiver of its body how it has ended."""

    def __init__(
        self, original: Any, connection: _Connection, parser: HTTPClientParser | None
    ) -> None:
        super().__init__(original)
        self._connection = connection
        self._parser = parser

    def deliverBody(self, protocol: Protocol) -> None:  # noqa: N802
        """Deliver the body to a protocol, whose transport can abort the connection."""
        receiver = _BodyReceiver(protocol, self._connection, self._parser)
        self.original.deliverBody(receiver)


class _BodyReceiver(Protocol):
    """Forwards a body, and replaces an unknown end by the known one."""

    def __init__(
        self,
        receiver: Protocol,
        connection: _Connection,
        parser: HTTPClientParser | None,
    ) -> None:
        self._receiver = receiver
        self._connection = connection
        self._parser = parser

    def makeConnection(self, transport: ITransport) -> None:  # noqa: N802
        """Connect the receiver."""
        body_transport: Any = _BodyTransport(transport, self._connection, self._parser)
        self._receiver.makeConnection(body_transport)

    def dataReceived(self, data: bytes) -> None:
        """Forward a part of the body."""
        self._receiver.dataReceived(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Forward the end of the body."""
        is_unknown = reason.check(PotentialDataLoss) is not None
        self._receiver.connectionLost(
            self._connection.explain_end() if is_unknown else reason
        )


class _BodyTransport:
    """The transport of a body, which can also abort the connection."""

    def __init__(
        self,
        original: Any,
        connection: _Connection,
        parser: HTTPClientParser | None,
    ) -> None:
        self._original = original
        self._connection = connection
        self._parser = parser

    def abortConnection(self) -> None:  # noqa: N802
        """Abort the connection unless the body has ended."""
        self._connection.abort_response(self._parser)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._original, name)


class _ConnectionFactory(Factory):
    """Builds connections that return to a pool when they are idle."""

    noisy = False

    def __init__(self, on_idle: Callable[[Any], None], endpoint: str) -> None:
        self._on_idle = on_idle

    def buildProtocol(self, addr: IAddress | None) -> _Connection:
        """Return a new connection."""
        return _Connection(self._on_idle)  # type: ignore[no-untyped-call]


class _ConnectionPool(HTTPConnectionPool):
    """A pool of such connections."""

    _factory = _ConnectionFactory  # type: ignore[assignment]


def make_connection_pool(
    reactor: Any, max_idle: int = MAX_IDLE_CONNECTIONS
) -> HTTPConnectionPool:
    """Return a connection pool that doesn't retry requests.

    :param max_idle: maximum number of idle connections kept for each host
    """
    pool = _ConnectionPool(reactor)  # type: ignore[no-untyped-call]
    pool.maxPersistentPerHost = max_idle
    pool.retryAutomatically = False
    return pool
