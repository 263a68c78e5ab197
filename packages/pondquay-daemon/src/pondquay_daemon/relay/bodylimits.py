"""Limits of bodies that are not, or may not be, used."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay_daemon.relay.deferredtimers import DeferredTimer

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.interfaces import IReactorTime

# A body that is not used is read within these bounds, since its connection can be used
# again after its end. A longer one costs more than a new connection.
MAX_UNUSED_BYTES = 16 << 10
MAX_UNUSED_SECONDS = 0.1
# Time in which the body of a failure must end if the request may be sent elsewhere.
MAX_FAILURE_SECONDS = 0.3


class BodyLimits:
    """Limits the length and the duration of a body.

    :param on_exceeded: called once, when the body is longer or lasts longer
    """

    def __init__(
        self,
        clock: IReactorTime,
        max_bytes: int,
        max_seconds: float,
        on_exceeded: Callable[[], None],
    ) -> None:
        self._left = max_bytes
        self._on_exceeded = on_exceeded
        self._timer = DeferredTimer(clock)
        self._timer.start(max_seconds, on_exceeded)

    def add(self, data: bytes) -> None:
        """Note a part of the body."""
        self._timer.note_read()
        self._left -= len(data)
        if self._left < 0 and self._timer.active:
            self._timer.stop()
            self._on_exceeded()

    def stop(self) -> None:
        """Limit the body no longer."""
        self._timer.stop()
