"""Plain responses, which are collected as long as they are short."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay.routing.buffers import MAX_COLLECTED_BYTES
from pondquay_daemon.relay.heads import drop_connection_headers, find_body_length

if TYPE_CHECKING:
    from pondquay.routing.buffers import Buffer
    from pondquay_daemon.relay.handlers import CallerResponse
    from pondquay_daemon.relay.messages import ResponseHead


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
        self._parts: list[bytes] = []
        self.forwarding = False

    def add(self, data: bytes) -> bool:
        """Add a part of the body.

        :returns: whether this part made the body too long to be kept, so that
            ``forward`` must be called
        """
        if self.forwarding:
            self._response.send(data)
            return False
        self._parts.append(data)
        self._buffer.resize(self._buffer.size + len(data))
        return self._buffer.size > MAX_COLLECTED_BYTES

    def forward(self, head: ResponseHead) -> None:
        """Forward what was collected, and from now on everything as it arrives."""
        self.forwarding = True
        headers = drop_connection_headers(head.headers)
        length = find_body_length(head.headers)
        if length is not None:
            headers.append((b"Content-Length", b"%d" % length))
        self._response.begin(head.status, headers, self.take())

    def take(self) -> bytes:
        """Remove and return what was collected."""
        body = b"".join(self._parts)
        self.discard()
        return body

    def discard(self) -> None:
        """Discard what was collected."""
        self._parts.clear()
        self._buffer.resize(0)
