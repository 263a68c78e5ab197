"""A clock of an event loop that may stall, in memory."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.task import Clock

if TYPE_CHECKING:
    from collections.abc import Callable


def run_due_calls(clock: Any) -> None:
    """Run the calls of a clock that are due, as one turn of an event loop does.

    Calls that are scheduled meanwhile belong to the next turn.
    """
    now = clock.seconds()
    due = [call for call in clock.calls if call.getTime() <= now]
    for call in sorted(due, key=lambda call: call.getTime()):
        if call.active():
            clock.calls.remove(call)
            call.called = 1
            call.func(*call.args, **call.kw)


class StalledClock(Clock):
    """A clock whose calls run in turns of an event loop."""

    def stall(self, seconds: float) -> None:
        """Let time pass without a turn."""
        self.rightNow += seconds

    def turn(self, read: Callable[[], object] | None = None) -> None:
        """Run the calls that are due, then read.

        :param read: delivers what has arrived
        """
        run_due_calls(self)
        if read is not None:
            read()


def stall_reactor(reactor: Any, seconds: float) -> None:
    """Let a real event loop take the time as later than it is."""
    before = reactor.seconds
    reactor.seconds = lambda: before() + seconds
