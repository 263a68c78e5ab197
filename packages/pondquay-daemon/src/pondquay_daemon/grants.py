"""The budget task: reserves, settles, and runs the programs of grants."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING, Any

from returns.result import Failure, Result, Success
from twisted.internet.defer import Deferred, DeferredLock

from pondquay.budgets.holder import Holder
from pondquay.budgets.holdings import Attempt, AttemptState
from pondquay.budgets.manager import MAX_ADJUSTMENTS, GrantManager, RefillResult
from pondquay.budgets.messages import (
    Acknowledge,
    Recall,
    Refuse,
    Settled,
    SettleRefused,
)
from pondquay.budgets.policies import GRANT_POLICIES
from pondquay.budgets.witness import Witness
from pondquay_daemon.logs import Level, log_event
from pondquay_daemon.tasks import Task, sleep, spawn, wait_at_most

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from pondquay.budgets.closer import MaintenanceResult
    from pondquay.budgets.messages import HolderMessage, WitnessMessage
    from pondquay.names import AttemptId, InstanceId, RequestName
    from pondquay_daemon.peers import PeerTask
    from pondquay_daemon.platform import Platform

ACKNOWLEDGE_SECONDS = 1.0
FLUSH_CHECK_SECONDS = 0.25
FLUSH_SECONDS = 2.0
MAINTAIN_SECONDS = 1.0
MAX_TRIES = 4
RECALL_SECONDS = 0.15
# A request waits no longer than this for the table; tokens that come later stay here.
REFILL_SECONDS = 0.2
SETTLE_SECONDS = 2.0


class BudgetRefusal(StrEnum):
    """Why nothing could be reserved.

    ``EXHAUSTED``: the budget cannot bear the request;
    ``UNREACHABLE``: nothing is at hand and the table does not answer
    """

    EXHAUSTED = "exhausted"
    UNREACHABLE = "unreachable"


@dataclass(slots=True)
class _Waiter:
    """A request that waits for tokens."""

    tokens: int
    fired: Deferred[RefillResult] = field(default_factory=Deferred)


class GrantTask(Task):
    """Owns every grant that this instance holds or witnesses.

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
        self._platform = platform
        self._peers = peers
        self.holder = Holder(instance)
        self.manager = GrantManager(self.holder, GRANT_POLICIES.create(policy), peers)
        self.witness = Witness()
        self._lock = DeferredLock()
        self._waiters: dict[str, list[_Waiter]] = {}
        self._acknowledged: dict[AttemptId, Deferred[bool]] = {}
        self._safe: dict[AttemptId, Deferred[bool]] = {}
        self._pump_due = False
        self._refilling = False
        self._stopping = False
        self._list_workspaces: Callable[[], Iterable[str]] = list
        self._flushed_at = 0.0
        self._doubtful: set[AttemptId] = set()
        self.unsafe_bills = 0

    def start(self, list_workspaces: Callable[[], Iterable[str]]) -> None:
        """Begin to flush bills and maintain grants.

        :param list_workspaces: returns the workspaces that have a budget
        """
        self._list_workspaces = list_workspaces
        self.repeat(FLUSH_CHECK_SECONDS, self._flush_if_due)
        self.repeat(MAINTAIN_SECONDS, self._maintain)

    # Reserving

    async def reserve(
        self, request: RequestName, tokens: int, upstream: str, boot: str
    ) -> Result[Attempt, BudgetRefusal]:
        """Reserve tokens; what comes back as an attempt may be dispatched.

        :param tokens: the most that the attempt can cost
        :param boot: the life of the upstream
        """
        self.manager.demands.note(request.workspace, tokens)
        recalled = False
        for _ in range(MAX_TRIES):
            attempt = self.holder.reserve(
                request, tokens, upstream, self.manager.is_usable, boot
            )
            if attempt is None:
                refill = await wait_at_most(
                    self._want(request.workspace, tokens),
                    REFILL_SECONDS,
                    self.clock,
                    RefillResult.UNREACHABLE,
                )
                if refill is RefillResult.EXHAUSTED and not recalled:
                    recalled = True
                    await self._recall(request.workspace, tokens)
                    continue
                if refill is RefillResult.EXHAUSTED:
                    return Failure(BudgetRefusal.EXHAUSTED)
                if refill is RefillResult.UNREACHABLE:
                    return Failure(BudgetRefusal.UNREACHABLE)
                continue
            if attempt.state is AttemptState.ACKNOWLEDGED:
                return Success(attempt)
            if await self._acknowledge(attempt):
                return Success(attempt)
            self.holder.settle(attempt.id, None)
            self._pump_soon()
        return Failure(BudgetRefusal.UNREACHABLE)

    async def _acknowledge(self, attempt: Attempt) -> bool:
        """Wait until the witness knows of an attempt."""
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

    def _want(self, workspace: str, tokens: int) -> Deferred[RefillResult]:
        """Ask for tokens; fires with what came of it."""
        waiter = _Waiter(tokens)
        self._waiters.setdefault(workspace, []).append(waiter)
        if not self._refilling:
            self._refilling = True
            spawn(self._refill(), "GrantTask")
        return waiter.fired

    async def _recall(self, workspace: str, tokens: int) -> None:
        """Ask all peers to give back, and wait a short and bounded time for it."""
        if self._peers.connected():
            self._peers.links.broadcast(Recall(workspace, tokens))
            await sleep(RECALL_SECONDS, self.clock)

    async def _handle_recall(self, recall: Recall) -> None:
        async with self._lock:
            await self._platform.run(self.manager.handle_recall(recall))

    async def _refill(self) -> None:
        try:
            await sleep(0, self.clock)
            while self._waiters:
                await self._refill_once()
        finally:
            self._refilling = False

    async def _refill_once(self) -> None:
        """Ask for what all waiting requests need, in one transaction."""
        async with self._lock:
            waiting = dict(list(self._waiters.items())[:MAX_ADJUSTMENTS])
            for workspace in waiting:
                del self._waiters[workspace]
            wanted = {
                workspace: [one.tokens for one in waiters]
                for workspace, waiters in waiting.items()
            }
            results = await self._platform.run(self.manager.refill(wanted))
        for workspace, waiters in waiting.items():
            for waiter in waiters:
                waiter.fired.callback(results.get(workspace, RefillResult.UNREACHABLE))

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
        self._pump_soon()
        if billed is None:
            return None
        if billed != charged:
            log_event("usage-over-bound", Level.ERROR, attempt=attempt.id, used=billed)
        waiter: Deferred[bool] = Deferred()
        self._safe[attempt.id] = waiter
        if not await wait_at_most(waiter, SETTLE_SECONDS, self.clock, False):
            self.unsafe_bills += 1
            log_event("bill-in-one-memory", Level.WARNING, attempt=attempt.id)
        self._safe.pop(attempt.id, None)
        return charged

    def _mark_safe(self, attempts: list[Attempt]) -> None:
        for attempt in attempts:
            waiter = self._safe.pop(attempt.id, None)
            if waiter is not None:
                waiter.callback(True)

    async def _flush_if_due(self) -> None:
        """Flush at once what no witness keeps, and all else every few seconds.

        What a witness keeps is safe already; flushing it seldom saves table writes.
        """
        now = self.clock.seconds()
        due = now - self._flushed_at >= FLUSH_SECONDS
        doubtful = self.holder.list_unwitnessed()
        if due or doubtful & self._doubtful:
            self._flushed_at = now
            await self._flush()
        self._doubtful = doubtful

    async def _flush(self) -> None:
        self._mark_safe(await self._platform.run(self.manager.flush()))
        self._send_finished()

    def _send_finished(self) -> None:
        for witness, flushed in self.holder.take_finished():
            self._peers.send(witness, flushed)

    # What witnesses answer, and what holders ask

    def receive_response(self, message: WitnessMessage) -> None:
        """Take in a witness's answer."""
        match message:
            case Acknowledge(grant, seqs):
                ready = self.holder.acknowledge(grant, seqs)
                self._fire_acknowledged(ready, True)
            case Refuse(grant):
                self._fire_acknowledged(self.holder.refuse(grant), False)
            case Settled(grant, seqs):
                self._mark_safe(self.holder.note_witnessed(grant, seqs))
                self._send_finished()
            case SettleRefused(grant, _):
                self._fire_acknowledged(self.holder.refuse(grant), False)

    def _fire_acknowledged(self, attempts: list[Attempt], may_run: bool) -> None:
        for attempt in attempts:
            waiter = self._acknowledged.pop(attempt.id, None)
            if waiter is not None:
                waiter.callback(may_run)

    def receive_call(self, message: HolderMessage | Recall) -> WitnessMessage | None:
        """Answer a holder, as its witness."""
        if isinstance(message, Recall):
            spawn(self._handle_recall(message), "GrantTask")
            return None
        return self.witness.receive(message)

    def link_opened(self, peer: InstanceId) -> None:
        """Send a witness again what it has not answered."""
        self.holder.requeue_unconfirmed(peer)
        self._pump_soon()

    # Maintenance and stopping

    async def _maintain(self) -> None:
        self.manager.demands.watch(self._list_workspaces())
        self.manager.demands.update_rates(MAINTAIN_SECONDS)
        async with self._lock:
            maintain = self.manager.maintain(rebalance=not self._stopping)
            self._take_progress(await self._platform.run(maintain))

    def _take_progress(self, progress: MaintenanceResult) -> None:
        self._mark_safe(progress.recorded)
        self._fire_acknowledged(progress.refused, False)
        for witness, forget in progress.notices:
            self._peers.send(witness, forget)

    async def return_unspent(self, still_running: Callable[[], int]) -> bool:
        """Close all grants, for a planned stop; ``True`` once all are closed.

        :param still_running: tells how many requests have not ended
        """
        self._stopping = True
        if still_running() > 0:
            return False
        await self._flush()
        async with self._lock:
            self._take_progress(await self._platform.run(self.manager.close_all()))
        return self.manager.empty
