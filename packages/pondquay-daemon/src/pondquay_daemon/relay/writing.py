"""Writers that hand a transport only what it can send, and keep the rest."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any

from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

from pondquay.routing.buffers import MAX_UNSENT_BYTES

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.interfaces import IReactorTime

    from pondquay.routing.buffers import Buffer

# Upper bound of what a paused transport keeps: its own limit, and one piece beyond it.
TRANSPORT_BYTES = 2 * MAX_UNSENT_BYTES


@implementer(IPushProducer)
class PausingWriter:
    """Writes to a transport until it is full, and goes on when it is empty.

    :param buffer: accounts for the bytes that are kept
    :param on_change: called when the writer pauses, also again after it has sent
        something, and when it has sent everything
    :ivar paused: whether the transport is full
    """

    def __init__(
        self,
        clock: IReactorTime,
        transport: Any,
        buffer: Buffer,
        on_change: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._transport = transport
        self._buffer = buffer
        self._on_change = on_change
        self._waiting: deque[bytes] = deque()
        self._waiting_size = 0
        self._closing = False
        self._stopped = False
        self.paused = False
        transport.registerProducer(self, True)

    def write(self, data: bytes) -> None:
        """Write data, or keep it while the transport is full."""
        if self._stopped or not data:
            return
        if not self.paused and len(data) <= MAX_UNSENT_BYTES:
            self._transport.write(data)
            return
        self._keep(data)
        if not self.paused:
            self._flush()
        self._account()

    def close(self) -> None:
        """Close the connection once everything is sent."""
        self._closing = True
        if not self.paused and not self._stopped:
            self._lose_connection()

    def stop(self) -> None:
        """Discard what is kept, since the connection is lost."""
        self._stopped = True
        self.paused = False
        self._waiting.clear()
        self._waiting_size = 0
        self._buffer.unread_since = None
        self._buffer.resize(0)

    def pauseProducing(self) -> None:
        """Note that the transport is full."""
        if self._stopped or self.paused:
            return
        self.paused = True
        self._buffer.unread_since = self._clock.seconds()
        self._account()
        self._on_change()

    def resumeProducing(self) -> None:
        """Continue, since the transport has sent everything."""
        if self._stopped or not self.paused:
            return
        self.paused = False
        self._buffer.unread_since = None
        self._flush()
        self._account()
        if self.paused or self._stopped:
            return
        if self._closing:
            self._lose_connection()
        self._on_change()

    def stopProducing(self) -> None:
        """Discard what is kept, since the connection is lost."""
        self.stop()

    def _keep(self, data: bytes) -> None:
        self._waiting.append(data)
        self._waiting_size += len(data)

    def _flush(self) -> None:
        """Write in pieces, so that a transport exceeds its limit by one at most."""
        while self._waiting and not self.paused:
            data = self._waiting.popleft()
            self._waiting_size -= len(data)
            piece, rest = data[:MAX_UNSENT_BYTES], data[MAX_UNSENT_BYTES:]
            if rest:
                self._waiting.appendleft(rest)
                self._waiting_size += len(rest)
            self._transport.write(piece)

    def _account(self) -> None:
        if self._stopped:
            return
        in_transport = TRANSPORT_BYTES if self.paused else 0
        self._buffer.resize(in_transport + self._waiting_size)

    def _lose_connection(self) -> None:
        # A transport with a producer would wait for it before it closes.
        self._transport.unregisterProducer()
        self._transport.loseConnection()
        self.stop()
