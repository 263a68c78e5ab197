"""Timers that act only once the event loop has read what had arrived.

After a stall of the process, the event loop runs the timers that have expired before it
reads its sockets. What a timer waits for may have arrived there. Callers' connections
of a relay are restarted often and have ``deferredtimers``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.interfaces import IReactorTime

# Bytes that one turn of the event loop reads from a socket at most.
TURN_BYTES = 1 << 16
# Turns for which an expired timer waits while each of them reads. A sender of small
# pieces cannot hold up a timer for longer.
MAX_TURNS = 256


class ReadCounter:
    """Counts the reads of what a timer waits for.

    :ivar count: number of reads
    """

    def __init__(self) -> None:
        self.count = 0

    def note(self) -> None:
        """Count a read."""
        self.count += 1


class ReadTimer:
    """Calls a function after some time, and once what had arrived was read.

    An expired timer waits for one turn of the event loop, and for further ones while
    each of them reads.

    :param seconds: time until it expires
    :param act: called once, without arguments
    :param reads: counts reads of what it waits for
    :param max_turns: turns for which it waits at most
    """

    def __init__(
        self,
        clock: IReactorTime,
        seconds: float,
        act: Callable[[], object],
        reads: ReadCounter | None = None,
        max_turns: int = MAX_TURNS,
    ) -> None:
        self._clock = clock
        self._act = act
        self._max_turns = max_turns
        self._reads = reads or ReadCounter()
        self._turns = 0
        self._call = clock.callLater(seconds, self._expire)

    def active(self) -> bool:
        """Return whether it was neither cancelled nor has called its function."""
        return self._call.active()

    def cancel(self) -> None:
        """Stop, so that the function is not called, unless it was called."""
        if self._call.active():
            self._call.cancel()

    def reset(self, seconds: float) -> None:
        """Expire some time from now on, also if it has expired before."""
        self.cancel()
        self._turns = 0
        self._call = self._clock.callLater(seconds, self._expire)

    def _expire(self) -> None:
        self._turns += 1
        self._call = self._clock.callLater(0, self._check, self._reads.count)

    def _check(self, reads_before: int) -> None:
        if self._reads.count > reads_before and self._turns < self._max_turns:
            self._expire()
            return
        self._act()
