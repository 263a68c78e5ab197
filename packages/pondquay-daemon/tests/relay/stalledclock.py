"""A reactor in memory whose process stalls, for one step at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.testing import MemoryReactorClock

from ..stalledclock import run_due_calls

if TYPE_CHECKING:
    from collections.abc import Callable


class StalledClock(MemoryReactorClock):
    """Runs what is due after a stall in the order of a reactor's event loop."""

    def stall(self, seconds: float, read_waiting: Callable[[], None]) -> None:
        """Let time pass without any step of the event loop, then run one.

        As in a reactor, timers that are due run first, and those that they set wait for
        the next step.

        :param read_waiting: delivers the data that has arrived
        """
        self.rightNow += seconds
        run_due_calls(self)
        read_waiting()
        self.advance(0)
