from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import pytest
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from pondquay.addresses import Address
from pondquay_daemon.relay.egress import EgressPool
from pondquay_daemon.relay.exchanges import Exchange, ExchangeListener

from .slowreading import LIMIT_BYTES, SlowTransport, body_of

if TYPE_CHECKING:
    from pondquay_daemon.relay.errors import BrokenExchangeError
    from pondquay_daemon.relay.messages import ResponseHead

ADDRESS = Address("10.0.0.1", 80)
COMPLETE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class UpstreamTransport(StringTransport):
    """Records the bytes sent to the upstream."""

    def setTcpNoDelay(self, enabled: bool) -> None:
        pass


@dataclass
class Listener(ExchangeListener):
    """Records the events of an exchange."""

    heads: list[ResponseHead] = field(default_factory=list)
    body: bytes = b""
    completed: int = 0
    errors: list[BrokenExchangeError] = field(default_factory=list)

    def on_head(self, head: ResponseHead) -> None:
        self.heads.append(head)

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_end(self) -> None:
        self.completed += 1

    def on_error(self, error: BrokenExchangeError) -> None:
        self.errors.append(error)


class Upstream:
    """A pool and the connections that it opens."""

    def __init__(self) -> None:
        self.reactor: Any = MemoryReactorClock()
        self.pool = EgressPool(self.reactor)
        self.transports: list[UpstreamTransport] = []
        self.protocol: Any = None

    def send_request(self, body: bytes = b"") -> tuple[Listener, Exchange]:
        listener = Listener()
        method = b"POST" if body else b"GET"
        exchange = Exchange(listener, method, b"/x", [(b"Host", b"h")], body)
        before = len(self.reactor.tcpClients)
        self.pool.start(ADDRESS, exchange)
        if len(self.reactor.tcpClients) > before:
            self.connect()
        return listener, exchange

    def connect(self) -> None:
        factory = self.reactor.tcpClients[-1][2]
        self.protocol = factory.buildProtocol(None)
        self.transports.append(UpstreamTransport())
        self.protocol.makeConnection(self.transports[-1])

    def close(self, error: Exception) -> None:
        self.protocol.connectionLost(Failure(error))


@pytest.fixture
def upstream() -> Upstream:
    return Upstream()


def test_a_connection_is_kept_for_the_next_exchange(upstream: Upstream) -> None:
    first, _ = upstream.send_request()
    upstream.protocol.dataReceived(COMPLETE)
    second, _ = upstream.send_request(b"body")
    upstream.protocol.dataReceived(COMPLETE)
    assert (first.completed, second.completed, second.body) == (1, 1, b"ok")
    assert len(upstream.transports) == 1
    assert upstream.transports[0].value().endswith(b"Content-Length: 4\r\n\r\nbody")


def test_bytes_after_a_complete_response_close_the_connection(
    upstream: Upstream,
) -> None:
    first, _ = upstream.send_request()
    upstream.protocol.dataReceived(COMPLETE + b"HTTP/1.1 200 OK\r\n")
    assert first.body == b"ok"
    assert upstream.transports[0].disconnecting
    upstream.send_request()
    assert len(upstream.transports) == 2


def test_bytes_on_an_idle_connection_close_it(
    upstream: Upstream,
) -> None:
    upstream.send_request()
    upstream.protocol.dataReceived(COMPLETE)
    upstream.protocol.dataReceived(COMPLETE)
    assert upstream.transports[0].disconnecting
    upstream.send_request()
    assert len(upstream.transports) == 2


@pytest.mark.parametrize("error", [ConnectionLost(), ConnectionDone()])
def test_a_response_shorter_than_its_length_is_an_error(
    upstream: Upstream, error: Exception
) -> None:
    listener, _ = upstream.send_request()
    upstream.protocol.dataReceived(COMPLETE[:-1])
    upstream.close(error)
    assert (listener.completed, len(listener.errors)) == (0, 1)
    assert listener.errors[0].sent


def test_a_response_without_a_length_is_complete_only_after_a_clean_close(
    upstream: Upstream,
) -> None:
    clean, _ = upstream.send_request()
    upstream.protocol.dataReceived(b"HTTP/1.1 200 OK\r\n\r\nall")
    upstream.close(ConnectionDone())
    reset, _ = upstream.send_request()
    upstream.protocol.dataReceived(b"HTTP/1.1 200 OK\r\n\r\nall")
    upstream.close(ConnectionLost())
    assert (clean.completed, clean.body, len(clean.errors)) == (1, b"all", 0)
    assert (reset.completed, len(reset.errors)) == (0, 1)


