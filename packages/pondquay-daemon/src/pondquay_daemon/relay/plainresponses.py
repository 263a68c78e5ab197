"""Plain responses, which are collected as long as they are short."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay.routing.buffers import MAX_COLLECTED_BYTES
from pondquay_daemon.relay.heads import drop_connection_headers, find_body_length

if TYPE_CHECKING:
    from pondquay.routing.buffers import Buffer
    from pondquay_daemon.relay.handlers import CallerResponse
    from pondquay_daemon.relay.messages import ResponseHead

# Bytes that a caller may still read of a response after its time limit. Whoever sends
# more, or does not say how many, need not come to an end.
MAX_LATE_BYTES = 16 << 20


class PlainResponse:
    """One upstream's plain response to a request.

    It is collected, so that the request can be sent again if it breaks, and forwarded
    as it arrives once it is too long to be kept.

    :param response: the caller's response
    :param buffer: accounts for the collected bytes
    :ivar forwarding: whether it is forwarded as it arrives
    """

    def __init__(self, response: CallerResponse, buffer: Buffer) -> None:
        self._response = response
        self._buffer = buffer
        # Separate parts would take more memory than is accounted for.
        self._collected = bytearray()
        # Bytes of the body that have not arrived, if its length is known.
        self._left: int | None = None
        self.forwarding = False

    @property
    def may_end_late(self) -> bool:
        """Whether little of it is left, so that its caller may read it late."""
        return self._left is not None and self._left <= MAX_LATE_BYTES

    def add(self, data: bytes) -> bool:
        """Add a part of the body.

        :returns: whether this part made the body too long to be kept, so that
            ``forward`` must be called
        """
        if self.forwarding:
            if self._left is not None:
                self._left -= len(data)
            self._response.send(data)
            return False
        self._collected += data
        self._buffer.resize(len(self._collected))
        return len(self._collected) > MAX_COLLECTED_BYTES

    def forward(self, head: ResponseHead) -> None:
        """Forward what was collected, and from now on everything as it arrives."""
        self.forwarding = True
        headers = drop_connection_headers(head.headers)
        length = find_body_length(head.headers)
        if length is not None:
            headers.append((b"Content-Length", b"%d" % length))
            self._left = length - len(self._collected)
        self._response.begin(head.status, headers, self.take())

    def take(self) -> bytes:
        """Remove and return what was collected."""
        body = bytes(self._collected)
        self.discard()
        return body

    def discard(self) -> None:
        """Discard what was collected."""
        self._collected.clear()
        self._buffer.resize(0)
