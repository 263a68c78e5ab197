"""Bodies of responses, read within a limit of bytes."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone, ResponseFailed

from pondquay_daemon.readtimers import ReadCounter

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from twisted.internet.interfaces import IReactorTime

# An explanation that comes with a status is short and complete.
MAX_DISCARDED_BYTES = 65536
MAX_DISCARD_SECONDS = 1.0


class BodyTooLongError(Exception):
    """A body has more bytes than a response of its kind needs."""


def abort_body(receiver: Protocol) -> None:
    """Abort the connection of a body that a protocol receives, unless it has ended."""
    transport: Any = receiver.transport
    if transport is not None:
        transport.abortConnection()


class _Collector(Protocol):
    """Collects a body, and aborts the connection of one that is too long.

    :ivar collected: fires with the body; its cancellation aborts the connection
    """

    def __init__(self, max_bytes: int, reads: ReadCounter) -> None:
        self._max_bytes = max_bytes
        self._reads = reads
        self._parts: list[bytes] = []
        self._size = 0
        self.collected: Deferred[bytes] = Deferred(lambda _: abort_body(self))

    def dataReceived(self, data: bytes) -> None:
        """Collect a part."""
        self._reads.note()
        if self.collected.called:
            return
        self._size += len(data)
        if self._size > self._max_bytes:
            abort_body(self)
            self._fail(BodyTooLongError(f"over {self._max_bytes} bytes"))
            return
        self._parts.append(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Report the body if it is complete."""
        if self.collected.called:
            return
        if reason.check(ResponseDone):
            self.collected.callback(b"".join(self._parts))
        else:
            self.collected.errback(reason)

    def _fail(self, error: Exception) -> None:
        self._parts.clear()
        self.collected.errback(Failure(ResponseFailed([Failure(error)])))


def read_body(
    response: Any, max_bytes: int, reads: ReadCounter | None = None
) -> Awaitable[bytes]:
    """Return the complete body of an unbuffered response.

    :param reads: counts the parts that are read
    :raises ResponseFailed: if it is incomplete or has more than ``max_bytes``
    """
    collector = _Collector(max_bytes, reads or ReadCounter())
    response.deliverBody(collector)
    return collector.collected


class _Discarder(Protocol):
    """Ignores a body, and aborts the connection of one that does not end soon."""

    def __init__(self, clock: IReactorTime) -> None:
        self._left = MAX_DISCARDED_BYTES
        self._timer = clock.callLater(MAX_DISCARD_SECONDS, abort_body, self)

    def dataReceived(self, data: bytes) -> None:
        """Count a part."""
        self._left -= len(data)
        if self._left < 0:
            abort_body(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Stop waiting for the end."""
        if self._timer.active():
            self._timer.cancel()


def discard_body(response: Any, clock: IReactorTime) -> None:
    """Ignore the body of an unbuffered response, without a wait for its end.

    The connection is used again if the body ends within ``MAX_DISCARD_SECONDS`` and
    ``MAX_DISCARDED_BYTES``, and aborted otherwise.
    """
    response.deliverBody(_Discarder(clock))


def parse_json(content: bytes) -> Any:
    """Parse a body as JSON.

    :raises ValueError: if it is not valid JSON, or nested too deeply
    """
    try:
        return json.loads(content)
    except RecursionError as error:
        raise ValueError("nested too deeply") from error
