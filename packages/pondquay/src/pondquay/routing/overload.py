"""Detection of an instance's own overload from the signals that it has itself.

Two signals tell how much later responses are because of this instance: the lag of its
timers, which grows with the work in its event loop, and the time to open connections,
which grows with the bytes that wait on its network link. Their sum is weighed against
the shortest objective of the routes.
"""

from __future__ import annotations

from enum import IntEnum

# Passes through the event loop that a request waits for: to read it, to connect, to
# send it, and to pass the response on.
LOOP_PASSES = 4
# Round trips on the instance's link that a request waits for: one to the upstream and
# one to the caller.
LINK_ROUND_TRIPS = 2
# Fractions of the shortest objective that the instance may take from a response.
BUSY_FRACTION = 0.2
OVERLOADED_FRACTION = 0.5
# A level is left once the delay is below this fraction of its threshold.
LEAVE_FRACTION = 0.5
# Timers of an idle instance are this late where its host shares the cores.
TOLERATED_LAG_SECONDS = 0.02
# Shorter delays are not worth a change, whatever the objective.
MIN_BUSY_SECONDS = 0.06
MIN_OVERLOADED_SECONDS = 0.1
# Weight of the latest lag in the moving average, and the multiple of the overload
# threshold to which a single lag is cut. Their product is below 1, since a process that
# was suspended once is not overloaded.
LAG_WEIGHT = 0.2
MAX_LAG_THRESHOLDS = 4.0
# Time for which a connection counts. An instance with a slow link opens few.
CONNECT_WINDOW_SECONDS = 2.0
# Least number of upstreams by which a link is judged, and the fraction of them that may
# have fast connections although the link is slow. All upstreams of a small service may
# be slow to accept connections at the same time.
MIN_CONNECTED = 5
FAST_FRACTION = 0.25
# Upstreams whose shortest connection time is kept.
MAX_BASELINES = 8192
# Fractions of its remaining time that a request may lose here, for the least urgent and
# the most urgent. Callers of refused requests need the rest to be served elsewhere.
MIN_TAKEN_FRACTION = 0.4
MAX_TAKEN_FRACTION = 0.6
# Further requests that an idle instance takes from a peer at a time.
MAX_ROOM = 8
# Number of urgencies of a request, 0 being the highest.
URGENCIES = 10
DEFAULT_OBJECTIVE_SECONDS = 1.0


class LoadLevel(IntEnum):
    """The load of an instance; the values are sent to peers.

    A withdrawn instance is overloaded, or was a short time ago, and has asked the load
    balancer for no further callers.
    """

    IDLE = 0
    BUSY = 1
    OVERLOADED = 2
    WITHDRAWN = 3


class ConnectTimes:
    """How much longer than usual an instance's connections take to open."""

    def __init__(self) -> None:
        self._shortest: dict[str, float] = {}
        self._recent: dict[str, tuple[float, float]] = {}

    def note(self, upstream: str, seconds: float, now: float) -> None:
        """Record the time to open a connection, or until it timed out."""
        if len(self._shortest) >= MAX_BASELINES:
            self._shortest.clear()
        shortest = min(seconds, self._shortest.get(upstream, seconds))
        self._shortest[upstream] = shortest
        self._recent[upstream] = (seconds - shortest, now)

    def estimate_excess(self, now: float) -> float:
        """Return the additional seconds that most upstreams take to connect."""
        if not self._recent:
            return 0.0
        self._recent = {
            upstream: (excess, at)
            for upstream, (excess, at) in self._recent.items()
            if now - at <= CONNECT_WINDOW_SECONDS
        }
        if len(self._recent) < MIN_CONNECTED:
            return 0.0
        ranked = sorted(excess for excess, _ in self._recent.values())
        return ranked[int(FAST_FRACTION * len(ranked))]


class OverloadDetector:
    """Derives an instance's load level from its own signals.

    :ivar level: the present level
    :ivar lag: moving average of the lag of timers beyond the tolerated one, in seconds
    :ivar excess: additional seconds to open a connection
    :ivar objective: shortest objective of the routes, in seconds
    """

    def __init__(self) -> None:
        self.level = LoadLevel.IDLE
        self.lag = 0.0
        self.excess = 0.0
        self.objective = DEFAULT_OBJECTIVE_SECONDS
        self.connects = ConnectTimes()

    @property
    def delay(self) -> float:
        """Estimated seconds that this instance adds to a response."""
        return LOOP_PASSES * self.lag + LINK_ROUND_TRIPS * self.excess

    def update(self, lag: float, now: float) -> bool:
        """Update the level after a timer has run.

        :param lag: seconds after the time for which the timer was set
        :returns: whether the level has changed
        """
        max_lag = MAX_LAG_THRESHOLDS * self._overloaded_seconds / LOOP_PASSES
        lag = min(max(0.0, lag - TOLERATED_LAG_SECONDS), max_lag)
        self.lag += LAG_WEIGHT * (lag - self.lag)
        self.excess = self.connects.estimate_excess(now)
        previous, self.level = self.level, self._choose_level()
        return self.level is not previous

    @property
    def room(self) -> int:
        """Number of requests that the instance could take from a peer."""
        if self.level is not LoadLevel.IDLE:
            return 0
        used = min(1.0, self.delay / self._busy_seconds)
        return max(1, round(MAX_ROOM * (1 - used)))

    def should_refuse(self, remaining: float, urgency: int) -> bool:
        """Return whether a request would lose too much of its time here.

        Its caller can then be served elsewhere in time, and the bytes of its response
        make room for others, the more urgent ones first.

        :param remaining: seconds until the caller's deadline
        :param urgency: urgency of the request, 0 is the most urgent
        """
        if self.level is not LoadLevel.OVERLOADED:
            return False
        rank = 1 - min(urgency, URGENCIES - 1) / (URGENCIES - 1)
        spread = MAX_TAKEN_FRACTION - MIN_TAKEN_FRACTION
        return self.delay >= remaining * (MIN_TAKEN_FRACTION + spread * rank)

    @property
    def _busy_seconds(self) -> float:
        return max(MIN_BUSY_SECONDS, BUSY_FRACTION * self.objective)

    @property
    def _overloaded_seconds(self) -> float:
        return max(MIN_OVERLOADED_SECONDS, OVERLOADED_FRACTION * self.objective)

    def _choose_level(self) -> LoadLevel:
        if self._is_above(self._overloaded_seconds, LoadLevel.OVERLOADED):
            return LoadLevel.OVERLOADED
        if self._is_above(self._busy_seconds, LoadLevel.BUSY):
            return LoadLevel.BUSY
        return LoadLevel.IDLE

    def _is_above(self, threshold: float, level: LoadLevel) -> bool:
        if self.level >= level:
            threshold *= LEAVE_FRACTION
        return self.delay >= threshold
