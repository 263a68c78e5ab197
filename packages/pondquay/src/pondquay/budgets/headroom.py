"""Plans the headroom of an instance: the tokens that it holds unreserved.

Headroom lets an instance serve requests while the table is unreachable. Other instances
cannot spend it, and it is lost if the instance dies. So it is proportional to the
demand and bounded by a fraction of the workspace's remaining tokens, which falls as the
budget is used up.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pondquay.budgets.accounts import Account

# Number of requests of the largest size that the fleet's headroom covers in addition to
# its rate.
HEADROOM_REQUESTS = 1
# The fleet's headroom as a fraction of the prepaid tokens while no demand is known.
INITIAL_HEADROOM_FRACTION = 0.15
# Upper limit of the fleet's headroom as a fraction of the prepaid tokens.
MAX_HEADROOM_FRACTION = 0.25
# A budget counts as full if at least this fraction of the prepaid tokens remains, or if
# the remaining tokens last at least this long at the present demand.
FULL_FRACTION = 0.65
FULL_SECONDS = 600.0
# Upper limit of an instance's headroom as a fraction of the prepaid tokens while the
# row has no entries of others.
FIRST_INSTANCE_FRACTION = 0.03
# Fraction of the mean rate that is added to each instance's rate, so that instances
# without demand get headroom as well.
RATE_FLOOR_FRACTION = 0.5
# An allotment is raised if its unspent tokens are below this fraction of the target.
REFILL_FRACTION = 0.7
# An instance without an allotment borrows headroom if its unspent tokens are below this
# fraction of its plan.
TOP_UP_FRACTION = 0.3
# Fraction of the target that a surplus must exceed to be returned.
SURPLUS_FRACTION = 0.2
# Fraction of the prepaid tokens that a surplus must exceed to be returned.
MIN_RETURN_FRACTION = 0.005
# An entry of the row is rewritten if it understates the tokens used here by more than
# this fraction of the prepaid tokens.
MAX_UNREPORTED_FRACTION = 0.01


def share_of_demand(account: Account, now: float) -> float:
    """Return this instance's fraction of the demand of all instances in the row.

    A floor is added to each rate, so that no fraction is 0.
    """
    own = account.demand.rate(now)
    total = own + account.rate_elsewhere()
    instances = 1 + account.count_others()
    floor = RATE_FLOOR_FRACTION * (total / instances) + 1.0
    return (own + floor) / (total + floor * instances)


def fleet_headroom(account: Account, now: float) -> float:
    """Return the tokens that all instances together should hold unspent."""
    rate = account.demand.rate(now) + account.rate_elsewhere()
    need = (
        account.policy.cover_seconds * rate + HEADROOM_REQUESTS * account.demand.largest
    )
    if rate == 0.0:
        need = INITIAL_HEADROOM_FRACTION * account.prepaid
    limit = min(
        MAX_HEADROOM_FRACTION * account.prepaid,
        headroom_fraction(account, rate) * account.remaining(),
    )
    return min(need, limit)


def headroom_fraction(account: Account, rate: float) -> float:
    """Return the fraction of the remaining tokens that may be headroom.

    It falls with the cube of how full the budget is. A full budget can afford to lose
    headroom in a crash of all instances. Of a budget that is nearly used up, the loss
    would refuse requests that the prepaid tokens could have paid.

    :param rate: tokens per second that all instances request
    """
    remaining = account.remaining()
    if remaining <= 0:
        return 0.0
    fullness = remaining / (FULL_FRACTION * account.prepaid)
    if rate > 0.0:
        fullness = max(fullness, remaining / (FULL_SECONDS * rate))
    return account.policy.most_of_left * min(1.0, fullness) ** 3


def target_headroom(account: Account, now: float) -> int:
    """Return the tokens that this instance should hold unspent."""
    headroom = fleet_headroom(account, now)
    if not account.count_others():
        headroom = min(headroom, FIRST_INSTANCE_FRACTION * account.prepaid)
    return max(0, int(headroom * share_of_demand(account, now)))


def plan_borrowed_headroom(account: Account, now: float, instances: int) -> int:
    """Return the headroom that an instance without an allotment should borrow.

    There are many such instances, each with few requests, and an instance cannot use
    the tokens that another one holds. So a single request yields only a low rate, and
    the headroom is limited to a fraction of the remaining tokens.

    :param instances: number of instances of the fleet
    """
    headroom = account.policy.ahead_seconds * account.demand.uncorrected_rate(now)
    return int(min(headroom, max_borrowed(account, now, instances)))


def max_borrowed(account: Account, now: float, instances: int) -> float:
    """Return the most headroom that an instance without an allotment may hold.

    This is its share, by demand, of a fraction of the remaining tokens. If that is less
    than its largest request or than the policy's minimum, the minimum applies. The sum
    of all minimums does not depend on the size of the fleet.

    :param instances: number of instances of the fleet
    """
    remaining = max(0, account.remaining())
    rate = account.rate_elsewhere()
    fraction = headroom_fraction(account, rate)
    share = fraction * remaining * borrower_share_of_demand(account, now)
    minimum = account.policy.borrowed_of_left * remaining / max(1, instances)
    return share if share >= max(minimum, account.demand.largest) else minimum


def borrower_share_of_demand(account: Account, now: float) -> float:
    """Return the fraction of a workspace's demand at an instance without an allotment.

    Its own demand is included in the rates of its lenders, so these sum up to the
    demand of the fleet. The result is 0 while the row has no rates.
    """
    others = account.rate_elsewhere()
    own = account.demand.uncorrected_rate(now)
    return own / max(own, others) if others and own else 0.0


def plan_top_up(account: Account, now: float, instances: int) -> int:
    """Return the tokens that an instance without an allotment should borrow in advance.

    They serve requests while no lender is reachable.

    :param instances: number of instances of the fleet
    """
    planned = plan_borrowed_headroom(account, now, instances)
    missing = planned - account.unspent
    if planned < account.demand.largest or account.unspent >= TOP_UP_FRACTION * planned:
        return 0
    return missing


def plan_return(account: Account, now: float, instances: int) -> int:
    """Return the surplus that an instance without an allotment should return.

    :param instances: number of instances of the fleet
    """
    planned = plan_borrowed_headroom(account, now, instances)
    if not account.policy.return_surplus:
        return 0
    surplus = account.unspent - planned
    worth_returning = account.policy.return_part * account.demand.largest
    minimum = min(worth_returning, max_borrowed(account, now, instances))
    return surplus if surplus > minimum else 0


def max_large_request_headroom(account: Account) -> int:
    """Return the largest headroom for requests that are not small.

    The tokens for small requests stay in the row, where a crash cannot lose them.
    """
    limit = account.max_headroom()
    return max(0, min(account.unspent, limit), limit - account.withheld)


def lendable_tokens(account: Account) -> int:
    """Return the tokens that other instances can lend, according to the row."""
    return sum(allotment.unspent for allotment in account.others().values())


def request_tokens(account: Account, tokens: int) -> None:
    """Record that a request waits for tokens.

    The largest waiting request determines the plan, unless the row has too few tokens
    for it: a large request that has to be refused must not block small ones.
    """
    if _max_headroom_for(account, account.requested) <= account.unspent:
        account.requested = 0
    account.requested = max(account.requested, tokens)


def _max_headroom_for(account: Account, tokens: int) -> int:
    """Return the largest headroom that the row has for a request of this size."""
    if account.is_small(tokens):
        return account.max_headroom()
    return max_large_request_headroom(account)


def plan_headroom(account: Account, now: float) -> int | None:
    """Return the headroom to write, ``None`` if no write is worthwhile."""
    target = target_headroom(account, now)
    unspent = account.unspent
    limit = account.max_headroom()
    large_request_limit = max_large_request_headroom(account)
    if account.earlier_incarnation is not None:
        # Any write closes the earlier incarnation, even if no tokens are available.
        # Until then, the tokens that it held count as remaining, and large requests
        # would use those that are reserved for small ones.
        return min(large_request_limit, target)
    if account.has_pending_decrease:
        return min(limit, max(unspent, target))
    if account.free() < 0:
        return min(unspent, limit) if unspent > limit else None
    available = _max_headroom_for(account, account.requested)
    if unspent < account.requested <= available:
        return max(min(large_request_limit, target), account.requested)
    if unspent < available < account.requested <= available + lendable_tokens(account):
        # Neither the row nor the lenders alone have enough tokens for the request, so
        # this instance takes what the row has and can borrow the rest. Otherwise a
        # request that the remaining tokens cover might be refused forever, with some
        # of them in the row and some at each instance.
        return available
    if unspent < REFILL_FRACTION * target and large_request_limit > unspent:
        return min(large_request_limit, target)
    surplus = unspent - target if account.policy.return_surplus else 0
    if surplus > max(SURPLUS_FRACTION * target, MIN_RETURN_FRACTION * account.prepaid):
        return target
    if is_report_due(account):
        return min(limit, max(0, unspent))
    return None


def is_report_due(account: Account) -> bool:
    """Return whether the row understates what this instance has used.

    Other instances compute the remaining tokens from the row. While nothing is free, no
    other plan rewrites the entry, and they would take used tokens for remaining ones.
    """
    entry = account.row.find(account.holder, account.boot)
    if entry is None:
        return False
    unreported = account.used - entry.spent
    return unreported > MAX_UNREPORTED_FRACTION * account.prepaid
