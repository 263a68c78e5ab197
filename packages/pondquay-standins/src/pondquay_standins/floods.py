"""Responses without an end, which a replica sends as fast as its peer reads."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from twisted.internet.interfaces import IPullProducer
from zope.interface import implementer

if TYPE_CHECKING:
    from collections.abc import Sequence

# Bytes that are written at once.
PIECE_BYTES = 1 << 16
# A comment of a stream, which is no event.
COMMENT = b":\n\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"


@dataclass(frozen=True, slots=True)
class EndlessResponse:
    """A response without an end.

    :param first: bytes before the headers of the replica
    :param second: bytes after them; if empty, the head has no further part
    :param piece: is repeated without end
    """

    first: bytes
    second: bytes
    piece: bytes

    def begin(self, headers: Sequence[tuple[str, str]]) -> bytes:
        """Return the bytes before those that are repeated.

        :param headers: headers of the replica
        """
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
        return self.first + (lines.encode() if self.second else b"") + self.second


# What a replica sends in turn.
ENDLESS_RESPONSES = (
    EndlessResponse(b"", b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    EndlessResponse(b"HTTP/1.1 200 OK\r\n", CHUNKED + b"\r\n", b"1\r\nx\r\n"),
    EndlessResponse(b"HTTP/1.1 200 ", b"", b"x"),
    EndlessResponse(b"HTTP/1.1 500 No\r\n", b"\r\n", b"x"),
    EndlessResponse(b"HTTP/1.1 200 OK\r\n", CHUNKED + b"\r\n1;", b"x"),
    EndlessResponse(b"", b"", b"\x15\x03"),
    EndlessResponse(b"HTTP/1.1 200 OK\r\n", b"\r\n", COMMENT),
    EndlessResponse(b"HTTP/1.1 200 OK\r\n", b"\r\nid: 1\ndata: ", b"x"),
)
# The same of requests that it refuses.
ENDLESS_REFUSALS = (
    EndlessResponse(b"HTTP/1.1 503 No\r\n", CHUNKED + b"\r\n", b"1\r\nx\r\n"),
    EndlessResponse(b"HTTP/1.1 503 No\r\n", b"\r\n", b"x"),
)


@implementer(IPullProducer)
class Flood:
    """Writes to a transport whenever it has sent everything, until it is lost."""

    def __init__(self, transport: Any, response: EndlessResponse) -> None:
        self._transport = transport
        count = PIECE_BYTES // len(response.piece)
        self._data = response.piece * count

    def resumeProducing(self) -> None:
        """Write further bytes."""
        self._transport.write(self._data)

    def stopProducing(self) -> None:
        """Do nothing, since the connection is lost."""
