"""Connections of misbehaving replicas, with a record of each request."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, cast

from twisted.internet.protocol import Factory, Protocol, connectionDone

from pondquay_standins.web import reactor

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from twisted.python.failure import Failure

HEAD_END = b"\r\n\r\n"
RUN_SECONDS = 0.04
EVENT_SECONDS = 0.01
SOFTWARE = "v1"
# A head that is longer cannot be that of a request of these callers.
MAX_HEAD_BYTES = 20_000
PADDING = b"."
OK = 200
# Name of a request that no caller of a run sends.
OLDER_ATTEMPT = "older-1"


def format_event(attempt: str, number: int) -> bytes:
    """Return an event of a stream, which names the request."""
    return f"id: {number}\nevent: {SOFTWARE}\ndata: {attempt} {number}\n\n".encode()


def format_body(attempt: str, size: int) -> bytes:
    """Return the body of a request, which names it."""
    return attempt.encode().ljust(size, PADDING)


def format_response(
    status: int,
    headers: list[tuple[str, str]],
    body: bytes | None = b"",
) -> bytes:
    """Return a response; with a length unless the body is ``None``."""
    if body is not None:
        headers = [*headers, ("Content-Length", str(len(body)))]
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
    return f"HTTP/1.1 {status} Text\r\n{lines}\r\n".encode() + (body or b"")


@dataclass(slots=True)
class Visit:
    """A request that arrived at a replica.

    :ivar at: time of its arrival, in seconds of the monotonic clock
    :ivar ran: whether the replica began to run it
    :ivar status: status of its response, 0 if none was sent
    :ivar whole: whether the response was sent as a whole
    :ivar wrong: what the caller did not send, empty if nothing
    :ivar deadline: seconds that the replica has for it, ``None`` if it was not told
    """

    attempt: str
    replica: str
    service: str
    at: float
    ran: bool = False
    status: int = 0
    whole: bool = False
    wrong: str = ""
    deadline: float | None = None


class Behaviour:
    """Serves all requests; other behaviours misbehave for a part of them.

    :ivar fraction: part of the requests for which the replica misbehaves
    """

    fraction: float = 0.25

    def connect(self, connection: HostileConnection) -> None:
        """Handle a new connection."""
        return

    def begin(self, exchange: HostileExchange) -> None:
        """Handle the head of a request whose body is incomplete."""
        return

    def serve(self, exchange: HostileExchange) -> None:
        """Handle a request."""
        if exchange.replica.random.random() < self.fraction:
            self.misbehave(exchange)
        else:
            exchange.succeed()

    def misbehave(self, exchange: HostileExchange) -> None:
        """Handle a request for which the replica misbehaves."""
        exchange.succeed()


@dataclass(slots=True)
class HostileReplica:
    """What the connections to one misbehaving replica share."""

    name: str
    service: str
    behaviour: Behaviour
    visits: list[Visit]
    random: Random
    connections: set[HostileConnection] = field(default_factory=set)


class HostileExchange:
    """A request on a connection to a replica.

    :ivar length: length of the request's body
    :ivar answered: whether the response has ended, so that another request may follow
    """

    def __init__(
        self, connection: HostileConnection, target: str, headers: dict[str, str]
    ) -> None:
        self.connection = connection
        self.replica = connection.replica
        self.headers = headers
        self.target = target
        self.attempt = headers.get("x-pondquay-attempt-id", "")
        self.length = int(headers.get("content-length", "0"))
        self.answered = False
        self.visit = Visit(
            self.attempt, self.replica.name, self.replica.service, time.monotonic()
        )
        milliseconds = headers.get("x-pondquay-deadline-ms", "")
        if milliseconds.isdecimal():
            self.visit.deadline = int(milliseconds) / 1000
        self.replica.visits.append(self.visit)

    @property
    def misdirected(self) -> bool:
        """Whether the request expects another replica."""
        expected = self.headers.get("x-pondquay-expect-replica", self.replica.name)
        return expected != self.replica.name

    def echo(self) -> list[tuple[str, str]]:
        """Return the header that names the request."""
        return [("X-Pondquay-Attempt-Id", self.attempt)]

    def sign(self) -> list[tuple[str, str]]:
        """Return the headers of a response to a request that ran."""
        signature = ("X-Pondquay-Replica-Signature", f"sig.{self.replica.name}")
        return [*self.echo(), signature]

    def later(self, seconds: float, action: Callable[[], object]) -> None:
        """Do something unless the connection is closed before."""
        self.connection.later(seconds, action)

    def write(self, data: bytes) -> None:
        """Send bytes at once."""
        self.connection.write(data)

    def end(self) -> None:
        """Read the next request."""
        self.answered = True
        self.connection.read_next()

    def refuse(self, response: bytes) -> None:
        """Send a refusal, and read the next request."""
        self.write(response)
        self.end()

    def make_refusal(
        self, status: int = 503, *, name: str | None = None, promise: bool = True
    ) -> bytes:
        """Return a refusal.

        :param name: the request that it names, by default its own
        :param promise: whether it says that the request did not run
        """
        headers = [("X-Pondquay-Attempt-Id", self.attempt if name is None else name)]
        if promise:
            headers.append(("X-Pondquay-Not-Executed", "1"))
        return format_response(status, headers)

    def begin_run(self) -> None:
        """Record that the replica works on the request."""
        self.visit.ran = True

    def make_pieces(self) -> list[bytes]:
        """Return the pieces of a success, which are sent one after another."""
        last = int(self.headers.get("x-test-events", "0"))
        if not last:
            body = f"{self.replica.name}:{self.attempt}".encode()
            size = int(self.headers.get("x-test-bytes", "0"))
            body = body.ljust(size, PADDING)
            return [format_response(200, self.sign(), body)]
        first = int(self.headers.get("last-event-id", "0")) + 1
        framing = [
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ]
        head = format_response(200, [*self.sign(), *framing], None)
        events = [
            format_event(self.attempt, number) for number in range(first, last + 1)
        ]
        chunks = [b"%x\r\n%b\r\n" % (len(event), event) for event in events]
        return [head, *chunks, b"0\r\n\r\n"]

    def succeed(
        self, seconds: float = RUN_SECONDS, on_end: Callable[[], None] | None = None
    ) -> None:
        """Run the request and send its response.

        :param seconds: time until the response begins
        :param on_end: called after the response instead of reading the next request
        """
        self.begin_run()
        self.later(seconds, lambda: self._send(self.make_pieces(), on_end))

    def _send(self, pieces: list[bytes], on_end: Callable[[], None] | None) -> None:
        self.visit.status = 200
        self.write(pieces[0])
        if len(pieces) > 1:
            self.later(EVENT_SECONDS, lambda: self._send(pieces[1:], on_end))
            return
        self.visit.whole = True
        if on_end is None:
            self.end()
        else:
            on_end()

    def fail(self, response: bytes, status: int) -> None:
        """Run the request and send a failure as its response."""
        self.begin_run()

        def send() -> None:
            self.visit.status, self.visit.whole = status, True
            self.refuse(response)

        self.later(RUN_SECONDS, send)


class HostileConnection(Protocol):
    """A connection to a misbehaving replica.

    :ivar surplus: a response that is to be sent again
    :ivar served: number of requests that it has read
    """

    def __init__(self, replica: HostileReplica) -> None:
        self.replica = replica
        self.surplus = b""
        self.served = 0
        self.open = True
        self._data = b""
        self._exchange: HostileExchange | None = None
        self._has_body = False
        self._timers: list[Any] = []

    def connectionMade(self) -> None:
        """Add the connection to those of the replica."""
        self.replica.connections.add(self)
        cast("Any", self.transport).setTcpNoDelay(True)
        self.replica.behaviour.connect(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Stop the work on its request."""
        self.open = False
        self.replica.connections.discard(self)
        for timer in self._timers:
            if timer.active():
                timer.cancel()

    def dataReceived(self, data: bytes) -> None:
        """Read requests."""
        self._data += data
        self._read()

    def write(self, data: bytes) -> None:
        """Send bytes at once, so that a later reset does not discard them."""
        if self.open:
            try:
                cast("Any", self.transport).getHandle().sendall(data)
            except OSError:
                self.reset()

    def later(self, seconds: float, action: Callable[[], object]) -> None:
        """Do something unless the connection is closed before."""
        self._timers = [timer for timer in self._timers if timer.active()]
        self._timers.append(reactor.callLater(seconds, action))

    def close(self) -> None:
        """Close the connection in order."""
        cast("Any", self.transport).loseConnection()

    def reset(self) -> None:
        """Reset the connection."""
        cast("Any", self.transport).abortConnection()

    def freeze(self, seconds: float) -> None:
        """Read nothing for some time."""
        transport = cast("Any", self.transport)
        transport.pauseProducing()
        self.later(seconds, transport.resumeProducing)

    def read_next(self) -> None:
        """Read the next request once the body of the last one is complete."""
        self.later(0, self._read)

    def _read(self) -> None:
        exchange = self._exchange
        if exchange is None:
            exchange = self._read_head()
            if exchange is None:
                return
        if not self._has_body:
            if len(self._data) < exchange.length:
                return
            self._take_body(exchange)
        if exchange.answered:
            self._exchange = None
            if self._data:
                self.read_next()

    def _read_head(self) -> HostileExchange | None:
        """Read the head of a request; return ``None`` if it is incomplete."""
        head, end, rest = self._data.partition(HEAD_END)
        if not end:
            if len(head) > MAX_HEAD_BYTES:
                self._note_wrong(f"no head: {head[:40]!r}")
            return None
        self._data = rest
        first, *lines = head.decode("latin-1").split("\r\n")
        words = first.split(" ")
        if len(words) != 3 or words[0] not in ("POST", "GET"):
            self._note_wrong(f"no request: {first[:40]!r}")
            return None
        fields = [line.partition(":") for line in lines]
        headers = {name.lower(): value.strip() for name, _, value in fields}
        exchange = HostileExchange(self, words[1], headers)
        self._exchange, self._has_body = exchange, False
        self.served += 1
        if len(rest) < exchange.length:
            self.replica.behaviour.begin(exchange)
        return exchange

    def _take_body(self, exchange: HostileExchange) -> None:
        """Check the body of a request, and serve the request if it waits."""
        self._has_body = True
        body = self._data[: exchange.length]
        self._data = self._data[exchange.length :]
        size = int(exchange.headers.get("x-test-body", "0"))
        if body != (format_body(exchange.attempt, size) if size else b""):
            exchange.visit.wrong = f"another body: {body[:40]!r}"
        if exchange.answered:
            return
        if exchange.misdirected:
            exchange.refuse(exchange.make_refusal(421))
            return
        self.replica.behaviour.serve(exchange)

    def _note_wrong(self, text: str) -> None:
        name, service = self.replica.name, self.replica.service
        visit = Visit("", name, service, time.monotonic(), wrong=text)
        self.replica.visits.append(visit)
        self.reset()


class HostileFactory(Factory):
    """Creates the connections of a misbehaving replica."""

    noisy = False

    def __init__(self, replica: HostileReplica) -> None:
        self._replica = replica

    def buildProtocol(self, addr: object) -> HostileConnection:
        """Return the protocol of a new connection."""
        return HostileConnection(self._replica)


def end_connection(connection: HostileConnection, *, is_reset: bool) -> None:
    """End a connection in order or by a reset."""
    if is_reset:
        connection.reset()
    else:
        connection.close()
