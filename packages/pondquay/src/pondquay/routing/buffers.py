"""Bytes that an instance keeps for callers, upstreams and peers, and which give way.

One limit bounds the bytes of all connections. Above it, connections are broken off
whose other end has read nothing for the longest time, plain responses before streams.
Nothing else gives way: a connection that is being read is never broken off.

Bodies of requests grow only while there is room. Since each holds what it has until it
is complete and served, several could fill the room together and wait for each other.
So one of them at a time may grow beyond the limit.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Kept by all connections together where the memory of the instance is not known.
DEFAULT_LIMIT_BYTES = 16 << 20
MIN_LIMIT_BYTES = 4 << 20
# The process, its tables and links take the rest.
LIMIT_MEMORY_FRACTION = 0.1
# Unsent bytes of one connection above which its source is no longer read.
MAX_UNSENT_BYTES = 64 << 10
# Bytes of a plain response that are collected before it is forwarded. A response that
# breaks within them can be retried, since its caller has received nothing.
MAX_COLLECTED_BYTES = 128 << 10


class Content(IntEnum):
    """What a buffer holds; lower values give way first.

    A caller can repeat a plain request, while a stream may have run for long.
    """

    RESPONSE = 0
    STREAM = 1
    # Bytes of accepted work, which never give way.
    WORK = 2


@dataclass(slots=True, eq=False)
class Buffer:
    """The bytes that are kept for one connection.

    :param discard: breaks off the connection
    :ivar size: bytes that are kept
    :ivar unread_since: time since which the other end has read nothing, in seconds,
        ``None`` while it reads
    """

    pool: BufferPool
    discard: Callable[[], None]
    content: Content = Content.RESPONSE
    size: int = 0
    unread_since: float | None = None

    def resize(self, size: int) -> None:
        """Set the number of bytes that are kept; the pool may discard buffers."""
        self.pool.resize(self, size)

    @property
    def may_give_way(self) -> bool:
        """Whether the connection may be broken off to free memory."""
        return self.unread_since is not None and self.content is not Content.WORK


class BufferPool:
    """Bounds the bytes that all connections of an instance keep.

    :param limit: bytes
    :ivar total: bytes that are kept
    :ivar discarded: number of buffers that gave way
    """

    def __init__(self, limit: int = DEFAULT_LIMIT_BYTES) -> None:
        self.limit = limit
        self.total = 0
        self.discarded = 0
        self._filled: set[Buffer] = set()
        # In the order in which they began to wait.
        self._waiting: dict[Buffer, Callable[[], None]] = {}
        # The buffer that may grow beyond the limit.
        self._exempt: Buffer | None = None

    @property
    def has_room(self) -> bool:
        """Whether further bytes may be read that need not be kept."""
        return self.total < self.limit

    def open(
        self, discard: Callable[[], None], content: Content = Content.RESPONSE
    ) -> Buffer:
        """Return an empty buffer.

        :param discard: breaks off the connection, which sets the size to 0
        """
        return Buffer(self, discard, content)

    def open_work(self) -> Buffer:
        """Return an empty buffer that never gives way."""
        return self.open(lambda: None, Content.WORK)

    def resize(self, buffer: Buffer, size: int) -> None:
        """Set the size of a buffer, and let buffers give way if the total is too big.

        :param size: bytes
        """
        grows = size > buffer.size
        self.total += size - buffer.size
        buffer.size = size
        if size:
            self._filled.add(buffer)
        else:
            self._release(buffer)
        if grows:
            self._discard_surplus()
        elif self._waiting:
            self._wake()

    def choose_discarded(self) -> list[Buffer]:
        """Return the buffers that give way, in order, so that the rest fits."""
        surplus = self.total - self.limit
        if surplus <= 0:
            return []
        chosen = []
        candidates = [buffer for buffer in self._filled if buffer.may_give_way]
        for buffer in sorted(candidates, key=_rank):
            chosen.append(buffer)
            surplus -= buffer.size
            if surplus <= 0:
                break
        return chosen

    def may_grow(self, buffer: Buffer) -> bool:
        """Return whether more of a request may be read into a buffer.

        Without room, the first buffer that asks may grow until it is emptied.
        """
        if self.has_room:
            return True
        if self._exempt is None:
            self._exempt = buffer
        return self._exempt is buffer

    def wait_for_room(self, buffer: Buffer, wake: Callable[[], None]) -> None:
        """Call a function once a buffer may grow, unless it is emptied before."""
        self._waiting[buffer] = wake

    def stop_waiting(self, buffer: Buffer) -> None:
        """Let a buffer wait no longer, since it will not grow."""
        self._waiting.pop(buffer, None)

    def count_waiting(self) -> int:
        """Return the number of buffers that wait until they may grow."""
        return len(self._waiting)

    def count_unread(self) -> int:
        """Return the number of connections whose other end has stopped reading."""
        return sum(buffer.unread_since is not None for buffer in self._filled)

    def _discard_surplus(self) -> None:
        for buffer in self.choose_discarded():
            self.discarded += 1
            buffer.discard()

    def _release(self, buffer: Buffer) -> None:
        """Forget a buffer that was emptied."""
        self._filled.discard(buffer)
        self.stop_waiting(buffer)
        if self._exempt is buffer:
            self._exempt = None

    def _wake(self) -> None:
        """Let all buffers grow if there is room, otherwise the one that waits longest.

        At most one may grow without room.
        """
        if self.has_room:
            waiting, self._waiting = self._waiting, {}
            for wake in waiting.values():
                wake()
        elif self._exempt is None:
            self._exempt = next(iter(self._waiting))
            self._waiting.pop(self._exempt)()


def choose_limit(memory: float | None) -> int:
    """Return the limit of all buffers of an instance, in bytes.

    :param memory: bytes that the process may use, ``None`` if unknown
    """
    if not memory:
        return DEFAULT_LIMIT_BYTES
    return max(MIN_LIMIT_BYTES, int(memory * LIMIT_MEMORY_FRACTION))


def _rank(buffer: Buffer) -> tuple[Content, float]:
    return buffer.content, buffer.unread_since or 0.0
