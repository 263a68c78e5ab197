"""Grant policies: the naive equal split, and shares in proportion to demand."""

from __future__ import annotations

from pondquay.budgets.policies import GRANT_POLICIES, GrantPolicy, GrantView

RESERVE_SECONDS = 5400.0
MIN_REQUESTS = 16
SLACK = 0.05
# Part of a budget that all instances together hold where no demand was seen yet, so
# that each can serve if the table is away when the first request comes.
BASE_FRACTION = 0.05


@GRANT_POLICIES.register("equal-split")
class EqualSplit(GrantPolicy):
    """Naive: each instance keeps the same part of the whole budget."""

    def decide(self, view: GrantView) -> int:
        """Fill up to an equal part once less than a tenth of it is left."""
        part = view.limit // max(1, view.instances)
        if view.requested == 0 and view.holding * 10 > part:
            return 0
        return min(view.free, max(0, part - view.holding - view.running))


@GRANT_POLICIES.register("proportional")
class Proportional(GrantPolicy):
    """Keeps what is left of the budget in proportion to each instance's demand.

    Where the budget is ample this is capped by what a long outage would use, and
    within a slack around the target nothing is moved. Where no request was seen yet it
    is a base.
    """

    def decide(self, view: GrantView) -> int:
        """Move to the target once the distance is worth a write."""
        target = max(view.requested, self._target(view))
        distance = target - view.holding - view.running
        slack = max(view.largest, int(SLACK * target))
        if view.requested:
            return min(view.free, max(distance, view.requested))
        if distance > slack:
            return min(view.free, distance)
        if distance < -slack:
            return -min(view.holding, -distance)
        return 0

    def _target(self, view: GrantView) -> int:
        share = view.rate / view.fleet_rate if view.fleet_rate > 0 else 0.0
        if share == 0.0:
            share = 1.0 / (4 * max(1, view.instances))
        longest = max(MIN_REQUESTS * view.largest, int(view.rate * RESERVE_SECONDS))
        if view.largest == 0:
            longest = int(BASE_FRACTION * view.limit / max(1, view.instances))
        return min(longest, int(view.remaining * min(1.0, share)))
