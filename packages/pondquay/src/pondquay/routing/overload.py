"""Detection of an instance's own overload from the signals that it has itself.

The delay of its event loop is the main signal: a request passes through the loop
several times, so the delay is added to each response several times over. It is weighed
against the shortest objective of the routes. An instance with a saturated network may
still run its timers in time; connections that it cannot open reveal it.
"""

from __future__ import annotations

from enum import IntEnum

# Passes through the event loop that a request waits for: to read it, to connect, to
# send it, and to pass the response on.
LOOP_PASSES = 4
# Fractions of the shortest objective that the loop may take from a response.
BUSY_FRACTION = 0.2
OVERLOADED_FRACTION = 0.5
# A level is left once its signal is below this fraction of its threshold.
LEAVE_FRACTION = 0.5
# Lags below these occur on an idle instance whose host shares its cores.
MIN_BUSY_LAG_SECONDS = 0.015
MIN_OVERLOADED_LAG_SECONDS = 0.025
# Weight of the latest lag in the moving average, and the multiple of the overload
# threshold to which a single lag is cut. Their product is below 1, since a process that
# was suspended once is not overloaded.
LAG_WEIGHT = 0.2
MAX_LAG_THRESHOLDS = 4.0
# Upstreams whose connections must time out within the window.
MIN_TIMED_OUT_UPSTREAMS = 4
MIN_TIMED_OUT_DOMAINS = 2
TIMED_OUT_WINDOW_SECONDS = 1.0
# The share of requests to forward grows from 0 to 1 within a second of overload, and
# falls slowly, since the load that it keeps away is not visible in the lag.
GROWTH_PER_SECOND = 1.0
DECAY_PER_SECOND = 0.1
# Further requests that an idle instance takes from a peer at a time.
MAX_ROOM = 8
# Number of urgencies of a request, 0 being the highest.
URGENCIES = 10
# Delays, in multiples of the overload threshold, from which the least urgent and the
# most urgent requests are refused.
MIN_REFUSE_THRESHOLDS = 1.0
MAX_REFUSE_THRESHOLDS = 3.0
DEFAULT_OBJECTIVE_SECONDS = 1.0


class LoadLevel(IntEnum):
    """The load of an instance; the values are sent to peers."""

    IDLE = 0
    BUSY = 1
    OVERLOADED = 2


class OverloadDetector:
    """Derives an instance's load level from its own signals.

    :ivar level: the present level
    :ivar lag: moving average of the lag of timers, in seconds
    :ivar share: fraction of the requests to forward
    :ivar objective: shortest objective of the routes, in seconds
    """

    def __init__(self) -> None:
        self.level = LoadLevel.IDLE
        self.lag = 0.0
        self.share = 0.0
        self.objective = DEFAULT_OBJECTIVE_SECONDS
        self._timed_out: dict[str, tuple[str, float]] = {}
        self._pending_share = 0.0

    def note_lag(self, lag: float, interval: float, now: float) -> bool:
        """Record how late a timer has run.

        :param lag: seconds after the time for which the timer was set
        :param interval: seconds for which the timer was set
        :returns: whether the level has changed
        """
        lag = min(max(0.0, lag), MAX_LAG_THRESHOLDS * self._overloaded_lag)
        self.lag += LAG_WEIGHT * (lag - self.lag)
        previous, self.level = self.level, self._choose_level(now)
        self._adapt_share(interval)
        return self.level is not previous

    def note_timed_out(self, upstream: str, domain: str, now: float) -> None:
        """Record a connection that timed out although its upstream is responsive."""
        self._timed_out[upstream] = (domain, now)

    @property
    def room(self) -> int:
        """Number of requests that the instance could take from a peer."""
        if self.level is not LoadLevel.IDLE:
            return 0
        return max(1, round(MAX_ROOM * (1 - min(1.0, self.lag / self._busy_lag))))

    def count_timed_out(self, now: float) -> int:
        """Return the number of upstreams to which connections recently timed out."""
        self._forget_timed_out(now)
        return len(self._timed_out)

    def should_forward(self) -> bool:
        """Return whether to forward the next request, so that the share is met."""
        if self.share <= 0:
            return False
        self._pending_share += self.share
        if self._pending_share < 1:
            return False
        self._pending_share -= 1
        return True

    def should_refuse(self, urgency: int) -> bool:
        """Return whether to refuse a request that cannot be forwarded.

        Refusals of the less urgent make room for the more urgent.

        :param urgency: urgency of the request, 0 is the most urgent
        """
        if self.level is not LoadLevel.OVERLOADED:
            return False
        rank = 1 - min(urgency, URGENCIES - 1) / (URGENCIES - 1)
        spread = MAX_REFUSE_THRESHOLDS - MIN_REFUSE_THRESHOLDS
        return self.lag >= self._overloaded_lag * (
            MIN_REFUSE_THRESHOLDS + spread * rank
        )

    @property
    def _busy_lag(self) -> float:
        return max(MIN_BUSY_LAG_SECONDS, BUSY_FRACTION * self.objective / LOOP_PASSES)

    @property
    def _overloaded_lag(self) -> float:
        seconds = OVERLOADED_FRACTION * self.objective / LOOP_PASSES
        return max(MIN_OVERLOADED_LAG_SECONDS, seconds)

    def _choose_level(self, now: float) -> LoadLevel:
        if self._is_above(self._overloaded_lag, LoadLevel.OVERLOADED):
            return LoadLevel.OVERLOADED
        if self._fails_to_connect(now):
            return LoadLevel.OVERLOADED
        if self._is_above(self._busy_lag, LoadLevel.BUSY):
            return LoadLevel.BUSY
        return LoadLevel.IDLE

    def _is_above(self, threshold: float, level: LoadLevel) -> bool:
        if self.level >= level:
            threshold *= LEAVE_FRACTION
        return self.lag >= threshold

    def _fails_to_connect(self, now: float) -> bool:
        """Return whether the instance cannot open connections to many upstreams."""
        self._forget_timed_out(now)
        domains = {domain for domain, _ in self._timed_out.values()}
        enough = len(self._timed_out) >= MIN_TIMED_OUT_UPSTREAMS
        return enough and len(domains) >= MIN_TIMED_OUT_DOMAINS

    def _forget_timed_out(self, now: float) -> None:
        self._timed_out = {
            upstream: (domain, at)
            for upstream, (domain, at) in self._timed_out.items()
            if now - at <= TIMED_OUT_WINDOW_SECONDS
        }

    def _adapt_share(self, seconds: float) -> None:
        if self.level is LoadLevel.OVERLOADED:
            self.share = min(1.0, self.share + GROWTH_PER_SECOND * seconds)
        elif self.level is LoadLevel.IDLE:
            self.share = max(0.0, self.share - DECAY_PER_SECOND * seconds)
