"""Table programs that change budgets and grants.

Every program reads, decides and commits under the versions it read, so of two that
race one wins and the other reads again. None of them relies on time.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from pondquay.billing.bills import Bill, dump_segment
from pondquay.budgets.rows import (
    GRANT_PREFIX,
    BudgetRow,
    GrantRow,
    GrantState,
    HeldIntent,
    budget_key,
    dump_row,
    grant_key,
    load_budget,
    load_grant,
    parse_grant_key,
)
from pondquay.tables import (
    ABSENT,
    Committed,
    Condition,
    Conflict,
    Lost,
    Rows,
    Transaction,
    Unreachable,
    Write,
    commit_rows,
    read_rows,
)

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from pondquay.names import GrantId, InstanceId
    from pondquay.tables import Program

MOST_TRIES = 6


@dataclass(frozen=True, slots=True)
class Adjustment:
    """A wanted change of one grant's amount.

    :param delta: tokens to add, negative to give back; a grant that does not exist
        yet is made by the first addition
    :param demand: tokens an hour that the holder spends
    :param used: tokens of the grant that are spent for good
    :param smallest: less than this is not worth adding, so nothing is added
    :param reports: write ``demand`` and ``used`` even if the amount stays
    :param creates: the grant is new; else one that does not stand is lost, and is
        never made a second time
    """

    workspace: str
    grant: GrantId
    delta: int
    witness: InstanceId | None
    operation: str
    demand: int = 0
    used: int = 0
    smallest: int = 1
    reports: bool = False
    creates: bool = False


@dataclass(frozen=True, slots=True)
class Adjusted:
    """What became of an adjustment.

    :param amount: the amount of the grant now, in tokens, 0 if it does not stand open
    :param budget: the budget as last read, ``None`` if the workspace has none
    :param lost_grant: the grant was open once and no longer is
    """

    adjustment: Adjustment
    amount: int
    budget: BudgetRow | None
    lost_grant: bool = False


@dataclass(frozen=True, slots=True)
class AdjustmentsUnknown:
    """The outcome is not known: none of the tokens may be spent until it is."""

    adjustments: tuple[Adjustment, ...]


AdjustOutcome = tuple[Adjusted, ...] | AdjustmentsUnknown | Unreachable


def adjust_grants(adjustments: Sequence[Adjustment]) -> Program[AdjustOutcome]:
    """Change the amounts of several grants of one holder in one transaction.

    :param adjustments: at most one for a grant
    """
    keys = _adjustment_keys(adjustments)
    for _ in range(MOST_TRIES):
        rows = yield from read_rows(*keys)
        if isinstance(rows, Unreachable):
            return rows
        planned = _plan_adjustments(adjustments, rows)
        if not planned.writes:
            return planned.adjusted
        transaction = Transaction(
            adjustments[0].operation, planned.conditions, planned.writes
        )
        reply = yield from commit_rows(transaction)
        if isinstance(reply, Committed):
            return planned.adjusted
        if isinstance(reply, Unreachable):
            return reply
        if isinstance(reply, Lost):
            return AdjustmentsUnknown(tuple(adjustments))
    return Unreachable()


def learn_adjustments(adjustments: Sequence[Adjustment]) -> Program[AdjustOutcome]:
    """Find out what became of adjustments whose answer was lost.

    Reading is not enough: the first sending may still be on its way. So the budget's
    row is written anew, which makes every earlier version condition fail for good;
    what is read then is final.
    """
    keys = _adjustment_keys(adjustments)
    budgets = tuple(dict.fromkeys(budget_key(one.workspace) for one in adjustments))
    for _ in range(MOST_TRIES):
        rows = yield from read_rows(*keys)
        if isinstance(rows, Unreachable):
            return rows
        fence = _fence_rows(adjustments[0].operation, budgets, rows)
        reply = yield from commit_rows(fence)
        if isinstance(reply, Committed):
            return tuple(
                _find_adjusted(
                    one,
                    load_budget(rows.rows.get(budget_key(one.workspace))),
                    load_grant(rows.rows.get(grant_key(one.grant))),
                )
                for one in adjustments
            )
        if not isinstance(reply, Conflict):
            return AdjustmentsUnknown(tuple(adjustments))
    return AdjustmentsUnknown(tuple(adjustments))


@dataclass(frozen=True, slots=True)
class _Planned:
    """A transaction in the making and what it will have done."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]
    adjusted: tuple[Adjusted, ...]


def _adjustment_keys(adjustments: Sequence[Adjustment]) -> tuple[str, ...]:
    budgets = [budget_key(one.workspace) for one in adjustments]
    grants = [grant_key(one.grant) for one in adjustments]
    return tuple(dict.fromkeys(budgets + grants))


