"""Transports whose other end reads only when the test says so."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from .conftest import CallerTransport

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .conftest import UpstreamEnd

# As in Twisted, whose transports ask a producer to pause above this size.
LIMIT_BYTES = 1 << 16


class SlowTransport(CallerTransport):
    """Keeps what is written until the test reads it, as a TCP transport would."""

    def __init__(self) -> None:
        super().__init__()
        self.unsent = b""
        self._producer_paused = False

    def write(self, data: bytes) -> None:
        self.unsent += data
        if len(self.unsent) <= LIMIT_BYTES or self._producer_paused:
            return
        if self.producer is not None:
            self._producer_paused = True
            self.producer.pauseProducing()

    def writeSequence(self, data: Iterable[bytes]) -> None:
        self.write(b"".join(data))

    def read(self, size: int) -> None:
        """Read some bytes at the other end."""
        super().write(self.unsent[:size])
        self.unsent = self.unsent[size:]
        if not self.unsent and self._producer_paused:
            self._producer_paused = False
            self.producer.resumeProducing()

    def abortConnection(self) -> None:
        super().abortConnection()
        self.unsent = b""


class SendingUpstream:
    """Sends a response in pieces, as long as the relay reads."""

    def __init__(self, end: UpstreamEnd, response: bytes) -> None:
        self.end = end
        self.unsent = response

    @property
    def is_read(self) -> bool:
        return bool(self.end.transport.producerState == "producing")

    def send(self) -> None:
        """Send until the relay stops reading."""
        while self.unsent and self.is_read and not self.end.transport.disconnecting:
            piece, self.unsent = self.unsent[:LIMIT_BYTES], self.unsent[LIMIT_BYTES:]
            self.end.send(piece)


def read_all(transport: SlowTransport, upstream: SendingUpstream) -> None:
    """Read until nothing more arrives."""
    upstream.send()
    while transport.unsent:
        transport.read(len(transport.unsent))
        upstream.send()


def make_response(body: bytes, *headers: bytes) -> bytes:
    """Return a response with a length."""
    lines = [b"HTTP/1.1 200 OK", b"Content-Length: %d" % len(body), *headers]
    return b"\r\n".join([*lines, b"", body])


def make_chunked(body: bytes, *, complete: bool = True) -> bytes:
    """Return a response in one chunk."""
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    end = b"0\r\n\r\n" if complete else b""
    return head + b"%x\r\n%b\r\n" % (len(body), body) + end


def body_of(transport: Any) -> bytes:
    """Return the body that the other end has read."""
    body: bytes = transport.value().partition(b"\r\n\r\n")[2]
    return body
