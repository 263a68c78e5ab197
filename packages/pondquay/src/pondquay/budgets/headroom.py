"""How much an instance keeps ahead of its spending.

What is kept ahead serves while the table is out of reach, is missing elsewhere, and is
lost if the instance dies. So it follows the demand, and it is bounded by a share of
what the workspace has left.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pondquay.budgets.accounts import Account

# Largest requests that all instances together keep ahead besides their demand.
COVER_REQUESTS = 1
# Part of the prepaid tokens that they keep while no demand is known, and at most.
FIRST_OF_PREPAID = 0.15
MAX_OF_PREPAID = 0.25
# Part of the prepaid tokens that an instance keeps before it knows the others.
FIRST_PART = 0.03
# Rate that is added to each instance's, as a part of the mean, so that all get some.
FLOOR_PART = 0.5
# Below this part of the target more is asked for.
LOW_PART = 0.7
# Below this part of its plan an instance without an allotment borrows ahead.
TOP_UP_PART = 0.3
# What is above the target by this part of it, and by this part of the prepaid tokens,
# is returned.
HIGH_PART = 0.2
WORTH_RETURNING = 0.005


def share_of_demand(account: Account, now: float) -> float:
    """Return this instance's part of the demand that the row shows."""
    own = account.demand.rate(now)
    rates = [float(one.rate) for one in account.others().values()]
    mean = (own + sum(rates)) / (1 + len(rates))
    floor = FLOOR_PART * mean + 1.0
    return (own + floor) / (own + sum(rates) + floor * (1 + len(rates)))


def fleet_headroom(account: Account, now: float) -> float:
    """Return the tokens that all instances together should have unspent."""
    rate = account.demand.rate(now)
    rate += sum(one.rate for one in account.others().values())
    need = account.policy.cover_seconds * rate + COVER_REQUESTS * account.demand.largest
    if rate == 0.0:
        need = FIRST_OF_PREPAID * account.prepaid
    most = min(
        MAX_OF_PREPAID * account.prepaid,
        account.policy.most_of_left * account.remaining(),
    )
    return min(need, most)


def target_headroom(account: Account, now: float) -> int:
    """Return the tokens that this instance should have unspent."""
    kept = fleet_headroom(account, now)
    if not account.others():
        kept = min(kept, FIRST_PART * account.prepaid)
    return max(0, int(kept * share_of_demand(account, now)))


def plan_borrowed_headroom(account: Account, now: float) -> int:
    """Return what an instance without an allotment should have from lenders.

    Such instances are many, and each sees few requests: what they hold is missing where
    the next request comes. So one request counts for what it is, not as the first of a
    series, and where little is left, little of it is held.
    """
    ahead = account.policy.ahead_seconds * account.demand.mean_rate(now)
    return int(min(ahead, max_borrowed(account, now)))


def max_borrowed(account: Account, now: float) -> float:
    """Return the tokens that such an instance may hold without need for them.

    It is the instance's part, by its part of the demand, of what all may keep ahead, if
    a request fits into that; what is less would lie idle.
    """
    remaining = max(0, account.remaining())
    fair = account.policy.most_of_left * remaining * part_of_demand(account, now)
    least = account.policy.borrowed_of_left * remaining
    return fair if fair >= max(least, account.demand.largest) else least


def part_of_demand(account: Account, now: float) -> float:
    """Return the part of a workspace's demand that such an instance sees.

    What it borrows is in the rates of its lenders, so these hold the demand of all; it
    sees none of a demand that no row tells of yet.
    """
    others = sum(one.rate for one in account.others().values())
    own = account.demand.mean_rate(now)
    return own / max(own, others) if others and own else 0.0


def plan_top_up(account: Account, now: float) -> int:
    """Return what such an instance should borrow before a request needs it.

    While nothing can be reached it serves from what it has; without this that is what
    requests have left of the last loan, half of its plan on average.
    """
    keep = plan_borrowed_headroom(account, now)
    lacking = keep - account.unspent
    if keep < account.demand.largest or account.unspent >= TOP_UP_PART * keep:
        return 0
    return lacking


def plan_return(account: Account, now: float) -> int:
    """Return the tokens that such an instance should hand back to a lender."""
    keep = plan_borrowed_headroom(account, now)
    if not account.policy.return_surplus:
        return 0
    surplus = account.unspent - keep
    worth_returning = account.policy.return_part * account.demand.largest
    least = min(worth_returning, max_borrowed(account, now))
    return surplus if surplus > least else 0


def ordinary_headroom(account: Account) -> int:
    """Return the most headroom for other than small requests.

    The part for small ones stays in the row, where no death strands it.
    """
    most = account.max_headroom()
    return max(0, min(account.unspent, most), most - account.last_part)


def lent_at_most(account: Account) -> int:
    """Return the tokens that other instances could lend, by the row."""
    return sum(one.unspent for one in account.others().values())


def request_tokens(account: Account, tokens: int) -> None:
    """Note that a request waits for tokens.

    The most that is waited for counts, unless the row has nothing for it: a large
    request that can only be refused must not keep the last tokens from small ones.
    """
    if _room_for(account, account.requested) <= account.unspent:
        account.requested = 0
    account.requested = max(account.requested, tokens)


def _room_for(account: Account, tokens: int) -> int:
    """Return the most headroom that the row has for a request of some size."""
    if account.is_small(tokens):
        return account.max_headroom()
    return ordinary_headroom(account)


def plan_headroom(account: Account, now: float) -> int | None:
    """Return the headroom that should be written, ``None`` if nothing is worth it."""
    target = target_headroom(account, now)
    unspent = account.unspent
    most = account.max_headroom()
    ordinary = ordinary_headroom(account)
    if account.has_earlier_life:
        # Closed at once, also where nothing is to be had: until then what it held
        # counts as left, and large requests take the part that is kept for small ones.
        return min(ordinary, target)
    if account.lowering:
        return min(most, max(unspent, target))
    if account.free() < 0:
        return min(unspent, most) if unspent > most else None
    room = _room_for(account, account.requested)
    if unspent < account.requested <= room:
        return max(min(ordinary, target), account.requested)
    if unspent < room < account.requested <= room + lent_at_most(account):
        # The rest is borrowed. Otherwise a request that fits into what is left could be
        # refused for ever, with some of it in the row and some with each instance.
        return room
    if unspent < LOW_PART * target and ordinary > unspent:
        return min(ordinary, target)
    surplus = unspent - target if account.policy.return_surplus else 0
    if surplus > max(HIGH_PART * target, WORTH_RETURNING * account.prepaid):
        return target
    return None
