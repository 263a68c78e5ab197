"""Table programs that change the amounts of grants and list grants.

The programs commit on condition that the rows that they read have not changed. If two
of them conflict, one succeeds and the other one retries. None depends on clocks.
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

# Maximum number of tries to commit in case of conflicts. After the last one, a program
# returns the same result as if the table were unreachable for the commit.
MAX_TRIES = 6


@dataclass(frozen=True, slots=True)
class Adjustment:
    """A planned change of one grant's amount.

    :param delta: tokens to add, negative to return; the first addition creates the
        grant
    :param operation: identifier of the change
    :param demand: tokens per hour that the holder spends
    :param used: tokens of the grant that are billed
    :param min_delta: the fewest tokens to add; if fewer are free, none are added
    :param reports: whether to write ``demand`` and ``used`` if the amount is unchanged
    :param creates: whether the grant is new; otherwise it is lost if it is missing, and
        it is not created again
    """

    workspace: str
    grant: GrantId
    delta: int
    witness: InstanceId | None
    operation: str
    demand: int = 0
    used: int = 0
    min_delta: int = 1
    reports: bool = False
    creates: bool = False


@dataclass(frozen=True, slots=True)
class Adjusted:
    """The outcome of an adjustment.

    :param amount: the current amount of the grant in tokens, 0 if it is not open
    :param budget: the budget as last read or written, ``None`` if the workspace has
        none
    :param lost_grant: whether the grant was created before and is no longer open
    """

    adjustment: Adjustment
    amount: int
    budget: BudgetRow | None
    lost_grant: bool = False


@dataclass(frozen=True, slots=True)
class AdjustmentsUnknown:
    """The outcome of adjustments is unknown; their tokens must not be spent."""

    adjustments: tuple[Adjustment, ...]


AdjustOutcome = tuple[Adjusted, ...] | AdjustmentsUnknown | Unreachable


def adjust_grants(adjustments: Sequence[Adjustment]) -> Program[AdjustOutcome]:
    """Change the amounts of several grants of one holder in one transaction.

    :param adjustments: at most one per grant
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


def resolve_adjustments(adjustments: Sequence[Adjustment]) -> Program[AdjustOutcome]:
    """Determine the outcomes of adjustments whose response was lost.

    Reading the rows is not enough, as the original transaction may still be in transit.
    So the budget's row is rewritten unchanged: its new version makes the conditions of
    all earlier transactions fail, and the rows read before are final.
    """
    keys = _adjustment_keys(adjustments)
    budgets = tuple(
        dict.fromkeys(budget_key(adjustment.workspace) for adjustment in adjustments)
    )
    for _ in range(MAX_TRIES):
        rows = yield from read_rows(*keys)
        if isinstance(rows, Unreachable):
            return rows
        fence = _fence_rows(adjustments[0].operation, budgets, rows)
        reply = yield from commit_rows(fence)
        if isinstance(reply, Committed):
            return tuple(
                _find_adjusted(
                    adjustment,
                    load_budget(rows.rows.get(budget_key(adjustment.workspace))),
                    load_grant(rows.rows.get(grant_key(adjustment.grant))),
                )
                for adjustment in adjustments
            )
        if not isinstance(reply, Conflict):
            return AdjustmentsUnknown(tuple(adjustments))
    return AdjustmentsUnknown(tuple(adjustments))


