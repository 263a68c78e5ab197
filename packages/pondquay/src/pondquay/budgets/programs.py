"""Table programs that change the amounts of grants, and list them.

Every program reads, decides and commits under the versions it read, so of two that
race one wins and the other reads again. None of them relies on time.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from pondquay.budgets.rows import (
    GRANT_PREFIX,
    BudgetRow,
    GrantRow,
    GrantState,
    budget_key,
    dump_row,
    grant_key,
    load_budget,
    load_grant,
    parse_grant_key,
)
from pondquay.tables import (
    Committed,
    Condition,
    Conflict,
    OutcomeUnknown,
    Rows,
    Transaction,
    Unreachable,
    Write,
    commit_rows,
    read_rows,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pondquay.names import GrantId, InstanceId
    from pondquay.tables import Program

MAX_TRIES = 6


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
    for _ in range(MAX_TRIES):
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
        if isinstance(reply, OutcomeUnknown):
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
    for _ in range(MAX_TRIES):
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
class StoredGrant:
    """A grant as its row stands in the table."""

    grant: GrantId
    row: GrantRow


def list_grants() -> Program[tuple[StoredGrant, ...] | Unreachable]:
    """Read every grant that stands in the table."""
    rows = yield from read_rows(prefixes=(GRANT_PREFIX,))
    if isinstance(rows, Unreachable):
        return rows
    found = []
    for row in rows.list_with_prefix(GRANT_PREFIX):
        grant = load_grant(row)
        if grant is not None:
            found.append(StoredGrant(parse_grant_key(row.key), grant))
    return tuple(found)
