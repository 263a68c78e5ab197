"""Rate limits of upstreams for all instances together, enforced by permits.

One instance issues the permits for a limited upstream, and each request sent there uses
a permit. So the total rate is bounded however requests are distributed, and an instance
that receives all requests may use the full limit.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

# One request per this interval, in seconds, is allowed under any limit, since only a
# response reports that a limit has been lifted.
PROBE_INTERVAL_SECONDS = 5.0
# Time for which permits accumulate while none is requested, in seconds.
BURST_SECONDS = 0.25
# Lifetime of a permit, in seconds; it bounds how many cached permits are used at once.
PERMIT_LIFETIME_SECONDS = 1.0
# An instance that requests nothing for this long, in seconds, no longer takes turns.
REQUESTER_EXPIRY_SECONDS = 4.0
# Turns per permit when several instances share a limit, since some turns go unused.
TURNS_PER_PERMIT = 2.0
# Maximum delay until an instance's next turn, in seconds. Under a limit below one
# permit per this time, an instance may have to wait longer for the next permit.
MAX_PAUSE_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class RateLimit:
    """The rate limit that an upstream last reported.

    :param rate: requests per second, ``None`` for no limit
    :param reported_at: when the response that reports it was received, in seconds
    """

    rate: float | None
    reported_at: float

    def age(self, now: float) -> float:
        """Return the seconds since it was reported."""
        return max(0.0, now - self.reported_at)

    def allows_more(self, other: RateLimit) -> bool:
        """Return whether it allows a higher rate than another limit."""
        if other.rate is None:
            return False
        return self.rate is None or self.rate > other.rate


NEVER_REPORTED = RateLimit(None, -math.inf)


@dataclass(frozen=True, slots=True)
class IssuedPermits:
    """The result of a request for permits.

    :param count: permits that the instance may use now
    :param pause: seconds until it may request more
    """

    count: int
    pause: float


class PermitIssuer:
    """Issues permits for one upstream at the rate that the upstream reports.

    Within any time span, it issues at most as many permits as the limit allows in that
    span plus ``BURST_SECONDS``, and one more.
    """

    __slots__ = ("_next_permit_at", "_next_turn_at", "_requested_at")

    def __init__(self) -> None:
        self._next_permit_at = -math.inf
        self._next_turn_at = -math.inf
        # By instance name, so bounded by the size of the fleet.
        self._requested_at: dict[str, float] = {}

    def issue(
        self, requester: str, wanted: int, rate: float, now: float
    ) -> IssuedPermits:
        """Return permits for an instance, and when it may request more.

        :param rate: rate limit of the upstream, in requests per second
        """
        rate = max(rate, 1.0 / PROBE_INTERVAL_SECONDS)
        interval = 1.0 / rate
        # A permit issued under a lower limit must not delay the next permit under a
        # higher limit.
        self._next_permit_at = min(self._next_permit_at, now + BURST_SECONDS + interval)
        count = 0
        while count < wanted and self._next_permit_at <= now + BURST_SECONDS:
            self._next_permit_at = max(self._next_permit_at, now) + interval
            count += 1
        pause = self._plan_turn(requester, interval, now)
        if not count:
            pause = max(pause, self._next_permit_at - BURST_SECONDS - now)
        return IssuedPermits(count, pause)

    def _plan_turn(self, requester: str, interval: float, now: float) -> float:
        """Return the seconds until an instance's next turn to request permits.

        A sole requester has no turns to wait for. Turns are spread evenly, so that
        instances refused at the same time don't retry at the same time.
        """
        self._requested_at[requester] = now
        for instance, requested_at in list(self._requested_at.items()):
            if now - requested_at > REQUESTER_EXPIRY_SECONDS:
                del self._requested_at[instance]
        if len(self._requested_at) == 1:
            return 0.0
        self._next_turn_at = max(self._next_turn_at, now) + interval / TURNS_PER_PERMIT
        if self._next_turn_at - now > MAX_PAUSE_SECONDS:
            self._next_turn_at = now + interval / TURNS_PER_PERMIT
        return min(MAX_PAUSE_SECONDS, self._next_turn_at - now)
