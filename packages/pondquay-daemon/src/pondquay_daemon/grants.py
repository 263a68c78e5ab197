"""The budget task: reserves and settles tokens and runs grant programs."""

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

ACKNOWLEDGE_TIMEOUT_SECONDS = 1.0
FLUSH_CHECK_INTERVAL_SECONDS = 0.25
FLUSH_INTERVAL_SECONDS = 2.0
MAINTAIN_INTERVAL_SECONDS = 1.0
MAX_RESERVE_ATTEMPTS = 4
# Waits after successive recalls; a peer needs a write of the table to return tokens.
RECALL_WAITS_SECONDS = (0.15, 0.3, 0.6)
SETTLE_TIMEOUT_SECONDS = 2.0


class BudgetRefusal(StrEnum):
    """Why nothing could be reserved.

    ``EXHAUSTED``: the remaining budget does not cover the request;
    ``UNREACHABLE``: the held tokens do not suffice and the table does not respond in
    time, or no witness acknowledges the attempt;
    ``HELD_ELSEWHERE``: the remaining budget covers the request, but running requests or
    peers hold the tokens and have not returned them in time
    """

    EXHAUSTED = "exhausted"
    UNREACHABLE = "unreachable"
    HELD_ELSEWHERE = "held-elsewhere"


@dataclass(slots=True)
class _RefillWaiter:
    """A request that waits for tokens."""

    tokens: int
    refilled: Deferred[RefillResult] = field(default_factory=Deferred)


