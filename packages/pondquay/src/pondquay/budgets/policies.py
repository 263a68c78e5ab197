"""The interface of grant policies: how many tokens an instance keeps at hand."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from pondquay.registry import Registry


@dataclass(frozen=True, slots=True)
class GrantView:
    """What a policy is told of one workspace.

    :param limit: the budget's limit as last read
    :param free: tokens of the budget that nobody holds, as last read
    :param remaining: tokens of the budget that are not known to be spent
    :param holding: tokens that this instance can reserve now
    :param running: tokens that this instance has reserved
    :param rate: tokens a second that this instance spends
    :param fleet_rate: tokens a second that all instances spend, as far as known
    :param instances: instances that draw on the budget, as far as known
    :param requested: tokens that waiting requests need now
    :param largest: the most that a recent request reserved
    """

    limit: int
    free: int
    remaining: int
    holding: int
    running: int
    rate: float
    fleet_rate: float
    instances: int
    requested: int
    largest: int = 0


class GrantPolicy(ABC):
    """Decides how many tokens an instance asks for or gives back."""

    @abstractmethod
    def decide(self, view: GrantView) -> int:
        """Return tokens to add, negative to give back, 0 to leave it."""


GRANT_POLICIES: Registry[GrantPolicy] = Registry("grant policy")
