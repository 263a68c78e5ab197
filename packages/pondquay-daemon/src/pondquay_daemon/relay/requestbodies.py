"""Bodies of requests, which are read only while there is room for them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from pondquay.routing.buffers import BufferPool


class RequestBody:
    """The body of the request that a connection reads or serves.

    It is kept until the response ends, as the request may be sent again.

    :param buffers: accounts for the bytes
    :param on_pause: called when there is no room for more
    :param on_resume: called when more may be read
    :ivar size: bytes that were read
    :ivar waiting: whether no more may be read
    """

    def __init__(
        self,
        buffers: BufferPool,
        on_pause: Callable[[], None],
        on_resume: Callable[[], None],
    ) -> None:
        self._buffers = buffers
        self._buffer = buffers.open_work()
        self._on_pause = on_pause
        self._on_resume = on_resume
        self._parts: list[bytes] = []
        self.size = 0
        self.waiting = False

    def add(self, data: bytes) -> None:
        """Keep a part of the body, and pause if there is no room for another."""
        self._parts.append(data)
        self.size += len(data)
        self._buffer.resize(self.size)
        if self.waiting or self._buffers.may_grow(self._buffer):
            return
        self.waiting = True
        self._buffers.wait_for_room(self._buffer, self._resume)
        self._on_pause()

    def take(self) -> bytes:
        """Return the complete body; its bytes still count."""
        body = b"".join(self._parts)
        self._parts = []
        if self.waiting:
            self._buffers.stop_waiting(self._buffer)
            self._resume()
        return body

    def discard(self) -> None:
        """Keep nothing, and wait for nothing."""
        self._parts = []
        self.size = 0
        self.waiting = False
        self._buffer.resize(0)

    def _resume(self) -> None:
        self.waiting = False
        self._on_resume()
