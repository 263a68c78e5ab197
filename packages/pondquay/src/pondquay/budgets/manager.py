"""The holder's programs: refilling, giving back, closing, and writing bills.

They join what the holder knows (:mod:`pondquay.budgets.holder`) with the table. All
are generators, so a pause or a crash can be tried between any two of their steps. At
most one of :meth:`GrantManager.refill`, :meth:`~GrantManager.maintain` and
:meth:`~GrantManager.close_all` may be under way at a time; flushing may always be.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from pondquay.billing.bills import segment_key
from pondquay.billing.programs import Written, write_segment
from pondquay.budgets.closer import GrantCloser, MaintenanceResult
from pondquay.budgets.demands import SECONDS_AN_HOUR, DemandBook
from pondquay.budgets.holdings import Attempt, Holding, HoldingState
from pondquay.budgets.programs import (
    Adjusted,
    Adjustment,
    AdjustmentsUnknown,
    adjust_grants,
    learn_adjustments,
)
from pondquay.budgets.rows import budget_key, load_budget
from pondquay.tables import Unreachable, read_rows

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from pondquay.budgets.directory import WitnessDirectory
    from pondquay.budgets.holder import Holder
    from pondquay.budgets.messages import Recall
    from pondquay.budgets.policies import GrantPolicy
    from pondquay.budgets.programs import AdjustOutcome
    from pondquay.names import InstanceId
    from pondquay.tables import Program

MAX_BILLS = 200
MAX_ADJUSTMENTS = 50
REPORT_DRIFT = 0.05


class RefillResult(StrEnum):
    """What a request for more tokens came to."""

    GAINED = "gained"
    GRANT_LOST = "grant-lost"
    EXHAUSTED = "exhausted"
    UNREACHABLE = "unreachable"


class GrantManager:
    """Everything an instance does with its grants.

    :param holder: the grants themselves
    :param policy: how many tokens to keep at hand
    :param directory: who can be a witness
    """

    def __init__(
        self, holder: Holder, policy: GrantPolicy, directory: WitnessDirectory
    ) -> None:
        self.holder = holder
        self.demands = DemandBook()
        self.unknown: list[Adjustment] = []
        self._policy = policy
        self._directory = directory
        self._number = 0
        self._closer = GrantCloser(holder, self._is_pending, self._next_segment)
        self._probing = False

    def _decide(self, workspace: str, requested: int) -> int:
        """Return the tokens that the policy would add, negative to give back."""
        holdings = self.holder.of_workspace(workspace)
        instances = self._directory.count() + 1
        view = self.demands.view(workspace, requested, holdings, instances)
        return self._policy.decide(view)

    # Refilling and giving back

    def is_usable(self, witness: InstanceId | None) -> bool:
        """Tell whether a grant with this witness can be drawn on now."""
        return witness is None or self._directory.is_usable(witness)

    def refill(
        self, requested: Mapping[str, Sequence[int]]
    ) -> Program[dict[str, RefillResult]]:
        """Ask for what waiting requests need, for all workspaces in one transaction.

        :param requested: tokens of each waiting request, by workspace
        """
        yield from self._read_budgets(requested)
        planned = [
            one
            for workspace, tokens in requested.items()
            for one in self._plan_refill(workspace, tokens)
        ]
        return (yield from self._adjust(planned))

    def _read_budgets(self, workspaces: Iterable[str]) -> Program[None]:
        """Read budgets that are not known yet, so that a first grant is well sized."""
        missing = [one for one in workspaces if self.demands.find(one).budget is None]
        if not missing:
            return
        rows = yield from read_rows(*(budget_key(one) for one in missing))
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

    def handle_recall(self, recall: Recall) -> Program[None]:
        """Give back half of what is at hand, as an instance that has nothing asks.

        The half is never less than what was asked for, if there is so much.
        """
        own = self.holder.of_workspace(recall.workspace)
        at_hand = sum(one.free for one in own)
        tokens = min(at_hand, max(at_hand // 2, recall.tokens))
        if tokens:
            yield from self.return_tokens(recall.workspace, tokens)

    def _plan_refill(self, workspace: str, tokens: Sequence[int]) -> list[Adjustment]:
        requested = sum(tokens)
        holding = self._choose_holding(workspace)
        decided = self._decide(workspace, requested)
        merged = self._merge(workspace, holding)
        delta = max(requested, decided) + sum(-one.delta for one in merged)
        least = min(tokens) - holding.free
        return [*merged, self._adjustment(holding, delta, max(1, least))]

    def _merge(self, workspace: str, target: Holding) -> list[Adjustment]:
        """Give back what other grants of the workspace have left.

        A request must fit into one grant; what lies in several may not suffice.
        """
        others = [one for one in self.holder.of_workspace(workspace) if one != target]
        return self._plan_return(others, sum(one.free for one in others))

    def _plan_return(
        self, holdings: Sequence[Holding], tokens: int
    ) -> list[Adjustment]:
        planned = []
        for holding in holdings:
            if self._is_pending(holding):
                continue
            given = self.holder.shrink(holding.id, tokens)
            if given:
                planned.append(self._adjustment(holding, -given))
                tokens -= given
        return planned

    def _adjustment(
        self, holding: Holding, delta: int, smallest: int = 1
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
            smallest=smallest,
            creates=holding.state is HoldingState.OPENING,
        )

    def _demand_of(self, holding: Holding) -> int:
        """Return the tokens an hour to report for a grant."""
        rate = self.demands.find(holding.workspace).rate
        shares = len(self.holder.of_workspace(holding.workspace))
        return int(rate * SECONDS_AN_HOUR / max(1, shares))

    def _choose_holding(self, workspace: str) -> Holding:
        """Return a grant that can be drawn on, or begin one."""
        usable = [
            one
            for one in self.holder.of_workspace(workspace)
            if one.state in (HoldingState.OPEN, HoldingState.OPENING)
            and self.is_usable(one.witness)
            and not self._is_pending(one)
        ]
        if usable:
            return max(usable, key=lambda one: one.free)
        return self.holder.open(workspace, self._choose_witness())

    def _choose_witness(self) -> InstanceId | None:
        """Return the peer of the domain that witnesses the fewest of our grants."""
        counts = dict.fromkeys(self._directory.witnesses(), 0)
        if not counts:
            return None
        for holding in self.holder.holdings.values():
            if holding.witness in counts:
                counts[holding.witness] += 1
        return min(counts, key=lambda one: (counts[one], one))

    def _is_pending(self, holding: Holding) -> bool:
        return any(one.grant == holding.id for one in self.unknown)

    def _adjust(
        self, planned: Sequence[Adjustment]
    ) -> Program[dict[str, RefillResult]]:
        """Carry adjustments out; return what came of them for each workspace."""
        yield from self._learn()
        if self.unknown:
            self._undo(planned)
            return {}
        outcome = yield from adjust_grants(planned)
        return self._take_outcome(planned, outcome)

    def _learn(self) -> Program[None]:
        """Find out about adjustments whose answer was lost."""
        if not self.unknown:
            return
        pending = tuple(self.unknown)
        outcome = yield from learn_adjustments(pending)
        if isinstance(outcome, AdjustmentsUnknown | Unreachable):
            return
        self.unknown.clear()
        self._take_outcome(pending, outcome)

    def _take_outcome(
        self, planned: Sequence[Adjustment], outcome: AdjustOutcome
    ) -> dict[str, RefillResult]:
        if isinstance(outcome, AdjustmentsUnknown):
            self.unknown.extend(planned)
            return {}
        if isinstance(outcome, Unreachable):
            self._undo(planned)
            return {}
        results: dict[str, RefillResult] = {}
        for one in outcome:
            workspace = one.adjustment.workspace
            if self._take_adjusted(one):
                results[workspace] = RefillResult.GAINED
            elif one.lost_grant:
                results.setdefault(workspace, RefillResult.GRANT_LOST)
            else:
                results.setdefault(workspace, RefillResult.EXHAUSTED)
        return results

    def _undo(self, planned: Sequence[Adjustment]) -> None:
        """Take up again what was not given back, and drop grants never begun."""
        for one in planned:
            holding = self.holder.holdings[one.grant]
            if one.delta < 0:
                holding.amount -= one.delta
            else:
                self.holder.drop_unopened(one.grant)

    def _take_adjusted(self, adjusted: Adjusted) -> bool:
        """Take over one outcome; ``True`` if the grant gained tokens."""
        one = adjusted.adjustment
        self.demands.find(one.workspace).budget = adjusted.budget
        holding = self.holder.holdings.get(one.grant)
        if holding is None:
            return False
        before = holding.free
        holding.demand = one.demand
        holding.reported = one.used
        self.holder.set_amount(one.grant, adjusted.amount, lost=adjusted.lost_grant)
        if adjusted.amount == 0 and one.delta > 0:
            self.holder.drop_unopened(one.grant)
        return one.delta > 0 and holding.free > before

    # Maintenance

    def maintain(self, *, rebalance: bool = True) -> Program[MaintenanceResult]:
        """Close grants that cannot be used, and keep the others as the policy says.

        :param rebalance: refill ahead of need and give back what is too much
        """
        progress = MaintenanceResult()
        yield from self._learn()
        for holding in self.holder.list_holdings():
            witness = holding.witness
            gone = witness is not None and self._directory.is_presumed_dead(witness)
            if holding.state is HoldingState.OPEN and gone:
                progress.refused += self.holder.begin_close(holding)
        yield from self._closer.close_closing(progress)
        yield from self._closer.settle_closed(progress)
        if rebalance:
            yield from self._rebalance()
        return progress

    def close_all(self) -> Program[MaintenanceResult]:
        """Close every grant, for a planned stop."""
        progress = MaintenanceResult()
        yield from self._learn()
        for holding in self.holder.list_holdings():
            progress.refused += self.holder.begin_close(holding)
        yield from self._closer.close_closing(progress)
        yield from self._closer.settle_closed(progress)
        return progress

    @property
    def empty(self) -> bool:
        """Whether nothing is held and nothing is left to be learnt or written."""
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
        """Refill ahead of need, give back, or only report what others size by."""
        delta = self._decide(workspace, 0)
        own = self.holder.of_workspace(workspace)
        if delta > 0:
            return [self._adjustment(self._choose_holding(workspace), delta)]
        if delta < 0:
            return self._plan_return(own, -delta)
        return [
            self._adjustment(one, 0)
            for one in own
            if self._is_worth_reporting(one) and not self._is_pending(one)
        ]

    def _is_worth_reporting(self, holding: Holding) -> bool:
        """Tell whether what the row says of a grant is out of date."""
        if holding.state is not HoldingState.OPEN:
            return False
        now = self._demand_of(holding)
        drift = abs(now - holding.demand) > REPORT_DRIFT * max(now, holding.demand)
        unreported = holding.spent - holding.reported
        return drift or unreported > REPORT_DRIFT * max(holding.amount, 1)

    # Bills

    def flush(self, most: int = MAX_BILLS) -> Program[list[Attempt]]:
        """Write the bills of ended attempts to the table in one transaction.

        While the table is out of reach a single bill is tried, which costs little.

        :returns: the attempts whose bills are safe now
        """
        attempts = self.holder.unflushed(1 if self._probing else most)
        bills = [one.bill for one in attempts if one.bill is not None]
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
