"""The sums that a row keeps are those of its entries, however it was made.

All instances of a large fleet plan with them for every workspace twice a second and
after each change of a row.
"""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from pondquay.budgets.accounts import Account
from pondquay.budgets.allotments import Allotment, AllotmentRow

names = st.sampled_from(["a", "b", "c", "d"])
tokens = st.integers(0, 10**9)
entries = st.builds(
    Allotment,
    st.sampled_from(["1", "2"]),
    st.integers(-(10**6), 10**9),
    tokens,
    st.integers(0, 10**6),
    st.integers(-(10**6), 10**6),
)
rows = st.builds(AllotmentRow, tokens, tokens, st.dictionaries(names, entries))


def check_sums(row: AllotmentRow) -> None:
    held = row.holders.values()
    assert row.committed == row.closed + sum(entry.ceiling for entry in held)
    assert row.known_spent == row.closed_spent + sum(entry.spent for entry in held)
    assert row.spent_or_lent == sum(entry.spent + entry.lent for entry in held)
    assert row.rate == sum(entry.rate for entry in held)


@given(rows, names, entries)
def test_sums_follow_the_entries(
    row: AllotmentRow, name: str, entry: Allotment
) -> None:
    check_sums(row)
    check_sums(row.with_entry(name, entry))
    check_sums(row.without(name, entry.spent, entry.spent))
    assert AllotmentRow.from_value(row.to_value()) == row
    check_sums(AllotmentRow.from_value(row.to_value()))


@given(rows, names)
def test_an_account_takes_its_own_entry_off_the_sums(
    row: AllotmentRow, name: str
) -> None:
    account = Account(name, "2", 10**9)
    account.read(row, 1)
    others = account.others().values()
    assert account.rate_elsewhere() == sum(entry.rate for entry in others)
    assert account.count_others() == len(others)
    earlier = account.earlier_incarnation
    reachable = account.prepaid - row.closed - (earlier.ceiling if earlier else 0)
    reachable -= sum(entry.spent + entry.lent for entry in others)
    assert account.remaining() <= reachable - account.spent - account.reserved
