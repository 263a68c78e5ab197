"""Tests of which instances hold allotments because of their demand."""

from __future__ import annotations

import pytest

from pondquay.budgets.accounts import Account
from pondquay.budgets.allotments import Allotment, AllotmentRow
from pondquay.budgets.holders import (
    LASTING_REQUESTS,
    MAX_ENTRIES_FACTOR,
    decide_holding,
)
from pondquay.policy import DEFAULT_POLICY

PREPAID = 1_000_000
TOKENS = 1_000


def make_account(requests: int, rates: list[int], seconds: float = 0.5) -> Account:
    """Return an account in a row with others.

    :param requests: requests that arrived here at a steady rate
    :param rates: tokens per second requested at each of the others
    :param seconds: time in which the requests arrived
    """
    account = Account("me", "1", PREPAID)
    holders = {f"{n}": Allotment("1", 0, 0, rate) for n, rate in enumerate(rates)}
    account.read(AllotmentRow(0, 0, holders), 1)
    for number in range(requests):
        account.demand.note(TOKENS, seconds * number / max(1, requests))
    return account


def test_a_burst_of_one_workspace_at_one_instance_makes_it_a_holder() -> None:
    assert decide_holding(make_account(20, [0] * 6), 0.5, holds=False).holds


def test_demand_that_moved_here_makes_a_holder_within_a_second() -> None:
    account = make_account(40, [40 * TOKENS, 0, 0], seconds=1.0)
    assert decide_holding(account, 1.0, holds=False).holds


def test_rare_requests_make_no_holder() -> None:
    account = make_account(int(LASTING_REQUESTS) - 1, [0] * 6)
    assert not decide_holding(account, 0.5, holds=False).holds


def test_demand_that_is_even_over_a_large_fleet_makes_no_holder() -> None:
    account = make_account(320, [80 * 40 * TOKENS // 6] * 6, seconds=8.0)
    assert not decide_holding(account, 8.0, holds=False).holds


def test_a_row_with_many_entries_takes_no_further_holder() -> None:
    """Guards against a row with more writers than its partition takes writes."""
    most = MAX_ENTRIES_FACTOR * DEFAULT_POLICY.most_holders
    assert decide_holding(make_account(20, [0] * (most - 1)), 0.5, holds=False).holds
    assert not decide_holding(make_account(20, [0] * most), 0.5, holds=False).holds


@pytest.mark.parametrize(("share", "stays"), [(0.04, True), (0.01, False)])
def test_a_holder_stays_one_below_the_share_that_it_needed(
    share: float, stays: bool
) -> None:
    """Guards against an entry that is opened and closed with every small change."""
    account = make_account(40, [], seconds=1.0)
    rate = account.demand.uncorrected_rate(1.0)
    others = AllotmentRow(0, 0, {"a": Allotment("1", 0, 0, int(rate / share))})
    account.read(others, 2)
    assert not decide_holding(account, 1.0, holds=False).holds
    assert decide_holding(account, 1.0, holds=True).holds is stays


def test_a_holder_without_requests_gives_up() -> None:
    account = make_account(40, [0] * 6)
    assert decide_holding(account, 20.0, holds=True).holds
    assert not decide_holding(account, 60.0, holds=True).holds
