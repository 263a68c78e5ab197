"""How much an instance keeps ahead of its spending.

What is kept ahead serves while the table is out of reach, is missing elsewhere, and is
lost if the instance dies. So it follows the demand, and it is bounded by a share of
what the workspace has left.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pondquay.budgets.accounts import Account

# Seconds of demand that are kept ahead.
COVER_SECONDS = 12.0
# Largest requests that are kept ahead besides: few requests can need many tokens.
COVER_REQUESTS = 3
# Part of the budget that is kept before any demand is known.
FIRST_PART = 0.06
# Part of what is left that all instances together keep ahead.
KEPT_PART = 0.85
# Rate that is added to each instance's, as a part of the mean, so that all get some.
FLOOR_PART = 0.5
# Below this part of the target more is asked for, above the other some is returned.
LOW_PART = 0.6
HIGH_PART = 1.4
# Part of what is left below which free tokens count as short.
SHORT_PART = 0.08


def share_of_demand(account: Account, now: float) -> float:
    """Return this instance's part of the demand that the row shows."""
    own = account.demand.at(now)
    rates = [float(one.rate) for one in account.others().values()]
    mean = (own + sum(rates)) / (1 + len(rates))
    floor = FLOOR_PART * mean + 1.0
    return (own + floor) / (own + sum(rates) + floor * (1 + len(rates)))


def target_headroom(account: Account, now: float) -> int:
    """Return the tokens that this instance should have unspent."""
    need = COVER_SECONDS * account.demand.at(now)
    need += COVER_REQUESTS * account.demand.largest
    need = max(need, FIRST_PART * account.prepaid)
    fair = KEPT_PART * account.left() * share_of_demand(account, now)
    return max(0, int(min(need, fair)))


def plan_headroom(account: Account, now: float) -> int | None:
    """Return the headroom that should be written, ``None`` if nothing is worth it."""
    target = target_headroom(account, now)
    unspent = account.unspent
    most = max(0, account.free() + unspent)
    if account.free() < 0:
        return min(unspent, most) if unspent > most else None
    if account.wanted > unspent:
        return min(most, max(target, account.wanted))
    if unspent < LOW_PART * target and most > unspent:
        return min(most, target)
    short = account.free() < SHORT_PART * account.left()
    wanted = any(one.wanted for one in account.others().values())
    if (short or wanted) and unspent > HIGH_PART * target:
        return target
    return None