@dataclass(frozen=True, slots=True)
class _PlannedTransaction:
    """The parts of a transaction and the outcomes if it is committed."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]
    adjusted: tuple[Adjusted, ...]


def _adjustment_keys(adjustments: Sequence[Adjustment]) -> tuple[str, ...]:
    budgets = [budget_key(adjustment.workspace) for adjustment in adjustments]
    grants = [grant_key(adjustment.grant) for adjustment in adjustments]
    return tuple(dict.fromkeys(budgets + grants))


def _plan_adjustments(
    adjustments: Sequence[Adjustment], rows: Rows
) -> _PlannedTransaction:
    budgets: dict[str, BudgetRow] = {}
    conditions: dict[str, Condition] = {}
    writes: dict[str, Write] = {}
    adjusted: list[Adjusted] = []
    for adjustment in adjustments:
        budget_row_key = budget_key(adjustment.workspace)
        grant_row_key = grant_key(adjustment.grant)
        budget = budgets.get(budget_row_key) or load_budget(
            rows.rows.get(budget_row_key)
        )
        grant = load_grant(rows.rows.get(grant_row_key))
        delta = _choose_delta(adjustment, budget, grant)
        reports = adjustment.reports and grant is not None
        if budget is None or (delta == 0 and not reports):
            adjusted.append(_find_adjusted(adjustment, budget, grant))
            continue
        changed = _change_grant(adjustment, grant, delta)
        budget = _change_budget(adjustment, budget, grant, delta)
        budgets[budget_row_key] = budget
        adjusted.append(Adjusted(adjustment, changed.amount, budget))
        for key, row in ((budget_row_key, budget), (grant_row_key, changed)):
            conditions[key] = Condition(key, rows.version(key))
            writes[key] = Write(key, dump_row(row))
    return _PlannedTransaction(
        tuple(conditions.values()), tuple(writes.values()), tuple(adjusted)
    )


def _choose_delta(
    adjustment: Adjustment, budget: BudgetRow | None, grant: GrantRow | None
) -> int:
    """Return the possible change of the grant's amount, 0 if there is none."""
    sealed = grant is not None and grant.state is not GrantState.OPEN
    if budget is None or sealed:
        return 0
    if grant is None and not adjustment.creates:
        return 0
    if adjustment.delta < 0:
        return 0 if grant is None else max(adjustment.delta, -grant.amount)
    delta = min(adjustment.delta, budget.free)
    return delta if delta >= adjustment.min_delta else 0


def _change_budget(
    adjustment: Adjustment, budget: BudgetRow, grant: GrantRow | None, delta: int
) -> BudgetRow:
    demand = 0 if grant is None else grant.demand
    used = 0 if grant is None else grant.used
    return replace(
        budget,
        granted=budget.granted + delta,
        demand=max(0, budget.demand + adjustment.demand - demand),
        used=max(0, budget.used + adjustment.used - used),
    )


def _change_grant(
    adjustment: Adjustment, grant: GrantRow | None, delta: int
) -> GrantRow:
    if grant is not None:
        return replace(
            grant,
            amount=grant.amount + delta,
            operation=adjustment.operation,
            demand=adjustment.demand,
            used=adjustment.used,
        )
    return GrantRow(
        workspace=adjustment.workspace,
        amount=delta,
        holder=str(adjustment.grant.holder),
        witness="" if adjustment.witness is None else str(adjustment.witness),
        operation=adjustment.operation,
        demand=adjustment.demand,
        used=adjustment.used,
    )


def _fence_rows(operation: str, keys: Sequence[str], rows: Rows) -> Transaction:
    """Return a transaction that rewrites rows if their versions are unchanged."""
    present = [rows.rows[key] for key in keys if key in rows.rows]
    return Transaction(
        f"{operation}/fence",
        tuple(Condition(row.key, row.version) for row in present),
        tuple(Write(row.key, row.value) for row in present),
    )


def _find_adjusted(
    adjustment: Adjustment, budget: BudgetRow | None, grant: GrantRow | None
) -> Adjusted:
    """Return the outcome according to the row of a grant."""
    if grant is None:
        return Adjusted(adjustment, 0, budget, lost_grant=not adjustment.creates)
    if grant.state is not GrantState.OPEN:
        return Adjusted(adjustment, 0, budget, lost_grant=True)
    return Adjusted(adjustment, grant.amount, budget)


@dataclass(frozen=True, slots=True)
class StoredGrant:
    """A grant and its row in the table."""

    grant: GrantId
    row: GrantRow


def list_grants() -> Program[tuple[StoredGrant, ...] | Unreachable]:
    """Read all grants in the table."""
    rows = yield from read_rows(prefixes=(GRANT_PREFIX,))
    if isinstance(rows, Unreachable):
        return rows
    found = []
    for row in rows.list_with_prefix(GRANT_PREFIX):
        grant = load_grant(row)
        if grant is not None:
            found.append(StoredGrant(parse_grant_key(row.key), grant))
    return tuple(found)