def _plan_adjustments(adjustments: Sequence[Adjustment], rows: Rows) -> _Planned:
    budgets: dict[str, BudgetRow] = {}
    conditions: dict[str, Condition] = {}
    writes: dict[str, Write] = {}
    adjusted: list[Adjusted] = []
    for one in adjustments:
        at_budget = budget_key(one.workspace)
        at_grant = grant_key(one.grant)
        budget = budgets.get(at_budget) or load_budget(rows.rows.get(at_budget))
        grant = load_grant(rows.rows.get(at_grant))
        delta = _choose_delta(one, budget, grant)
        reports = one.reports and grant is not None
        if budget is None or (delta == 0 and not reports):
            adjusted.append(_find_adjusted(one, budget, grant))
            continue
        changed = _change_grant(one, grant, delta)
        budget = _change_budget(one, budget, grant, delta)
        budgets[at_budget] = budget
        adjusted.append(Adjusted(one, changed.amount, budget))
        for key, row in ((at_budget, budget), (at_grant, changed)):
            conditions[key] = Condition(key, rows.version(key))
            writes[key] = Write(key, dump_row(row))
    return _Planned(tuple(conditions.values()), tuple(writes.values()), tuple(adjusted))


def _choose_delta(
    one: Adjustment, budget: BudgetRow | None, grant: GrantRow | None
) -> int:
    """Return what can be added to or taken from the grant, 0 for nothing."""
    sealed = grant is not None and grant.state is not GrantState.OPEN
    if budget is None or sealed:
        return 0
    if grant is None and not one.creates:
        return 0
    if one.delta < 0:
        return 0 if grant is None else max(one.delta, -grant.amount)
    delta = min(one.delta, budget.free)
    return delta if delta >= one.smallest else 0


def _change_budget(
    one: Adjustment, budget: BudgetRow, grant: GrantRow | None, delta: int
) -> BudgetRow:
    demand = 0 if grant is None else grant.demand
    used = 0 if grant is None else grant.used
    return replace(
        budget,
        granted=budget.granted + delta,
        demand=max(0, budget.demand + one.demand - demand),
        used=max(0, budget.used + one.used - used),
    )


def _change_grant(one: Adjustment, grant: GrantRow | None, delta: int) -> GrantRow:
    if grant is not None:
        return replace(
            grant,
            amount=grant.amount + delta,
            operation=one.operation,
            demand=one.demand,
            used=one.used,
        )
    return GrantRow(
        workspace=one.workspace,
        amount=delta,
        holder=str(one.grant.holder),
        witness="" if one.witness is None else str(one.witness),
        operation=one.operation,
        demand=one.demand,
        used=one.used,
    )


def _fence_rows(operation: str, keys: Sequence[str], rows: Rows) -> Transaction:
    """Return a transaction that writes rows unchanged, under their versions."""
    present = [rows.rows[key] for key in keys if key in rows.rows]
    return Transaction(
        f"{operation}/fence",
        tuple(Condition(row.key, row.version) for row in present),
        tuple(Write(row.key, row.value) for row in present),
    )


def _find_adjusted(
    one: Adjustment, budget: BudgetRow | None, grant: GrantRow | None
) -> Adjusted:
    """Return the state of a grant as its row tells it."""
    if grant is None:
        return Adjusted(one, 0, budget, lost_grant=not one.creates)
    if grant.state is not GrantState.OPEN:
        return Adjusted(one, 0, budget, lost_grant=True)
    return Adjusted(one, grant.amount, budget)


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


CloseOutcome = Closed | Unreachable | Lost


def close_grant(closing: Closing) -> Program[CloseOutcome]:
    """Give back what a grant has left, keep what is held, and write its bills.

    Whoever calls this has made sure that the grant is never drawn on again.
    """
    at_budget = budget_key(closing.workspace)
    at_grant = grant_key(closing.grant)
    for _ in range(MOST_TRIES):
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
        if isinstance(reply, Unreachable | Lost):
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
) -> Program[Resolved | Unreachable | Lost]:
    """Settle attempts that a sealed grant still holds, each once by its sequence.

    :param bills: the bills of those resolutions that are billed
    :param segment: the key under which the bills are written
    """
    at_budget = budget_key(workspace)
    at_grant = grant_key(grant)
    for _ in range(MOST_TRIES):
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
        if isinstance(reply, Unreachable | Lost):
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


@dataclass(frozen=True, slots=True)
class StandingGrant:
    """A grant as its row stands in the table."""

    grant: GrantId
    row: GrantRow


def list_grants() -> Program[tuple[StandingGrant, ...] | Unreachable]:
    """Read every grant that stands in the table."""
    rows = yield from read_rows(prefixes=(GRANT_PREFIX,))
    if isinstance(rows, Unreachable):
        return rows
    found = []
    for row in rows.starting(GRANT_PREFIX):
        grant = load_grant(row)
        if grant is not None:
            found.append(StandingGrant(parse_grant_key(row.key), grant))
    return tuple(found)
