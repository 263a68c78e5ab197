"""Grant policies: a naive equal split and shares in proportion to demand."""

from __future__ import annotations

from pondquay.budgets.policies import GRANT_POLICIES, GrantPolicy, GrantView

# Longest outage of the table that an instance's tokens should last for.
OUTAGE_SECONDS = 5400.0
# Lower bound of the limit on an instance's tokens, in requests of the largest size.
MIN_REQUESTS = 16
# Fraction of the target by which an instance's tokens may differ from the target.
SLACK_FRACTION = 0.05
# Fraction of a budget that all instances together hold before the first request, so
# that each can serve it while the table is unreachable.
BASE_FRACTION = 0.05


@GRANT_POLICIES.register("equal-split")
class EqualSplit(GrantPolicy):
    """Naive policy: each instance holds an equal share of the budget."""

    def decide(self, view: GrantView) -> int:
        """Refill to an equal share for a request or if at most a tenth is available."""
        share = view.limit // max(1, view.instances)
        if view.requested == 0 and view.available * 10 > share:
            return 0
        return min(view.free, max(0, share - view.available - view.reserved))


@GRANT_POLICIES.register("proportional")
class Proportional(GrantPolicy):
    """Splits the remaining budget in proportion to each instance's demand.

    The share is limited to the tokens needed during a long outage. Small differences
    from the target are ignored. Before its first request, an instance holds an equal
    part of a small fraction of the budget.
    """

    def decide(self, view: GrantView) -> int:
        """Cover waiting requests; otherwise adjust differences beyond a slack."""
        target = max(view.requested, self._target(view))
        distance = target - view.available - view.reserved
        slack = max(view.largest, int(SLACK_FRACTION * target))
        if view.requested:
            return min(view.free, max(distance, view.requested))
        if distance > slack:
            return min(view.free, distance)
        if distance < -slack:
            return -min(view.available, -distance)
        return 0

    def _target(self, view: GrantView) -> int:
        share = view.rate / view.fleet_rate if view.fleet_rate > 0 else 0.0
        if share == 0.0:
            # Without known demand, a quarter of an equal share.
            share = 1.0 / (4 * max(1, view.instances))
        limit = max(MIN_REQUESTS * view.largest, int(view.rate * OUTAGE_SECONDS))
        if view.largest == 0:
            limit = int(BASE_FRACTION * view.limit / max(1, view.instances))
        return min(limit, int(view.remaining * min(1.0, share)))