def test_chunks_without_a_last_chunk_are_an_error(upstream: Upstream) -> None:
    listener, _ = upstream.send_request()
    upstream.protocol.dataReceived(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
    )
    upstream.close(ConnectionDone())
    assert (listener.completed, len(listener.errors)) == (0, 1)


def test_an_invalid_response_is_an_error(upstream: Upstream) -> None:
    listener, _ = upstream.send_request()
    upstream.protocol.dataReceived(b"\x00\x01nonsense\r\n\r\n")
    assert len(listener.errors) == 1
    assert upstream.transports[0].disconnecting


def test_a_failed_connection_counts_as_unsent(upstream: Upstream) -> None:
    listener = Listener()
    exchange = Exchange(listener, b"GET", b"/", [(b"Host", b"h")])
    upstream.pool.start(ADDRESS, exchange)
    factory = upstream.reactor.tcpClients[-1][2]
    factory.clientConnectionFailed(None, Failure(ConnectionLost()))
    assert [error.sent for error in listener.errors] == [False]


def test_a_cancelled_exchange_closes_without_notifying_its_listener(
    upstream: Upstream,
) -> None:
    listener, exchange = upstream.send_request()
    exchange.cancel()
    assert upstream.transports[0].disconnecting
    assert (listener.completed, listener.errors) == (0, [])


def test_a_cancelled_exchange_is_not_sent_on_a_late_connection(
    upstream: Upstream,
) -> None:
    listener = Listener()
    exchange = Exchange(listener, b"GET", b"/", [(b"Host", b"h")])
    upstream.pool.start(ADDRESS, exchange)
    exchange.cancel()
    upstream.connect()
    assert upstream.transports[0].value() == b""


def test_an_idle_connection_is_closed_before_its_peers_timeout(
    upstream: Upstream,
) -> None:
    upstream.send_request()
    upstream.protocol.dataReceived(
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=2\r\n\r\nok"
    )
    upstream.reactor.advance(1.5)
    assert upstream.transports[0].disconnecting


def test_a_response_that_closes_its_connection_is_complete(upstream: Upstream) -> None:
    listener, _ = upstream.send_request()
    upstream.protocol.dataReceived(
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"
    )
    assert listener.completed == 1
    assert upstream.transports[0].disconnecting


def start_long_upload(upstream: Upstream) -> tuple[Listener, SlowTransport, bytes]:
    """Return the exchange of a long body, at an upstream that has read nothing."""
    body = bytes(range(256)) * 4096
    listener = Listener()
    exchange = Exchange(listener, b"POST", b"/x", [(b"Host", b"h")], body)
    upstream.pool.start(ADDRESS, exchange)
    upstream.protocol = upstream.reactor.tcpClients[-1][2].buildProtocol(None)
    transport = SlowTransport()
    upstream.protocol.makeConnection(transport)
    return listener, transport, body


def test_a_body_is_written_only_as_fast_as_its_upstream_reads(
    upstream: Upstream,
) -> None:
    """Load: an upstream that reads a long body slowly."""
    listener, transport, body = start_long_upload(upstream)
    other, _ = upstream.send_request()
    while transport.unsent:
        assert len(transport.unsent) <= 2 * LIMIT_BYTES + 256
        transport.read(LIMIT_BYTES)
    assert body_of(transport) == body
    upstream.protocol.dataReceived(COMPLETE)
    assert (other.completed, listener.completed) == (1, 0)


def test_a_connection_whose_body_was_not_read_is_not_reused(
    upstream: Upstream,
) -> None:
    listener, transport, body = start_long_upload(upstream)
    upstream.protocol.dataReceived(COMPLETE)
    assert listener.completed == 1
    assert transport.aborted
    assert len(body_of(transport)) < len(body)


def test_a_paused_connection_is_read_again_before_it_is_reused(
    upstream: Upstream,
) -> None:
    _, exchange = upstream.send_request()
    exchange.pause_reading()
    assert upstream.transports[0].producerState == "paused"
    upstream.protocol.dataReceived(COMPLETE)
    assert upstream.transports[0].producerState == "producing"
    upstream.send_request()
    assert len(upstream.transports) == 1
