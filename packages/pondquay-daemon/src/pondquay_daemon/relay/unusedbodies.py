"""Bodies of responses that are read only to keep their connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.interfaces import IDelayedCall, IReactorTime

# A body that is not used is read within these bounds, since its connection can be used
# again after its end. A longer one costs more than a new connection.
MAX_UNUSED_BYTES = 16 << 10
MAX_UNUSED_SECONDS = 0.1


class UnusedBody:
    """Bounds the body of a response whose head decides the outcome.

    :param on_exceeded: called once, when the body is longer or lasts longer
    """

    def __init__(self, clock: IReactorTime, on_exceeded: Callable[[], None]) -> None:
        self._clock = clock
        self._on_exceeded = on_exceeded
        self._left = MAX_UNUSED_BYTES
        self._timer: IDelayedCall = clock.callLater(MAX_UNUSED_SECONDS, self._check)

    def add(self, data: bytes) -> None:
        """Note a part of the body."""
        self._left -= len(data)
        if self._left < 0:
            self.stop()
            self._on_exceeded()

    def stop(self) -> None:
        """Note that the body has ended."""
        if self._timer.active():
            self._timer.cancel()

    def _check(self) -> None:
        # After a stall of the process, timers fire before waiting data is read.
        self._timer = self._clock.callLater(0, self._on_exceeded)
