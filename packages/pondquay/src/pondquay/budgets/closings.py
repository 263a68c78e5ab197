"""Table programs that close grants, and settle what closed ones still hold.

As all programs do, they read, decide and commit under the versions that they read.
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
    """What the holder or the witness knows of a grant that it closes.

    :param spent: tokens used for good, also those whose bills were written before
    :param held: attempts without a known outcome
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
    """The grant no longer stands open.

    :param by_us: this program's transaction did it; else another had before, and
        what it noted is in the row
    """

    by_us: bool


CloseOutcome = Closed | Unreachable | OutcomeUnknown


def close_grant(closing: Closing) -> Program[CloseOutcome]:
    """Give back what a grant has left, keep what is held, and write its bills.

    Whoever calls this has made sure that the grant is never drawn on again.
    """
    at_budget = budget_key(closing.workspace)
    at_grant = grant_key(closing.grant)
    for _ in range(MAX_TRIES):
        rows = yield from read_rows(at_budget, at_grant)
        if isinstance(rows, Unreachable):
            return rows
        grant = load_grant(rows.rows.get(at_grant))
        budget = load_budget(rows.rows.get(at_budget))
        if grant is None or budget is None or grant.state is not GrantState.OPEN:
            return Closed(by_us=False)
        transaction = _plan_close(closing, budget, grant, rows)
        reply = yield from commit_rows(transaction)
        if isinstance(reply, Committed):
            return Closed(by_us=True)
        if isinstance(reply, Unreachable | OutcomeUnknown):
            return reply
    return Unreachable()


def _plan_close(
    closing: Closing, budget: BudgetRow, grant: GrantRow, rows: Rows
) -> Transaction:
    at_budget = budget_key(closing.workspace)
    at_grant = grant_key(closing.grant)
    held = {str(seq): one for seq, one in closing.held.items()}
    sealed = replace(grant, state=GrantState.SEALED, spent=closing.spent, held=held)
    lowered = replace(
        budget,
        granted=budget.granted - sealed.remainder,
        demand=max(0, budget.demand - grant.demand),
        used=max(0, budget.used + closing.spent - grant.used),
    )
    writes = [
        Write(at_budget, dump_row(lowered)),
        Write(at_grant, dump_row(sealed) if held else None),
    ]
    conditions = [
        Condition(at_budget, rows.version(at_budget)),
        Condition(at_grant, rows.version(at_grant)),
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
    """The outcomes are in the table, from this program or an earlier one."""


def resolve_held(
    workspace: str,
    grant: GrantId,
    resolutions: Sequence[Resolution],
    bills: Sequence[Bill],
    segment: str,
) -> Program[Resolved | Unreachable | OutcomeUnknown]:
    """Settle attempts that a sealed grant still holds, each once by its sequence.

    :param bills: the bills of those resolutions that are billed
    :param segment: the key under which the bills are written
    """
    at_budget = budget_key(workspace)
    at_grant = grant_key(grant)
    for _ in range(MAX_TRIES):
        rows = yield from read_rows(at_budget, at_grant)
        if isinstance(rows, Unreachable):
            return rows
        sealed = load_grant(rows.rows.get(at_grant))
        budget = load_budget(rows.rows.get(at_budget))
        if sealed is None or budget is None:
            return Resolved()
        pending = [one for one in resolutions if str(one.seq) in sealed.held]
        if not pending:
            return Resolved()
        transaction = _plan_resolve(at_budget, at_grant, budget, sealed, pending, rows)
        transaction = _add_bills(transaction, bills, segment)
        reply = yield from commit_rows(transaction)
        if isinstance(reply, Committed):
            return Resolved()
        if isinstance(reply, Unreachable | OutcomeUnknown):
            return reply
    return Unreachable()


def _plan_resolve(
    at_budget: str,
    at_grant: str,
    budget: BudgetRow,
    sealed: GrantRow,
    pending: Sequence[Resolution],
    rows: Rows,
) -> Transaction:
    held = dict(sealed.held)
    spent = sealed.spent
    for one in pending:
        reserve = held.pop(str(one.seq)).reserve
        spent += min(one.billed or 0, reserve)
    resolved = replace(sealed, held=held, spent=spent)
    returned = resolved.remainder - sealed.remainder
    changed = dump_row(resolved) if held else None
    lowered = replace(
        budget,
        granted=budget.granted - returned,
        used=budget.used + spent - sealed.spent,
    )
    return Transaction(
        f"resolve/{at_grant}",
        (
            Condition(at_budget, rows.version(at_budget)),
            Condition(at_grant, rows.version(at_grant)),
        ),
        (Write(at_budget, dump_row(lowered)), Write(at_grant, changed)),
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
