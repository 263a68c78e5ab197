"""Behaviours of replicas that refuse requests, or send responses twice or in part."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay_standins.hostile.exchanges import (
    OK,
    OLDER_ATTEMPT,
    RUN_SECONDS,
    Behaviour,
    HostileExchange,
    end_connection,
    format_response,
)

if TYPE_CHECKING:
    from collections.abc import Callable

PROMISING_STATUSES = (408, 421, 429, 503)
MISSING_BYTES = 5
# Fits into the buffers of a connection.
LONG_REFUSAL_BYTES = 60_000
FRAMINGS = ("length", "close", "chunked", "none", "interim")
# When a copy of a response is sent: with it, while its connection is idle, or before,
# while or after the next request on it runs.
COPY_TIMES = ("at once", "idle", "first", "while", "after")


class Refusal(Behaviour):
    """Refuses requests without running them.

    :param name: the request that refusals name, by default their own
    :param framing: how the refusal is framed
    """

    def __init__(self, name: str | None = None, framing: str = "length") -> None:
        self._name = name
        self._framing = framing

    def misbehave(self, exchange: HostileExchange) -> None:
        """Refuse it."""
        name = exchange.attempt if self._name is None else self._name
        headers = [("X-Pondquay-Attempt-Id", name), ("X-Pondquay-Not-Executed", "1")]
        status = exchange.replica.random.choice((*PROMISING_STATUSES, 400))
        interim = b""
        body: bytes | None = b"full"
        if self._framing == "close":
            headers.append(("Connection", "close"))
        elif self._framing == "chunked":
            headers.append(("Transfer-Encoding", "chunked"))
            body = None
        elif self._framing == "none":
            body = None
        elif self._framing == "interim":
            interim = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n"
        response = interim + format_response(status, headers, body)
        if self._framing == "chunked":
            response += b"4\r\nfull\r\n0\r\n\r\n"
        elif self._framing == "none":
            response += b"full"
        exchange.refuse(response)
        if self._framing in ("close", "none"):
            exchange.connection.close()


class NamelessRefusal(Behaviour):
    """Refuses requests without naming any."""

    def misbehave(self, exchange: HostileExchange) -> None:
        """Refuse it."""
        headers = [("X-Pondquay-Not-Executed", "1")]
        exchange.refuse(format_response(503, headers))


class EmptyPromise(Behaviour):
    """Runs requests, and responds with a status that is no promise by itself."""

    def misbehave(self, exchange: HostileExchange) -> None:
        """Run it."""
        status = exchange.replica.random.choice((400, 408, 429, 500, 502, 503, 504))
        exchange.fail(format_response(status, exchange.sign(), b"failed"), status)


class Copies(Behaviour):
    """Sends a response a second time.

    :param make: makes the response that comes twice; ``None`` for a success
    :param when: when the copy is sent, relative to the next request on its connection
    """

    def __init__(
        self, make: Callable[[HostileExchange], bytes] | None, when: str
    ) -> None:
        self._make = make
        self._when = when

    def serve(self, exchange: HostileExchange) -> None:
        """Send a copy that is due, or respond to a request whose response is copied."""
        connection = exchange.connection
        surplus, connection.surplus = connection.surplus, b""
        if not surplus:
            super().serve(exchange)
            return
        if self._when == "while":
            exchange.later(RUN_SECONDS / 2, lambda: exchange.write(surplus))
        elif self._when == "first":
            exchange.write(surplus)
        if self._when != "after":
            exchange.succeed()
            return

        def send_after() -> None:
            exchange.write(surplus)
            exchange.end()

        exchange.succeed(on_end=send_after)

    def misbehave(self, exchange: HostileExchange) -> None:
        """Respond, and send the response again now or later."""
        if self._make is None:
            exchange.succeed(on_end=lambda: self._copy_success(exchange))
            return
        response = self._make(exchange)
        exchange.write(response)
        self._copy(exchange, response)

    def _copy_success(self, exchange: HostileExchange) -> None:
        self._copy(exchange, b"".join(exchange.make_pieces()))

    def _copy(self, exchange: HostileExchange, response: bytes) -> None:
        if self._when == "at once":
            exchange.write(response)
        elif self._when == "idle":
            exchange.later(RUN_SECONDS / 8, lambda: exchange.write(response))
        else:
            exchange.connection.surplus = response
        exchange.end()


class OtherConnectionCopies(Behaviour):
    """Repeats a refusal on other connections, on which other requests run."""

    def misbehave(self, exchange: HostileExchange) -> None:
        """Refuse it, and repeat that on all connections."""
        response = exchange.make_refusal()

        def repeat() -> None:
            for connection in list(exchange.replica.connections):
                connection.write(response)

        exchange.later(RUN_SECONDS / 4, repeat)
        exchange.refuse(response)


class BrokenRefusal(Behaviour):
    """Breaks a refusal off.

    :param is_in_head: whether it breaks within the head
    :param is_reset: whether the connection is reset
    """

    def __init__(self, *, is_in_head: bool, is_reset: bool) -> None:
        self._is_in_head = is_in_head
        self._is_reset = is_reset

    def misbehave(self, exchange: HostileExchange) -> None:
        """Refuse it with a part of a response."""
        headers = [*exchange.echo(), ("X-Pondquay-Not-Executed", "1")]
        response = format_response(503, headers, b"x" * 100)
        exchange.write(response[: 90 if self._is_in_head else -50])
        end_connection(exchange.connection, is_reset=self._is_reset)


class RefusalThenBytes(Behaviour):
    """Sends other bytes after a refusal: a response to no request, or no response."""

    def misbehave(self, exchange: HostileExchange) -> None:
        """Refuse it."""
        random = exchange.replica.random
        response = exchange.make_refusal()
        other = random.choice(
            (
                b"\x00\x01garbage\r\n\r\n",
                exchange.make_refusal(name=OLDER_ATTEMPT)[:40],
                b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
            )
        )
        if random.random() < 0.5:
            exchange.write(response + other)
        else:
            exchange.write(response)
            exchange.later(RUN_SECONDS / 8, lambda: exchange.write(other))
        exchange.end()


class PartBefore(Behaviour):
    """Sends a part of another response's head before its own response.

    :param status: status of the other response
    :param own: status of its own response
    """

    def __init__(self, status: int, own: int) -> None:
        self._status = status
        self._own = own

    def misbehave(self, exchange: HostileExchange) -> None:
        """Run it, and respond after the part."""
        exchange.begin_run()
        random = exchange.replica.random
        name = ("X-Pondquay-Attempt-Id", OLDER_ATTEMPT)
        promise = ("X-Pondquay-Not-Executed", "1")
        headers = [promise, name] if self._status != OK else [name]
        other = format_response(self._status, headers)
        part = other[: random.randrange(1, len(other))]
        body = f"{exchange.replica.name}:{exchange.attempt}".encode()
        response = format_response(self._own, exchange.sign(), body)

        def send() -> None:
            exchange.visit.status, exchange.visit.whole = self._own, True
            exchange.refuse(part + response)

        exchange.later(RUN_SECONDS, send)


class FilledUp(Behaviour):
    """Cuts its response short, and sends another one on the same connection."""

    def misbehave(self, exchange: HostileExchange) -> None:
        """Run it, and let a refusal follow a part of the response."""
        exchange.begin_run()
        response = b"".join(exchange.make_pieces())
        other = exchange.make_refusal(name=OLDER_ATTEMPT)

        def send() -> None:
            exchange.visit.status = OK
            exchange.write(response[:-MISSING_BYTES])
            exchange.later(RUN_SECONDS / 8, lambda: exchange.refuse(other))

        exchange.later(RUN_SECONDS, send)


class EarlyRefusal(Behaviour):
    """Refuses requests before their bodies are read, and reads on later."""

    def begin(self, exchange: HostileExchange) -> None:
        """Refuse a request whose body has not arrived yet."""
        if exchange.replica.random.random() < 0.7:
            exchange.answered = True
            exchange.write(exchange.make_refusal())
            exchange.connection.freeze(RUN_SECONDS)

    def misbehave(self, exchange: HostileExchange) -> None:
        """Refuse it."""
        exchange.refuse(exchange.make_refusal())


class LongRefusal(Behaviour):
    """Refuses requests with long bodies, some of which are broken off."""

    def misbehave(self, exchange: HostileExchange) -> None:
        """Refuse it."""
        headers = [*exchange.echo(), ("X-Pondquay-Not-Executed", "1")]
        response = format_response(503, headers, bytes(LONG_REFUSAL_BYTES))
        if exchange.replica.random.random() < 0.5:
            exchange.refuse(response)
        else:
            exchange.write(response[: LONG_REFUSAL_BYTES // 2])
            exchange.connection.reset()


def make_nameless(exchange: HostileExchange) -> bytes:
    """Return a refusal that names no request."""
    return format_response(503, [("X-Pondquay-Not-Executed", "1")])


def make_misdirected(exchange: HostileExchange) -> bytes:
    """Return a refusal of another replica, which does not state the promise."""
    return exchange.make_refusal(421, promise=False)


def make_limited(exchange: HostileExchange) -> bytes:
    """Return a refusal for too many requests."""
    return exchange.make_refusal(429)
