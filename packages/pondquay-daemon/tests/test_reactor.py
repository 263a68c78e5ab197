"""The event loop of a relay, on real sockets."""

from __future__ import annotations

import socket
from select import EPOLLERR, EPOLLHUP, EPOLLOUT
from struct import pack
from typing import TYPE_CHECKING, Any, ClassVar

import pytest
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import ClientFactory, Factory, Protocol, connectionDone
from zope.interface import implementer

from pondquay_daemon.reactor import EagerWriteReactor

from .disconnections import DisconnectingPoller

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from twisted.internet.interfaces import IAddress
    from twisted.python.failure import Failure

HOST = "127.0.0.1"
MAX_TEST_SECONDS = 20.0
# More than the buffers of two sockets take.
LONG = b"x" * (8 << 20)


class Recorder(Protocol):
    """Records what it receives, and calls back."""

    def __init__(self) -> None:
        self.received = bytearray()
        self.reason: Failure | None = None
        self.on_connect: Callable[[], None] = lambda: None
        self.on_data: Callable[[], None] = lambda: None
        self.on_lost: Callable[[], None] = lambda: None

    def connectionMade(self) -> None:
        self.on_connect()

    def dataReceived(self, data: bytes) -> None:
        self.received += data
        self.on_data()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.reason = reason
        self.on_lost()


class RecordedReactor(EagerWriteReactor):
    """Counts the registrations of connected sockets for writability."""

    registered = 0

    def _add(self, xer: Any, *arguments: Any) -> None:
        self.registered += arguments[3] == EPOLLOUT and bool(xer.connected)
        super()._add(xer, *arguments)


class Pair:
    """A connection between two protocols in one reactor."""

    def __init__(self) -> None:
        self.reactor: Any = RecordedReactor()
        self.client, self.server = Recorder(), Recorder()
        self.is_late = False
        pair = self

        class Accepting(Factory):
            noisy = False

            def buildProtocol(self, addr: IAddress | None) -> Recorder:
                return pair.server

        class Connecting(ClientFactory):
            noisy = False

            def buildProtocol(self, addr: IAddress | None) -> Recorder:
                return pair.client

        port = self.reactor.listenTCP(0, Accepting(), interface=HOST)
        self.reactor.connectTCP(HOST, port.getHost().port, Connecting())

    def run(self) -> None:
        """Run until a protocol stops the reactor."""

        def give_up() -> None:
            self.is_late = True
            self.reactor.stop()

        self.reactor.callLater(MAX_TEST_SECONDS, give_up)
        self.reactor.run(installSignalHandlers=False)
        assert not self.is_late

    def stop(self) -> None:
        """Stop the reactor unless it is stopping."""
        if self.reactor.running:
            self.reactor.stop()


@pytest.fixture
def pair() -> Iterator[Pair]:
    yield Pair()


def test_short_messages_are_sent_without_a_registration(pair: Pair) -> None:
    def respond() -> None:
        pair.server.transport.write(b"a")
        pair.server.transport.write(b"b")

    pair.client.on_connect = lambda: pair.client.transport.write(b"hello")
    pair.server.on_data = respond
    pair.client.on_data = pair.stop
    pair.run()
    assert bytes(pair.server.received) == b"hello"
    # The two writes of one turn are sent together.
    assert bytes(pair.client.received) == b"ab"
    assert pair.reactor.registered == 0


def test_what_a_socket_does_not_take_follows_in_order(pair: Pair) -> None:
    def stop_when_complete() -> None:
        if len(pair.server.received) == len(LONG) + 1:
            pair.stop()

    def write() -> None:
        pair.client.transport.write(LONG)
        pair.reactor.callLater(0, pair.client.transport.write, b"!")

    pair.client.on_connect = write
    pair.server.on_data = stop_when_complete
    pair.run()
    assert bytes(pair.server.received) == LONG + b"!"
    assert pair.reactor.registered > 0


def test_a_close_first_sends_what_is_written(pair: Pair) -> None:
    def write_and_close() -> None:
        pair.client.transport.write(LONG)
        pair.client.transport.loseConnection()

    pair.client.on_connect = write_and_close
    pair.server.on_lost = pair.stop
    pair.run()
    assert bytes(pair.server.received) == LONG
    assert pair.server.reason.check(ConnectionDone)


def test_a_reset_ends_a_connection_with_unsent_data(pair: Pair) -> None:
    def reset() -> None:
        pair.server.transport.abortConnection()

    def write_on() -> None:
        if pair.client.reason is None:
            pair.client.transport.write(b"more")
            pair.reactor.callLater(0, write_on)

    pair.client.on_connect = write_on
    pair.server.on_data = reset
    pair.client.on_lost = pair.stop
    pair.run()
    assert pair.client.reason is not None


