"""Decides which further instances hold allotments of a workspace, by their demand.

In a large fleet, the lenders that rendezvous hashing chooses hold allotments, and the
other instances borrow. An instance where a considerable part of a workspace's requests
arrives also holds an allotment, so that its tokens come from the row instead of from
loans of a few requests each. The minimum share of the demand limits how many instances
write a row; hysteresis limits how often they change.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pondquay.budgets.accounts import Account

# Requests within the averaging period of the demand from which it counts as lasting.
LASTING_REQUESTS = 4.0
# A holder gives up its allotment when its requests fall below this number, or its share
# of the demand below this fraction of the share that a holder needs at first.
RELEASE_REQUESTS = 1.0
RELEASE_FRACTION = 0.25
# Entries in a row, as a multiple of the policy's maximum number of holders, from which
# no further instance claims an allotment by its demand.
MAX_ENTRIES_FACTOR = 2


@dataclass(frozen=True, slots=True)
class HoldingDecision:
    """Whether an instance should hold an allotment, with the inputs that decided.

    :param requests: requests at this instance, averaged like its demand
    :param rate: tokens per second requested at this instance
    :param share: its fraction of the tokens requested at all instances
    :param entries: number of entries of other instances in the row
    """

    holds: bool
    requests: float
    rate: int
    share: float
    entries: int


def decide_holding(account: Account, now: float, *, holds: bool) -> HoldingDecision:
    """Decide whether an instance that is not a chosen lender holds an allotment.

    :param holds: the previous decision
    """
    requests = account.demand.requests(now)
    if requests < (RELEASE_REQUESTS if holds else LASTING_REQUESTS):
        return HoldingDecision(False, requests, 0, 0.0, 0)
    others = account.others()
    rate = account.demand.uncorrected_rate(now)
    total = max(rate, sum(entry.rate for entry in others.values()))
    share = rate / total if total else 0.0
    most = max(1, account.policy.most_holders)
    if holds:
        stays = share >= RELEASE_FRACTION / most
        return HoldingDecision(stays, requests, int(rate), share, len(others))
    claims = share >= 1 / most and len(others) < MAX_ENTRIES_FACTOR * most
    return HoldingDecision(claims, requests, int(rate), share, len(others))


def should_close(account: Account) -> bool:
    """Return whether an instance that no longer holds can remove its entry.

    Running requests keep the entry, since their tokens are reserved from its ceiling.
    """
    if account.reserved or account.has_pending_decrease:
        return False
    return account.row.find(account.holder, account.boot) is not None
