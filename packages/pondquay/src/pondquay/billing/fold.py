"""The fold: adding bills up, each request once.

A fold takes segments out of the table and puts their bills into the ledger in one
transaction, so two folders can never count or credit one segment twice.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from pydantic import TypeAdapter

from pondquay.billing.bills import SEGMENT_PREFIX, Bill, load_segment
from pondquay.budgets.rows import BudgetRow, budget_key, dump_row, load_budget
from pondquay.tables import (
    Committed,
    Condition,
    Rows,
    Transaction,
    Unreachable,
    Write,
    commit_rows,
    read_rows,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pondquay.tables import JsonObject, Program, Row

BILL_PREFIX = "bill/"
ACCOUNT_PREFIX = "account/"
MAX_BILLS = 200


@dataclass(frozen=True, slots=True)
class BilledRow:
    """The one bill of a request, and every attempt that was ever billed for it."""

    tokens: int
    attempts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class AccountRow:
    """What a workspace was billed.

    :param surplus: tokens of second runs, given back to the budget
    """

    billed: int = 0
    requests: int = 0
    surplus: int = 0


_BILLED: TypeAdapter[BilledRow] = TypeAdapter(BilledRow)
_ACCOUNT: TypeAdapter[AccountRow] = TypeAdapter(AccountRow)


def bill_key(workspace: str, key: str) -> str:
    """Return the key of the ledger row of a request."""
    return f"{BILL_PREFIX}{workspace}/{key}"


def account_key(workspace: str) -> str:
    """Return the key of a workspace's account."""
    return f"{ACCOUNT_PREFIX}{workspace}"


def load_account(row: Row | None) -> AccountRow:
    """Read an account; a workspace that was never billed has an empty one."""
    return AccountRow() if row is None else _ACCOUNT.validate_python(row.value)


def load_billed(row: Row | None) -> BilledRow | None:
    """Read a ledger row."""
    return None if row is None else _BILLED.validate_python(row.value)


@dataclass(frozen=True, slots=True)
class Folded:
    """How many segments and bills one fold took in."""

    segments: int
    bills: int
    surplus: int


@dataclass(slots=True)
class _Tally:
    """The rows as they stand after the bills taken in so far."""

    rows: Rows
    ledger: dict[str, BilledRow] = field(default_factory=dict)
    accounts: dict[str, AccountRow] = field(default_factory=dict)
    surplus: dict[str, int] = field(default_factory=dict)

    def add(self, bill: Bill) -> None:
        """Take in one bill."""
        at_bill = bill_key(bill.workspace, bill.key)
        at_account = account_key(bill.workspace)
        known = self.ledger.get(at_bill) or load_billed(self.rows.rows.get(at_bill))
        account = self.accounts.get(at_account)
        if account is None:
            account = load_account(self.rows.rows.get(at_account))
        if known is None:
            self.ledger[at_bill] = BilledRow(bill.tokens, (bill.attempt,))
            self.accounts[at_account] = replace(
                account,
                billed=account.billed + bill.tokens,
                requests=account.requests + 1,
            )
            return
        if bill.attempt in known.attempts:
            return
        attempts = (*known.attempts, bill.attempt)
        self.ledger[at_bill] = BilledRow(known.tokens, attempts)
        self.accounts[at_account] = replace(
            account, surplus=account.surplus + bill.tokens
        )
        gained = self.surplus.get(bill.workspace, 0) + bill.tokens
        self.surplus[bill.workspace] = gained

    def changed_rows(self) -> dict[str, JsonObject]:
        """Return the new values of all rows that change."""
        changed: dict[str, JsonObject] = {}
        for key, billed in self.ledger.items():
            changed[key] = _BILLED.dump_python(billed, mode="json")
        for key, account in self.accounts.items():
            changed[key] = _ACCOUNT.dump_python(account, mode="json")
        for workspace, tokens in self.surplus.items():
            key = budget_key(workspace)
            budget = load_budget(self.rows.rows.get(key)) or BudgetRow(0)
            lowered = replace(
                budget,
                granted=budget.granted - tokens,
                used=max(0, budget.used - tokens),
            )
            changed[key] = dump_row(lowered)
        return changed


def fold_segments(most_bills: int = MAX_BILLS) -> Program[Folded | Unreachable]:
    """Take in some segments; nothing is lost or counted twice if this is cut short.

    A lost answer needs no care: the next fold reads the segments that still stand.
    """
    listed = yield from read_rows(prefixes=(SEGMENT_PREFIX,))
    if isinstance(listed, Unreachable):
        return listed
    chosen = _choose_segments(listed.list_with_prefix(SEGMENT_PREFIX), most_bills)
    bills = [bill for row in chosen for bill in load_segment(row.value)]
    if not chosen:
        return Folded(0, 0, 0)
    rows = yield from read_rows(*_bill_keys(bills))
    if isinstance(rows, Unreachable):
        return rows
    tally = _Tally(rows)
    for bill in bills:
        tally.add(bill)
    reply = yield from commit_rows(_fold_transaction(chosen, tally))
    if isinstance(reply, Committed):
        return Folded(len(chosen), len(bills), sum(tally.surplus.values()))
    return Unreachable()


def _choose_segments(rows: Sequence[Row], most_bills: int) -> list[Row]:
    chosen: list[Row] = []
    count = 0
    for row in rows:
        count += len(row.value["bills"])
        if chosen and count > most_bills:
            break
        chosen.append(row)
    return chosen


def _bill_keys(bills: Sequence[Bill]) -> tuple[str, ...]:
    keys: dict[str, None] = {}
    for bill in bills:
        keys[bill_key(bill.workspace, bill.key)] = None
        keys[account_key(bill.workspace)] = None
        keys[budget_key(bill.workspace)] = None
    return tuple(keys)


def _fold_transaction(chosen: Sequence[Row], tally: _Tally) -> Transaction:
    conditions = [Condition(row.key, row.version) for row in chosen]
    writes = [Write(row.key, None) for row in chosen]
    for key, value in tally.changed_rows().items():
        conditions.append(Condition(key, tally.rows.version(key)))
        writes.append(Write(key, value))
    return Transaction("fold", tuple(conditions), tuple(writes))
