"""Circuit breakers, which pause requests to an upstream after repeated failures."""

from __future__ import annotations

from dataclasses import dataclass

FAILURES_TO_OPEN = 3
INITIAL_PAUSE_SECONDS = 0.5
MAX_PAUSE_SECONDS = 15.0


@dataclass(slots=True)
class Circuit:
    """Counts consecutive failures and decides when an upstream may be tried again.

    :param failures: consecutive failures
    :param pause: seconds for which the circuit stays open the next time it opens
    :param open_until: time before which no request may be sent, in seconds
    """

    failures: int = 0
    pause: float = INITIAL_PAUSE_SECONDS
    open_until: float = 0.0

    def allows(self, now: float) -> bool:
        """Return whether a request may be sent."""
        return now >= self.open_until

    def succeed(self) -> None:
        """Record a success and close the circuit."""
        self.failures = 0
        self.pause = INITIAL_PAUSE_SECONDS
        self.open_until = 0.0

    def trip(self, now: float) -> None:
        """Record that the upstream is unreachable, which opens the circuit at once."""
        self.failures = max(self.failures, FAILURES_TO_OPEN - 1)
        self.fail(now)

    def fail(self, now: float) -> None:
        """Record a failure.

        From ``FAILURES_TO_OPEN`` consecutive failures on, each opens the circuit and
        doubles the next pause, up to ``MAX_PAUSE_SECONDS``.
        """
        self.failures += 1
        if self.failures < FAILURES_TO_OPEN:
            return
        self.open_until = now + self.pause
        self.pause = min(MAX_PAUSE_SECONDS, 2 * self.pause)
