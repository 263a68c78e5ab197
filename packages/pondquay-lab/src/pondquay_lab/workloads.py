"""Seeded workloads: arrival times, instances and costs of requests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

MAX_TOKENS = 1024
MEAN_TOKENS = 370
MEAN_SECONDS = 4.0


@dataclass(frozen=True, slots=True)
class Arrival:
    """The arrival of one request.

    :param at: arrival time in seconds
    :param instance: index of the instance that receives the request
    :param reserve: tokens to reserve, an upper bound of the cost
    :param used: tokens that the request costs
    :param seconds: duration of the request
    """

    at: float
    instance: int
    reserve: int
    used: int
    seconds: float


@dataclass(frozen=True, slots=True)
class DemandShares:
    """Distribution of demand over instances.

    :param weights: relative demand at each instance
    """

    weights: tuple[float, ...]

    @classmethod
    def even(cls, count: int) -> DemandShares:
        """Return equal shares."""
        return cls((1.0,) * count)

    @classmethod
    def skewed(cls, count: int) -> DemandShares:
        """Return shares in geometric steps; the last is ten times the first."""
        return cls(tuple(10 ** (index / (count - 1)) for index in range(count)))

    def shifted(self, instances: frozenset[int], factor: float) -> DemandShares:
        """Return shares in which the weights of some instances are multiplied."""
        return DemandShares(
            tuple(
                weight * factor if index in instances else weight
                for index, weight in enumerate(self.weights)
            )
        )


def make_arrivals(
    random: Random, shares: DemandShares, rate: float, start: float, stop: float
) -> list[Arrival]:
    """Return the arrivals of a Poisson process.

    :param rate: requests per second over all instances
    """
    arrivals: list[Arrival] = []
    now = start
    instances = range(len(shares.weights))
    while True:
        now += random.expovariate(rate)
        if now >= stop:
            return arrivals
        instance = random.choices(instances, shares.weights)[0]
        used = min(MAX_TOKENS, 1 + int(random.expovariate(1 / MEAN_TOKENS)))
        seconds = random.expovariate(1 / MEAN_SECONDS)
        arrivals.append(Arrival(now, instance, MAX_TOKENS, used, seconds))


def count_tokens(arrivals: list[Arrival]) -> int:
    """Return the total cost of requests in tokens."""
    return sum(arrival.used for arrival in arrivals)
