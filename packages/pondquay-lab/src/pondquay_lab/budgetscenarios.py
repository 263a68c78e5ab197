"""What a run of the budget decisions is like, its requests, and what is measured."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

from pondquay_lab.workloads import Shares, count_tokens, make_arrivals

if TYPE_CHECKING:
    from pondquay_lab.workloads import Arrival

INSTANCES = 8
DOMAINS = 3
# Seconds before the hour that is measured, in which demand becomes known.
WARM_SECONDS = 900.0
HOUR = 3600.0
REQUESTS_A_SECOND = 4.0
# In a shift, instances of this domain get so many times their share.
SHIFT_DOMAIN = 0
SHIFT_FACTOR = 3.0


@dataclass(frozen=True, slots=True)
class Scenario:
    """What a run is like.

    :param ratio: budget left at the start of the hour over the hour's demand
    :param fault: ``well``, ``one-cut``, ``all-cut`` or ``deaths``
    :param demand: ``even``, ``skewed`` or ``shift``
    """

    ratio: float
    fault: str
    demand: str
    seed: int = 1


@dataclass(slots=True)
class Figures:
    """What came of the measured hour.

    :param false_refusals: refused though the budget as a whole could have paid
    :param stranded: tokens that a crash left with nobody
    """

    requests: int = 0
    refused: int = 0
    false_refusals: int = 0
    overspend: int = 0
    stranded: int = 0
    writes: int = 0

    @property
    def false_share(self) -> float:
        """Part of the requests that were falsely refused."""
        return self.false_refusals / max(1, self.requests)


def make_scenario(scenario: Scenario) -> list[Arrival]:
    """Return the requests of the warm-up and of the measured hour."""
    random = Random(scenario.seed)
    even = Shares.even(INSTANCES)
    shares = even if scenario.demand == "even" else Shares.skewed(INSTANCES)
    half = WARM_SECONDS + HOUR / 2
    later = shares
    if scenario.demand == "shift":
        shares = even
        domain = {one for one in range(INSTANCES) if one % DOMAINS == SHIFT_DOMAIN}
        later = even.shifted(frozenset(domain), SHIFT_FACTOR)
    rate = REQUESTS_A_SECOND
    arrivals = make_arrivals(random, shares, rate, 0.0, half)
    return arrivals + make_arrivals(random, later, rate, half, WARM_SECONDS + HOUR)


def find_limit(arrivals: list[Arrival], ratio: float) -> int:
    """Return the limit that leaves a ratio of the hour's demand at its start."""
    warm = [one for one in arrivals if one.at < WARM_SECONDS]
    hour = [one for one in arrivals if one.at >= WARM_SECONDS]
    return count_tokens(warm) + int(ratio * count_tokens(hour))
