"""Pace at which upstreams process prompts and send events, as robust averages."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp, log

# Even a short prompt takes the engine about the time of this many tokens, since it is
# scheduled and processed at least once.
START_TOKENS = 4_000
# The interval between events doubles from an idle upstream to one with about this many
# running requests.
BASE_REQUESTS = 32
# Time constant of the averages: short enough that a permanent change shows in seconds,
# long enough that a slow second does not.
AVERAGING_SECONDS = 4.0
# Maximum weight of one observation, so that a single one decides little where
# observations are rare.
MAX_WEIGHT = 0.25
# Maximum ratio of an observation to the average; beyond it, it counts as this much.
MAX_RATIO = 2.0
# Number of observations that weigh as much as the median of the service.
PRIOR_OBSERVATIONS = 3.0
# Maximum number of observations that count against the median of the service.
MAX_OBSERVATIONS = 20.0
# Half-life of the observations' number. An upstream that is avoided is not observed, so
# after some time it counts as the median again and is tried.
HALF_LIFE_SECONDS = 15.0


@dataclass(slots=True)
class RobustAverage:
    """Geometric average of observations, in which an outlier counts little.

    :ivar level: logarithm of the average
    :ivar count: number of observations, at most ``MAX_OBSERVATIONS``
    """

    level: float = 0.0
    count: float = 0.0
    _updated_at: float = 0.0

    def note(self, value: float, now: float) -> None:
        """Record an observation, a positive number."""
        if value <= 0:
            return
        step = log(value) - self.level
        if self.count:
            elapsed = max(0.0, now - self._updated_at)
            usual = min(MAX_WEIGHT, 1 - exp(-elapsed / AVERAGING_SECONDS))
            step = max(-log(MAX_RATIO), min(log(MAX_RATIO), step))
            step *= max(usual, 1 / (self.count + 1))
        self.level += step
        self.count = min(MAX_OBSERVATIONS, self._decayed(now) + 1)
        self._updated_at = now

    def is_known(self) -> bool:
        """Return whether there are observations."""
        return self.count > 0

    @property
    def value(self) -> float | None:
        """The average, ``None`` if there are no observations."""
        return exp(self.level) if self.is_known() else None

    def estimate(self, usual: float, now: float) -> float:
        """Return the average, drawn to the service's where observations are few.

        :param usual: logarithm of the service's median
        """
        count = self._decayed(now)
        weighted = PRIOR_OBSERVATIONS * usual + count * self.level
        return exp(weighted / (PRIOR_OBSERVATIONS + count))

    def _decayed(self, now: float) -> float:
        elapsed = max(0.0, now - self._updated_at)
        return float(self.count * 0.5 ** (elapsed / HALF_LIFE_SECONDS))


@dataclass(slots=True)
class Pace:
    """The pace of one incarnation of an upstream.

    :ivar reading: seconds to the first event per prompt token
    :ivar events: seconds between events per request that runs at once
    """

    reading: RobustAverage = field(default_factory=RobustAverage)
    events: RobustAverage = field(default_factory=RobustAverage)


def normalize_first(seconds: float, tokens: int) -> float:
    """Return the seconds per token of a prompt.

    :param seconds: time to the first event
    :param tokens: tokens that were processed until then, including those of earlier
        prompts
    """
    return seconds / (START_TOKENS + tokens)


def normalize_interval(seconds: float, running: float) -> float:
    """Return the seconds between events per running request.

    :param running: requests that run at the upstream at the same time
    """
    return seconds / (BASE_REQUESTS + running)
