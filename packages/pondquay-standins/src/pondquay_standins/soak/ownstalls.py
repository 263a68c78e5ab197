"""Stalls of the process that runs the soak, which its callers' times include."""

from __future__ import annotations

import time
from threading import Event, Thread
from typing import TYPE_CHECKING, Self

if TYPE_CHECKING:
    from types import TracebackType

POLL_SECONDS = 0.02
MIN_STALL_SECONDS = 0.1


class OwnStalls:
    """Records when this process did not run, in a thread while the context is open."""

    def __init__(self) -> None:
        self._stalls: list[tuple[float, float]] = []
        self._stopping = Event()
        self._thread = Thread(target=self._run, daemon=True)

    def __enter__(self) -> Self:
        """Start to record."""
        self._thread.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop to record."""
        self._stopping.set()
        self._thread.join()

    def record(self, began: float, ended: float) -> None:
        """Record that the process may have stood still between two times."""
        self._stalls.append((began, ended))

    def count_within(self, since: float, until: float) -> float:
        """Return for how long the process may have stood still in a time span.

        :returns: seconds
        """
        overlaps = (
            min(until, ended) - max(since, began) for began, ended in self._stalls
        )
        return sum(max(0.0, overlap) for overlap in overlaps)

    def _run(self) -> None:
        before = time.monotonic()
        while not self._stopping.wait(POLL_SECONDS):
            now = time.monotonic()
            if now - before > MIN_STALL_SECONDS:
                self.record(before, now)
            before = now
