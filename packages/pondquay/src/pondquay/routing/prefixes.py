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

LOAD_BOUND = 1.25
SLACK_REQUESTS = 2


@ROUTING_POLICIES.register("prefix-affinity")
class PrefixAffinity(RoutingPolicy):
    """Prefers an upstream that has the beginning of the prompt in its cache.

    Cache events come late and with gaps, so they are hints: an upstream is preferred
    only while its load stays within a bound of the mean.
    """

    def __init__(self) -> None:
        self._fallback = TwoChoices()

    def choose(
        self, candidates: Sequence[Upstream], work: RequestProfile, random: Random
    ) -> Upstream:
        """Return the least loaded upstream with the prefix, or one of two choices."""
        warm = [one for one in candidates if work.prefix in one.prefixes]
        mean = sum(one.load / one.slots for one in candidates) / len(candidates)
        within = [
            one
            for one in warm
            if one.load / one.slots
            <= LOAD_BOUND * mean + SLACK_REQUESTS * work.tokens / one.slots
        ]
        if not work.prefix or not within:
            return self._fallback.choose(candidates, work, random)
        return min(within, key=lambda one: one.load / one.slots)
