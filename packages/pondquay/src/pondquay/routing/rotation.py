"""Round robin: the baseline with which other policies are compared."""

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
    """Cycles through the upstreams regardless of their load."""

    def __init__(self) -> None:
        self._turn = 0

    def choose(
        self, candidates: Sequence[Upstream], request: RequestProfile, random: Random
    ) -> Upstream:
        """Return the next upstream in order of names."""
        self._turn += 1
        ordered = sorted(candidates, key=lambda upstream: upstream.name)
        return ordered[self._turn % len(ordered)]
