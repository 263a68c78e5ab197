"""The interface of routing policies, and the registry they announce themselves in."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pondquay.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from pondquay.routing.upstreams import Upstream


@dataclass(frozen=True, slots=True)
class RequestProfile:
    """What a policy is told of a request.

    :param tokens: the most tokens that it can cost
    :param rank: priority, 0 is the most urgent
    :param prefix: names the beginning of the prompt, empty if there is none
    """

    tokens: int
    prefix: str = ""
    rank: int = 1


class RoutingPolicy(ABC):
    """Chooses the upstream of a request."""

    @abstractmethod
    def choose(
        self, candidates: Sequence[Upstream], work: RequestProfile, random: Random
    ) -> Upstream:
        """Return one of the candidates, of which there is at least one."""


ROUTING_POLICIES: Registry[RoutingPolicy] = Registry("routing policy")
