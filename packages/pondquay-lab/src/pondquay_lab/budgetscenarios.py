"""Scenarios of the budget simulation: parameters, requests and results."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

from pondquay_lab.workloads import DemandShares, count_tokens, make_arrivals

if TYPE_CHECKING:
    from pondquay_lab.workloads import Arrival

INSTANCES = 8
DOMAINS = 3
# Time before the measured hour, in which instances measure the demand.
WARMUP_SECONDS = 900.0
HOUR_SECONDS = 3600.0
REQUESTS_PER_SECOND = 4.0
# With shifting demand, the share of each instance of this domain is multiplied by the
# factor in the second half of the hour.
SHIFT_DOMAIN = 0
SHIFT_FACTOR = 3.0


@dataclass(frozen=True, slots=True)
class Scenario:
    """Parameters of a run.

    :param ratio: remaining budget at the start of the hour, relative to its demand
    :param fault: ``well`` (none), ``one-cut`` (one domain cannot reach the table),
        ``all-cut`` (no domain can) or ``deaths`` (instances crash)
    :param demand: ``even``, ``skewed`` or ``shift`` (changes halfway through the hour)
    """

    ratio: float
    fault: str
    demand: str
    seed: int = 1


@dataclass(slots=True)
class BudgetResults:
    """Measurements of a run; requests are counted in the measured hour only.

    :param false_refusals: requests refused although the budget could cover them
    :param overspend: tokens spent beyond the limit
    :param stranded: unspent tokens in the grants of crashed instances
    :param writes: transactions on the table
    """

    requests: int = 0
    refused: int = 0
    false_refusals: int = 0
    overspend: int = 0
    stranded: int = 0
    writes: int = 0

    @property
    def false_refusal_fraction(self) -> float:
        """Fraction of the requests that were falsely refused."""
        return self.false_refusals / max(1, self.requests)


def make_scenario_arrivals(scenario: Scenario) -> list[Arrival]:
    """Return the arrivals of the warm-up and of the measured hour."""
    random = Random(scenario.seed)
    even = DemandShares.even(INSTANCES)
    shares = even if scenario.demand == "even" else DemandShares.skewed(INSTANCES)
    shift_at = WARMUP_SECONDS + HOUR_SECONDS / 2
    later_shares = shares
    if scenario.demand == "shift":
        shares = even
        shifted = {
            instance
            for instance in range(INSTANCES)
            if instance % DOMAINS == SHIFT_DOMAIN
        }
        later_shares = even.shifted(frozenset(shifted), SHIFT_FACTOR)
    rate = REQUESTS_PER_SECOND
    arrivals = make_arrivals(random, shares, rate, 0.0, shift_at)
    return arrivals + make_arrivals(
        random, later_shares, rate, shift_at, WARMUP_SECONDS + HOUR_SECONDS
    )


def compute_limit(arrivals: list[Arrival], ratio: float) -> int:
    """Return the budget's limit for a scenario.

    :param ratio: remaining budget at the start of the hour, relative to its demand
    """
    warmup_arrivals = [arrival for arrival in arrivals if arrival.at < WARMUP_SECONDS]
    hour_arrivals = [arrival for arrival in arrivals if arrival.at >= WARMUP_SECONDS]
    return count_tokens(warmup_arrivals) + int(ratio * count_tokens(hour_arrivals))
