"""An event loop that may stall, in memory."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..stalledclock import run_due_calls

if TYPE_CHECKING:
    from .conftest import CallerSide

# Bytes that a transport reads in one turn, as in Twisted.
READ_BYTES = 1 << 16


class StalledLoop:
    """Runs the timers that are due before it reads, in each of its turns.

    :param caller: the connection that it reads
    """

    def __init__(self, caller: CallerSide) -> None:
        self._clock: Any = caller.clock
        self._caller = caller
        self._waiting = b""

    def receive(self, data: bytes) -> None:
        """Let data arrive at the socket, which is read in a later turn."""
        self._waiting += data

    def stall(self, seconds: float) -> None:
        """Let time pass without a turn."""
        self._clock.rightNow += seconds

    def turn(self) -> None:
        """Run the calls that are due, then read from the socket once."""
        run_due_calls(self._clock)
        data, self._waiting = self._waiting[:READ_BYTES], self._waiting[READ_BYTES:]
        if data and not self._caller.transport.disconnecting:
            self._caller.send(data)

    def turn_until_read(self) -> None:
        """Take turns until nothing waits, and those that timers may defer to."""
        while self._waiting:
            self.turn()
        for _ in range(3):
            self.turn()
