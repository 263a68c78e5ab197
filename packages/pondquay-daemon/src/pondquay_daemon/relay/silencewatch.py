"""Notices that an upstream sends nothing."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay_daemon.relay.deferredtimers import DeferredTimer

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.interfaces import IReactorTime


class SilenceWatch:
    """Calls a function after each period in which an upstream sends nothing.

    :param seconds: length of the period
    :param on_silent: called after each period; returns whether to go on watching
    """

    def __init__(
        self, clock: IReactorTime, seconds: float, on_silent: Callable[[], bool]
    ) -> None:
        self._seconds = seconds
        self._on_silent = on_silent
        self._timer = DeferredTimer(clock)
        self._start()

    def restart(self) -> None:
        """Begin a new period, as the upstream has sent something."""
        if self._timer.active:
            self._start()

    def stop(self) -> None:
        """Stop watching."""
        self._timer.stop()

    def _start(self) -> None:
        self._timer.start(self._seconds, self._report)

    def _report(self) -> None:
        if self._on_silent():
            self._start()
