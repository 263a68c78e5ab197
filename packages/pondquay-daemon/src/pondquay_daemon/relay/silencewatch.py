"""Notices that an upstream sends nothing."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.interfaces import IDelayedCall, IReactorTime


class SilenceWatch:
    """Calls a function after each period in which an upstream sends nothing.

    :param seconds: length of the period
    :param on_silent: called after each period; returns whether to go on watching
    """

    def __init__(
        self, clock: IReactorTime, seconds: float, on_silent: Callable[[], bool]
    ) -> None:
        self._clock = clock
        self._seconds = seconds
        self._on_silent = on_silent
        self._is_checking = False
        self._timer: IDelayedCall = clock.callLater(seconds, self._check)

    def restart(self) -> None:
        """Begin a new period, as the upstream has sent something."""
        if not self._timer.active():
            return
        if self._is_checking:
            self._is_checking = False
            self._timer.cancel()
            self._timer = self._clock.callLater(self._seconds, self._check)
        else:
            self._timer.reset(self._seconds)

    def stop(self) -> None:
        """Stop watching."""
        if self._timer.active():
            self._timer.cancel()

    def _check(self) -> None:
        # After a stall of the process, timers fire before waiting data is read, so the
        # decision is deferred by one iteration of the event loop.
        self._is_checking = True
        self._timer = self._clock.callLater(0, self._report)

    def _report(self) -> None:
        self._is_checking = False
        if self._on_silent():
            self._timer = self._clock.callLater(self._seconds, self._check)
