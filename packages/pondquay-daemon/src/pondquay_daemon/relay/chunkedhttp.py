"""HTTP connections that pass the chunks of a body on without the states of h11.

A stream has one short chunk for each event, and for each of them h11 makes an event
object and checks several states. Here whole chunks in their plainest form are taken
apart and framed directly. All else is left to h11: heads, trailers, the last chunk,
other framings, a chunk that arrives in several reads, and a body from the first
irregular chunk on.
"""

from __future__ import annotations

import re
from typing import Any

import h11

from pondquay_daemon.relay.headlimits import HeadLimits

CRLF = b"\r\n"
HEAD_END = b"\r\n\r\n"
CHUNKED = (b"transfer-encoding", b"chunked")
CHUNKED_LINE = b"\r\ntransfer-encoding: chunked\r\n"
# Statuses whose responses have no body, whatever their headers say.
NO_BODY_STATUSES = (204, 304)
# The size line of a chunk that is not the last one and has no extensions.
_SIZE_LINE = re.compile(rb"(?!0+\r)([0-9A-Fa-f]{1,8})\r\n")
# Bytes that may be the beginning of such a line.
_BEGUN_SIZE_LINE = re.compile(rb"(?!0+\r)([0-9A-Fa-f]{1,8}\r?)?")


def split_chunks(data: bytes) -> tuple[bytes, bytes]:
    """Return the content of the whole chunks at the start of some bytes, and the rest.

    The rest begins with the size line of the first chunk that is irregular, incomplete
    or the last one.
    """
    contents = []
    start = 0
    while match := _SIZE_LINE.match(data, start):
        begin = match.end()
        end = begin + int(match[1], 16)
        if data[end : end + len(CRLF)] != CRLF:
            break
        contents.append(data[begin:end])
        start = end + len(CRLF)
    return b"".join(contents), data[start:]


def encode_chunk(data: bytes) -> bytes:
    """Return some bytes of a body as a chunk; nothing if there are none."""
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""


class ClientHttp(h11.Connection):
    """The client's side of a connection."""

    def __init__(self, max_head_bytes: int) -> None:
        super().__init__(h11.CLIENT, max_incomplete_event_size=max_head_bytes)
        self._limits = HeadLimits(max_head_bytes)
        self._is_head = False
        # Whether chunks are taken apart.
        self._in_chunks = False
        # Whether h11 reads a chunk, and the bytes of it that have yet to arrive.
        self._is_chunk_split = False
        self._chunk_left = 0
        # Bytes that h11 has not read yet.
        self._ahead = b""

    def send(self, event: Any) -> Any:
        """Return the bytes of an event."""
        if isinstance(event, h11.Request):
            self._is_head = event.method == b"HEAD"
        return super().send(event)

    def receive_data(self, data: bytes) -> None:
        """Take received bytes; none mean that the peer has closed."""
        if self._in_chunks and data:
            self._ahead += data
            return
        if self._in_chunks:
            self._leave_chunks()
        if data and self.their_state is h11.SEND_RESPONSE:
            head, end, self._ahead = data.partition(HEAD_END)
            data = head + end
            self._limits.add(data)
        super().receive_data(data)

    def next_event(self) -> Any:
        """Return the next event, as that of :class:`h11.Connection`."""
        if self._in_chunks:
            return self._next_in_chunks()
        is_in_head = self.their_state is h11.SEND_RESPONSE
        event = super().next_event()
        if is_in_head:
            self._limits.check(event, lambda: self.trailing_data[0])
        if isinstance(event, h11.Response):
            self._in_chunks = self._may_split(event)
        if self._ahead:
            ahead, self._ahead = self._ahead, b""
            self.receive_data(ahead)
            if event is h11.NEED_DATA:
                return self.next_event()
        return event

    def _next_in_chunks(self) -> Any:
        """Return the next event of a body whose chunks are taken apart."""
        if self._is_chunk_split:
            event = self._next_in_split_chunk()
            if event is not h11.NEED_DATA or self._is_chunk_split:
                return event
        content, self._ahead = split_chunks(self._ahead)
        if content:
            return h11.Data(data=content)
        if _BEGUN_SIZE_LINE.fullmatch(self._ahead):
            return h11.NEED_DATA
        if match := _SIZE_LINE.match(self._ahead):
            self._is_chunk_split = True
            self._chunk_left = match.end() + int(match[1], 16) + len(CRLF)
            return self._next_in_split_chunk()
        self._leave_chunks()
        return super().next_event()

    def _next_in_split_chunk(self) -> Any:
        """Return the next event of a chunk that arrives in several reads."""
        data = self._ahead[: self._chunk_left]
        self._ahead = self._ahead[len(data) :]
        self._chunk_left -= len(data)
        if data:
            super().receive_data(data)
        event = super().next_event()
        if event is h11.NEED_DATA and not self._chunk_left:
            self._is_chunk_split = False
        return event

    def _leave_chunks(self) -> None:
        """Let h11 read the rest of the body."""
        self._in_chunks = self._is_chunk_split = False
        self._chunk_left = 0
        ahead, self._ahead = self._ahead, b""
        if ahead:
            super().receive_data(ahead)

    def _may_split(self, response: h11.Response) -> bool:
        """Return whether the chunks of a response may be taken apart here."""
        return (
            CHUNKED in response.headers
            and response.status_code not in NO_BODY_STATUSES
            and not self._is_head
            and not self.trailing_data[0]
        )


class ServerHttp(h11.Connection):
    """The server's side of a connection."""

    def __init__(self, max_head_bytes: int) -> None:
        super().__init__(h11.SERVER, max_incomplete_event_size=max_head_bytes)
        self._is_head = False
        self._sends_chunks = False

    def limit_head(self, max_head_bytes: int) -> None:
        """Set the maximum size of the head of the next request."""
        self._max_incomplete_event_size = max_head_bytes

    def next_event(self) -> Any:
        """Return the next event, as that of :class:`h11.Connection`."""
        event = super().next_event()
        if isinstance(event, h11.Request):
            self._is_head = event.method == b"HEAD"
        return event

    def send(self, event: Any) -> Any:
        """Return the bytes of an event."""
        if self._sends_chunks and isinstance(event, h11.Data):
            return encode_chunk(event.data)
        self._sends_chunks = False
        sent = super().send(event)
        if sent and isinstance(event, h11.Response):
            self._sends_chunks = (
                CHUNKED_LINE in sent.lower()
                and event.status_code not in NO_BODY_STATUSES
                and not self._is_head
            )
        return sent
