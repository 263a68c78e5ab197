"""Table programs that write bills and read accounts."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from pondquay.billing.bills import SEGMENT_PREFIX, dump_segment, load_segment
from pondquay.billing.fold import (
    ACCOUNT_PREFIX,
    BILL_PREFIX,
    AccountRow,
    BilledRow,
    account_key,
    load_account,
    load_billed,
)
from pondquay.tables import (
    ABSENT,
    Committed,
    Condition,
    Conflict,
    Rows,
    Transaction,
    Unreachable,
    Write,
    commit_rows,
    read_rows,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pondquay.billing.bills import Bill
    from pondquay.tables import Program


@dataclass(frozen=True, slots=True)
class Written:
    """The bills are stored."""


def write_segment(key: str, bills: Sequence[Bill]) -> Program[Written | Unreachable]:
    """Write a segment of bills in one transaction.

    After ``Unreachable``, which also covers an unknown outcome, the caller must write
    the same segment again under the same key. A fold recognises duplicate bills by
    their attempts.
    """
    transaction = Transaction(
        f"flush/{key}", (Condition(key, ABSENT),), (Write(key, dump_segment(bills)),)
    )
    reply = yield from commit_rows(transaction)
    if isinstance(reply, Committed | Conflict):
        return Written()
    rows = yield from read_rows(key)
    if isinstance(rows, Rows) and key in rows.rows:
        return Written()
    return Unreachable()


@dataclass(frozen=True, slots=True)
class Statement:
    """The account of a workspace with its billed requests.

    :param requests: ledger entries of the billed requests, by request key
    :param pending: bills that are not folded into the ledger yet
    """

    workspace: str
    account: AccountRow
    requests: dict[str, BilledRow]
    pending: tuple[Bill, ...]


def read_statement(workspace: str) -> Program[Statement | Unreachable]:
    """Read the account of a workspace, its billed requests and its pending bills."""
    prefix = f"{BILL_PREFIX}{workspace}/"
    rows = yield from read_rows(
        account_key(workspace), prefixes=(prefix, SEGMENT_PREFIX)
    )
    if isinstance(rows, Unreachable):
        return rows
    requests = {}
    for row in rows.list_with_prefix(prefix):
        billed = load_billed(row)
        if billed is not None:
            requests[row.key.removeprefix(prefix)] = billed
    pending = tuple(
        bill
        for row in rows.list_with_prefix(SEGMENT_PREFIX)
        for bill in load_segment(row.value)
        if bill.workspace == workspace
    )
    account = load_account(rows.rows.get(account_key(workspace)))
    return Statement(workspace, account, requests, pending)


def read_accounts() -> Program[dict[str, AccountRow] | Unreachable]:
    """Read the accounts of all workspaces."""
    rows = yield from read_rows(prefixes=(ACCOUNT_PREFIX,))
    if isinstance(rows, Unreachable):
        return rows
    return {
        row.key.removeprefix(ACCOUNT_PREFIX): load_account(row)
        for row in rows.list_with_prefix(ACCOUNT_PREFIX)
    }
