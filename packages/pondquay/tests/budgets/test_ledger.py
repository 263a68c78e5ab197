"""A state machine of loans: the remaining tokens match the tokens that are in use.

A wrong ``Account.remaining`` refuses requests although their tokens are available.
"""

from __future__ import annotations

from copy import deepcopy
from dataclasses import dataclass, field

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from pondquay.budgets.accounts import Account, RefusalReason
from pondquay.budgets.allotments import EMPTY_ROW, AllotmentRow
from pondquay.budgets.holders import should_close

PREPAID = 1_000
LENDERS = ("a", "b")
BORROWERS = ("c", "d")
NAMES = LENDERS + BORROWERS
names = st.sampled_from(NAMES)
lenders = st.sampled_from(LENDERS)
borrowers = st.sampled_from(BORROWERS)
amounts = st.integers(1, 300)


@dataclass
class Incarnation:
    """One incarnation of an instance.

    :param running: tokens reserved for each running request
    :param used: tokens used by completed requests
    """

    account: Account
    running: list[int] = field(default_factory=list)
    used: int = 0


class Ledger(RuleBasedStateMachine):
    """Four instances that share one budget."""

    def __init__(self) -> None:
        super().__init__()
        self.prepaid = PREPAID
        self.row: AllotmentRow = EMPTY_ROW
        self.version = 0
        self.boots = 0
        self.used_by_closed = 0
        self.incarnations: dict[str, Incarnation] = {}
        for name in NAMES:
            self.start(name)

    def start(self, name: str) -> None:
        self.boots += 1
        account = Account(name, f"boot-{self.boots}", self.prepaid)
        account.read(self.row, self.version)
        self.incarnations[name] = Incarnation(account)

    def end(self, name: str) -> None:
        incarnation = self.incarnations[name]
        self.used_by_closed += incarnation.used + sum(incarnation.running)
        self.start(name)

    def read_all(self) -> None:
        for incarnation in self.incarnations.values():
            incarnation.account.read(self.row, self.version)

    def commit(self, row: AllotmentRow) -> None:
        self.version += 1
        self.row = AllotmentRow.from_value(row.to_value())

    def write(self, name: str, headroom: int, *, responded: bool = True) -> None:
        account = self.incarnations[name].account
        account.read(self.row, self.version)
        headroom = min(headroom, account.max_headroom())
        change = account.propose(headroom, 0.0)
        account.begin_write(change)
        self.commit(change.row)
        if responded:
            account.confirm_write(change, self.version)

    @rule(name=lenders, headroom=st.integers(0, 600), responded=st.booleans())
    def hold_allotment(self, name: str, headroom: int, responded: bool) -> None:
        self.write(name, headroom, responded=responded)

    @rule(name=borrowers, headroom=st.integers(0, 300))
    def hold_without_lender(self, name: str, headroom: int) -> None:
        """Write an allotment for a borrower that reaches no lender."""
        self.write(name, headroom)

    @rule(name=names)
    def read(self, name: str) -> None:
        self.incarnations[name].account.read(self.row, self.version)

    @rule(name=names, tokens=amounts)
    def run_request(self, name: str, tokens: int) -> None:
        incarnation = self.incarnations[name]
        if incarnation.account.reserve(tokens) is None:
            incarnation.running.append(tokens)

    @rule(name=names, percent=st.integers(0, 100))
    def end_request(self, name: str, percent: int) -> None:
        incarnation = self.incarnations[name]
        if not incarnation.running:
            return
        reserved = incarnation.running.pop()
        used = reserved * percent // 100
        incarnation.account.settle(reserved, used)
        incarnation.used += used

    @rule(lender=lenders, borrower=borrowers, tokens=amounts, lost=st.booleans())
    def lend(self, lender: str, borrower: str, tokens: int, lost: bool) -> None:
        lent = self.incarnations[lender].account.lend_headroom(tokens, 1)
        if not lost:
            self.incarnations[borrower].account.receive_loan(lent)

    @rule(lender=lenders, borrower=borrowers, tokens=amounts)
    def return_tokens(self, lender: str, borrower: str, tokens: int) -> None:
        returned = self.incarnations[borrower].account.lend(tokens)
        self.incarnations[lender].account.receive_loan(returned)

    @rule(lender=lenders, tokens=amounts)
    def lend_among_lenders(self, lender: str, tokens: int) -> None:
        other = LENDERS[1 - LENDERS.index(lender)]
        lent = self.incarnations[lender].account.lend_headroom(tokens, 0)
        self.incarnations[other].account.receive_loan(lent)

    @rule(name=names)
    def crash(self, name: str) -> None:
        self.end(name)

    @rule(name=names)
    def leave(self, name: str) -> None:
        incarnation = self.incarnations[name]
        account = incarnation.account
        account.read(self.row, self.version)
        if incarnation.running or account.row.find(name, account.boot) is None:
            return
        self.commit(account.close())
        self.end(name)

    @rule(name=names, responded=st.booleans(), percent=st.integers(1, 100))
    def stop_holding(self, name: str, responded: bool, percent: int) -> None:
        """End the requests of an incarnation, then remove its entry."""
        incarnation = self.incarnations[name]
        account = incarnation.account
        while incarnation.running:
            self.end_request(name, percent)
        account.read(self.row, self.version)
        if not should_close(account):
            return
        used = account.used
        row = account.close()
        self.commit(row)
        if responded:
            account.confirm_close(row, self.version)
        else:
            account.read(self.row, self.version)
        assert account.used == 0
        incarnation.used -= used
        self.used_by_closed += used

    @rule(tokens=st.integers(-300, 300))
    def change_prepaid(self, tokens: int) -> None:
        self.prepaid += tokens
        for incarnation in self.incarnations.values():
            incarnation.account.prepaid = self.prepaid

    @rule()
    def write_and_compare_all(self) -> None:
        """Write all entries of the row, then compare all accounts with actual use."""
        for name in NAMES:
            account = self.incarnations[name].account
            account.read(self.row, self.version)
            if name in LENDERS or self.row.holders.get(name) is not None:
                self.write(name, max(0, account.unspent))
        self.read_all()
        used = self.used_by_closed + sum(
            instance.used for instance in self.incarnations.values()
        )
        reserved = sum(sum(instance.running) for instance in self.incarnations.values())
        for incarnation in self.incarnations.values():
            account = incarnation.account
            held = max(0, account.unspent)
            assert account.free() + held <= account.remaining() <= self.prepaid - used
        assert self.row.committed >= used + reserved

    @invariant()
    def unspent_never_exceeds_remaining(self) -> None:
        for incarnation in self.incarnations.values():
            account = incarnation.account
            # An instance with an old row may hold more after the budget was lowered
            # below what is committed; it still cannot reserve more.
            if max(account.row.committed, self.row.committed) <= self.prepaid:
                assert account.unspent <= max(0, account.remaining())

    @invariant()
    def no_account_reserves_more_than_remains(self) -> None:
        for incarnation in self.incarnations.values():
            account = deepcopy(incarnation.account)
            assert account.reserve(max(0, account.remaining()) + 1) is not None

    @invariant()
    def free_and_unspent_never_exceed_remaining(self) -> None:
        for incarnation in self.incarnations.values():
            account = incarnation.account
            if account.version != self.version:
                continue
            assert account.free() + max(0, account.unspent) <= account.remaining()


Ledger.TestCase.settings = settings(max_examples=300, stateful_step_count=40)
TestLedger = Ledger.TestCase


@pytest.mark.parametrize(
    ("lowered_before", "held", "lowered_after"), [(629, 173, 199), (739, 161, 101)]
)
def test_a_budget_lowered_below_what_is_held_is_not_exceeded(
    lowered_before: int, held: int, lowered_after: int
) -> None:
    """Guards against an instance that spends a loan after the budget was lowered."""
    ledger = Ledger()
    ledger.change_prepaid(-lowered_before)
    ledger.hold_without_lender(name="c", headroom=held)
    ledger.return_tokens(lender="a", borrower="c", tokens=held)
    ledger.change_prepaid(-lowered_after)
    account = ledger.incarnations["a"].account
    assert account.unspent > account.remaining()
    assert account.reserve(account.unspent) is RefusalReason.EXHAUSTED
