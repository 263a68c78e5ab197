"""The budget task: reserves, refills, settles, flushes bills, and witnesses others."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred, DeferredLock

from pondquay.billing.bills import segment_key
from pondquay.billing.programs import Written, write_segment
from pondquay.budgets.holder import Attempt, AttemptState, Holder, Holding, HoldingState
from pondquay.budgets.messages import (
    Acknowledge,
    Refuse,
    Settled,
    SettleRefused,
)
from pondquay.budgets.policies import GRANT_POLICIES, GrantView
from pondquay.budgets.programs import (
    Adjusted,
    Adjustment,
    AdjustmentsUnknown,
    Closed,
    Resolution,
    Resolved,
    adjust_grants,
    close_grant,
    learn_adjustments,
    resolve_held,
)
from pondquay.budgets.witness import Witness
from pondquay.tables import Unreachable
from pondquay_daemon.logs import Level, log_event
from pondquay_daemon.tasks import Task, sleep, spawn, wait_at_most

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from pondquay.budgets.messages import HolderMessage, WitnessMessage
    from pondquay.budgets.programs import AdjustOutcome
    from pondquay.budgets.rows import BudgetRow
    from pondquay.names import AttemptId, GrantId, InstanceId, RequestName
    from pondquay_daemon.peers import PeerTask
    from pondquay_daemon.platform import Platform

ACKNOWLEDGE_SECONDS = 1.0
FLUSH_SECONDS = 0.25
MAINTAIN_SECONDS = 1.0
MOST_BILLS = 200
MOST_ADJUSTMENTS = 50
MOST_TRIES = 4
SETTLE_SECONDS = 2.0
RATE_WEIGHT = 0.1


@dataclass(frozen=True, slots=True)
class BudgetExhausted:
    """The budget cannot bear the request."""


@dataclass(frozen=True, slots=True)
class BudgetUnreachable:
    """Nothing is at hand and the table does not answer."""


class Refill(Enum):
    """What a request for more tokens came to."""

    GAINED = "gained"
    EXHAUSTED = "exhausted"
    UNREACHABLE = "unreachable"


@dataclass(slots=True)
class _Waiter:
    """A request that waits for tokens."""

    tokens: int
    fired: Deferred[Refill] = field(default_factory=Deferred)


@dataclass(slots=True)
class _Demand:
    """What a workspace uses here.

    :param budget: the budget's row as last read
    :param rate: tokens a second, smoothed
    :param spent: tokens reserved since the rate was last brought up to date
    """

    budget: BudgetRow | None = None
    rate: float = 0.0
    spent: int = 0
    waiters: list[_Waiter] = field(default_factory=list)


class Treasury(Task):
    """Owns every grant that this instance holds.

    :param policy: name of the grant policy
    """

    def __init__(
        self,
        reactor: Any,
        instance: InstanceId,
        platform: Platform,
        peers: PeerTask,
        policy: str,
    ) -> None:
        super().__init__(reactor)
        self._instance = instance
        self._platform = platform
        self._peers = peers
        self._policy = GRANT_POLICIES.create(policy)
        self.holder = Holder(instance)
        self.witness = Witness()
        self.demands: dict[str, _Demand] = defaultdict(_Demand)
        self._acknowledged: dict[AttemptId, Deferred[bool]] = {}
        self._safe: dict[AttemptId, Deferred[bool]] = {}
        self._unknown: list[Adjustment] = []
        self._lock = DeferredLock()
        self._segment = 0
        self._pump_due = False
        self._refilling = False
        self._stopping = False
        self.unsafe_bills = 0

    def start(self) -> None:
        """Begin to flush bills and maintain grants."""
        self.repeat(FLUSH_SECONDS, self._flush)
        self.repeat(MAINTAIN_SECONDS, self._maintain)

    # Reserving

    async def reserve(
        self, request: RequestName, tokens: int, upstream: str
    ) -> Attempt | BudgetExhausted | BudgetUnreachable:
        """Reserve tokens; what comes back as an attempt may be dispatched.

        :param tokens: the most that the attempt can cost
        """
        demand = self.demands[request.workspace]
        demand.spent += tokens
        for _ in range(MOST_TRIES):
            attempt = self.holder.reserve(request, tokens, upstream, self.is_usable)
            if attempt is None:
                refill = await self._want(demand, tokens)
                if refill is Refill.EXHAUSTED:
                    return BudgetExhausted()
                if refill is Refill.UNREACHABLE:
                    return BudgetUnreachable()
                continue
            if attempt.state is AttemptState.ACKNOWLEDGED:
                return attempt
            if await self._acknowledge(attempt):
                return attempt
            self.holder.settle(attempt.id, None)
            self._pump_soon()
        return BudgetUnreachable()

    def is_usable(self, witness: InstanceId | None) -> bool:
        """Tell whether a grant with this witness can be drawn on now."""
        return witness is None or self._peers.is_usable(witness)

    async def _acknowledge(self, attempt: Attempt) -> bool:
        waiter: Deferred[bool] = Deferred()
        self._acknowledged[attempt.id] = waiter
        self._pump_soon()
        try:
            return await wait_at_most(waiter, ACKNOWLEDGE_SECONDS, self.clock, False)
        finally:
            self._acknowledged.pop(attempt.id, None)

    def _pump_soon(self) -> None:
        """Send what is unsent once the current turn is over, so it goes as a batch."""
        if not self._pump_due:
            self._pump_due = True
            self.clock.callLater(0, self._pump)

    def _pump(self) -> None:
        self._pump_due = False
        for witness in self._peers.connected():
            for message in self.holder.take_messages(witness):
                self._peers.send(witness, message)

    # Refilling

    def _want(self, demand: _Demand, tokens: int) -> Deferred[Refill]:
        """Ask for tokens; fires with what came of it."""
        waiter = _Waiter(tokens)
        demand.waiters.append(waiter)
        if not self._refilling:
            self._refilling = True
            spawn(self._refill(), "Treasury")
        return waiter.fired

    async def _refill(self) -> None:
        try:
            await sleep(0, self.clock)
            while any(one.waiters for one in self.demands.values()):
                await self._refill_once()
        finally:
            self._refilling = False

    async def _refill_once(self) -> None:
        """Ask for what all waiting requests need, in one transaction."""
        waiting = [
            (workspace, demand.waiters)
            for workspace, demand in self.demands.items()
            if demand.waiters
        ][:MOST_ADJUSTMENTS]
        for workspace, _ in waiting:
            self.demands[workspace].waiters = []
        async with self._lock:
            adjustments = [
                one
                for workspace, waiters in waiting
                for one in self._plan_refill(workspace, waiters)
            ]
            gained = await self._adjust(adjustments)
        for workspace, waiters in waiting:
            for waiter in waiters:
                waiter.fired.callback(gained.get(workspace, Refill.UNREACHABLE))

    def _plan_refill(
        self, workspace: str, waiters: Sequence[_Waiter]
    ) -> list[Adjustment]:
        demand = self.demands[workspace]
        wanted = sum(one.tokens for one in waiters)
        holding = self._choose_holding(workspace)
        decided = self._policy.decide(self._view(workspace, demand, wanted))
        merged = self._merge(workspace, holding)
        delta = max(wanted, decided) + sum(-one.delta for one in merged)
        least = min((one.tokens for one in waiters), default=1) - holding.free
        return [*merged, self._adjustment(holding, delta, max(1, least))]

    def _merge(self, workspace: str, target: Holding) -> list[Adjustment]:
        """Give back what other grants of the workspace have left.

        A request must fit into one grant; what lies in several may not suffice.
        """
        merged = []
        for holding in self.holder.of_workspace(workspace):
            if holding is target or holding.free == 0 or self._is_pending(holding.id):
                continue
            given = self.holder.shrink(holding.id, holding.free)
            merged.append(self._adjustment(holding, -given))
        return merged

    def _adjustment(
        self, holding: Holding, delta: int, smallest: int = 1
    ) -> Adjustment:
        self._segment += 1
        operation = f"{self._instance}/{self._segment}"
        return Adjustment(
            workspace=holding.workspace,
            grant=holding.id,
            delta=delta,
            witness=holding.witness,
            operation=operation,
            smallest=smallest,
            creates=holding.state is HoldingState.OPENING,
        )

    def _choose_holding(self, workspace: str) -> Holding:
        """Return a grant that can be drawn on, or begin one."""
        usable = [
            one
            for one in self.holder.of_workspace(workspace)
            if one.state in (HoldingState.OPEN, HoldingState.OPENING)
            and self.is_usable(one.witness)
            and not self._is_pending(one.id)
        ]
        if usable:
            return max(usable, key=lambda one: one.free)
        return self.holder.open(workspace, self._choose_witness())

    def _choose_witness(self) -> InstanceId | None:
        """Return the peer of the domain that witnesses the fewest of our grants."""
        peers = self._peers.witnesses()
        if not peers:
            return None
        counts: dict[InstanceId, int] = dict.fromkeys(peers, 0)
        for holding in self.holder.holdings.values():
            if holding.witness in counts:
                counts[holding.witness] += 1
        return min(peers, key=lambda one: (counts[one], one))

    def _is_pending(self, grant: GrantId) -> bool:
        return any(one.grant == grant for one in self._unknown)

    def _view(self, workspace: str, demand: _Demand, wanted: int) -> GrantView:
        holdings = self.holder.of_workspace(workspace)
        budget = demand.budget
        return GrantView(
            limit=0 if budget is None else budget.limit,
            free=0 if budget is None else budget.free,
            holding=sum(one.free for one in holdings),
            running=sum(one.reserved for one in holdings),
            rate=demand.rate,
            fleet_rate=demand.rate * max(1, self._peers.count() + 1),
            instances=self._peers.count() + 1,
            wanted=wanted,
        )

    async def _adjust(self, adjustments: Sequence[Adjustment]) -> dict[str, Refill]:
        """Carry adjustments out; return what came of them for each workspace."""
        if self._unknown:
            await self._learn()
        if self._unknown:
            self._undo(adjustments)
            return {}
        outcome = await self._platform.run(adjust_grants(adjustments))
        return self._take_outcome(adjustments, outcome)

    async def _learn(self) -> None:
        """Find out about adjustments whose answer was lost."""
        pending = tuple(self._unknown)
        outcome = await self._platform.run(learn_adjustments(pending))
        if isinstance(outcome, AdjustmentsUnknown | Unreachable):
            return
        self._unknown.clear()
        self._take_outcome(pending, outcome)

    def _take_outcome(
        self, adjustments: Sequence[Adjustment], outcome: AdjustOutcome
    ) -> dict[str, Refill]:
        if isinstance(outcome, AdjustmentsUnknown):
            self._unknown.extend(adjustments)
            return {}
        if isinstance(outcome, Unreachable):
            self._undo(adjustments)
            return {}
        results: dict[str, Refill] = {}
        for one in outcome:
            workspace = one.adjustment.workspace
            if self._take_adjusted(one):
                results[workspace] = Refill.GAINED
            else:
                results.setdefault(workspace, Refill.EXHAUSTED)
        return results

    def _undo(self, adjustments: Sequence[Adjustment]) -> None:
        """Take up again what was not given back, and drop grants never begun."""
        for one in adjustments:
            holding = self.holder.holdings[one.grant]
            if one.delta < 0:
                holding.amount -= one.delta
            else:
                self.holder.drop_unopened(one.grant)

    def _take_adjusted(self, adjusted: Adjusted) -> bool:
        """Take over one outcome; ``True`` if the grant gained tokens."""
        one = adjusted.adjustment
        self.demands[one.workspace].budget = adjusted.budget
        holding = self.holder.holdings.get(one.grant)
        if holding is None:
            return False
        before = holding.free
        self.holder.set_amount(one.grant, adjusted.amount, lost=adjusted.lost_grant)
        gained = holding.free > before
        if adjusted.amount == 0 and one.delta > 0:
            self.holder.drop_unopened(one.grant)
        return gained and one.delta > 0

    # Settling

    async def settle(self, attempt: Attempt, billed: int | None) -> int | None:
        """Note how an attempt ended; returns once its bill is safe.

        Safe means at the witness or in the table. With both out of reach the bill
        stays in this instance's memory alone, which is counted.

        :returns: the tokens billed
        """
        if attempt.state is AttemptState.SETTLED:
            return attempt.billed
        charged = self.holder.settle(attempt.id, billed)
        if billed is None:
            self._pump_soon()
            return None
        if billed != charged:
            log_event("usage-over-bound", Level.ERROR, attempt=attempt.id, used=billed)
        waiter: Deferred[bool] = Deferred()
        self._safe[attempt.id] = waiter
        self._pump_soon()
        safe = await wait_at_most(waiter, SETTLE_SECONDS, self.clock, False)
        self._safe.pop(attempt.id, None)
        if not safe:
            self.unsafe_bills += 1
            log_event("bill-in-one-memory", Level.WARNING, attempt=attempt.id)
        return charged

    def _mark_safe(self, attempt: AttemptId) -> None:
        waiter = self._safe.pop(attempt, None)
        if waiter is not None:
            waiter.callback(True)

    async def _flush(self) -> None:
        """Write the bills of ended attempts to the table in one transaction."""
        attempts = self.holder.unflushed(MOST_BILLS)
        bills = [one.bill for one in attempts if one.bill is not None]
        if bills:
            outcome = await self._platform.run(
                write_segment(self._next_segment(), bills)
            )
            if not isinstance(outcome, Written):
                return
        self.holder.note_flushed(attempts)
        for attempt in attempts:
            self._mark_safe(attempt.id)
        self._send_finished()

    def _send_finished(self) -> None:
        for witness, flushed in self.holder.take_finished():
            self._peers.send(witness, flushed)

    def _next_segment(self) -> str:
        self._segment += 1
        return segment_key(str(self._instance), self._segment)

    # What witnesses answer

    def receive_answer(self, message: WitnessMessage) -> None:
        """Take in a witness's answer."""
        match message:
            case Acknowledge(grant, seqs):
                for attempt in self.holder.acknowledge(grant, seqs):
                    self._fire_acknowledged(attempt.id, True)
            case Refuse(grant):
                for attempt in self.holder.refuse(grant):
                    self._fire_acknowledged(attempt.id, False)
            case Settled(grant, seqs):
                for attempt in self.holder.note_witnessed(grant, seqs):
                    self._mark_safe(attempt.id)
                self._send_finished()
            case SettleRefused(grant, _):
                holding = self.holder.holdings.get(grant)
                if holding is not None:
                    self.holder.begin_close(holding)

    def _fire_acknowledged(self, attempt: AttemptId, ran: bool) -> None:
        waiter = self._acknowledged.pop(attempt, None)
        if waiter is not None and not waiter.called:
            waiter.callback(ran)

    def receive_call(self, message: HolderMessage) -> WitnessMessage | None:
        """Answer a holder, as its witness."""
        return self.witness.receive(message)

    def link_opened(self, peer: InstanceId) -> None:
        """Send a witness again what it has not answered."""
        self.holder.forget_connection(peer)
        self._pump_soon()

    # Maintenance

    async def _maintain(self) -> None:
        self._update_rates()
        async with self._lock:
            if self._unknown:
                await self._learn()
            await self._close_unusable()
            await self._settle_closed()
            if not self._stopping:
                await self._rebalance()

    def _update_rates(self) -> None:
        for demand in self.demands.values():
            demand.rate += RATE_WEIGHT * (demand.spent - demand.rate)
            demand.spent = 0

    async def _close_unusable(self) -> None:
        """Close grants whose witness is gone, and those that were refused."""
        for holding in list(self.holder.holdings.values()):
            if self._is_pending(holding.id):
                continue
            gone = holding.witness is not None and self._peers.is_gone(holding.witness)
            if holding.state is HoldingState.OPEN and gone:
                self._begin_close(holding)
            if holding.state is HoldingState.CLOSING:
                await self._close(holding)

    def _begin_close(self, holding: Holding) -> None:
        for attempt in self.holder.begin_close(holding):
            self._fire_acknowledged(attempt.id, False)

    async def _close(self, holding: Holding) -> bool:
        closing = self.holder.describe_close(holding, self._next_segment())
        settled = list(holding.settled())
        outcome = await self._platform.run(close_grant(closing))
        if not isinstance(outcome, Closed):
            return False
        if not outcome.by_us and not await self._resolve(holding, settled):
            return False
        for attempt in settled:
            self._mark_safe(attempt.id)
        forget = self.holder.note_closed(holding, settled)
        if forget is not None and holding.witness is not None and outcome.by_us:
            self._peers.send(holding.witness, forget)
        return True

    async def _settle_closed(self) -> None:
        """Write ends of attempts that came after their grant was closed."""
        for holding in list(self.holder.holdings.values()):
            if holding.state is not HoldingState.CLOSED:
                continue
            settled = list(holding.settled())
            if settled and await self._resolve(holding, settled):
                for attempt in settled:
                    self._mark_safe(attempt.id)
                self.holder.note_closed(holding, settled)

    async def _resolve(self, holding: Holding, settled: list[Attempt]) -> bool:
        """Settle attempts of a closed grant in the table."""
        resolutions = [Resolution(one.id.seq, one.billed) for one in settled]
        bills = [one.bill for one in settled if one.bill is not None]
        outcome = await self._platform.run(
            resolve_held(
                holding.workspace, holding.id, resolutions, bills, self._next_segment()
            )
        )
        return isinstance(outcome, Resolved)

    async def _rebalance(self) -> None:
        """Refill ahead of need, and return what the policy finds too much."""
        adjustments: list[Adjustment] = []
        for workspace, demand in list(self.demands.items()):
            if demand.budget is None or demand.waiters:
                continue
            delta = self._policy.decide(self._view(workspace, demand, 0))
            if delta > 0:
                holding = self._choose_holding(workspace)
                adjustments.append(self._adjustment(holding, delta))
            elif delta < 0:
                adjustments.extend(self._plan_return(workspace, -delta))
        if adjustments:
            await self._adjust(adjustments[:MOST_ADJUSTMENTS])

    def _plan_return(self, workspace: str, tokens: int) -> list[Adjustment]:
        planned = []
        for holding in self.holder.of_workspace(workspace):
            if self._is_pending(holding.id):
                continue
            given = self.holder.shrink(holding.id, tokens)
            if given:
                planned.append(self._adjustment(holding, -given))
                tokens -= given
        return planned

    # Stopping

    async def hand_back(self, still_running: Callable[[], int]) -> bool:
        """Close all grants, for a planned stop; ``True`` once all are closed.

        :param still_running: tells how many requests have not ended
        """
        self._stopping = True
        if still_running() > 0:
            return False
        await self._flush()
        async with self._lock:
            if self._unknown:
                await self._learn()
            for holding in list(self.holder.holdings.values()):
                self._begin_close(holding)
            await self._close_unusable()
            await self._settle_closed()
        return not self.holder.holdings and not self._unknown
