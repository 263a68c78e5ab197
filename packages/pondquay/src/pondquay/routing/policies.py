"""Interface of routing policies, and the registry of implementations."""

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
    """The properties of a request that a routing policy considers.

    :param tokens: maximum number of tokens that it can cost
    :param prefix: identifies the beginning of the prompt, empty if there is none
    :param rank: index of its priority; 0 is the most urgent
    """

    tokens: int
    prefix: str = ""
    rank: int = 1


class RoutingPolicy(ABC):
    """Chooses the upstream of a request."""

    @abstractmethod
    def choose(
        self, candidates: Sequence[Upstream], request: RequestProfile, random: Random
    ) -> Upstream:
        """Return one of the candidates; there is always at least one."""


ROUTING_POLICIES: Registry[RoutingPolicy] = Registry("routing policy")
