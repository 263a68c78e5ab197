"""Tests of the choice of lenders and of loans between accounts."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pondquay.budgets.accounts import Account
from pondquay.budgets.allotments import Allotment, AllotmentRow
from pondquay.budgets.headroom import plan_borrowed_headroom, plan_return
from pondquay.budgets.lenders import LENDERS_PER_DOMAIN, choose_lenders
from pondquay.policy import DEFAULT_POLICY

DOMAINS = ("hall-a", "hall-b", "hall-c")
fleets = st.dictionaries(
    st.integers(0, 999).map(lambda number: f"entry-{number}"),
    st.sampled_from(DOMAINS),
    min_size=1,
    max_size=120,
)
workspaces = st.text("abcdef", min_size=1, max_size=6)


@given(fleets, workspaces)
def test_every_domain_has_lenders_and_the_row_has_few_writers(
    fleet: dict[str, str], workspace: str
) -> None:
    chosen = choose_lenders(workspace, fleet)
    assert {fleet[lender] for lender in chosen} == set(fleet.values())
    if len(fleet) <= DEFAULT_POLICY.most_holders:
        assert chosen == set(fleet)
    else:
        assert len(chosen) <= LENDERS_PER_DOMAIN * len(DOMAINS)


@given(fleets, workspaces, st.randoms())
def test_lenders_do_not_depend_on_the_order_of_instances(
    fleet: dict[str, str], workspace: str, random: object
) -> None:
    names = sorted(fleet, reverse=True)
    reordered = {name: fleet[name] for name in names}
    assert choose_lenders(workspace, fleet) == choose_lenders(workspace, reordered)


@given(fleets, workspaces)
def test_the_departure_of_an_instance_replaces_no_other_lender(
    fleet: dict[str, str], workspace: str
) -> None:
    if len(fleet) <= DEFAULT_POLICY.most_holders + 1:
        return
    chosen = choose_lenders(workspace, fleet)
    departed = next(iter(fleet))
    rest = {name: domain for name, domain in fleet.items() if name != departed}
    assert chosen - {departed} <= choose_lenders(workspace, rest)


def test_lenders_of_many_workspaces_are_spread_over_the_fleet() -> None:
    fleet = {f"entry-{number}": DOMAINS[number % 3] for number in range(90)}
    lending = [lender for n in range(300) for lender in choose_lenders(f"w{n}", fleet)]
    counts = {lender: lending.count(lender) for lender in fleet}
    assert max(counts.values()) < 3 * len(lending) / len(fleet)


def test_a_borrower_keeps_a_few_seconds_of_its_demand_and_returns_the_rest() -> None:
    account = Account("me", "1", 1_000_000)
    lender = Allotment("1", ceiling=0, rate=4_000)
    account.read(AllotmentRow(holders={"a": lender}), 1)
    account.receive_loan(100_000)
    account.demand.note(8_000, 0.0)
    headroom = plan_borrowed_headroom(account, 2.0, 20)
    assert 0 < headroom < 100_000 // 2
    assert plan_return(account, 2.0, 20) == 100_000 - headroom
    seconds = account.policy.ahead_seconds
    assert headroom == int(seconds * account.demand.uncorrected_rate(2.0))
    assert plan_return(account, 500.0, 20) == 100_000


def test_tokens_used_by_a_borrower_are_not_counted_twice() -> None:
    prepaid = 100_000
    entry = Allotment("1", ceiling=50_000, spent=2_000, lent=40_000)
    account = Account("me", "1", prepaid, row=AllotmentRow(holders={"a": entry}))
    account.version = 1
    account.receive_loan(40_000)
    for _ in range(6):
        assert account.reserve(6_000) is None
        account.settle(6_000, 6_000)
    assert account.remaining() == prepaid - 2_000 - 36_000
    assert account.reserve(4_000) is None
    account.settle(4_000, 1_000)
    assert account.lend(account.unspent) == 3_000
    assert account.remaining() == prepaid - 2_000 - 40_000


def test_many_borrowers_with_few_requests_hold_few_tokens() -> None:
    held = 0
    for _ in range(80):
        account = Account("me", "1", 1_000_000)
        account.demand.note(8_000, 0.0)
        account.receive_loan(plan_borrowed_headroom(account, 0.0, 86))
        # The request ends and releases the unused tokens of its reservation.
        account.receive_loan(6_000)
        held += account.unspent - plan_return(account, 0.5, 86)
    assert held < 0.2 * 80 * 8_000


@pytest.mark.parametrize("instances", [20, 86, 400])
def test_what_all_borrowers_hold_does_not_grow_with_the_fleet(instances: int) -> None:
    """Guards against a loss of all instances that costs more in a larger fleet."""
    borrower = Account("me", "1", 1_000_000)
    borrower.demand.note(50_000, 0.0)
    held = instances * plan_borrowed_headroom(borrower, 0.0, instances)
    assert held <= 0.02 * borrower.prepaid


def test_a_lender_lends_needed_tokens_and_a_fraction_of_the_rest() -> None:
    lender = Account("a", "1", 1_000)
    lender.receive_loan(500)
    assert lender.lend_headroom(100, 300) == 200
    assert (lender.spent, lender.unspent) == (-300, 300)
    assert lender.lend_headroom(400, 0) == 300
    assert (lender.spent, lender.unspent) == (0, 0)
    lender.receive_loan(150)
    entry = lender.propose(150, 0.0).row.holders["a"]
    assert (entry.ceiling, entry.spent, entry.lent) == (0, 0, -150)


def test_a_loan_returned_to_another_lender_counts_as_remaining() -> None:
    """Loans and returns through different lenders must not reduce the remaining tokens.

    Otherwise requests are refused although their tokens are free in the row.
    """
    prepaid = 100_000
    first, second = Account("a", "1", prepaid), Account("b", "1", prepaid)
    borrower = Account("c", "1", prepaid)
    row = AllotmentRow(holders={"a": Allotment("1", 50_000), "b": Allotment("1", 0)})
    for account in (first, second, borrower):
        account.read(row, 1)
    for _ in range(5):
        lent = first.lend_headroom(10_000, 1)
        borrower.receive_loan(lent)
        second.receive_loan(borrower.lend(lent))
    row = first.propose(first.unspent, 0.0).row
    second.read(row, 2)
    row = second.propose(second.unspent, 0.0).row
    borrower.read(row, 3)
    assert borrower.remaining() == prepaid
    assert borrower.free() == prepaid - 50_000


def test_describe_returns_the_figures_of_an_account() -> None:
    entry = Allotment("1", ceiling=50_000, spent=2_000, lent=40_000)
    account = Account("me", "1", 100_000)
    account.read(AllotmentRow(9_000, 7_000, {"a": entry}), 3)
    account.receive_loan(6_000)
    assert account.reserve(4_000) is None
    account.settle(4_000, 1_000)
    assert account.reserve(500) is None
    figures = account.describe()
    assert (figures["used"], figures["used_by_all"], figures["reserved"]) == (
        1000,
        10000,
        500,
    )
    assert (figures["unspent"], figures["lent"]) == (4_500, -6_000)
    assert (figures["held_by_others"], figures["unaccounted"]) == (8_000, 2_000)
    assert (figures["free"], figures["left"]) == (41_000, 53_500)
