"""A clock of an event loop that may stall, in memory."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.task import Clock

if TYPE_CHECKING:
    from collections.abc import Callable


class StalledClock(Clock):
    """A clock whose calls run in turns of an event loop."""

    def stall(self, seconds: float) -> None:
        """Let time pass without a turn."""
        self.rightNow += seconds

    def turn(self, read: Callable[[], object] | None = None) -> None:
        """Run the calls that are due, then read.

        Calls that are scheduled meanwhile belong to the next turn.

        :param read: delivers what has arrived
        """
        now = self.seconds()
        for call in [call for call in self.calls if call.getTime() <= now]:
            if call.active():
                self.calls.remove(call)
                call.called = 1
                call.func(*call.args, **call.kw)
        if read is not None:
            read()


def stall_reactor(reactor: Any, seconds: float) -> None:
    """Let a real event loop take the time as later than it is."""
    before = reactor.seconds
    reactor.seconds = lambda: before() + seconds
