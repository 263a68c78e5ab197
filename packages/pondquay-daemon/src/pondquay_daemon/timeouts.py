"""Timeouts that end a wait only after the data that has arrived is read."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.interfaces import IDelayedCall, IReactorTime


class Timeout:
    """Calls a function once a time has passed.

    After a stall of the process, the event loop runs timers before it reads data that
    has arrived. So the function is called one iteration later.

    :param seconds: time after which the function is called
    """

    def __init__(
        self, clock: IReactorTime, seconds: float, on_timeout: Callable[[], None]
    ) -> None:
        self._clock = clock
        self._on_timeout = on_timeout
        self._timer: IDelayedCall = clock.callLater(seconds, self._defer)

    def cancel(self) -> None:
        """Do not call the function, unless it was called."""
        if self._timer.active():
            self._timer.cancel()

    def _defer(self) -> None:
        self._timer = self._clock.callLater(0, self._on_timeout)
