"""Permits that an instance holds for one limited upstream, and when to request more."""

from __future__ import annotations

import math
from collections import deque

# Minimum delay between two requests for permits, in seconds; each request covers the
# demand expected until the next.
MIN_PAUSE_SECONDS = 0.1
# Time constant of the exponential decay of the demand, in seconds.
DEMAND_SECONDS = 1.0


class PermitCache:
    """Permits with their expiry times, and the demand for them.

    :ivar next_request_at: time from which more may be requested, in seconds
    :ivar source: the instance from which permits were last requested, ``None`` if there
        was none
    """

    __slots__ = (
        "_demand",
        "_demand_at",
        "_expiries",
        "_refused",
        "next_request_at",
        "source",
    )

    def __init__(self) -> None:
        self._expiries: deque[float] = deque()
        self._demand = 0.0
        self._demand_at = -math.inf
        self._refused = 0
        self.next_request_at = -math.inf
        self.source: str | None = None

    def can_supply(self, now: float) -> bool:
        """Return whether there is a valid permit or more may be requested."""
        return self.count(now) > 0 or now >= self.next_request_at

    def count(self, now: float) -> int:
        """Return the number of permits that have not expired."""
        while self._expiries and self._expiries[0] <= now:
            self._expiries.popleft()
        return len(self._expiries)

    def take(self, now: float) -> bool:
        """Use a permit; return ``False`` if there is none."""
        if not self.count(now):
            return False
        self._expiries.popleft()
        return True

    def note_demand(self, now: float) -> None:
        """Count a request that is to be sent to the upstream."""
        decayed = math.exp((self._demand_at - now) / DEMAND_SECONDS)
        self._demand = self._demand * decayed + 1.0
        self._demand_at = now

    def count_needed(self) -> int:
        """Return the number of permits to request, at least 1."""
        expected = self._demand / DEMAND_SECONDS * MIN_PAUSE_SECONDS
        return max(1, math.ceil(expected))

    def add(self, count: int, until: float, pause: float, now: float) -> None:
        """Store the result of a request for permits.

        :param until: when the permits expire, in seconds
        :param pause: seconds until more may be requested
        """
        self._expiries.extend([until] * count)
        self.next_request_at = now + max(pause, MIN_PAUSE_SECONDS)
        self._refused = 0

    def plan_retry(self, now: float) -> float:
        """Return the seconds after which a refused caller should retry.

        An instance gets about one permit per pause, so the retries of successive
        callers are spread over successive pauses.
        """
        self._refused += 1
        pause = max(self.next_request_at - now, MIN_PAUSE_SECONDS)
        return pause * self._refused

    def reset(self) -> None:
        """Allow a new request at once, since the limit has changed.

        The permits remain valid.
        """
        self.next_request_at = -math.inf
