"""Table programs that propose and confirm plans and fetch configuration versions."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from pondquay.budgets.rows import BudgetRow, budget_key, dump_row, load_budget
from pondquay.configuration.documents import HEAD_KEY, Delta, delta_key
from pondquay.configuration.entities import Budget
from pondquay.configuration.plans import PLAN_PREFIX, Plan, PlanState, plan_key
from pondquay.tables import (
    ABSENT,
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
    from collections.abc import Iterator

    from pondquay.tables import Program

MAX_CONFIRM_ATTEMPTS = 8
MAX_DELTAS_PER_READ = 100
MAX_VERSIONS_BEHIND = 500


@dataclass(frozen=True, slots=True)
class Proposed:
    """The plan is stored and can be confirmed."""

    plan: Plan


def propose_plan(plan: Plan) -> Program[Proposed | Unreachable]:
    """Store a plan under its identifier; the operation is idempotent.

    :returns: ``Unreachable`` also if it is unknown whether the plan is stored
    """
    key = plan_key(plan.id)
    transaction = Transaction(
        f"propose/{plan.id}",
        (Condition(key, ABSENT),),
        (Write(key, plan.model_dump(mode="json")),),
    )
    reply = yield from commit_rows(transaction)
    if isinstance(reply, Committed | Conflict):
        return Proposed(plan)
    rows = yield from read_rows(key)
    if isinstance(rows, Rows) and key in rows.rows:
        return Proposed(plan)
    return Unreachable()


@dataclass(frozen=True, slots=True)
class Confirmed:
    """The plan is in force.

    :param version: configuration version that the plan created
    """

    plan: Plan
    version: int


@dataclass(frozen=True, slots=True)
class AwaitingConsent:
    """The consent is stored; consents of other partners are missing."""

    plan: Plan


@dataclass(frozen=True, slots=True)
class PlanOutdated:
    """The plan conflicts with changes after its base version: a new plan is needed.

    :param head: version in force
    :param subject: identity of an entity that both the plan and a later version change,
        or a text if the base version is too old
    """

    plan: Plan
    head: int
    subject: str


@dataclass(frozen=True, slots=True)
class BudgetTooLow:
    """The new limit of a budget is lower than the tokens granted from it."""

    workspace: str
    requested: int
    granted: int


@dataclass(frozen=True, slots=True)
class PlanUnknown:
    """There is no plan with this identifier."""


ConfirmOutcome = (
    Confirmed
    | AwaitingConsent
    | PlanOutdated
    | BudgetTooLow
    | PlanUnknown
    | Unreachable
    | OutcomeUnknown
)


def confirm_plan(plan_id: str, partner: str) -> Program[ConfirmOutcome]:
    """Store a partner's consent; put the plan in force if no consent is missing.

    Retries if a row that it read has changed or if the outcome of the commit is
    unknown. The operation is idempotent.

    :returns: ``Unreachable`` also after ``MAX_CONFIRM_ATTEMPTS`` attempts, although an
        attempt with an unknown outcome may have taken effect
    """
    for _ in range(MAX_CONFIRM_ATTEMPTS):
        rows = yield from read_rows(plan_key(plan_id), HEAD_KEY)
        if isinstance(rows, Unreachable):
            return rows
        plan = _load_plan(rows, plan_id)
        if plan is None:
            return PlanUnknown()
        if plan.state is PlanState.CONFIRMED and plan.version is not None:
            return Confirmed(plan, plan.version)
        consents = tuple(sorted({*plan.consents, partner}))
        plan = plan.model_copy(update={"consents": consents})
        outdated = yield from _find_outdated(plan, rows)
        if outdated is not None:
            return outdated
        outcome = yield from _commit_consent(plan, rows)
        if outcome is not None:
            return outcome
    return Unreachable()


def _load_plan(rows: Rows, plan_id: str) -> Plan | None:
    row = rows.rows.get(plan_key(plan_id))
    return None if row is None else Plan.model_validate(row.value)


def _head_version(rows: Rows) -> int:
    row = rows.rows.get(HEAD_KEY)
    return 0 if row is None else int(row.value["version"])


def _find_outdated(
    plan: Plan, rows: Rows
) -> Program[PlanOutdated | Unreachable | None]:
    """Check whether a version after the plan's base changes an entity of the plan.

    A plan whose base is more than ``MAX_VERSIONS_BEHIND`` versions old is outdated too.
    """
    head = _head_version(rows)
    if head - plan.base > MAX_VERSIONS_BEHIND:
        return PlanOutdated(plan, head, "too many versions")
    planned = {change.identity for change in plan.changes}
    deltas = yield from fetch_deltas(plan.base, head)
    if isinstance(deltas, Unreachable):
        return deltas
    for delta in deltas:
        for change in delta.changes:
            if change.identity in planned:
                return PlanOutdated(plan, head, change.identity)
    return None


def _commit_consent(plan: Plan, rows: Rows) -> Program[ConfirmOutcome | None]:
    """Write the consent, and the new version if no consent is missing.

    :returns: ``None`` after a conflict or an unknown outcome, so that the rows must be
        read again
    """
    if plan.missing_consents():
        transaction = _consent_transaction(plan, rows)
        outcome: ConfirmOutcome = AwaitingConsent(plan)
    else:
        budgets = yield from read_rows(*_budget_keys(plan))
        if isinstance(budgets, Unreachable):
            return budgets
        refused = _find_too_low(plan, budgets)
        if refused is not None:
            return refused
        version = _head_version(rows) + 1
        confirmed = plan.model_copy(
            update={"state": PlanState.CONFIRMED, "version": version}
        )
        transaction = _confirm_transaction(confirmed, version, rows, budgets)
        outcome = Confirmed(confirmed, version)
    reply = yield from commit_rows(transaction)
    if isinstance(reply, Committed):
        return outcome
    if isinstance(reply, Unreachable):
        return reply
    return None


def _consent_transaction(plan: Plan, rows: Rows) -> Transaction:
    key = plan_key(plan.id)
    return Transaction(
        f"consent/{plan.id}",
        (Condition(key, rows.version(key)),),
        (Write(key, plan.model_dump(mode="json")),),
    )


def _confirm_transaction(
    plan: Plan, version: int, rows: Rows, budgets: Rows
) -> Transaction:
    delta = Delta(version=version, plan=plan.id, changes=plan.changes)
    stored_plan_key = plan_key(plan.id)
    new_delta_key = delta_key(version)
    conditions = [
        Condition(HEAD_KEY, rows.version(HEAD_KEY)),
        Condition(stored_plan_key, rows.version(stored_plan_key)),
        Condition(new_delta_key, ABSENT),
    ]
    writes = [
        Write(HEAD_KEY, {"version": version}),
        Write(stored_plan_key, plan.model_dump(mode="json")),
        Write(new_delta_key, delta.model_dump(mode="json")),
    ]
    for workspace, limit in _limits(plan):
        key = budget_key(workspace)
        budget = load_budget(budgets.rows.get(key)) or BudgetRow(0)
        conditions.append(Condition(key, budgets.version(key)))
        writes.append(Write(key, dump_row(replace(budget, limit=limit))))
    return Transaction(f"confirm/{plan.id}", tuple(conditions), tuple(writes))


def _limits(plan: Plan) -> Iterator[tuple[str, int]]:
    """Yield the budget limits that a plan sets; the limit of a removed budget is 0."""
    for change in plan.changes:
        if isinstance(change.after, Budget):
            yield change.after.name, change.after.tokens
        elif isinstance(change.before, Budget):
            yield change.before.name, 0


def _budget_keys(plan: Plan) -> list[str]:
    return [budget_key(workspace) for workspace, _ in _limits(plan)]


def _find_too_low(plan: Plan, budgets: Rows) -> BudgetTooLow | None:
    removed = {change.identity for change in plan.changes if change.after is None}
    for workspace, limit in _limits(plan):
        row = load_budget(budgets.rows.get(budget_key(workspace)))
        if row is None or f"budget {workspace}" in removed:
            continue
        if limit < row.granted:
            return BudgetTooLow(workspace, limit, row.granted)
    return None


def read_head() -> Program[int | Unreachable]:
    """Read the number of the version in force."""
    rows = yield from read_rows(HEAD_KEY)
    return rows if isinstance(rows, Unreachable) else _head_version(rows)


def fetch_deltas(base: int, head: int) -> Program[tuple[Delta, ...] | Unreachable]:
    """Fetch the deltas of the versions after the base up to the head, in order.

    :returns: ``Unreachable`` also if a delta is missing
    """
    deltas: list[Delta] = []
    for start in range(base + 1, head + 1, MAX_DELTAS_PER_READ):
        stop = min(head + 1, start + MAX_DELTAS_PER_READ)
        keys = [delta_key(version) for version in range(start, stop)]
        rows = yield from read_rows(*keys)
        if isinstance(rows, Unreachable) or any(key not in rows.rows for key in keys):
            return Unreachable()
        deltas.extend(Delta.model_validate(rows.rows[key].value) for key in keys)
    return tuple(deltas)


def read_plans() -> Program[tuple[Plan, ...] | Unreachable]:
    """Read all plans."""
    rows = yield from read_rows(prefixes=(PLAN_PREFIX,))
    if isinstance(rows, Unreachable):
        return rows
    return tuple(
        Plan.model_validate(row.value) for row in rows.list_with_prefix(PLAN_PREFIX)
    )


def read_plan(plan_id: str) -> Program[Plan | PlanUnknown | Unreachable]:
    """Read a plan."""
    rows = yield from read_rows(plan_key(plan_id))
    if isinstance(rows, Unreachable):
        return rows
    return _load_plan(rows, plan_id) or PlanUnknown()
