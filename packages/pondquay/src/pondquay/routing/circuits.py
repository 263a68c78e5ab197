"""A circuit per upstream: after failures in a row, no work for a while."""

from __future__ import annotations

from dataclasses import dataclass

FAILURES_TO_OPEN = 3
FIRST_PAUSE_SECONDS = 0.5
LONGEST_PAUSE_SECONDS = 15.0


@dataclass(slots=True)
class Circuit:
    """Counts failures in a row and says when an upstream may be tried again.

    :param open_until: no work before this time, in seconds
    """

    failures: int = 0
    pause: float = FIRST_PAUSE_SECONDS
    open_until: float = 0.0

    def allows(self, now: float) -> bool:
        """Tell whether work may be sent."""
        return now >= self.open_until

    def succeed(self) -> None:
        """Note that the upstream answered."""
        self.failures = 0
        self.pause = FIRST_PAUSE_SECONDS
        self.open_until = 0.0

    def trip(self, now: float) -> None:
        """Open at once: the upstream cannot be reached at all."""
        self.failures = max(self.failures, FAILURES_TO_OPEN - 1)
        self.fail(now)

    def fail(self, now: float) -> None:
        """Note that the upstream failed; each pause is twice as long as the last."""
        self.failures += 1
        if self.failures < FAILURES_TO_OPEN:
            return
        self.open_until = now + self.pause
        self.pause = min(LONGEST_PAUSE_SECONDS, 2 * self.pause)
