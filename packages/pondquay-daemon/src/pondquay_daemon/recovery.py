"""The recovery task: grants of dead peers and attempts with an unknown outcome."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred

from pondquay.billing.bills import make_bill, segment_key
from pondquay.billing.fold import fold_segments
from pondquay.budgets.closings import Resolution, resolve_held
from pondquay.budgets.messages import Settle, Settlement
from pondquay.budgets.programs import list_grants
from pondquay.budgets.rows import GrantState
from pondquay.budgets.succession import Succession
from pondquay.membership.leases import Lease
from pondquay.names import AttemptId, RequestName
from pondquay.requests.lifecycle import Outcome
from pondquay.routing.upstreams import ENGINE
from pondquay.streams import Frame, Response
from pondquay.tables import Unreachable
from pondquay_daemon.calls import (
    CachedResponse,
    CompletionCall,
    FrameSink,
    Refusal,
    RefusalCode,
)
from pondquay_daemon.engines import StreamState, StreamStatus
from pondquay_daemon.errors import MayHaveRunError, RefusedError
from pondquay_daemon.logs import Level, log_event
from pondquay_daemon.tasks import Task, read_arrived, wait_at_most

if TYPE_CHECKING:
    from pondquay.budgets.holdings import Attempt
    from pondquay.budgets.programs import StoredGrant
    from pondquay.budgets.witness import Witness, WitnessedGrant
    from pondquay.membership.messages import FindRequest, FoundRequest
    from pondquay.names import GrantId, InstanceId
    from pondquay_daemon.engines import Engines
    from pondquay_daemon.grants import GrantTask
    from pondquay_daemon.peers import PeerTask
    from pondquay_daemon.platform import Platform
    from pondquay_daemon.upstreams import Upstreams

SWEEP_INTERVAL_SECONDS = 0.5
SEARCH_INTERVAL_SECONDS = 5.0
FOLD_INTERVAL_SECONDS = 2.0
ORPHAN_INTERVAL_SECONDS = 5.0
FOLD_LEASE = "fold"
MAX_FOLDS = 20
REPORT_TIMEOUT_SECONDS = 2.0
RETRY_SECONDS = 1
MAX_RESUMES = 3


@dataclass(frozen=True, slots=True)
class _FoundAttempt:
    """An attempt of a dead peer.

    :param witness: the peer that witnesses the attempt, ``None`` for this instance
    """

    witness: InstanceId | None
    attempt: AttemptId
    upstream: str
    stream: str


class Recovery(Task):
    """Seals grants of dead peers, resolves their attempts, and folds bills.

    Folding moves stored segments of bills into the ledger.
    """

    def __init__(
        self,
        reactor: Any,
        instance: InstanceId,
        platform: Platform,
        peers: PeerTask,
        grants: GrantTask,
        upstreams: Upstreams,
        engines: Engines,
    ) -> None:
        super().__init__(reactor)
        self._instance = instance
        self._platform = platform
        self._peers = peers
        self._grants = grants
        self._upstreams = upstreams
        self._engines = engines
        self.succession = Succession(instance, grants.witness, peers)
        self._unresolved: dict[AttemptId, tuple[Attempt, str]] = {}
        self._report_waiters: dict[AttemptId, Deferred[bool]] = {}
        self._segment = 0
        self._searched_at: dict[InstanceId, float] = {}
        self._fold_lease = Lease(FOLD_LEASE, str(instance))

    def start(self) -> None:
        """Start to resolve attempts of dead peers and to fold bills."""
        self.repeat(SWEEP_INTERVAL_SECONDS, self._sweep)
        self.repeat(FOLD_INTERVAL_SECONDS, self._fold)
        self.repeat(ORPHAN_INTERVAL_SECONDS, self._resolve_orphans)

    @property
    def _witness(self) -> Witness:
        return self._grants.witness

    async def _fold(self) -> None:
        """Fold bills into the ledger if this instance holds the fold lease."""
        await self._platform.run(self._fold_lease.renew(self.clock.seconds()))
        if not self._fold_lease.held:
            return
        for _ in range(MAX_FOLDS):
            folded = await self._platform.run(fold_segments())
            if isinstance(folded, Unreachable) or folded.segments == 0:
                return

    # Attempts of this instance with an unknown outcome

    def track_unresolved(self, attempt: Attempt, upstream: str) -> None:
        """Register an attempt to be cancelled repeatedly until its outcome is known."""
        self._unresolved[attempt.id] = (attempt, upstream)

    async def _cancel_unresolved(self) -> None:
        for attempt, name in list(self._unresolved.values()):
            upstream = self._upstreams.known.get(name)
            if upstream is None:
                continue
            response = await self._engines.cancel(upstream.url, attempt.stream)
            status = response.for_boot(attempt.boot)
            if status.state is StreamState.FINISHED:
                await self._grants.settle(attempt, status.tokens)
            elif status.state is StreamState.CANCELLED:
                await self._grants.settle(attempt, None)
            else:
                continue
            self._unresolved.pop(attempt.id, None)

    # Grants of dead peers

    async def _sweep(self) -> None:
        # Peers whose heartbeats wait after a stall of this process are not suspected.
        await read_arrived(self.clock)
        await self._cancel_unresolved()
        for grant in self.succession.seal_unresponsive():
            log_event("grant-sealed", grant=grant)
        await self._search_unknown_grants()
        for sealed in list(self.succession.sealed.values()):
            known = self._witness.grants.get(sealed.id)
            if known is not None and sealed.closed:
                await self._query_open_attempts(known)
            await self._platform.run(self.succession.close_sealed(sealed))

    async def _search_unknown_grants(self) -> None:
        """Seal grants of suspected holders that name this instance as their witness.

        They are read from the table, since a holder may have crashed before it
        contacted this instance.
        """
        now = self._peers.now()
        suspects = self._peers.table.suspects(now)
        self._searched_at = {
            suspect: searched_at
            for suspect, searched_at in self._searched_at.items()
            if suspect in suspects
        }
        for holder in suspects:
            if (
                now - self._searched_at.get(holder, -SEARCH_INTERVAL_SECONDS)
                < SEARCH_INTERVAL_SECONDS
            ):
                continue
            self._searched_at[holder] = now
            await self._platform.run(self.succession.seal_unknown_grants(holder))

    async def _query_open_attempts(self, grant: WitnessedGrant) -> None:
        """Record the outcomes that engines report for a dead holder's open attempts."""
        for seq, intent in list(grant.open.items()):
            upstream = self._upstreams.known.get(intent.upstream)
            if upstream is None or upstream.kind != ENGINE:
                continue
            status = await self._query_final_status(
                upstream.url, intent.stream, intent.boot
            )
            attempt = AttemptId(grant.id, seq)
            if status.state is StreamState.FINISHED:
                billed = min(status.tokens, intent.reserve)
                self._witness.resolve(attempt, intent.request, billed)
            elif status.state is StreamState.CANCELLED:
                self._witness.resolve(attempt, intent.request, None)

    async def _query_final_status(
        self, url: str, stream: str, boot: str
    ) -> StreamStatus:
        """Return the status of a stream, and cancel it if it never arrived.

        A running stream isn't cancelled, since its caller may retry to
        fetch the response.
        """
        status = await self._engines.query_status(url, stream)
        if status.state is StreamState.UNKNOWN and status.boot == boot:
            status = await self._engines.cancel(url, stream)
        return status.for_boot(boot)

    # Attempts left in sealed grants

    async def _resolve_orphans(self) -> None:
        """Resolve the attempts in sealed grants whose holders are dead.

        These attempts were running when their grant was sealed, and their holder died
        before it recorded their outcomes. The instance with the fold lease does this.
        """
        if not self._fold_lease.held:
            return
        await read_arrived(self.clock)
        grants = await self._platform.run(list_grants())
        if isinstance(grants, Unreachable):
            return
        for stored in grants:
            sealed = stored.row.state is GrantState.SEALED
            holder = stored.grant.holder
            if (
                sealed
                and holder != self._instance
                and self._peers.is_presumed_dead(holder)
            ):
                await self._resolve_held_attempts(stored)

    async def _resolve_held_attempts(self, stored: StoredGrant) -> None:
        resolutions = []
        bills = []
        for number, held in stored.row.held.items():
            upstream = self._upstreams.known.get(held.upstream)
            if upstream is None or upstream.kind != ENGINE:
                continue
            status = await self._query_final_status(
                upstream.url, held.stream, held.boot
            )
            attempt = AttemptId(stored.grant, int(number))
            if status.state is StreamState.FINISHED:
                tokens = min(status.tokens, held.reserve)
                resolutions.append(Resolution(attempt.seq, tokens))
                request = RequestName.parse(held.request)
                bills.append(make_bill(request, attempt, tokens))
            elif status.state is StreamState.CANCELLED:
                resolutions.append(Resolution(attempt.seq, None))
        if resolutions:
            self._segment += 1
            segment = segment_key(f"{self._instance}-orphans", self._segment)
            workspace = stored.row.workspace
            await self._platform.run(
                resolve_held(workspace, stored.grant, resolutions, bills, segment)
            )

    # Retries of callers whose instance died

    def fill_response(
        self, query: FindRequest, response: FoundRequest, running: bool
    ) -> FoundRequest:
        """Return the response to a peer's query for a request.

        :param response: an empty response
        :param running: whether this instance runs the request
        """
        if running:
            return replace(response, holder_alive=True)
        attempts = self._witness.find_request(query.request)
        if not attempts:
            return response
        newest = attempts[-1]
        return replace(
            response,
            attempt=AttemptId(newest.grant, newest.intent.seq),
            upstream=newest.intent.upstream,
            stream=newest.intent.stream,
            reserve=newest.intent.reserve,
            holder_alive=self._peers.is_usable(newest.holder),
        )

    async def take_over(
        self, call: CompletionCall, sink: FrameSink
    ) -> CachedResponse | Refusal | None:
        """Take over a request whose instance died, and forward its response.

        :returns: ``None`` if nothing was forwarded and the request may run here
        """
        found = await self._find_attempt(call.request)
        if isinstance(found, Refusal) or found is None:
            return found
        upstream = self._upstreams.known.get(found.upstream)
        if upstream is None:
            return None
        response = Response(found.stream)
        await self._replay(upstream.url, response, sink)
        if not response.complete:
            if not response.frames and call.repeatable:
                return None
            return Refusal(
                RefusalCode.OUTCOME_UNKNOWN,
                "the request runs or ran, and its answer cannot be had now",
                Outcome.UNKNOWN,
                RETRY_SECONDS,
            )
        last = response.frames[-1]
        tokens = last.prompt_tokens + last.output_tokens
        await self._report_settlement(found, call.request, tokens)
        sink.forward(last)
        log_event("request-taken-over", request=call.request, attempt=found.attempt)
        return CachedResponse(call.content_digest, tokens, tuple(response.frames))

    async def _find_attempt(
        self, request: RequestName
    ) -> _FoundAttempt | Refusal | None:
        witnessed = self._witness.find_request(request)
        if witnessed and not self._peers.is_usable(witnessed[-1].holder):
            newest = witnessed[-1]
            attempt = AttemptId(newest.grant, newest.intent.seq)
            return _FoundAttempt(
                None, attempt, newest.intent.upstream, newest.intent.stream
            )
        found = await self._peers.find_request(request)
        if witnessed or any(response.holder_alive for _, response in found):
            return Refusal(
                RefusalCode.REQUEST_RUNNING,
                "a request with this key is running at another instance",
                Outcome.UNKNOWN,
                RETRY_SECONDS,
            )
        for peer, response in found:
            if response.attempt is not None:
                return _FoundAttempt(
                    peer, response.attempt, response.upstream, response.stream
                )
        return None

    async def _replay(self, url: str, response: Response, sink: FrameSink) -> None:
        def on_frame(frame: Frame) -> None:
            response.add_frame(frame)
            if response.frames and response.frames[-1] is frame and not frame.finish:
                sink.forward(frame)

        for _ in range(MAX_RESUMES):
            try:
                await self._engines.resume(
                    url, response.stream, response.next_offset, on_frame
                )
            except (RefusedError, MayHaveRunError):
                return
            if response.complete:
                return

    async def _report_settlement(
        self, found: _FoundAttempt, request: RequestName, tokens: int
    ) -> None:
        """Record the bill of a taken-over attempt at the attempt's witness."""
        if found.witness is None:
            self._witness.resolve(found.attempt, request, tokens)
            return
        settlement = Settlement(found.attempt.seq, request, tokens)
        waiter: Deferred[bool] = Deferred()
        self._report_waiters[found.attempt] = waiter
        self._peers.send(
            found.witness,
            Settle(found.attempt.grant, request.workspace, (settlement,)),
        )
        if not await wait_at_most(waiter, REPORT_TIMEOUT_SECONDS, self.clock, False):
            log_event("report-unanswered", Level.WARNING, attempt=found.attempt)
        self._report_waiters.pop(found.attempt, None)

    def note_settled(self, grant: GrantId, seqs: tuple[int, ...]) -> None:
        """End the wait for settlements that a witness has recorded."""
        for seq in seqs:
            waiter = self._report_waiters.pop(AttemptId(grant, seq), None)
            if waiter is not None:
                waiter.callback(True)
