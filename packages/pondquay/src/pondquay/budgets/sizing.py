"""Grant policies: the naive equal split, and shares in proportion to demand."""

from __future__ import annotations

from pondquay.budgets.policies import GRANT_POLICIES, GrantPolicy, GrantView

RESERVE_SECONDS = 3600.0
LEAST_REQUESTS = 16
REFILL_BELOW = 0.5
GIVE_BACK_ABOVE = 2.0


@GRANT_POLICIES.register("equal-split")
class EqualSplit(GrantPolicy):
    """Naive: each instance keeps the same part of the whole budget."""

    def decide(self, view: GrantView) -> int:
        """Fill up to an equal part once less than a tenth of it is left."""
        part = view.limit // max(1, view.instances)
        if view.wanted == 0 and view.holding * 10 > part:
            return 0
        return min(view.free, max(0, part - view.holding - view.running))


@GRANT_POLICIES.register("proportional")
class Proportional(GrantPolicy):
    """Keeps what is left of the budget in proportion to each instance's demand.

    Where the budget is ample this is capped by what an hour's outage would use.
    """

    def decide(self, view: GrantView) -> int:
        """Refill at half the target, give back above twice the target."""
        target = self._target(view)
        if view.wanted or view.holding < REFILL_BELOW * target:
            return min(view.free, max(0, target - view.holding, view.wanted))
        if view.holding > GIVE_BACK_ABOVE * target + view.running:
            return target - view.holding
        return 0

    def _target(self, view: GrantView) -> int:
        left = view.free + view.holding
        share = view.rate / view.fleet_rate if view.fleet_rate > 0 else 0.0
        if share == 0.0:
            share = 1.0 / (4 * max(1, view.instances))
        longest = max(
            view.wanted, LEAST_REQUESTS * view.largest, int(view.rate * RESERVE_SECONDS)
        )
        return max(view.wanted, min(longest, int(left * min(1.0, share))))
