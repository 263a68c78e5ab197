"""Prefix affinity with a bound on load: the default policy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay.routing.balanced import TwoChoices
from pondquay.routing.policies import ROUTING_POLICIES, RoutingPolicy

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from pondquay.routing.policies import RequestProfile
    from pondquay.routing.upstreams import Upstream

# Maximum load per slot of a preferred upstream, relative to the mean.
LOAD_BOUND = 1.25
# Allowance above that bound, in requests of the same size.
SLACK_REQUESTS = 2


@ROUTING_POLICIES.register("prefix-affinity")
class PrefixAffinity(RoutingPolicy):
    """Prefers an upstream that has cached the beginning of the prompt.

    The known cache contents are late and incomplete, so they are only hints: an
    upstream is preferred only while its load stays within a bound of the mean.
    """

    def __init__(self) -> None:
        self._fallback = TwoChoices()

    def choose(
        self, candidates: Sequence[Upstream], request: RequestProfile, random: Random
    ) -> Upstream:
        """Return the least loaded eligible upstream with the prefix.

        If there is none, fall back to :class:`TwoChoices`.
        """
        cached = [
            upstream for upstream in candidates if request.prefix in upstream.prefixes
        ]
        mean = sum(upstream.load / upstream.slots for upstream in candidates) / len(
            candidates
        )
        eligible = [
            upstream
            for upstream in cached
            if upstream.load / upstream.slots
            <= LOAD_BOUND * mean + SLACK_REQUESTS * request.tokens / upstream.slots
        ]
        if not request.prefix or not eligible:
            return self._fallback.choose(candidates, request, random)
        return min(eligible, key=lambda upstream: upstream.load / upstream.slots)
