"""Load balancing by two random choices."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay.routing.policies import ROUTING_POLICIES, RoutingPolicy

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from pondquay.routing.policies import RequestProfile
    from pondquay.routing.upstreams import Upstream


# Fraction of an upstream's load that a request waits for, by its rank: engines start
# more urgent requests first.
QUEUE_FRACTION_BY_RANK = (0.05, 0.5, 1.0)


def estimate_wait(
    upstream: Upstream, request: RequestProfile, default_pace: float
) -> float:
    """Return the approximate seconds until a request's first token.

    :param default_pace: seconds per token to assume for an upstream without a known
        pace
    """
    pace = upstream.pace or default_pace
    ahead = QUEUE_FRACTION_BY_RANK[request.rank] * upstream.load / upstream.slots
    return pace * (1.0 + ahead)


@ROUTING_POLICIES.register("two-choices")
class TwoChoices(RoutingPolicy):
    """Draws two upstreams at random and chooses the one with the shorter wait.

    Load reports lag, so picking the least loaded of all upstreams would send the
    requests of every instance to the same upstream.
    """

    def choose(
        self, candidates: Sequence[Upstream], request: RequestProfile, random: Random
    ) -> Upstream:
        """Return the candidate with the shorter expected wait of two random ones."""
        drawn = random.sample(list(candidates), min(2, len(candidates)))
        paces = [upstream.pace for upstream in candidates if upstream.pace]
        default_pace = sum(paces) / len(paces) if paces else 1.0
        return min(
            drawn,
            key=lambda upstream: estimate_wait(upstream, request, default_pace),
        )
