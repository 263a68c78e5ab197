"""How many requests a second an upstream takes from all instances together.

One instance issues the permits to send to a limited upstream, and each request that is
sent there uses one. So the sum is bounded wherever callers are, and an instance that
has all of them may use the whole limit.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

# One request in this time is sent whatever the limit is, in seconds: only an answer
# tells that a limit has gone.
PROBE_INTERVAL_SECONDS = 5.0
# Permits that nobody asked for are kept for this long, in seconds.
BURST_SECONDS = 0.25
# Seconds after which a permit can no longer be used: those that lie about at instances
# must not be used all at once.
PERMIT_LIFETIME_SECONDS = 1.0
# An instance that has not asked for this long shares the limit no more, in seconds.
ASKER_SECONDS = 4.0
# Turns for each permit, where several instances share a limit: those whose turn it is
# may want nothing then.
TURNS_PER_PERMIT = 2.0
# The longest pause of an instance between two asks, in seconds.
MAX_PAUSE_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class RateLimit:
    """What an upstream last said of how much it takes.

    :param rate: requests a second, ``None`` if it named no limit
    :param reported_at: when its answer came, in seconds
    """

    rate: float | None
    reported_at: float

    def age(self, now: float) -> float:
        """Return the seconds since it was said."""
        return max(0.0, now - self.reported_at)

    def allows_more(self, other: RateLimit) -> bool:
        """Tell whether it allows more than another one."""
        if other.rate is None:
            return False
        return self.rate is None or self.rate > other.rate


NEVER_REPORTED = RateLimit(None, -math.inf)


@dataclass(frozen=True, slots=True)
class Issued:
    """What an instance gets that asks for permits.

    :param count: permits that it may use now
    :param pause: seconds after which it should ask again, not before
    """

    count: int
    pause: float


class PermitIssuer:
    """Issues permits for one upstream at the rate that it names.

    In any span it issues what the limit allows in it and in ``BURST_SECONDS``, and one
    permit more.
    """

    __slots__ = ("_asked_at", "_due_at", "_turn_at")

    def __init__(self) -> None:
        self._due_at = -math.inf
        self._turn_at = -math.inf
        # By instance; there are as many as instances of the fleet at most.
        self._asked_at: dict[str, float] = {}

    def issue(self, requester: str, wanted: int, rate: float, now: float) -> Issued:
        """Return permits for an instance, and when it should ask again.

        :param rate: requests a second that the upstream takes
        """
        rate = max(rate, 1.0 / PROBE_INTERVAL_SECONDS)
        interval = 1.0 / rate
        # What was issued by a lower limit must not hold up a higher one.
        self._due_at = min(self._due_at, now + BURST_SECONDS + interval)
        count = 0
        while count < wanted and self._due_at <= now + BURST_SECONDS:
            self._due_at = max(self._due_at, now) + interval
            count += 1
        pause = self._plan_turn(requester, interval, now)
        if not count:
            pause = max(pause, self._due_at - BURST_SECONDS - now)
        return Issued(count, pause)

    def _plan_turn(self, requester: str, interval: float, now: float) -> float:
        """Return the seconds until it is an instance's turn to ask again.

        One that has a limit for itself asks as it likes. Turns are spread evenly, so
        that those that were refused together do not come again together.
        """
        self._asked_at[requester] = now
        for one, at in list(self._asked_at.items()):
            if now - at > ASKER_SECONDS:
                del self._asked_at[one]
        if len(self._asked_at) == 1:
            return 0.0
        self._turn_at = max(self._turn_at, now) + interval / TURNS_PER_PERMIT
        if self._turn_at - now > MAX_PAUSE_SECONDS:
            self._turn_at = now + interval / TURNS_PER_PERMIT
        return min(MAX_PAUSE_SECONDS, self._turn_at - now)
