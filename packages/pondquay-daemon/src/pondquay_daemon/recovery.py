"""The recovery task: what dead peers left behind, and attempts lost sight of."""

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
from pondquay_daemon.tasks import Task, wait_at_most

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

SWEEP_SECONDS = 0.5
SEARCH_SECONDS = 5.0
FOLD_SECONDS = 2.0
ORPHAN_SECONDS = 5.0
FOLD = "fold"
MAX_FOLDS = 20
REPORT_SECONDS = 2.0
RETRY_SECONDS = 1
MAX_RESUMES = 3


@dataclass(frozen=True, slots=True)
class _Found:
    """A running attempt that a dead peer left, and the witness that knows of it."""

    witness: InstanceId | None
    attempt: AttemptId
    upstream: str
    stream: str


class Recovery(Task):
    """Seals the grants of dead peers, resolves what they left, and folds bills."""

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
        self._lost: dict[AttemptId, tuple[Attempt, str]] = {}
        self._reports: dict[AttemptId, Deferred[bool]] = {}
        self._segment = 0
        self._searched: dict[InstanceId, float] = {}
        self._fold_lease = Lease(FOLD, str(instance))

    def start(self) -> None:
        """Look after what others left from now on."""
        self.repeat(SWEEP_SECONDS, self._sweep)
        self.repeat(FOLD_SECONDS, self._fold)
        self.repeat(ORPHAN_SECONDS, self._adopt_orphans)

    @property
    def _witness(self) -> Witness:
        return self._grants.witness

    async def _fold(self) -> None:
        """Fold bills, if the lease says that this instance does it for all."""
        await self._platform.run(self._fold_lease.renew(self.clock.seconds()))
        if not self._fold_lease.held:
            return
        for _ in range(MAX_FOLDS):
            folded = await self._platform.run(fold_segments())
            if isinstance(folded, Unreachable) or folded.segments == 0:
                return

    # Own attempts lost sight of

    def watch(self, attempt: Attempt, upstream: str) -> None:
        """Keep asking for the end of an attempt that may have run."""
        self._lost[attempt.id] = (attempt, upstream)

    async def _ask_lost(self) -> None:
        for attempt, name in list(self._lost.values()):
            upstream = self._upstreams.known.get(name)
            if upstream is None:
                continue
            response = await self._engines.cancel(upstream.url, attempt.stream)
            status = response.seen_from(attempt.boot)
            if status.state is StreamState.FINISHED:
                await self._grants.settle(attempt, status.tokens)
            elif status.state is StreamState.CANCELLED:
                await self._grants.settle(attempt, None)
            else:
                continue
            self._lost.pop(attempt.id, None)

    # Grants of dead peers

    async def _sweep(self) -> None:
        await self._ask_lost()
        for grant in self.succession.seal_unresponsive():
            log_event("grant-sealed", grant=grant)
        await self._search_unheard()
        for sealed in list(self.succession.sealed.values()):
            known = self._witness.grants.get(sealed.id)
            if known is not None and sealed.closed:
                await self._ask_open(known)
            await self._platform.run(self.succession.close_sealed(sealed))

    async def _search_unheard(self) -> None:
        """Look in the table for grants of silent holders that name us as witness."""
        now = self._peers.now()
        suspects = self._peers.table.suspects(now)
        self._searched = {
            one: at for one, at in self._searched.items() if one in suspects
        }
        for holder in suspects:
            if now - self._searched.get(holder, -SEARCH_SECONDS) < SEARCH_SECONDS:
                continue
            self._searched[holder] = now
            await self._platform.run(self.succession.seal_unknown_grants(holder))

    async def _ask_open(self, grant: WitnessedGrant) -> None:
        """Ask engines what became of attempts whose holder is dead."""
        for seq, intent in list(grant.open.items()):
            upstream = self._upstreams.known.get(intent.upstream)
            if upstream is None or upstream.kind != ENGINE:
                continue
            status = await self._ask_end(upstream.url, intent.stream, intent.boot)
            attempt = AttemptId(grant.id, seq)
            if status.state is StreamState.FINISHED:
                billed = min(status.tokens, intent.reserve)
                self._witness.resolve(attempt, intent.request, billed)
            elif status.state is StreamState.CANCELLED:
                self._witness.resolve(attempt, intent.request, None)

    async def _ask_end(self, url: str, stream: str, boot: str) -> StreamStatus:
        """Ask for the end of a stream; one that never arrived is cancelled for good.

        A stream that runs is left alone: its caller may still ask for its answer.
        """
        status = await self._engines.ask(url, stream)
        if status.state is StreamState.UNKNOWN and status.boot == boot:
            status = await self._engines.cancel(url, stream)
        return status.seen_from(boot)

    # Grants that nobody looks after

    async def _adopt_orphans(self) -> None:
        """Resolve what stands in rows of closed grants whose holders are gone.

        That is an attempt that ran on while its holder closed the grant, as its witness
        was gone, before the holder died as well.
        """
        if not self._fold_lease.held:
            return
        grants = await self._platform.run(list_grants())
        if isinstance(grants, Unreachable):
            return
        for standing in grants:
            sealed = standing.row.state is GrantState.SEALED
            holder = standing.grant.holder
            if (
                sealed
                and holder != self._instance
                and self._peers.is_presumed_dead(holder)
            ):
                await self._resolve_orphan(standing)

    async def _resolve_orphan(self, standing: StoredGrant) -> None:
        resolutions = []
        bills = []
        for number, held in standing.row.held.items():
            upstream = self._upstreams.known.get(held.upstream)
            if upstream is None or upstream.kind != ENGINE:
                continue
            status = await self._ask_end(upstream.url, held.stream, held.boot)
            attempt = AttemptId(standing.grant, int(number))
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
            workspace = standing.row.workspace
            await self._platform.run(
                resolve_held(workspace, standing.grant, resolutions, bills, segment)
            )

    # Callers that ask again after their instance died

    def answer_question(
        self, question: FindRequest, found: FoundRequest, running: bool
    ) -> FoundRequest:
        """Fill in the answer to a peer that looks for a request."""
        if running:
            return replace(found, holder_alive=True)
        attempts = self._witness.find_request(question.request)
        if not attempts:
            return found
        newest = attempts[-1]
        return replace(
            found,
            attempt=AttemptId(newest.grant, newest.intent.seq),
            upstream=newest.intent.upstream,
            stream=newest.intent.stream,
            reserve=newest.intent.reserve,
            holder_alive=self._peers.is_usable(newest.holder),
        )

    async def take_over(
        self, call: CompletionCall, sink: FrameSink
    ) -> CachedResponse | Refusal | None:
        """Pass on the answer of an attempt whose instance died.

        :returns: ``None`` if there is no such attempt, or it turned out not to run
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
        await self._report_end(found, call.request, tokens)
        sink.pass_on(last)
        log_event("request-taken-over", request=call.request, attempt=found.attempt)
        return CachedResponse(call.content, tokens, tuple(response.frames))

    async def _find_attempt(self, request: RequestName) -> _Found | Refusal | None:
        own = self._witness.find_request(request)
        if own and not self._peers.is_usable(own[-1].holder):
            newest = own[-1]
            attempt = AttemptId(newest.grant, newest.intent.seq)
            return _Found(None, attempt, newest.intent.upstream, newest.intent.stream)
        found = await self._peers.find_request(request)
        if own or any(response.holder_alive for _, response in found):
            return Refusal(
                RefusalCode.REQUEST_RUNNING,
                "a request with this key is running at another instance",
                Outcome.UNKNOWN,
                RETRY_SECONDS,
            )
        for peer, response in found:
            if response.attempt is not None:
                return _Found(
                    peer, response.attempt, response.upstream, response.stream
                )
        return None

    async def _replay(self, url: str, response: Response, sink: FrameSink) -> None:
        def add_frame(frame: Frame) -> None:
            response.add_frame(frame)
            if response.frames and response.frames[-1] is frame and not frame.finish:
                sink.pass_on(frame)

        for _ in range(MAX_RESUMES):
            try:
                await self._engines.resume(
                    url, response.stream, response.next_offset, add_frame
                )
            except (RefusedError, MayHaveRunError):
                return
            if response.complete:
                return

    async def _report_end(
        self, found: _Found, request: RequestName, tokens: int
    ) -> None:
        """Have the bill of a taken-over attempt noted by the witness that knows it."""
        if found.witness is None:
            self._witness.resolve(found.attempt, request, tokens)
            return
        settlement = Settlement(found.attempt.seq, request, tokens)
        waiter: Deferred[bool] = Deferred()
        self._reports[found.attempt] = waiter
        self._peers.send(
            found.witness,
            Settle(found.attempt.grant, request.workspace, (settlement,)),
        )
        if not await wait_at_most(waiter, REPORT_SECONDS, self.clock, False):
            log_event("report-unanswered", Level.WARNING, attempt=found.attempt)
        self._reports.pop(found.attempt, None)

    def note_settled(self, grant: GrantId, seqs: tuple[int, ...]) -> None:
        """Learn that a witness noted the ends of attempts."""
        for seq in seqs:
            waiter = self._reports.pop(AttemptId(grant, seq), None)
            if waiter is not None:
                waiter.callback(True)