class GrantTask(Task):
    """Owns every grant that this instance holds or witnesses.

    :param policy: name of the grant policy
    :ivar unrecorded_bills: bills since start that were not recorded in time
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
        self._refill_waiters: dict[str, list[_RefillWaiter]] = {}
        self._acknowledge_waiters: dict[AttemptId, Deferred[bool]] = {}
        self._record_waiters: dict[AttemptId, Deferred[bool]] = {}
        self._send_scheduled = False
        self._refilling = False
        self._stopping = False
        self._list_workspaces: Callable[[], Iterable[str]] = list
        self._flushed_at = 0.0
        self._unwitnessed: set[AttemptId] = set()
        self.unrecorded_bills = 0

    def start(self, list_workspaces: Callable[[], Iterable[str]]) -> None:
        """Start to flush bills and maintain grants.

        :param list_workspaces: returns the workspaces that have a budget
        """
        self._list_workspaces = list_workspaces
        self.repeat(FLUSH_CHECK_INTERVAL_SECONDS, self._flush_if_due)
        self.repeat(MAINTAIN_INTERVAL_SECONDS, self._maintain)

    # Reserving

    async def reserve(
        self, request: RequestName, tokens: int, upstream: str, boot: str
    ) -> Result[Attempt, BudgetRefusal]:
        """Reserve tokens for an attempt, which may be dispatched on success.

        :param tokens: the maximum cost of the attempt
        :param boot: incarnation of the upstream
        """
        self.manager.demands.note(request.workspace, tokens)
        deadline = self._platform.silence.plan_deadline()
        for _ in range(MAX_RESERVE_ATTEMPTS):
            attempt = self.holder.reserve(
                request, tokens, upstream, self.manager.is_usable, boot
            )
            if attempt is None:
                refusal = await self._obtain_tokens(request.workspace, tokens, deadline)
                if refusal is not None:
                    return Failure(refusal)
                continue
            if attempt.state is AttemptState.ACKNOWLEDGED:
                return Success(attempt)
            if await self._request_acknowledgement(attempt):
                return Success(attempt)
            self.holder.settle(attempt.id, None)
            self._schedule_send()
        return Failure(BudgetRefusal.UNREACHABLE)

    async def _obtain_tokens(
        self, workspace: str, tokens: int, deadline: float
    ) -> BudgetRefusal | None:
        """Refill the grant for a request; recall tokens of peers if too few are free.

        :param deadline: time until which the request may wait for the table, in seconds
        :returns: the reason if the request cannot be served, ``None`` if a grant has
            changed
        """
        for seconds in (*RECALL_WAITS_SECONDS, None):
            # Tokens that arrive after the wait are kept.
            refill = await self._platform.silence.wait(
                self._request_refill(workspace, tokens), deadline
            )
            if refill is None or refill is RefillResult.UNREACHABLE:
                return BudgetRefusal.UNREACHABLE
            if refill is not RefillResult.EXHAUSTED:
                return None
            if not self.manager.may_cover(workspace, tokens):
                return BudgetRefusal.EXHAUSTED
            if seconds is None or self.clock.seconds() + seconds >= deadline:
                break
            if self._peers.connected():
                self._peers.links.broadcast(Recall(workspace, tokens))
                await sleep(seconds, self.clock)
        log_event("tokens-held", Level.WARNING, workspace=workspace, tokens=tokens)
        return BudgetRefusal.HELD_ELSEWHERE

    async def _request_acknowledgement(self, attempt: Attempt) -> bool:
        """Return whether the witness acknowledges an attempt in time."""
        waiter: Deferred[bool] = Deferred()
        self._acknowledge_waiters[attempt.id] = waiter
        self._schedule_send()
        try:
            return await wait_at_most(
                waiter, ACKNOWLEDGE_TIMEOUT_SECONDS, self.clock, False
            )
        finally:
            self._acknowledge_waiters.pop(attempt.id, None)

    def _schedule_send(self) -> None:
        """Schedule one batch of all unsent messages for the next reactor iteration."""
        if not self._send_scheduled:
            self._send_scheduled = True
            self.clock.callLater(0, self._send_messages)

    def _send_messages(self) -> None:
        self._send_scheduled = False
        for witness in self._peers.connected():
            for message in self.holder.take_messages(witness):
                self._peers.send(witness, message)

    # Refilling

    def _request_refill(self, workspace: str, tokens: int) -> Deferred[RefillResult]:
        """Request tokens; the deferred fires with the result of the refill."""
        waiter = _RefillWaiter(tokens)
        self._refill_waiters.setdefault(workspace, []).append(waiter)
        if not self._refilling:
            self._refilling = True
            spawn(self._refill(), "GrantTask")
        return waiter.refilled

    async def _handle_recall(self, recall: Recall) -> None:
        async with self._lock:
            await self._platform.run(self.manager.handle_recall(recall))

    async def _refill(self) -> None:
        try:
            await sleep(0, self.clock)
            while self._refill_waiters:
                await self._refill_once()
        finally:
            self._refilling = False

    async def _refill_once(self) -> None:
        """Request tokens for waiting requests in one transaction.

        It covers up to ``MAX_ADJUSTMENTS`` workspaces.
        """
        async with self._lock:
            waiting = dict(list(self._refill_waiters.items())[:MAX_ADJUSTMENTS])
            for workspace in waiting:
                del self._refill_waiters[workspace]
            requested = {
                workspace: [queued.tokens for queued in waiters]
                for workspace, waiters in waiting.items()
            }
            results = await self._platform.run(self.manager.refill(requested))
        for workspace, waiters in waiting.items():
            for waiter in waiters:
                waiter.refilled.callback(
                    results.get(workspace, RefillResult.UNREACHABLE)
                )

    # Settling

    async def settle(self, attempt: Attempt, used: int | None) -> int | None:
        """Settle an attempt and wait until its bill is recorded.

        A bill is recorded once the witness or the table has it. If neither has it
        within ``SETTLE_TIMEOUT_SECONDS``, the bill is counted in ``unrecorded_bills``
        and remains in this instance's memory until it can be written.

        :param used: the tokens used, ``None`` if nothing is to be billed
        :returns: the tokens billed, ``None`` if nothing is billed
        """
        if attempt.state is AttemptState.SETTLED:
            return attempt.billed
        charged = self.holder.settle(attempt.id, used)
        self._schedule_send()
        if used is None:
            return None
        if used != charged:
            log_event("usage-over-bound", Level.ERROR, attempt=attempt.id, used=used)
        waiter: Deferred[bool] = Deferred()
        self._record_waiters[attempt.id] = waiter
        if not await wait_at_most(waiter, SETTLE_TIMEOUT_SECONDS, self.clock, False):
            self.unrecorded_bills += 1
            log_event("bill-in-one-memory", Level.WARNING, attempt=attempt.id)
        self._record_waiters.pop(attempt.id, None)
        return charged

    def _mark_recorded(self, attempts: list[Attempt]) -> None:
        for attempt in attempts:
            waiter = self._record_waiters.pop(attempt.id, None)
            if waiter is not None:
                waiter.callback(True)

    async def _flush_if_due(self) -> None:
        """Flush if a bill had no witness at two checks in a row, or after an interval.

        Bills that a witness has are safe, so less frequent flushes save table writes.
        """
        now = self.clock.seconds()
        due = now - self._flushed_at >= FLUSH_INTERVAL_SECONDS
        unwitnessed = self.holder.list_unwitnessed()
        if due or unwitnessed & self._unwitnessed:
            self._flushed_at = now
            await self._flush()
        self._unwitnessed = unwitnessed

    async def _flush(self) -> None:
        self._mark_recorded(await self._platform.run(self.manager.flush()))
        self._send_finished()

    def _send_finished(self) -> None:
        for witness, flushed in self.holder.take_finished():
            self._peers.send(witness, flushed)

    # Messages of witnesses and holders

    def receive_response(self, message: WitnessMessage) -> None:
        """Process a witness's response."""
        match message:
            case Acknowledge(grant, seqs):
                ready = self.holder.acknowledge(grant, seqs)
                self._fire_acknowledged(ready, True)
            case Refuse(grant):
                self._fire_acknowledged(self.holder.refuse(grant), False)
            case Settled(grant, seqs):
                self._mark_recorded(self.holder.note_witnessed(grant, seqs))
                self._send_finished()
            case SettleRefused(grant, _):
                self._fire_acknowledged(self.holder.refuse(grant), False)

    def _fire_acknowledged(self, attempts: list[Attempt], may_run: bool) -> None:
        for attempt in attempts:
            waiter = self._acknowledge_waiters.pop(attempt.id, None)
            if waiter is not None:
                waiter.callback(may_run)

    def receive_call(self, message: HolderMessage | Recall) -> WitnessMessage | None:
        """Return the witness's response to a holder, or start to handle a recall."""
        if isinstance(message, Recall):
            spawn(self._handle_recall(message), "GrantTask")
            return None
        return self.witness.receive(message)

    def link_opened(self, peer: InstanceId) -> None:
        """Resend the messages that a witness has not acknowledged."""
        self.holder.requeue_unconfirmed(peer)
        self._schedule_send()

    # Maintenance and stopping

    async def _maintain(self) -> None:
        self.manager.demands.watch(self._list_workspaces())
        self.manager.demands.update_rates(MAINTAIN_INTERVAL_SECONDS)
        async with self._lock:
            maintain = self.manager.maintain(rebalance=not self._stopping)
            self._apply_maintenance(await self._platform.run(maintain))

    def _apply_maintenance(self, result: MaintenanceResult) -> None:
        self._mark_recorded(result.recorded)
        self._fire_acknowledged(result.refused, False)
        for witness, forget in result.notices:
            self._peers.send(witness, forget)

    async def return_unspent(self, count_running: Callable[[], int]) -> bool:
        """Close all grants for a planned stop; return ``True`` once all are closed.

        No grant is closed while requests are in progress.

        :param count_running: returns the number of requests in progress
        """
        self._stopping = True
        if count_running() > 0:
            return False
        await self._flush()
        async with self._lock:
            self._apply_maintenance(await self._platform.run(self.manager.close_all()))
        return self.manager.empty
