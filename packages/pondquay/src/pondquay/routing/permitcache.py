"""The permits that an instance has for one limited upstream, and when it may ask."""

from __future__ import annotations

import math
from collections import deque

# The shortest pause between two asks, in seconds; what is needed in it is asked for at
# once.
MIN_PAUSE_SECONDS = 0.1
# The time over which wishes are counted, in seconds.
DEMAND_SECONDS = 1.0


class PermitCache:
    """Permits with the times until which they may be used.

    :ivar next_request_at: when more may be asked for, in seconds
    :ivar source: the instance that was last asked, ``None`` if there was none to ask
    """

    __slots__ = (
        "_demand",
        "_refused",
        "_until",
        "_wished_at",
        "next_request_at",
        "source",
    )

    def __init__(self) -> None:
        self._until: deque[float] = deque()
        self._demand = 0.0
        self._wished_at = -math.inf
        self._refused = 0
        self.next_request_at = -math.inf
        self.source: str | None = None

    def can_supply(self, now: float) -> bool:
        """Tell whether there is a permit, or there may be one for the asking."""
        return self.count(now) > 0 or now >= self.next_request_at

    def count(self, now: float) -> int:
        """Return how many permits there are."""
        while self._until and self._until[0] <= now:
            self._until.popleft()
        return len(self._until)

    def take(self, now: float) -> bool:
        """Use a permit, if there is one."""
        if not self.count(now):
            return False
        self._until.popleft()
        return True

    def note_demand(self, now: float) -> None:
        """Count a request that would be sent to the upstream."""
        faded = math.exp((self._wished_at - now) / DEMAND_SECONDS)
        self._demand = self._demand * faded + 1.0
        self._wished_at = now

    def count_needed(self) -> int:
        """Return how many permits to ask for."""
        expected = self._demand / DEMAND_SECONDS * MIN_PAUSE_SECONDS
        return max(1, math.ceil(expected))

    def add(self, count: int, until: float, pause: float, now: float) -> None:
        """Take in what came of an ask.

        :param until: when the permits end, in seconds
        :param pause: seconds for which nothing should be asked
        """
        self._until.extend([until] * count)
        self.next_request_at = now + max(pause, MIN_PAUSE_SECONDS)
        self._refused = 0

    def plan_retry(self, now: float) -> float:
        """Return the seconds after which a caller that is refused should come again.

        An instance gets a permit about once in its pause, so callers are told to come
        one after the other.
        """
        self._refused += 1
        pause = max(self.next_request_at - now, MIN_PAUSE_SECONDS)
        return pause * self._refused

    def reset(self) -> None:
        """Learn that the upstream names another limit now."""
        self.next_request_at = -math.inf
