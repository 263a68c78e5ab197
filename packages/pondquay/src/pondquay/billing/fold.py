"""Aggregation of bills into the ledger, which counts each request once.

A fold deletes segments and adds their bills to the ledger in one transaction, so
concurrent folds never count or credit a segment twice.
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
    """The ledger entry of a request.

    :param tokens: tokens billed for the request
    :param attempts: all attempts whose bills were folded
    """

    tokens: int
    attempts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class AccountRow:
    """The account of a workspace.

    :param billed: tokens billed
    :param requests: number of requests billed
    :param surplus: tokens of further runs of billed requests, returned to the budget
    """

    billed: int = 0
    requests: int = 0
    surplus: int = 0


_BILLED: TypeAdapter[BilledRow] = TypeAdapter(BilledRow)
_ACCOUNT: TypeAdapter[AccountRow] = TypeAdapter(AccountRow)


def bill_key(workspace: str, key: str) -> str:
    """Return the key of a request's ledger row."""
    return f"{BILL_PREFIX}{workspace}/{key}"


def account_key(workspace: str) -> str:
    """Return the key of a workspace's account."""
    return f"{ACCOUNT_PREFIX}{workspace}"


def load_account(row: Row | None) -> AccountRow:
    """Parse an account row; without a row the account is empty."""
    return AccountRow() if row is None else _ACCOUNT.validate_python(row.value)


def load_billed(row: Row | None) -> BilledRow | None:
    """Parse a ledger row."""
    return None if row is None else _BILLED.validate_python(row.value)


@dataclass(frozen=True, slots=True)
class Folded:
    """Result of a fold.

    :param segments: number of segments folded
    :param bills: number of bills in these segments
    :param surplus: tokens returned to the budgets
    """

    segments: int
    bills: int
    surplus: int


@dataclass(slots=True)
class _LedgerUpdate:
    """Ledger, account and budget rows with some bills applied.

    :param rows: the rows as read from the table
    :param ledger: changed ledger rows by key
    :param accounts: changed accounts by key
    :param surplus: tokens to return to the budget, by workspace
    """

    rows: Rows
    ledger: dict[str, BilledRow] = field(default_factory=dict)
    accounts: dict[str, AccountRow] = field(default_factory=dict)
    surplus: dict[str, int] = field(default_factory=dict)

    def add(self, bill: Bill) -> None:
        """Apply a bill."""
        ledger_row_key = bill_key(bill.workspace, bill.key)
        account_row_key = account_key(bill.workspace)
        existing = self.ledger.get(ledger_row_key) or load_billed(
            self.rows.rows.get(ledger_row_key)
        )
        account = self.accounts.get(account_row_key)
        if account is None:
            account = load_account(self.rows.rows.get(account_row_key))
        if existing is None:
            self.ledger[ledger_row_key] = BilledRow(bill.tokens, (bill.attempt,))
            self.accounts[account_row_key] = replace(
                account,
                billed=account.billed + bill.tokens,
                requests=account.requests + 1,
            )
            return
        if bill.attempt in existing.attempts:
            return
        attempts = (*existing.attempts, bill.attempt)
        self.ledger[ledger_row_key] = BilledRow(existing.tokens, attempts)
        self.accounts[account_row_key] = replace(
            account, surplus=account.surplus + bill.tokens
        )
        returned = self.surplus.get(bill.workspace, 0) + bill.tokens
        self.surplus[bill.workspace] = returned

    def changed_rows(self) -> dict[str, JsonObject]:
        """Return the new values of all changed rows."""
        changed: dict[str, JsonObject] = {}
        for key, billed in self.ledger.items():
            changed[key] = _BILLED.dump_python(billed, mode="json")
        for key, account in self.accounts.items():
            changed[key] = _ACCOUNT.dump_python(account, mode="json")
        for workspace, tokens in self.surplus.items():
            key = budget_key(workspace)
            budget = load_budget(self.rows.rows.get(key)) or BudgetRow(0)
            reduced = replace(
                budget,
                granted=budget.granted - tokens,
                used=max(0, budget.used - tokens),
            )
            changed[key] = dump_row(reduced)
        return changed


def fold_segments(max_bills: int = MAX_BILLS) -> Program[Folded | Unreachable]:
    """Fold the first segments by key into the ledger.

    An interrupted fold loses no bill and counts none twice. If the outcome of the
    commit is unknown, the next fold reads the segments that remain.

    :param max_bills: maximum number of bills, except that a larger first segment is
        folded completely
    :returns: ``Unreachable`` also after a conflict or an unknown outcome
    """
    listed = yield from read_rows(prefixes=(SEGMENT_PREFIX,))
    if isinstance(listed, Unreachable):
        return listed
    chosen = _choose_segments(listed.list_with_prefix(SEGMENT_PREFIX), max_bills)
    bills = [bill for row in chosen for bill in load_segment(row.value)]
    if not chosen:
        return Folded(0, 0, 0)
    rows = yield from read_rows(*_bill_keys(bills))
    if isinstance(rows, Unreachable):
        return rows
    update = _LedgerUpdate(rows)
    for bill in bills:
        update.add(bill)
    reply = yield from commit_rows(_fold_transaction(chosen, update))
    if isinstance(reply, Committed):
        return Folded(len(chosen), len(bills), sum(update.surplus.values()))
    return Unreachable()


def _choose_segments(rows: Sequence[Row], max_bills: int) -> list[Row]:
    chosen: list[Row] = []
    count = 0
    for row in rows:
        count += len(row.value["bills"])
        if chosen and count > max_bills:
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


def _fold_transaction(chosen: Sequence[Row], update: _LedgerUpdate) -> Transaction:
    conditions = [Condition(row.key, row.version) for row in chosen]
    writes = [Write(row.key, None) for row in chosen]
    for key, value in update.changed_rows().items():
        conditions.append(Condition(key, update.rows.version(key)))
        writes.append(Write(key, value))
    return Transaction("fold", tuple(conditions), tuple(writes))
