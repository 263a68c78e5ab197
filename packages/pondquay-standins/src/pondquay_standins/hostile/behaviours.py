"""Behaviours of replicas, by sentence of the platform's protocol.

Each replica behaves as named in a part of the requests and serves the others, so that
its connections are reused and it is not left for good.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from pondquay_standins.hostile.exchanges import (
    RUN_SECONDS,
    Behaviour,
    HostileConnection,
    HostileExchange,
    format_response,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

PROMISING_STATUSES = (408, 421, 429, 503)
OLDER_ATTEMPT = "older-1"
OK = 200
FREEZE_SECONDS = 1.0
MAX_CONNECTIONS = 2
DRIP_SECONDS = 0.002
MISSING_BYTES = 5
FLOOD_PARTS = 20
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
        end(exchange.connection, is_reset=self._is_reset)


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


class OwnFailure(Behaviour):
    """Runs requests and fails them with its own 500 or 504."""

    def misbehave(self, exchange: HostileExchange) -> None:
        """Fail it."""
        status = exchange.replica.random.choice((500, 504))
        exchange.fail(format_response(status, exchange.sign(), b"failed"), status)


class BrokenRun(Behaviour):
    """Ends the connection of a request.

    :param when: when it ends
    :param is_reset: whether the connection is reset
    """

    def __init__(self, when: str, *, is_reset: bool) -> None:
        self._when = when
        self._is_reset = is_reset

    def connect(self, connection: HostileConnection) -> None:
        """End a new connection, perhaps."""
        if self._when == "opened" and connection.replica.random.random() < 0.4:
            end(connection, is_reset=self._is_reset)

    def begin(self, exchange: HostileExchange) -> None:
        """End the connection before the body is read."""
        if self._when == "head" and exchange.replica.random.random() < 0.5:
            end(exchange.connection, is_reset=self._is_reset)

    def misbehave(self, exchange: HostileExchange) -> None:
        """Run the request, and end its connection."""
        connection = exchange.connection
        if self._when == "before":
            end(connection, is_reset=self._is_reset)
            return
        if self._when == "running":
            exchange.begin_run()
            exchange.later(
                RUN_SECONDS / 2, lambda: end(connection, is_reset=self._is_reset)
            )
        elif self._when == "answer":
            exchange.begin_run()
            pieces = b"".join(exchange.make_pieces())
            exchange.visit.status = 200

            def send_part() -> None:
                exchange.write(pieces[: len(pieces) * 2 // 3])
                end(connection, is_reset=self._is_reset)

            exchange.later(RUN_SECONDS, send_part)
        else:

            def end_after() -> None:
                exchange.end()
                exchange.later(
                    RUN_SECONDS / 8, lambda: end(connection, is_reset=self._is_reset)
                )

            exchange.succeed(on_end=end_after)


class Unframed(Behaviour):
    """Responds without a length; half of these responses are reset on the way."""

    def misbehave(self, exchange: HostileExchange) -> None:
        """Run it."""
        exchange.begin_run()
        is_reset = exchange.replica.random.random() < 0.5
        body = f"{exchange.replica.name}:{exchange.attempt}".encode()
        head = format_response(200, exchange.sign(), None)

        def send() -> None:
            exchange.visit.status, exchange.visit.whole = 200, not is_reset
            exchange.write(head + body[: len(body) // 2])
            if not is_reset:
                exchange.write(body[len(body) // 2 :])
            end(exchange.connection, is_reset=is_reset)

        if "x-test-events" in exchange.headers:
            exchange.succeed()
        else:
            exchange.later(RUN_SECONDS, send)


class FewConnections(Behaviour):
    """Resets connections beyond some, and refuses a part of the requests."""

    def connect(self, connection: HostileConnection) -> None:
        """Reset a connection that is one too many."""
        if len(connection.replica.connections) > MAX_CONNECTIONS:
            connection.reset()

    def misbehave(self, exchange: HostileExchange) -> None:
        """Refuse it."""
        exchange.refuse(exchange.make_refusal())


class Leaving(Behaviour):
    """Refuses requests and announces that the connection is closed, but keeps it."""

    def misbehave(self, exchange: HostileExchange) -> None:
        """Refuse it or serve it."""
        headers = [*exchange.echo(), ("Connection", "close"), ("Server-Leaving", "1")]
        headers.append(("X-Pondquay-Not-Executed", "1"))
        response = format_response(503, headers)
        exchange.refuse(response)
        exchange.later(RUN_SECONDS / 2, lambda: exchange.write(response))


class AnotherReplica(Behaviour):
    """Responds as another replica at the address, with or without the promise."""

    def misbehave(self, exchange: HostileExchange) -> None:
        """Refuse it with 421."""
        promise = exchange.replica.random.random() < 0.5
        response = exchange.make_refusal(421, promise=promise)
        exchange.connection.surplus = response
        exchange.refuse(response)

    def serve(self, exchange: HostileExchange) -> None:
        """Repeat the refusal while the next request runs."""
        surplus, exchange.connection.surplus = exchange.connection.surplus, b""
        if not surplus:
            super().serve(exchange)
            return
        exchange.later(RUN_SECONDS / 2, lambda: exchange.write(surplus))
        exchange.succeed()


class InterimSuccess(Behaviour):
    """Sends interim responses before a success."""

    def misbehave(self, exchange: HostileExchange) -> None:
        """Serve it."""
        exchange.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        hint = [("X-Pondquay-Attempt-Id", OLDER_ATTEMPT)]
        hint.append(("X-Pondquay-Not-Executed", "1"))
        exchange.write(format_response(103, hint, None))
        exchange.succeed()


class Freeze(Behaviour):
    """Stops reading for a while, as a process does that is suspended."""

    fraction = 0.05

    def misbehave(self, exchange: HostileExchange) -> None:
        """Begin to run the request, but read and send nothing for some time."""
        for connection in list(exchange.replica.connections):
            connection.freeze(FREEZE_SECONDS)
        exchange.succeed(FREEZE_SECONDS)


class Drip(Behaviour):
    """Sends its responses in pieces that are cut anywhere."""

    def misbehave(self, exchange: HostileExchange) -> None:
        """Refuse or run it."""
        random = exchange.replica.random
        if random.random() < 0.3:
            self._send(exchange, exchange.make_refusal() * random.choice((1, 2)))
            return
        exchange.begin_run()
        exchange.visit.status, exchange.visit.whole = OK, True
        self._send(exchange, b"".join(exchange.make_pieces()))

    def _send(self, exchange: HostileExchange, data: bytes) -> None:
        if not data:
            exchange.end()
            return
        size = exchange.replica.random.randint(1, 60)
        exchange.write(data[:size])
        exchange.later(DRIP_SECONDS, lambda: self._send(exchange, data[size:]))


class InterimFlood(Behaviour):
    """Sends many interim responses, and a refusal or a success after them."""

    def misbehave(self, exchange: HostileExchange) -> None:
        """Refuse or run it."""
        for _ in range(FLOOD_PARTS):
            exchange.write(b"HTTP/1.1 100 Continue\r\n\r\n" * FLOOD_PARTS)
        if exchange.replica.random.random() < 0.5:
            exchange.refuse(exchange.make_refusal())
        else:
            exchange.succeed()


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


class Mixture(Behaviour):
    """Draws one of some behaviours for each request.

    :param parts: the behaviours
    """

    def __init__(self, parts: Sequence[Behaviour]) -> None:
        self._parts = parts

    def begin(self, exchange: HostileExchange) -> None:
        """Refuse a request before its body is read, perhaps."""
        if exchange.replica.random.random() < self.fraction / 4:
            EarlyRefusal().begin(exchange)

    def serve(self, exchange: HostileExchange) -> None:
        """Send a copy that is due, or handle a request."""
        if exchange.connection.surplus:
            when = exchange.replica.random.choice(("first", "while", "after"))
            Copies(None, when).serve(exchange)
        else:
            super().serve(exchange)

    def misbehave(self, exchange: HostileExchange) -> None:
        """Handle a request as one of the other behaviours does."""
        exchange.replica.random.choice(self._parts).misbehave(exchange)


def list_promises() -> list[Behaviour]:
    """Return behaviours whose refusals name their own request, once."""
    return [
        *(Refusal(framing=framing) for framing in FRAMINGS),
        *(
            BrokenRefusal(is_in_head=is_in_head, is_reset=is_reset)
            for is_in_head in (True, False)
            for is_reset in (True, False)
        ),
        *(RefusalThenBytes(), EmptyPromise(), OwnFailure(), Drip(), LongRefusal()),
    ]


def list_breaks() -> list[Behaviour]:
    """Return behaviours that end connections, or are silent for a while."""
    endings = ("before", "running", "answer", "after")
    return [
        *(BrokenRun(when, is_reset=True) for when in endings),
        *(BrokenRun(when, is_reset=False) for when in endings),
        *(Unframed(), Freeze(), OwnFailure()),
    ]


def list_copies() -> list[Behaviour]:
    """Return behaviours that send a response more than once."""
    return [
        *(Copies(HostileExchange.make_refusal, when) for when in COPY_TIMES),
        *(Copies(None, when) for when in COPY_TIMES),
        *(Copies(make, "while") for make in (make_misdirected, make_limited)),
        *(Leaving(), OtherConnectionCopies(), AnotherReplica(), InterimSuccess()),
    ]


def make_mixture() -> Behaviour:
    """Return a mixture of all behaviours that keep the promises of refusals."""
    return Mixture([*list_promises(), *list_breaks(), *list_copies()])


def end(connection: HostileConnection, *, is_reset: bool) -> None:
    """End a connection in order or by a reset."""
    if is_reset:
        connection.reset()
    else:
        connection.close()


def make_nameless(exchange: HostileExchange) -> bytes:
    """Return a refusal that names no request."""
    return format_response(503, [("X-Pondquay-Not-Executed", "1")])


def make_misdirected(exchange: HostileExchange) -> bytes:
    """Return a refusal of another replica, which does not state the promise."""
    return exchange.make_refusal(421, promise=False)


def make_limited(exchange: HostileExchange) -> bytes:
    """Return a refusal for too many requests."""
    return exchange.make_refusal(429)


def list_behaviours() -> dict[str, Callable[[], Behaviour]]:
    """Return the behaviours by name."""
    makers: dict[str, Callable[[], Behaviour]] = {
        "sound": Behaviour,
        "mixture": make_mixture,
        "mixture-promises": lambda: Mixture(list_promises()),
        "mixture-breaks": lambda: Mixture(list_breaks()),
        "mixture-copies": lambda: Mixture(list_copies()),
        "refusal": Refusal,
        "refusal-older-name": partial(Refusal, OLDER_ATTEMPT),
        "refusal-no-name": NamelessRefusal,
        "no-promise": EmptyPromise,
        "refusal-on-other-connections": OtherConnectionCopies,
        "refusal-then-bytes": RefusalThenBytes,
        "refusal-before-body": EarlyRefusal,
        "part-of-refusal-before-success": partial(PartBefore, 503, 200),
        "part-of-success-before-failure": partial(PartBefore, 200, 500),
        "part-of-success-before-refusal": FilledUp,
        "own-failure": OwnFailure,
        "no-length": Unframed,
        "few-connections": FewConnections,
        "leaving": Leaving,
        "another-replica": AnotherReplica,
        "interim-success": InterimSuccess,
        "freeze": Freeze,
        "drip": Drip,
        "interim-flood": InterimFlood,
        "long-refusal": LongRefusal,
        "nameless-copy-while": partial(Copies, make_nameless, "while"),
        "421-copy-while": partial(Copies, make_misdirected, "while"),
        "429-copy-while": partial(Copies, make_limited, "while"),
    }
    for framing in FRAMINGS[1:]:
        makers[f"refusal-{framing}"] = partial(Refusal, framing=framing)
    for when in COPY_TIMES:
        named = when.replace(" ", "-")
        refusal = HostileExchange.make_refusal
        makers[f"refusal-copy-{named}"] = partial(Copies, refusal, when)
        makers[f"success-copy-{named}"] = partial(Copies, None, when)
    for is_reset, ending in ((True, "reset"), (False, "closed")):
        for is_in_head, part in ((True, "head"), (False, "body")):
            makers[f"refusal-{ending}-in-{part}"] = partial(
                BrokenRefusal, is_in_head=is_in_head, is_reset=is_reset
            )
        for when in ("opened", "head", "before", "running", "answer", "after"):
            makers[f"{ending}-{when}"] = partial(BrokenRun, when, is_reset=is_reset)
    return makers
