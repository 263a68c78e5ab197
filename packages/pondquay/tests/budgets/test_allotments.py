"""Stateful tests: allotments never overspend under any combination of failures.

Three instances share a budget through one row. Writes fail, are delayed or lose their
responses; reads are stale; loans are lost; instances crash, restart or leave.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from pondquay.budgets.accounts import (
    SMALL_REQUEST_FRACTION,
    Account,
    Change,
    RefusalReason,
)
from pondquay.budgets.allotments import EMPTY_ROW, AllotmentRow
from pondquay.budgets.headroom import plan_headroom
from pondquay.budgets.holders import should_close
from pondquay.policy import DEFAULT_POLICY

PREPAID = 300
NAMES = ("a", "b", "c")
names = st.sampled_from(NAMES)
amounts = st.integers(1, 200)


class WriteOutcome(Enum):
    """The outcome of a write."""

    DONE = auto()
    NOT_DONE = auto()
    RESPONSE_LOST = auto()
    DELAYED = auto()


outcomes = st.sampled_from([WriteOutcome.DONE] * 4 + list(WriteOutcome))


@dataclass
class Write:
    """A write with the version that it requires."""

    version: int
    row: AllotmentRow


@dataclass
class RowStore:
    """A store of one row with conditional writes."""

    row: AllotmentRow = EMPTY_ROW
    version: int = 0
    history: list[tuple[int, AllotmentRow]] = field(
        default_factory=lambda: [(0, EMPTY_ROW)]
    )

    def commit(self, write: Write) -> bool:
        if write.version != self.version:
            return False
        self.version += 1
        self.row = AllotmentRow.from_value(write.row.to_value())
        self.history.append((self.version, self.row))
        return True


class Allotments(RuleBasedStateMachine):
    """Three instances that share one budget."""

    def __init__(self) -> None:
        super().__init__()
        self.store = RowStore()
        self.prepaid = PREPAID
        self.delayed: list[Write] = []
        self.boots = 0
        self.now = 0.0
        self.ran = 0
        self.running: dict[str, list[int]] = {}
        self.accounts: dict[str, Account] = {}
        for name in NAMES:
            self.start(name)

    def start(self, name: str) -> None:
        self.boots += 1
        self.accounts[name] = Account(name, f"boot-{self.boots}", self.prepaid)
        self.running[name] = []

    @rule(name=names, age=st.sampled_from([0, 0, 0, 1, 3]))
    def read(self, name: str, age: int) -> None:
        version, row = self.store.history[max(0, len(self.store.history) - 1 - age)]
        self.accounts[name].read(row, version)

    @rule(
        name=names,
        outcome=outcomes,
        extra=st.integers(0, 300),
        planned=st.integers(0, 3),
    )
    def write(self, name: str, outcome: WriteOutcome, extra: int, planned: int) -> None:
        account = self.accounts[name]
        if account.version is None:
            account.read(self.store.row, self.store.version)
        headroom: int | None = extra
        if planned == 0:
            headroom = plan_headroom(account, self.now)
        if headroom is None:
            return
        headroom = min(headroom, account.max_headroom())
        change = account.propose(headroom, self.now)
        account.begin_write(change)
        self.settle_write(account, change, outcome)

    def settle_write(
        self, account: Account, change: Change, outcome: WriteOutcome
    ) -> None:
        write = Write(account.version or 0, change.row)
        if outcome is WriteOutcome.DELAYED:
            self.delayed.append(write)
        if outcome in (WriteOutcome.DELAYED, WriteOutcome.NOT_DONE):
            return
        done = self.store.commit(write)
        if outcome is WriteOutcome.RESPONSE_LOST:
            return
        if done:
            account.confirm_write(change, self.store.version)
        else:
            account.read(self.store.row, self.store.version)

    @precondition(lambda self: self.delayed)
    @rule(index=st.integers(0, 5))
    def apply_delayed(self, index: int) -> None:
        self.store.commit(self.delayed.pop(index % len(self.delayed)))

    @rule(name=names, tokens=amounts)
    def run_request(self, name: str, tokens: int) -> None:
        account = self.accounts[name]
        account.demand.note(tokens, self.now)
        refused = account.reserve(tokens)
        if refused is None:
            self.running[name].append(tokens)
            self.ran += tokens
        elif refused is RefusalReason.EXHAUSTED:
            withheld = (
                DEFAULT_POLICY.last_part * self.prepaid
                if tokens > SMALL_REQUEST_FRACTION * self.prepaid
                else 0
            )
            assert self.ran + tokens + withheld > self.prepaid - 1

    @rule(name=names, percent=st.integers(0, 100))
    def end_request(self, name: str, percent: int) -> None:
        if not self.running[name]:
            return
        reserved = self.running[name].pop()
        used = reserved * percent // 100
        self.accounts[name].settle(reserved, used)
        self.ran -= reserved - used

    @rule(
        lender=names,
        borrower=names,
        tokens=amounts,
        headroom=st.integers(0, 50),
        lost=st.booleans(),
    )
    def lend(
        self, lender: str, borrower: str, tokens: int, headroom: int, lost: bool
    ) -> None:
        if lender == borrower:
            return
        lent = self.accounts[lender].lend_headroom(tokens, headroom)
        assert lent <= tokens + headroom
        if not lost:
            self.accounts[borrower].receive_loan(lent)

    @rule(name=names)
    def crash(self, name: str) -> None:
        self.start(name)

    @rule(name=names, outcome=outcomes)
    def leave(self, name: str, outcome: WriteOutcome) -> None:
        account = self.accounts[name]
        if self.running[name] or account.version is None:
            return
        if account.row.find(name, account.boot) is None:
            return
        row = account.close()
        write = Write(account.version, row)
        if outcome is WriteOutcome.DELAYED:
            self.delayed.append(write)
        elif outcome is not WriteOutcome.NOT_DONE:
            self.store.commit(write)
        self.start(name)

    @rule(name=names, outcome=outcomes, percent=st.integers(0, 100))
    def stop_holding(self, name: str, outcome: WriteOutcome, percent: int) -> None:
        """End the requests of an incarnation, then remove its entry."""
        account = self.accounts[name]
        while self.running[name]:
            self.end_request(name, percent)
        if not should_close(account):
            return
        version = account.version or 0
        write = Write(version, account.close())
        if outcome is WriteOutcome.DELAYED:
            self.delayed.append(write)
        elif outcome is WriteOutcome.NOT_DONE:
            account.reopen()
        elif not self.store.commit(write):
            account.read(self.store.row, self.store.version)
        elif outcome is WriteOutcome.DONE:
            account.confirm_close(write.row, self.store.version)

    @rule(tokens=st.integers(0, 100))
    def top_up(self, tokens: int) -> None:
        self.prepaid += tokens
        for account in self.accounts.values():
            account.prepaid = self.prepaid

    @rule(seconds=st.floats(0, 5))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @invariant()
    def spending_never_exceeds_prepaid(self) -> None:
        assert self.ran <= self.prepaid

    @invariant()
    def committed_never_exceeds_prepaid(self) -> None:
        assert self.store.row.committed <= self.prepaid


Allotments.TestCase.settings = settings(max_examples=400, stateful_step_count=50)
TestAllotments = Allotments.TestCase


def test_a_loan_returns_to_the_budget_when_its_borrower_leaves() -> None:
    lender, borrower = Account("a", "1", 100), Account("b", "1", 100)
    store = RowStore()
    for account in (lender, borrower):
        account.read(store.row, store.version)
        change = account.propose(50, 0.0)
        account.begin_write(change)
        assert store.commit(Write(account.version or 0, change.row))
        account.confirm_write(change, store.version)
    borrower.receive_loan(lender.lend(30))
    assert borrower.unspent == 80
    borrower.read(store.row, store.version)
    assert store.commit(Write(store.version, borrower.close()))
    lender.read(store.row, store.version)
    assert lender.free() == 100 - 50 + 30
    assert lender.unspent == 20


def test_a_raised_ceiling_with_a_lost_response_counts_once_it_is_read() -> None:
    account, store = Account("a", "1", 100), RowStore()
    account.read(store.row, store.version)
    change = account.propose(60, 0.0)
    account.begin_write(change)
    assert store.commit(Write(0, change.row))
    assert account.unspent == 0
    account.read(store.row, store.version)
    assert account.unspent == 60


def test_tokens_that_no_instance_can_have_are_exhausted() -> None:
    account, store = Account("a", "1", 100), RowStore()
    account.read(store.row, store.version)
    change = account.propose(100, 0.0)
    account.confirm_write(change, 1)
    assert account.reserve(70) is None
    assert account.reserve(70) is RefusalReason.ELSEWHERE
    account.settle(70, 70)
    assert account.reserve(70) is RefusalReason.EXHAUSTED


def test_the_last_tokens_are_withheld_from_large_requests() -> None:
    account, store = Account("a", "1", 1000), RowStore()
    account.read(store.row, store.version)
    account.confirm_write(account.propose(1000, 0.0), 1)
    assert account.reserve(960) is None
    account.settle(960, 960)
    assert account.reserve(20) is RefusalReason.EXHAUSTED
    assert account.reserve(10) is None


def test_a_lower_ceiling_is_written_again_after_a_conflict() -> None:
    store = RowStore()
    first, second = Account("a", "1", 1000), Account("b", "1", 1000)
    for account in (first, second):
        account.read(store.row, store.version)
        change = account.propose(400, 0.0)
        account.begin_write(change)
        assert store.commit(Write(account.version or 0, change.row))
        account.confirm_write(change, store.version)
    first.read(store.row, store.version)
    first.prepaid = second.prepaid = 300
    for _ in range(4):
        for account in (first, second):
            headroom = plan_headroom(account, 0.0)
            if headroom is None:
                continue
            change = account.propose(headroom, 0.0)
            account.begin_write(change)
            if store.commit(Write(account.version or 0, change.row)):
                account.confirm_write(change, store.version)
            else:
                account.read(store.row, store.version)
        # The first instance does not read, so the second one's write may make its next
        # write conflict.
        second.read(store.row, store.version)
    first.read(store.row, store.version)
    assert 0 < store.row.committed <= 300


def hold(store: RowStore, account: Account, headroom: int) -> None:
    """Write an entry with this headroom."""
    account.read(store.row, store.version)
    change = account.propose(headroom, 0.0)
    account.begin_write(change)
    assert store.commit(Write(account.version or 0, change.row))
    account.confirm_write(change, store.version)


def test_an_instance_that_stopped_holding_spends_only_what_it_borrows() -> None:
    account, store = Account("a", "1", 100), RowStore()
    hold(store, account, 60)
    assert account.reserve(20) is None
    account.settle(20, 20)
    row = account.close()
    assert store.commit(Write(store.version, row))
    account.confirm_close(row, store.version)
    assert (store.row.committed, store.row.known_spent) == (20, 20)
    assert account.unspent == 0
    account.receive_loan(5)
    assert account.reserve(5) is None
    account.settle(5, 5)
    hold(store, account, 80)
    assert store.row.committed == 100
    assert account.unspent == 80


def test_tokens_stay_closed_until_the_outcome_of_the_removal_is_known() -> None:
    """Guards against tokens that are spent after a late removal has freed them."""
    account, store = Account("a", "1", 100), RowStore()
    hold(store, account, 60)
    late = Write(store.version, account.close())
    account.read(store.row, store.version)
    assert account.unspent == 0
    account.receive_loan(7)
    assert store.commit(late)
    account.read(store.row, store.version)
    assert store.row.committed == 0
    assert (account.ceiling, account.unspent) == (0, 7)


def test_a_removal_that_lost_against_another_write_is_void() -> None:
    first, second, store = Account("a", "1", 100), Account("b", "1", 100), RowStore()
    hold(store, first, 60)
    assert first.reserve(20) is None
    first.settle(20, 20)
    late = Write(store.version, first.close())
    hold(store, second, 10)
    assert not store.commit(late)
    first.read(store.row, store.version)
    assert (first.used, first.unspent) == (20, 40)
