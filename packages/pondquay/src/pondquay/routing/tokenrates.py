"""Rates of the tokens of workspaces, as moving averages."""

from __future__ import annotations

import math

# Workspaces whose rates are known; the least recent are forgotten.
MAX_WORKSPACES = 4096
# Time in which the usual rate forgets half of the past.
USUAL_HALF_LIFE_SECONDS = 60.0
# Fraction of the mean rate that a workspace counts with at least, so that a new one is
# served.
MIN_WEIGHT_FRACTION = 0.25


class TokenRates:
    """The tokens per second of each workspace.

    :param half_life: seconds in which half of the past is forgotten
    """

    def __init__(self, half_life: float = USUAL_HALF_LIFE_SECONDS) -> None:
        self._half_life = half_life
        # Rate and the time to which it applies; the least recent is the first.
        self._rates: dict[str, tuple[float, float]] = {}
        self._total = (0.0, 0.0)

    def note(self, workspace: str, tokens: int, now: float) -> None:
        """Record a request; one without tokens counts as one token."""
        added = math.log(2) / self._half_life * max(1, tokens)
        rate = self._decay(self._rates.pop(workspace, (0.0, now)), now)
        self._rates[workspace] = (rate + added, now)
        self._total = (self._decay(self._total, now) + added, now)
        if len(self._rates) > MAX_WORKSPACES:
            first = self._rates.pop(next(iter(self._rates)))
            self._total = (self._total[0] - self._decay(first, now), now)

    def find(self, workspace: str, now: float) -> float:
        """Return the rate of a workspace, in tokens per second."""
        return self._decay(self._rates.get(workspace, (0.0, now)), now)

    def list_workspaces(self) -> list[str]:
        """Return the workspaces with a rate, the least recent first."""
        return list(self._rates)

    def weigh(self, workspace: str, now: float) -> float:
        """Return the rate of a workspace relative to the mean of all."""
        mean = self._decay(self._total, now) / max(1, len(self._rates))
        if mean <= 0:
            return 1.0
        return max(MIN_WEIGHT_FRACTION, self.find(workspace, now) / mean)

    def _decay(self, rate: tuple[float, float], now: float) -> float:
        value, at = rate
        return value * math.exp2((at - now) / self._half_life)
