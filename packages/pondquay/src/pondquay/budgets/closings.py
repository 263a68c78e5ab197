"""Table programs that close grants and settle the attempts that closed grants hold.

They commit on condition that the rows that they read have not changed.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from pondquay.billing.bills import Bill, dump_segment
from pondquay.budgets.programs import MAX_TRIES
from pondquay.budgets.rows import (
    BudgetRow,
    GrantRow,
    GrantState,
    HeldIntent,
    budget_key,
    dump_row,
    grant_key,
    load_budget,
    load_grant,
)
from pondquay.tables import (
    ABSENT,
    Committed,
    Condition,
    OutcomeUnknown,
    Rows,
    Transaction,
    Unreachable,
    Write,
    commit_rows,
    read_rows,
)

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from pondquay.names import GrantId
    from pondquay.tables import Program


@dataclass(frozen=True, slots=True)
class Closing:
    """The state of a grant that its holder or its witness closes.

    :param spent: tokens billed, including those whose bills are already written
    :param held: attempts without a known outcome, by sequence number
    :param bills: bills that may not be in the table yet
    :param segment: the key under which the bills are written
    """

    workspace: str
    grant: GrantId
    spent: int
    held: Mapping[int, HeldIntent]
    bills: tuple[Bill, ...]
    segment: str


@dataclass(frozen=True, slots=True)
class Closed:
    """The grant is no longer open.

    :param by_caller: whether this call closed it; otherwise it was closed before, and
        its row, if there is one, has the state written then
    """

    by_caller: bool


CloseOutcome = Closed | Unreachable | OutcomeUnknown


def close_grant(closing: Closing) -> Program[CloseOutcome]:
    """Close a grant in the table.

    This returns its remaining tokens to the budget, stores its held attempts and writes
    its bills. The caller ensures that the grant is used for no further attempts.
    """
    budget_row_key = budget_key(closing.workspace)
    grant_row_key = grant_key(closing.grant)
    for _ in range(MAX_TRIES):
        rows = yield from read_rows(budget_row_key, grant_row_key)
        if isinstance(rows, Unreachable):
            return rows
        grant = load_grant(rows.rows.get(grant_row_key))
        budget = load_budget(rows.rows.get(budget_row_key))
        if grant is None or budget is None or grant.state is not GrantState.OPEN:
            return Closed(by_caller=False)
        transaction = _plan_close(closing, budget, grant, rows)
        reply = yield from commit_rows(transaction)
        if isinstance(reply, Committed):
            return Closed(by_caller=True)
        if isinstance(reply, Unreachable | OutcomeUnknown):
            return reply
    return Unreachable()


def _plan_close(
    closing: Closing, budget: BudgetRow, grant: GrantRow, rows: Rows
) -> Transaction:
    budget_row_key = budget_key(closing.workspace)
    grant_row_key = grant_key(closing.grant)
    held = {str(seq): intent for seq, intent in closing.held.items()}
    sealed = replace(grant, state=GrantState.SEALED, spent=closing.spent, held=held)
    lowered = replace(
        budget,
        granted=budget.granted - sealed.remainder,
        demand=max(0, budget.demand - grant.demand),
        used=max(0, budget.used + closing.spent - grant.used),
    )
    writes = [
        Write(budget_row_key, dump_row(lowered)),
        Write(grant_row_key, dump_row(sealed) if held else None),
    ]
    conditions = [
        Condition(budget_row_key, rows.version(budget_row_key)),
        Condition(grant_row_key, rows.version(grant_row_key)),
    ]
    if closing.bills:
        writes.append(Write(closing.segment, dump_segment(closing.bills)))
        conditions.append(Condition(closing.segment, ABSENT))
    return Transaction(f"close/{closing.grant}", tuple(conditions), tuple(writes))


@dataclass(frozen=True, slots=True)
class Resolution:
    """The outcome of a held attempt.

    :param billed: tokens to bill, ``None`` if the attempt is not billed
    """

    seq: int
    billed: int | None


@dataclass(frozen=True, slots=True)
class Resolved:
    """The outcomes are in the table, written by this program or an earlier one."""


def resolve_held(
    workspace: str,
    grant: GrantId,
    resolutions: Sequence[Resolution],
    bills: Sequence[Bill],
    segment: str,
) -> Program[Resolved | Unreachable | OutcomeUnknown]:
    """Settle attempts that a sealed grant still holds; skip those settled before.

    :param bills: bills of the billed attempts
    :param segment: the key under which the bills are written
    """
    budget_row_key = budget_key(workspace)
    grant_row_key = grant_key(grant)
    for _ in range(MAX_TRIES):
        rows = yield from read_rows(budget_row_key, grant_row_key)
        if isinstance(rows, Unreachable):
            return rows
        sealed = load_grant(rows.rows.get(grant_row_key))
        budget = load_budget(rows.rows.get(budget_row_key))
        if sealed is None or budget is None:
            return Resolved()
        pending = [
            resolution
            for resolution in resolutions
            if str(resolution.seq) in sealed.held
        ]
        if not pending:
            return Resolved()
        transaction = _plan_resolve(
            budget_row_key, grant_row_key, budget, sealed, pending, rows
        )
        transaction = _add_bills(transaction, bills, segment)
        reply = yield from commit_rows(transaction)
        if isinstance(reply, Committed):
            return Resolved()
        if isinstance(reply, Unreachable | OutcomeUnknown):
            return reply
    return Unreachable()


def _plan_resolve(
    budget_row_key: str,
    grant_row_key: str,
    budget: BudgetRow,
    sealed: GrantRow,
    pending: Sequence[Resolution],
    rows: Rows,
) -> Transaction:
    held = dict(sealed.held)
    spent = sealed.spent
    for resolution in pending:
        reserve = held.pop(str(resolution.seq)).reserve
        spent += min(resolution.billed or 0, reserve)
    resolved = replace(sealed, held=held, spent=spent)
    returned = resolved.remainder - sealed.remainder
    changed = dump_row(resolved) if held else None
    lowered = replace(
        budget,
        granted=budget.granted - returned,
        used=budget.used + spent - sealed.spent,
    )
    return Transaction(
        f"resolve/{grant_row_key}",
        (
            Condition(budget_row_key, rows.version(budget_row_key)),
            Condition(grant_row_key, rows.version(grant_row_key)),
        ),
        (Write(budget_row_key, dump_row(lowered)), Write(grant_row_key, changed)),
    )


def _add_bills(
    transaction: Transaction, bills: Sequence[Bill], segment: str
) -> Transaction:
    if not bills:
        return transaction
    return replace(
        transaction,
        conditions=(*transaction.conditions, Condition(segment, ABSENT)),
        writes=(*transaction.writes, Write(segment, dump_segment(bills))),
    )
