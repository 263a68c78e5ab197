"""Daemon with a simulated suspension of its host, for tests.

SIGUSR1 advances ``CLOCK_BOOTTIME``, which includes time in suspension, but not the
monotonic clock, as a suspension of the host does.
"""

from __future__ import annotations

import sys
import time
from signal import SIGUSR1, signal

from pondquay_daemon.__main__ import main
from pondquay_standins.processes import SUSPENDED_SECONDS


class SuspendableClock:
    """Replaces ``time.clock_gettime`` with a clock that signals can advance."""

    def __init__(self) -> None:
        self._read = time.clock_gettime
        self._suspended = 0.0

    def read(self, clock: int) -> float:
        """Return a clock's time, in seconds."""
        seconds = self._read(clock)
        return seconds + self._suspended if clock == time.CLOCK_BOOTTIME else seconds

    def suspend(self, *_: object) -> None:
        """Advance ``CLOCK_BOOTTIME`` as if the host had been suspended."""
        self._suspended += SUSPENDED_SECONDS


if __name__ == "__main__":
    suspendable_clock = SuspendableClock()
    time.clock_gettime = suspendable_clock.read
    signal(SIGUSR1, suspendable_clock.suspend)
    sys.exit(main())
