"""The holder's programs: refill, return and close grants, and write bills.

They synchronize the holder's state (:mod:`pondquay.budgets.holder`) with the table. All
are generators, so tests can inject a pause or a crash between any two steps. At most
one of :meth:`GrantManager.refill`, :meth:`~GrantManager.maintain` and
:meth:`~GrantManager.close_all` may run at a time; :meth:`~GrantManager.flush` may
always run.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from pondquay.billing.bills import segment_key
from pondquay.billing.programs import Written, write_segment
from pondquay.budgets.closer import GrantCloser, MaintenanceResult
from pondquay.budgets.demands import SECONDS_PER_HOUR, DemandTracker
from pondquay.budgets.holdings import Attempt, Holding, HoldingState
from pondquay.budgets.programs import (
    Adjusted,
    Adjustment,
    AdjustmentsUnknown,
    adjust_grants,
    resolve_adjustments,
)
from pondquay.budgets.rows import budget_key, load_budget
from pondquay.tables import Unreachable, read_rows

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping, Sequence

    from pondquay.budgets.directory import WitnessDirectory
    from pondquay.budgets.holder import Holder
    from pondquay.budgets.messages import Recall
    from pondquay.budgets.policies import GrantPolicy
    from pondquay.budgets.programs import AdjustOutcome
    from pondquay.names import InstanceId
    from pondquay.tables import Program

# Maximum number of attempts whose bills are written in one transaction.
MAX_BILLS = 200
# Number of adjustments from which a rebalancing plans no further workspaces.
MAX_ADJUSTMENTS = 50
# Relative change of a grant's figures above which its row is updated.
REPORT_DRIFT_FRACTION = 0.05


class RefillResult(StrEnum):
    """The result of a refill for one workspace.

    ``GAINED``: tokens were added; ``GRANT_LOST``: the grant was closed or is missing;
    ``EXHAUSTED``: no tokens were added; ``UNREACHABLE``: for use by callers if a refill
    has no result.
    """

    GAINED = "gained"
    GRANT_LOST = "grant-lost"
    EXHAUSTED = "exhausted"
    UNREACHABLE = "unreachable"


class GrantManager:
    """Manages the grants of one instance in the table.

    :param holder: the grants of the instance
    :param policy: decides how many tokens the instance holds
    :param directory: lists the possible witnesses
    :ivar unknown: adjustments whose outcome is unknown
    """

    def __init__(
        self, holder: Holder, policy: GrantPolicy, directory: WitnessDirectory
    ) -> None:
        self.holder = holder
        self.demands = DemandTracker()
        self.unknown: list[Adjustment] = []
        self._policy = policy
        self._directory = directory
        self._number = 0
        self._closer = GrantCloser(holder, self._is_pending, self._next_segment)
        # Whether the last write of bills failed.
        self._probing = False

    def _decide(self, workspace: str, requested: int) -> int:
        """Return the tokens that the policy adds, negative to return some."""
        holdings = self.holder.of_workspace(workspace)
        instances = self._directory.count() + 1
        view = self.demands.view(workspace, requested, holdings, instances)
        return self._policy.decide(view)

    # Refills and returns

    def is_usable(self, witness: InstanceId | None) -> bool:
        """Return whether a grant with this witness is usable now."""
        return witness is None or self._directory.is_usable(witness)

    def refill(
        self, requested: Mapping[str, Sequence[int]]
    ) -> Program[dict[str, RefillResult]]:
        """Request the tokens for waiting requests of all workspaces in one transaction.

        :param requested: tokens of each waiting request, by workspace
        """
        yield from self._read_budgets(requested)
        planned = [
            adjustment
            for workspace, tokens in requested.items()
            for adjustment in self._plan_refill(workspace, tokens)
        ]
        return (yield from self._adjust(planned))

    def _read_budgets(self, workspaces: Iterable[str]) -> Program[None]:
        """Read the budgets that are not known yet; the policy needs them."""
        missing = [
            name for name in workspaces if self.demands.find(name).budget is None
        ]
        if not missing:
            return
        rows = yield from read_rows(*(budget_key(name) for name in missing))
        if isinstance(rows, Unreachable):
            return
        for workspace in missing:
            row = rows.rows.get(budget_key(workspace))
            self.demands.find(workspace).budget = load_budget(row)

    def return_tokens(self, workspace: str, tokens: int) -> Program[None]:
        """Return tokens of a workspace to its budget."""
        planned = self._plan_return(self.holder.of_workspace(workspace), tokens)
        if planned:
            yield from self._adjust(planned)

    def may_cover(self, workspace: str, tokens: int) -> bool:
        """Return whether a request may fit into the tokens that are not known as used.

        Peers and running requests may hold them.
        """
        budget = self.demands.find(workspace).budget
        if budget is None:
            return False
        own = self.holder.of_workspace(workspace)
        unreported = sum(holding.spent - holding.reported for holding in own)
        return tokens <= budget.remaining - unreported

    def handle_recall(self, recall: Recall) -> Program[None]:
        """Return half of the free tokens because another instance needs some.

        At least the requested tokens are returned, or all that are free. Without any,
        the tokens used are reported, so that no instance expects them to be returned.
        """
        own = self.holder.of_workspace(recall.workspace)
        free = sum(holding.free for holding in own)
        tokens = min(free, max(free // 2, recall.tokens))
        if tokens:
            yield from self.return_tokens(recall.workspace, tokens)
            return
        reports = self._plan_reports(own, lambda held: held.spent > held.reported)
        if reports:
            yield from self._adjust(reports)

    def _plan_refill(self, workspace: str, tokens: Sequence[int]) -> list[Adjustment]:
        requested = sum(tokens)
        holding = self._choose_holding(workspace)
        decided = self._decide(workspace, requested)
        merged = self._plan_merge(workspace, holding)
        delta = max(requested, decided) + sum(
            -adjustment.delta for adjustment in merged
        )
        min_delta = min(tokens) - holding.free
        return [*merged, self._make_adjustment(holding, delta, max(1, min_delta))]

    def _plan_merge(self, workspace: str, target: Holding) -> list[Adjustment]:
        """Plan to return the free tokens of the workspace's other grants.

        A request has to fit into one grant, so they are granted to the target instead.
        """
        others = [
            holding
            for holding in self.holder.of_workspace(workspace)
            if holding != target
        ]
        return self._plan_return(others, sum(holding.free for holding in others))

    def _plan_return(
        self, holdings: Sequence[Holding], tokens: int
    ) -> list[Adjustment]:
        """Deduct free tokens from grants, and plan to return them to the budget."""
        planned = []
        for holding in holdings:
            if self._is_pending(holding):
                continue
            returned = self.holder.shrink(holding.id, tokens)
            if returned:
                planned.append(self._make_adjustment(holding, -returned))
                tokens -= returned
        return planned

    def _make_adjustment(
        self, holding: Holding, delta: int, min_delta: int = 1
    ) -> Adjustment:
        self._number += 1
        return Adjustment(
            workspace=holding.workspace,
            grant=holding.id,
            delta=delta,
            witness=holding.witness,
            operation=f"{self.holder.instance}/{self._number}",
            demand=self._demand_of(holding),
            used=holding.spent,
            reports=delta == 0,
            min_delta=min_delta,
            creates=holding.state is HoldingState.OPENING,
        )

    def _demand_of(self, holding: Holding) -> int:
        """Return the tokens per hour to report for a grant."""
        rate = self.demands.find(holding.workspace).rate
        shares = len(self.holder.of_workspace(holding.workspace))
        return int(rate * SECONDS_PER_HOUR / max(1, shares))

    def _choose_holding(self, workspace: str) -> Holding:
        """Return the usable grant with the most free tokens; open one if necessary."""
        usable = [
            holding
            for holding in self.holder.of_workspace(workspace)
            if holding.state in (HoldingState.OPEN, HoldingState.OPENING)
            and self.is_usable(holding.witness)
            and not self._is_pending(holding)
        ]
        if usable:
            return max(usable, key=lambda holding: holding.free)
        return self.holder.open(workspace, self._choose_witness())

    def _choose_witness(self) -> InstanceId | None:
        """Return the possible witness with the fewest grants of this holder."""
        counts = dict.fromkeys(self._directory.witnesses(), 0)
        if not counts:
            return None
        for holding in self.holder.holdings.values():
            if holding.witness in counts:
                counts[holding.witness] += 1
        return min(counts, key=lambda peer: (counts[peer], peer))

    def _is_pending(self, holding: Holding) -> bool:
        """Return whether an adjustment of a grant has an unknown outcome."""
        return any(adjustment.grant == holding.id for adjustment in self.unknown)

    def _adjust(
        self, planned: Sequence[Adjustment]
    ) -> Program[dict[str, RefillResult]]:
        """Commit adjustments; return their results by workspace, as far as known."""
        yield from self._resolve_unknown()
        if self.unknown:
            self._undo(planned)
            return {}
        outcome = yield from adjust_grants(planned)
        return self._apply_outcome(planned, outcome)

    def _resolve_unknown(self) -> Program[None]:
        """Determine the outcomes of adjustments whose response was lost."""
        if not self.unknown:
            return
        pending = tuple(self.unknown)
        outcome = yield from resolve_adjustments(pending)
        if isinstance(outcome, AdjustmentsUnknown | Unreachable):
            return
        self.unknown.clear()
        self._apply_outcome(pending, outcome)

    def _apply_outcome(
        self, planned: Sequence[Adjustment], outcome: AdjustOutcome
    ) -> dict[str, RefillResult]:
        if isinstance(outcome, AdjustmentsUnknown):
            self.unknown.extend(planned)
            return {}
        if isinstance(outcome, Unreachable):
            self._undo(planned)
            return {}
        results: dict[str, RefillResult] = {}
        for adjusted in outcome:
            workspace = adjusted.adjustment.workspace
            if self._apply_adjusted(adjusted):
                results[workspace] = RefillResult.GAINED
            elif adjusted.lost_grant:
                results.setdefault(workspace, RefillResult.GRANT_LOST)
            else:
                results.setdefault(workspace, RefillResult.EXHAUSTED)
        return results

    def _undo(self, planned: Sequence[Adjustment]) -> None:
        """Restore tokens that were not returned; drop grants that were not created."""
        for adjustment in planned:
            holding = self.holder.holdings[adjustment.grant]
            if adjustment.delta < 0:
                holding.amount -= adjustment.delta
            else:
                self.holder.drop_unopened(adjustment.grant)

    def _apply_adjusted(self, adjusted: Adjusted) -> bool:
        """Apply one outcome; return whether the grant gained tokens."""
        adjustment = adjusted.adjustment
        self.demands.find(adjustment.workspace).budget = adjusted.budget
        holding = self.holder.holdings.get(adjustment.grant)
        if holding is None:
            return False
        before = holding.free
        holding.demand = adjustment.demand
        holding.reported = adjustment.used
        self.holder.set_amount(
            adjustment.grant, adjusted.amount, lost=adjusted.lost_grant
        )
        if adjusted.amount == 0 and adjustment.delta > 0:
            self.holder.drop_unopened(adjustment.grant)
        return adjustment.delta > 0 and holding.free > before

    # Maintenance

    def maintain(self, *, rebalance: bool = True) -> Program[MaintenanceResult]:
        """Close unusable grants and rebalance the others.

        :param rebalance: whether to refill in advance and return surplus tokens
        """
        result = MaintenanceResult()
        yield from self._resolve_unknown()
        for holding in self.holder.list_holdings():
            witness = holding.witness
            is_dead = witness is not None and self._directory.is_presumed_dead(witness)
            if holding.state is HoldingState.OPEN and is_dead:
                result.refused += self.holder.begin_close(holding)
        yield from self._closer.close_pending(result)
        yield from self._closer.settle_late_attempts(result)
        if rebalance:
            yield from self._rebalance()
        return result

    def close_all(self) -> Program[MaintenanceResult]:
        """Close every grant, for a planned stop."""
        result = MaintenanceResult()
        yield from self._resolve_unknown()
        for holding in self.holder.list_holdings():
            result.refused += self.holder.begin_close(holding)
        yield from self._closer.close_pending(result)
        yield from self._closer.settle_late_attempts(result)
        return result

    @property
    def empty(self) -> bool:
        """Whether there are neither grants nor adjustments with unknown outcomes."""
        return not self.holder.holdings and not self.unknown

    def _rebalance(self) -> Program[None]:
        yield from self._read_budgets(self.demands)
        planned: list[Adjustment] = []
        for workspace in self.demands:
            if self.demands.find(workspace).budget is not None:
                planned += self._plan_rebalance(workspace)
            if len(planned) >= MAX_ADJUSTMENTS:
                break
        if planned:
            yield from self._adjust(planned)

    def _plan_rebalance(self, workspace: str) -> list[Adjustment]:
        """Plan a refill, a return, or an update of the grants' reported figures."""
        delta = self._decide(workspace, 0)
        own = self.holder.of_workspace(workspace)
        if delta > 0:
            return [self._make_adjustment(self._choose_holding(workspace), delta)]
        if delta < 0:
            return self._plan_return(own, -delta)
        return self._plan_reports(own, self._is_worth_reporting)

    def _plan_reports(
        self, holdings: Sequence[Holding], is_outdated: Callable[[Holding], bool]
    ) -> list[Adjustment]:
        """Plan updates of the figures in the rows of open grants."""
        return [
            self._make_adjustment(holding, 0)
            for holding in holdings
            if holding.state is HoldingState.OPEN
            and is_outdated(holding)
            and not self._is_pending(holding)
        ]

    def _is_worth_reporting(self, holding: Holding) -> bool:
        """Return whether the figures in a grant's row are too inaccurate."""
        demand = self._demand_of(holding)
        drift = abs(demand - holding.demand) > REPORT_DRIFT_FRACTION * max(
            demand, holding.demand
        )
        unreported = holding.spent - holding.reported
        return drift or unreported > REPORT_DRIFT_FRACTION * max(holding.amount, 1)

    # Bills

    def flush(self, max_bills: int = MAX_BILLS) -> Program[list[Attempt]]:
        """Write the bills of settled attempts to the table in one transaction.

        After a failed write, single bills are written as probes until one succeeds.

        :returns: the attempts whose bills are now in the table
        """
        attempts = self.holder.unflushed(1 if self._probing else max_bills)
        bills = [attempt.bill for attempt in attempts if attempt.bill is not None]
        if bills:
            outcome = yield from write_segment(self._next_segment(), bills)
            self._probing = not isinstance(outcome, Written)
            if self._probing:
                return []
        self.holder.note_flushed(attempts)
        return attempts

    def _next_segment(self) -> str:
        self._number += 1
        return segment_key(str(self.holder.instance), self._number)
