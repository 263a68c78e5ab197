"""Tests that headroom serves requests and that little of it is lost in a crash."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from pondquay.budgets.accounts import RATE_SECONDS, Account, RefusalReason
from pondquay.budgets.allotments import Allotment, AllotmentRow
from pondquay.budgets.headroom import (
    FULL_SECONDS,
    MAX_HEADROOM_FRACTION,
    plan_headroom,
    request_tokens,
    target_headroom,
)
from pondquay.policy import DEFAULT_POLICY

PREPAID = 1_000_000
# A request of which a quarter is less than what counts as small by the budget.
LARGEST = PREPAID // 50
NOW = 100.0
rates = st.lists(st.integers(0, 60_000), min_size=2, max_size=12)


def make_account(
    rate: int, others: list[int], *, used: int = 0, ceiling: int = 0
) -> Account:
    """Return an account in a row with others.

    :param rate: tokens per second requested at this instance
    :param others: tokens per second requested at each of the others
    """
    holders = {
        f"other-{number}": Allotment("1", 0, 0, other_rate)
        for number, other_rate in enumerate(others)
    }
    holders["me"] = Allotment("1", used + ceiling, used, rate)
    account = Account("me", "1", PREPAID, spent=used, used=used)
    account.read(AllotmentRow(0, 0, holders), 1)
    if rate:
        # An early first request, so that the rate is averaged over its full period.
        account.demand.note(1, 0.0)
        account.demand.note(int(rate * RATE_SECONDS), NOW)
    return account


@given(rates, st.integers(0, PREPAID))
def test_headroom_of_all_instances_together_is_bounded(
    requested_rates: list[int], used: int
) -> None:
    total = 0
    for index, rate in enumerate(requested_rates):
        others = requested_rates[:index] + requested_rates[index + 1 :]
        total += target_headroom(make_account(rate, others, used=used), NOW)
    remaining = PREPAID - used
    bound = min(
        MAX_HEADROOM_FRACTION * PREPAID, DEFAULT_POLICY.most_of_left * remaining
    )
    # Rates in the row are rounded down, so the fractions may add up to more than 1.
    assert total <= 1.01 * bound + len(requested_rates)


def test_a_crash_of_all_instances_loses_at_most_a_fifth() -> None:
    """Headroom of crashed instances counts as spent, so its sum must be small."""
    remaining = PREPAID // 3
    requested_rates = [remaining // 100] * 6
    total = 0
    for index, rate in enumerate(requested_rates):
        others = requested_rates[:index] + requested_rates[index + 1 :]
        account = make_account(rate, others, used=PREPAID - remaining)
        total += target_headroom(account, NOW)
    assert 0 < total <= remaining / 5


def sum_targets(remaining: int, rate: int) -> int:
    """Return the headroom that six instances together should hold.

    :param rate: tokens per second requested at each of them
    """
    accounts = [make_account(rate, [rate] * 5, used=PREPAID - remaining)] * 6
    return sum(target_headroom(account, NOW) for account in accounts)


def test_a_crash_of_all_instances_loses_a_smaller_fraction_of_a_smaller_rest() -> None:
    """Guards against refusals for tokens that crashed instances held unused."""
    lost_of_half = sum_targets(PREPAID // 2, 20_000) / (PREPAID // 2)
    lost_of_fifth = sum_targets(PREPAID // 5, 20_000) / (PREPAID // 5)
    assert 0 < lost_of_half <= 0.1
    assert 0 < lost_of_fifth <= 0.02


def test_a_small_rest_that_lasts_long_keeps_its_headroom() -> None:
    """Guards against outages that refuse callers of a budget that is topped up."""
    rate = 10
    remaining = PREPAID // 10
    assert remaining > FULL_SECONDS * 6 * rate
    needed = DEFAULT_POLICY.cover_seconds * 6 * rate
    assert sum_targets(remaining, rate) >= 0.99 * needed


def test_an_instance_without_demand_has_headroom() -> None:
    account = make_account(0, [0, 0, 0])
    assert target_headroom(account, NOW) > 0
    assert plan_headroom(account, NOW) == target_headroom(account, NOW)


def test_tokens_far_above_the_target_are_returned() -> None:
    account = make_account(100, [100, 100], ceiling=400_000)
    target = target_headroom(account, NOW)
    assert target < 100_000
    assert plan_headroom(account, NOW) == target


def test_nothing_is_written_near_the_target() -> None:
    account = make_account(1000, [1000, 1000])
    target = target_headroom(account, NOW)
    account = make_account(1000, [1000, 1000], ceiling=target)
    assert plan_headroom(account, NOW) is None


def test_tokens_for_a_waiting_request_are_planned() -> None:
    account = make_account(100, [100, 100])
    account.requested = 200_000
    assert plan_headroom(account, NOW) == 200_000


def test_tokens_that_the_row_does_not_have_are_not_planned() -> None:
    account = make_account(100, [100, 100], used=PREPAID - 50_000)
    account.requested = 200_000
    planned = plan_headroom(account, NOW)
    assert planned is None or planned <= account.max_headroom()


def test_all_available_tokens_are_taken_if_others_can_lend_the_rest() -> None:
    """Neither the row nor a loan alone has enough tokens for the request."""
    holders = {"other": Allotment("1", 100_000, 0, 100), "me": Allotment("1", 0)}
    account = Account("me", "1", PREPAID, spent=0)
    account.read(AllotmentRow(PREPAID - 400_000, 0, holders), 1)
    assert account.free() == 300_000
    account.requested = 350_000
    free_for_large = 300_000 - account.withheld
    assert plan_headroom(account, NOW) == free_for_large
    account.requested = free_for_large + 100_001
    planned = plan_headroom(account, NOW)
    assert planned is None or planned < free_for_large, "others cannot lend the rest"


def test_a_surplus_of_a_quarter_is_returned() -> None:
    target = target_headroom(make_account(5_000, [5_000] * 6), NOW)
    account = make_account(5_000, [5_000] * 6, ceiling=target * 5 // 4)
    assert plan_headroom(account, NOW) == target


def test_an_earlier_incarnation_is_closed_although_nothing_is_free() -> None:
    holders = {"me": Allotment("0", PREPAID, PREPAID // 2, 100)}
    account = Account("me", "1", PREPAID)
    account.read(AllotmentRow(0, 0, holders), 1)
    assert account.remaining() == 0, "tokens of the earlier incarnation are unavailable"
    headroom = plan_headroom(account, NOW)
    assert headroom == 0
    account.read(account.propose(headroom, NOW).row, 2)
    assert account.remaining() == 0
    assert account.reserve(PREPAID // 10) is not None


def test_used_tokens_are_reported_although_nothing_is_free() -> None:
    """Guards against refusals that promise tokens which others have used."""
    me, other = Allotment("1", PREPAID // 2), Allotment("1", PREPAID // 2)
    row = AllotmentRow(0, 0, {"me": me, "other": other})
    accounts = [Account(name, "1", PREPAID) for name in ("me", "other")]
    for account in accounts:
        account.read(row, 1)
        assert account.reserve(PREPAID // 2 - 1_000) is None
        account.settle(account.reserved, account.reserved)
        assert account.reserve(5_000) is RefusalReason.ELSEWHERE
    for version, account in enumerate(accounts, 2):
        assert plan_headroom(account, NOW) == 1_000
        row = account.propose(1_000, NOW).row
        for reader in accounts:
            reader.read(row, version)
    for account in accounts:
        assert plan_headroom(account, NOW) is None
        assert account.reserve(5_000) is RefusalReason.EXHAUSTED


def test_tokens_for_small_requests_stay_in_the_row() -> None:
    spent = int(PREPAID * 0.955)
    account = make_account(50_000, [50_000] * 3, used=spent)
    account.demand.largest = LARGEST
    assert account.free() == PREPAID - spent
    free_for_large = account.free() - account.withheld
    headroom = plan_headroom(account, NOW)
    assert headroom is None or headroom <= free_for_large
    account.requested = free_for_large
    assert not account.is_small(free_for_large)
    assert plan_headroom(account, NOW) == free_for_large
    account.requested = free_for_large + 1
    headroom = plan_headroom(account, NOW)
    assert headroom is None or headroom <= free_for_large
    account = make_account(50_000, [50_000] * 3, used=PREPAID - account.withheld)
    account.demand.largest = LARGEST
    assert plan_headroom(account, NOW) is None
    account.requested = 2 * account.withheld // 3
    assert plan_headroom(account, NOW) is None, (
        "tokens are withheld from large requests"
    )
    account.requested = account.withheld // 4
    assert plan_headroom(account, NOW) == account.requested


def test_the_last_tokens_of_a_small_budget_serve_its_small_requests() -> None:
    """Guards against a last part that no request of a small budget may use."""
    long, short = PREPAID // 8, PREPAID // 60
    account = Account("me", "1", PREPAID)
    account.read(AllotmentRow(0, 0, {"me": Allotment("1", PREPAID)}), 1)
    account.demand.note(long, NOW)
    assert account.reserve(PREPAID - account.withheld) is None
    assert account.reserve(short) is None
    assert account.reserve(long) is not None


def test_a_large_request_that_cannot_be_served_does_not_block_small_ones() -> None:
    """A lender that waits for a large request still refills for small ones."""
    account = Account("me", "1", PREPAID)
    withheld = account.withheld
    account.read(AllotmentRow(0, 0, {"other": Allotment("1", PREPAID - withheld)}), 1)
    request_tokens(account, withheld)
    assert plan_headroom(account, NOW) is None
    small = PREPAID // 200
    request_tokens(account, small)
    assert plan_headroom(account, NOW) == small
    request_tokens(account, 2 * small)
    request_tokens(account, small)
    assert plan_headroom(account, NOW) == 2 * small
