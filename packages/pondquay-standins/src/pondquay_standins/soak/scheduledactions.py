"""Actions that a run of the soak has scheduled."""

from __future__ import annotations

import time
from heapq import heappop, heappush
from itertools import count
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class ScheduledActions:
    """Runs actions at their times, in the thread that waits for them."""

    def __init__(self) -> None:
        self._scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = count()

    def run_until(self, until: float) -> None:
        """Run scheduled actions when they are due, and return at the given time."""
        while self._scheduled and self._scheduled[0][0] <= until:
            at, _, action = heappop(self._scheduled)
            time.sleep(max(0.0, at - time.monotonic()))
            action()
        time.sleep(max(0.0, until - time.monotonic()))

    def add(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action some seconds from now."""
        heappush(
            self._scheduled, (time.monotonic() + seconds, next(self._sequence), action)
        )
