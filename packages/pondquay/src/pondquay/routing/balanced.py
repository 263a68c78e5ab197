"""Two random choices, the one that will start sooner taken."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay.routing.policies import ROUTING_POLICIES, RoutingPolicy

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from pondquay.routing.policies import RequestProfile
    from pondquay.routing.upstreams import Upstream


# How much of the work ahead a request has to wait for: engines start the more urgent
# ones first, so to a caption most of the backlog does not matter.
AHEAD_BY_RANK = (0.05, 0.5, 1.0)


def estimate_wait(upstream: Upstream, work: RequestProfile, usual: float) -> float:
    """Return about how many seconds pass until a request's first token.

    :param usual: pace taken for an upstream that has not been observed yet
    """
    pace = upstream.pace or usual
    ahead = AHEAD_BY_RANK[work.rank] * upstream.load / upstream.slots
    return pace * (1.0 + ahead)


@ROUTING_POLICIES.register("two-choices")
class TwoChoices(RoutingPolicy):
    """Compares two upstreams drawn at random.

    With lagging reports, taking the least loaded of all sends every instance to the
    same upstream; two choices avoid that.
    """

    def choose(
        self, candidates: Sequence[Upstream], work: RequestProfile, random: Random
    ) -> Upstream:
        """Return the one of two that will start sooner."""
        drawn = random.sample(list(candidates), min(2, len(candidates)))
        known = [one.pace for one in candidates if one.pace]
        usual = sum(known) / len(known) if known else 1.0
        return min(drawn, key=lambda one: estimate_wait(one, work, usual))
