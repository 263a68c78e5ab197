"""The interface of grant policies, which decide how many tokens an instance holds."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from pondquay.registry import Registry


@dataclass(frozen=True, slots=True)
class GrantView:
    """The input of a policy for one workspace.

    :param limit: the budget's limit as last read
    :param free: tokens of the budget that no instance holds, as last read
    :param remaining: tokens of the budget that are not known to be spent
    :param available: tokens that this instance can reserve now
    :param reserved: tokens that this instance has reserved for running attempts
    :param rate: tokens per second that this instance spends
    :param fleet_rate: tokens per second that all instances spend, as far as known
    :param instances: number of instances that spend the budget, as far as known
    :param requested: tokens that waiting requests need now
    :param largest: tokens of the largest request at this instance
    """

    limit: int
    free: int
    remaining: int
    available: int
    reserved: int
    rate: float
    fleet_rate: float
    instances: int
    requested: int
    largest: int = 0


class GrantPolicy(ABC):
    """Decides how many tokens an instance requests or returns."""

    @abstractmethod
    def decide(self, view: GrantView) -> int:
        """Return the tokens to add, negative to return some, 0 for no change."""


GRANT_POLICIES: Registry[GrantPolicy] = Registry("grant policy")
