"""Long bodies that arrive together, and others that arrive after them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import pytest

from .conftest import STEP_SECONDS, CallerTransport, RelaySide

LIMIT_BYTES = 30 << 20
BODY_BYTES = 4 << 20
ORDINARY_BYTES = 100_000
PIECE_BYTES = 1 << 18
TIMEOUT_SECONDS = 2.0
LENGTH = "Content-Length: %d\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n"


@dataclass
class Sender:
    """A caller that sends a body in pieces while the relay reads.

    :param stops_at: bytes after which it sends nothing more
    """

    protocol: Any
    transport: CallerTransport
    size: int
    chunked: bool
    stops_at: int
    sent: int = 0

    @property
    def status(self) -> bytes:
        """The status of its response, empty if there is none."""
        return self.transport.value().partition(b" ")[2][:3]

    def send(self) -> None:
        """Send the next piece if the relay reads."""
        if self.transport.producerState != "producing" or self.status:
            return
        piece = b"y" * min(PIECE_BYTES, self.stops_at - self.sent)
        if not piece:
            return
        self.sent += len(piece)
        if self.chunked:
            piece = b"%x\r\n%b\r\n" % (len(piece), piece)
            piece += b"0\r\n\r\n" if self.sent == self.size else b""
        self.protocol.dataReceived(piece)


class LongBodies:
    """A relay and callers that send bodies to it."""

    def __init__(self, relay: RelaySide) -> None:
        self.relay = relay
        relay.store.put_upstream("u1", "10.0.0.1:80")
        relay.start()
        relay.run_for(1.0)
        self.buffers = relay.relay._components.buffers
        self.buffers.limit = LIMIT_BYTES
        self.most = 0
        self.senders: list[Sender] = []

    def begin(
        self, size: int, *, chunked: bool = False, stops_at: int | None = None
    ) -> Sender:
        """Send the head of a request."""
        transport = CallerTransport()
        protocol = self.relay.connect_idle_caller(transport)
        framing = CHUNKED if chunked else LENGTH % size
        protocol.dataReceived(
            f"POST /once/x HTTP/1.1\r\nHost: h\r\n{framing}\r\n".encode()
        )
        stops_at = size if stops_at is None else stops_at
        sender = Sender(protocol, transport, size, chunked, stops_at)
        self.senders.append(sender)
        return sender

    def run_for(self, seconds: float) -> None:
        """Let all callers send, and the upstream respond."""
        for _ in range(round(seconds / STEP_SECONDS)):
            for sender in self.senders:
                sender.send()
                self.most = max(self.most, self.buffers.total)
            self.relay.clock.advance(STEP_SECONDS)
            self.relay.serve_connections(())


@pytest.fixture
def bodies(relay: RelaySide) -> LongBodies:
    return LongBodies(relay)


# Guards against bodies that fill the room together, so that none can be completed.
@pytest.mark.parametrize("chunked", [False, True])
def test_bodies_that_fill_the_room_together_are_all_served(
    bodies: LongBodies, chunked: bool
) -> None:
    senders = [bodies.begin(BODY_BYTES, chunked=chunked) for _ in range(10)]
    bodies.run_for(TIMEOUT_SECONDS)
    assert [sender.status for sender in senders] == [b"200"] * 10
    assert bodies.most <= LIMIT_BYTES + BODY_BYTES + 10 * PIECE_BYTES
    assert bodies.buffers.total == 0


# Guards against callers that stop to send and hold the room of all others.
def test_requests_are_answered_in_time_while_bodies_are_stalled(
    bodies: LongBodies,
) -> None:
    stalled = [bodies.begin(BODY_BYTES, stops_at=BODY_BYTES - 1) for _ in range(10)]
    bodies.run_for(0.5)
    later = [bodies.begin(ORDINARY_BYTES) for _ in range(10)]
    bodies.run_for(TIMEOUT_SECONDS)
    assert all(sender.status in (b"408", b"503") for sender in stalled)
    assert [sender.status for sender in later] == [b"200"] * 10
    assert bodies.buffers.total == 0
