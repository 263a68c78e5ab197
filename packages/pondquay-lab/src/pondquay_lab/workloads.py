"""Seeded workloads: when requests come, where, and what they cost."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

UPPER_BOUND = 1024
MEAN_USE = 370
MEAN_SECONDS = 4.0


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request.

    :param at: when it comes, in seconds
    :param instance: where it comes
    :param reserve: the most tokens it can cost
    :param used: what it will cost
    :param seconds: how long it will run
    """

    at: float
    instance: int
    reserve: int
    used: int
    seconds: float


@dataclass(frozen=True, slots=True)
class Shares:
    """How demand is spread over instances.

    :param weights: one for each instance
    """

    weights: tuple[float, ...]

    @classmethod
    def even(cls, count: int) -> Shares:
        """Return equal shares."""
        return cls((1.0,) * count)

    @classmethod
    def skewed(cls, count: int) -> Shares:
        """Return shares between which there is a factor of ten, in even steps."""
        return cls(tuple(10 ** (index / (count - 1)) for index in range(count)))

    def shifted(self, instances: frozenset[int], factor: float) -> Shares:
        """Return shares in which some instances have several times as much."""
        return Shares(
            tuple(
                weight * factor if index in instances else weight
                for index, weight in enumerate(self.weights)
            )
        )


def make_arrivals(
    random: Random, shares: Shares, rate: float, start: float, stop: float
) -> list[Arrival]:
    """Return requests that come independently of each other.

    :param rate: requests a second at all instances together
    """
    arrivals: list[Arrival] = []
    now = start
    instances = range(len(shares.weights))
    while True:
        now += random.expovariate(rate)
        if now >= stop:
            return arrivals
        instance = random.choices(instances, shares.weights)[0]
        used = min(UPPER_BOUND, 1 + int(random.expovariate(1 / MEAN_USE)))
        seconds = random.expovariate(1 / MEAN_SECONDS)
        arrivals.append(Arrival(now, instance, UPPER_BOUND, used, seconds))


def count_tokens(arrivals: list[Arrival]) -> int:
    """Return what requests cost together."""
    return sum(one.used for one in arrivals)
