"""The naive policy that others are compared with: each upstream in its turn."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay.routing.policies import ROUTING_POLICIES, RoutingPolicy

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from pondquay.routing.policies import RequestProfile
    from pondquay.routing.upstreams import Upstream


@ROUTING_POLICIES.register("round-robin")
class RoundRobin(RoutingPolicy):
    """Takes the upstreams in turn, whatever their load."""

    def __init__(self) -> None:
        self._turn = 0

    def choose(
        self, candidates: Sequence[Upstream], work: RequestProfile, random: Random
    ) -> Upstream:
        """Return the next upstream by name."""
        self._turn += 1
        ordered = sorted(candidates, key=lambda one: one.name)
        return ordered[self._turn % len(ordered)]
