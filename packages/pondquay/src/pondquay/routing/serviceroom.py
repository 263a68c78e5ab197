"""The requests that an instance may run at a service at a time.

There is no limit until upstreams reject requests since they are full. From then on the
limit adapts as in TCP's congestion control: rejections lower it by a factor, and served
requests raise it by steps. The instances of a fleet need no messages for this: those
that run more than their share are rejected more often.
"""

from __future__ import annotations

from collections import deque

# Rejections in the window, and their fraction of all ends, from which room is short. A
# few rejections occur when upstreams start or stop.
MIN_REJECTED = 3
MIN_REJECTED_FRACTION = 0.25
WINDOW_SECONDS = 0.5
DECREASE = 0.7
INCREASE = 0.2
# A share below one request is kept by pausing between requests.
MIN_LIMIT = 0.05
DEFAULT_SECONDS = 0.1
SECONDS_WEIGHT = 0.1
# Time without a rejection after which the limit grows quickly, and then ends.
CALM_SECONDS = 1.0
END_SECONDS = 3.0
CALM_GROWTH = 1.5


class ServiceRoom:
    """Adapts the number of requests that an instance runs at one service.

    :ivar limit: requests at a time, ``None`` while room is not short
    :ivar running: requests that have room
    """

    def __init__(self) -> None:
        self.limit: float | None = None
        self.running = 0
        self._seconds = DEFAULT_SECONDS
        self._started_at = 0.0
        self._lowered_at = 0.0
        self._rejected_at = 0.0
        self._grown_at = 0.0
        # Time of each end, and whether the request was rejected.
        self._ends: deque[tuple[float, bool]] = deque()

    def has_room(self, now: float) -> bool:
        """Return whether a further request may run."""
        if self.limit is None or self.running + 1 <= self.limit:
            return True
        return self.running == 0 and now >= self.next_at

    @property
    def next_at(self) -> float:
        """Time at which a request may run if none is running, in seconds."""
        if self.limit is None:
            return self._started_at
        return self._started_at + self._seconds / self.limit

    @property
    def seconds(self) -> float:
        """Mean time for which requests run, in seconds."""
        return self._seconds

    def start(self, now: float) -> None:
        """Count a request that has got room."""
        self.running += 1
        self._started_at = now

    def end(self) -> None:
        """Stop counting a request."""
        self.running -= 1

    def note_served(self, seconds: float, now: float) -> None:
        """Record a request that an upstream has accepted.

        :param seconds: time for which it ran
        """
        self._seconds += SECONDS_WEIGHT * (seconds - self._seconds)
        self._note(now, rejected=False)
        if self.limit is not None:
            self.limit += INCREASE / max(1.0, self.limit)

    def note_rejected(self, now: float) -> None:
        """Record that an upstream rejected a request, since it is full."""
        self._note(now, rejected=True)
        self._rejected_at = now
        if self.limit is None:
            if self._is_short():
                self.limit = max(1.0, DECREASE * self.running)
                self._lowered_at = self._grown_at = now
            return
        # Requests that were sent before the limit was lowered say nothing of it.
        if now - self._lowered_at >= self._seconds:
            self.limit = max(MIN_LIMIT, DECREASE * self.limit)
            self._lowered_at = now

    def note_time(self, now: float) -> None:
        """Raise the limit, and end it, after a time without rejections."""
        if self.limit is None or now - self._rejected_at < CALM_SECONDS:
            self._grown_at = now
            return
        if now - self._rejected_at >= END_SECONDS:
            self.limit = None
            return
        self.limit *= CALM_GROWTH ** (now - self._grown_at)
        self._grown_at = now

    def _note(self, now: float, *, rejected: bool) -> None:
        self._ends.append((now, rejected))
        while self._ends and self._ends[0][0] < now - WINDOW_SECONDS:
            self._ends.popleft()

    def _is_short(self) -> bool:
        rejected = sum(was_rejected for _, was_rejected in self._ends)
        enough = rejected >= MIN_REJECTED_FRACTION * len(self._ends)
        return rejected >= MIN_REJECTED and enough