# Guards against a reset that passes for an orderly close, since epoll may report it
# before the socket is readable.
@pytest.mark.parametrize("event", [EPOLLERR, EPOLLHUP, EPOLLERR | EPOLLHUP])
def test_a_reset_that_is_not_readable_is_no_orderly_close(
    pair: Pair, event: int
) -> None:
    poller = DisconnectingPoller.install(pair.reactor, event)

    def reset() -> None:
        poller.hide(pair.client.transport)
        pair.server.transport.abortConnection()

    pair.server.on_connect = lambda: pair.server.transport.write(b"part")
    pair.client.on_data = reset
    pair.client.on_lost = pair.stop
    pair.run()
    assert poller.hidden
    assert bytes(pair.client.received) == b"part"
    assert pair.client.reason.check(ConnectionLost)


def test_an_orderly_close_that_is_not_readable_follows_all_data(pair: Pair) -> None:
    poller = DisconnectingPoller.install(pair.reactor, EPOLLHUP)

    def close() -> None:
        poller.hide(pair.client.transport)
        pair.server.transport.write(b"the rest")
        pair.server.transport.loseConnection()

    pair.server.on_connect = lambda: pair.server.transport.write(b"part, ")
    pair.client.on_data = close
    pair.client.on_lost = pair.stop
    pair.run()
    assert poller.hidden
    assert bytes(pair.client.received) == b"part, the rest"
    assert pair.client.reason.check(ConnectionDone)


def test_an_abort_discards_what_is_written(pair: Pair) -> None:
    def write_and_abort() -> None:
        pair.client.transport.write(b"never sent")
        pair.client.transport.abortConnection()

    pair.client.on_connect = write_and_abort
    pair.server.on_lost = pair.stop
    pair.run()
    assert not pair.server.received


def test_a_paused_producer_is_resumed_once_all_is_sent(pair: Pair) -> None:
    @implementer(IPushProducer)
    class Producer:
        events: ClassVar[list[str]] = []

        def pauseProducing(self) -> None:  # noqa: N802
            self.events.append("pause")

        def resumeProducing(self) -> None:  # noqa: N802
            self.events.append("resume")
            pair.client.transport.unregisterProducer()
            pair.client.transport.write(b"!")

        def stopProducing(self) -> None:  # noqa: N802
            self.events.append("stop")

    def write() -> None:
        pair.client.transport.registerProducer(Producer(), True)
        pair.client.transport.write(LONG)

    def stop_when_complete() -> None:
        if pair.server.received.endswith(b"!"):
            pair.stop()

    pair.client.on_connect = write
    pair.server.on_data = stop_when_complete
    pair.run()
    assert Producer.events == ["pause", "resume"]
    assert len(pair.server.received) == len(LONG) + 1


# Guards against a loop that sleeps past a call that writing has scheduled.
def test_a_call_that_writing_schedules_is_on_time(pair: Pair) -> None:
    @implementer(IPushProducer)
    class Producer:
        resumed = 0

        def pauseProducing(self) -> None:  # noqa: N802
            return

        def resumeProducing(self) -> None:  # noqa: N802
            self.resumed += 1
            if self.resumed == 1:
                pair.client.transport.write(b"x")
            else:
                pair.reactor.callLater(0, pair.stop)

        def stopProducing(self) -> None:  # noqa: N802
            return

    def write() -> None:
        # A pull producer is resumed by its registration, and then by each write that
        # has sent all data.
        pair.client.transport.registerProducer(Producer(), False)

    pair.client.on_connect = write
    pair.run()


def test_a_stop_disconnects_connections_with_unsent_data(pair: Pair) -> None:
    def write_and_stop() -> None:
        pair.client.transport.pauseProducing()
        pair.client.transport.write(b"unsent")
        assert pair.client.transport in pair.reactor.getWriters()
        removed = pair.reactor.removeAll()
        assert pair.client.transport in removed
        for selectable in removed:
            pair.reactor.addReader(selectable)
        pair.stop()

    pair.client.on_connect = write_and_stop
    pair.run()
    assert pair.client.reason is not None


def test_a_refused_connection_fails() -> None:
    with socket.socket() as unused:
        unused.bind((HOST, 0))
        port = unused.getsockname()[1]
    reactor: Any = EagerWriteReactor()
    failures: list[Failure] = []

    class Connecting(ClientFactory):
        noisy = False

        def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
            failures.append(reason)
            reactor.stop()

    reactor.connectTCP(HOST, port, Connecting(), timeout=MAX_TEST_SECONDS)
    reactor.run(installSignalHandlers=False)
    assert len(failures) == 1


# Guards against a process that stops only with its next event or timer, as a failed
# write made it stop.
def test_a_stop_by_a_failed_write_takes_effect_at_once() -> None:
    reactor: Any = EagerWriteReactor()
    client, late = Recorder(), []

    class Connecting(ClientFactory):
        noisy = False

        def buildProtocol(self, addr: IAddress | None) -> Recorder:
            return client

    with socket.create_server((HOST, 0)) as listener:

        def write_after_reset() -> None:
            accepted, _ = listener.accept()
            accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, pack("ii", 1, 0))
            accepted.close()
            client.transport.write(b"late")

        client.on_connect = write_after_reset
        client.on_lost = reactor.stop
        reactor.connectTCP(HOST, listener.getsockname()[1], Connecting())
        reactor.callLater(MAX_TEST_SECONDS, late.append, True)
        reactor.run(installSignalHandlers=False)
    assert client.reason is not None
    assert not late
