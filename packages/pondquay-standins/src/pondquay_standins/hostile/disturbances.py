"""Behaviours of replicas that end connections, fail or are slow."""

from __future__ import annotations

from pondquay_standins.hostile.exchanges import (
    OK,
    OLDER_ATTEMPT,
    RUN_SECONDS,
    Behaviour,
    HostileConnection,
    HostileExchange,
    end_connection,
    format_response,
)

FREEZE_SECONDS = 1.0
MAX_CONNECTIONS = 2
DRIP_SECONDS = 0.002
FLOOD_PARTS = 20


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
            end_connection(connection, is_reset=self._is_reset)

    def begin(self, exchange: HostileExchange) -> None:
        """End the connection before the body is read."""
        if self._when == "head" and exchange.replica.random.random() < 0.5:
            end_connection(exchange.connection, is_reset=self._is_reset)

    def misbehave(self, exchange: HostileExchange) -> None:
        """Run the request, and end its connection."""
        connection = exchange.connection
        if self._when == "before":
            end_connection(connection, is_reset=self._is_reset)
            return
        if self._when == "running":
            exchange.begin_run()
            exchange.later(
                RUN_SECONDS / 2,
                lambda: end_connection(connection, is_reset=self._is_reset),
            )
        elif self._when == "answer":
            exchange.begin_run()
            pieces = b"".join(exchange.make_pieces())
            exchange.visit.status = 200

            def send_part() -> None:
                exchange.write(pieces[: len(pieces) * 2 // 3])
                end_connection(connection, is_reset=self._is_reset)

            exchange.later(RUN_SECONDS, send_part)
        else:

            def end_after() -> None:
                exchange.end()
                exchange.later(
                    RUN_SECONDS / 8,
                    lambda: end_connection(connection, is_reset=self._is_reset),
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
            end_connection(exchange.connection, is_reset=is_reset)

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
