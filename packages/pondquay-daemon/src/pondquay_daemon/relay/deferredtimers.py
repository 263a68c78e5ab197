"""Timers of connections that act only once the event loop has read what had arrived.

After a stall of the process, the event loop runs the timers that have expired before it
reads its sockets. What a timer is about to give up may be waiting there. These timers
are restarted and moved; for single waits, see ``readtimers``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.interfaces import IDelayedCall, IReactorTime

# Turns of the loop for which an expired timer waits while each of them reads something.
# A body that had arrived takes one for each read from its socket; a sender that goes on
# in small pieces must not hold the timer up without end.
MAX_DEFERRED_TURNS = 256


class DeferredTimer:
    """Calls a function some time after its start, unless the loop reads on.

    Once it has expired, it waits for one turn of the loop, and for further ones as long
    as each of them reads something.

    :ivar started_at: time of the last start, in seconds
    :ivar due_at: time at which it expires, in seconds
    :ivar late: seconds by which it expired too late, 0 before
    """

    def __init__(self, clock: IReactorTime) -> None:
        self._clock = clock
        self._call: IDelayedCall | None = None
        self._callback: Callable[[], None] = _do_nothing
        self._expired = False
        self._has_read = False
        self._turns = 0
        self.started_at = self.due_at = clock.seconds()
        self.late = 0.0

    @property
    def active(self) -> bool:
        """Whether it was started and has not called its function."""
        return self._call is not None

    def start(self, seconds: float, callback: Callable[[], None]) -> None:
        """Start, or start anew.

        :param seconds: time until it expires; a negative one counts as 0
        :param callback: called once
        """
        seconds = max(0.0, seconds)
        self.started_at = self._clock.seconds()
        due_at = self.started_at + seconds
        self.late = 0.0
        self._callback = callback
        if self._call is not None and not self._expired and due_at >= self.due_at:
            # A delay is cheaper than a new call.
            self.due_at = due_at
            self._call.reset(seconds)
            return
        self.stop()
        self.due_at = due_at
        self._call = self._clock.callLater(seconds, self._expire)

    def move(self, due_at: float) -> None:
        """Expire at another time than before, unless it has called its function.

        :param due_at: time in seconds
        """
        if not self.active:
            return
        started_at, seconds = self.started_at, due_at - self._clock.seconds()
        self.start(seconds, self._callback)
        self.started_at = started_at

    def stop(self) -> None:
        """Stop, so that the function is not called."""
        call, self._call = self._call, None
        self._expired = False
        if call is not None and call.active():
            call.cancel()

    def note_read(self) -> None:
        """Note that the loop has read something."""
        self._has_read = True

    def _expire(self) -> None:
        self.late = self._clock.seconds() - self.due_at
        self._turns = 0
        self._expired = True
        self._defer()

    def _defer(self) -> None:
        self._has_read = False
        self._turns += 1
        self._call = self._clock.callLater(0, self._act)

    def _act(self) -> None:
        if self._has_read and self._turns < MAX_DEFERRED_TURNS:
            self._defer()
            return
        self._call = None
        self._expired = False
        self._callback()


def change_due_time(began_at: float, now: float, before: float, after: float) -> float:
    """Return when something is due whose limit changes while it lasts.

    Whoever does not know of the change yet has the shorter of both limits from now on.

    :param before: seconds that were allowed
    :param after: seconds that are allowed
    """
    return max(began_at + after, now + min(before, after))


def _do_nothing() -> None:
    """Do nothing."""
