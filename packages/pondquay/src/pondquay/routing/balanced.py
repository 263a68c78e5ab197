"""Two random choices, the one with less work ahead taken."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay.routing.policies import ROUTING_POLICIES, RoutingPolicy

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from pondquay.routing.policies import Work
    from pondquay.routing.upstreams import Upstream


@ROUTING_POLICIES.register("two-choices")
class TwoChoices(RoutingPolicy):
    """Compares two upstreams drawn at random.

    With lagging reports, taking the least loaded of all sends every instance to the
    same upstream; two choices avoid that.
    """

    def choose(
        self, candidates: Sequence[Upstream], work: Work, random: Random
    ) -> Upstream:
        """Return the less loaded of two."""
        drawn = random.sample(list(candidates), min(2, len(candidates)))
        return min(drawn, key=lambda one: one.load / one.slots)
