"""The recovery task: what dead peers left behind, and attempts lost sight of."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred

from pondquay.billing.bills import segment_key
from pondquay.billing.fold import fold_segments
from pondquay.budgets.messages import Settle, Settlement
from pondquay.budgets.programs import (
    Closed,
    Resolution,
    Resolved,
    close_grant,
    resolve_held,
)
from pondquay.budgets.rows import GrantState, holder_prefix, load_grant, parse_grant_key
from pondquay.names import AttemptId
from pondquay.requests.lifecycle import Outcome
from pondquay.streams import Answer, Frame
from pondquay.tables import Unreachable, read_rows
from pondquay_daemon.calls import (
    CompletionCall,
    FrameSink,
    KeptAnswer,
    Refusal,
    RefusalCode,
)
from pondquay_daemon.engines import StreamState
from pondquay_daemon.errors import MayHaveRunError, RefusedError
from pondquay_daemon.logs import Level, log_event
from pondquay_daemon.tasks import Task, wait_at_most

if TYPE_CHECKING:
    from pondquay.budgets.holder import Attempt
    from pondquay.budgets.witness import Witness, WitnessedGrant
    from pondquay.membership.messages import FindRequest, FoundRequest
    from pondquay.names import GrantId, InstanceId, RequestName
    from pondquay_daemon.engines import Engines
    from pondquay_daemon.peers import PeerTask
    from pondquay_daemon.platform import Platform
    from pondquay_daemon.treasury import Treasury
    from pondquay_daemon.upstreams import Upstreams

SWEEP_SECONDS = 0.5
FOLD_SECONDS = 2.0
REPORT_SECONDS = 2.0
RETRY_SECONDS = 1
MOST_RESUMES = 3


@dataclass(slots=True)
class _Sealed:
    """A sealed grant on its way out.

    :param closed: its remainder is back in the budget
    :param held: attempts that the table still holds, by sequence
    """

    closed: bool = False
    held: set[int] = field(default_factory=set)


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
        treasury: Treasury,
        upstreams: Upstreams,
        engines: Engines,
    ) -> None:
        super().__init__(reactor)
        self._instance = instance
        self._platform = platform
        self._peers = peers
        self._treasury = treasury
        self._upstreams = upstreams
        self._engines = engines
        self._sealed: dict[GrantId, _Sealed] = {}
        self._searched: set[InstanceId] = set()
        self._lost: dict[AttemptId, tuple[Attempt, str]] = {}
        self._reports: dict[AttemptId, Deferred[bool]] = {}
        self._segment = 0

    def start(self) -> None:
        """Look after what others left from now on."""
        self.repeat(SWEEP_SECONDS, self._sweep)
        self.repeat(FOLD_SECONDS, self._fold)

    @property
    def _witness(self) -> Witness:
        return self._treasury.witness

    def _next_segment(self) -> str:
        self._segment += 1
        return segment_key(f"{self._instance}-recovery", self._segment)

    async def _fold(self) -> None:
        await self._platform.run(fold_segments())

    # Own attempts lost sight of

    def watch(self, attempt: Attempt, upstream: str) -> None:
        """Keep asking for the end of an attempt that may have run."""
        self._lost[attempt.id] = (attempt, upstream)

    async def _ask_lost(self) -> None:
        for attempt, name in list(self._lost.values()):
            upstream = self._upstreams.known.get(name)
            if upstream is None:
                continue
            status = await self._engines.cancel(upstream.url, attempt.stream)
            if status.state is StreamState.FINISHED:
                await self._treasury.settle(attempt, status.tokens)
            elif status.state is StreamState.CANCELLED:
                await self._treasury.settle(attempt, None)
            else:
                continue
            self._lost.pop(attempt.id, None)

    # Grants of dead peers

    async def _sweep(self) -> None:
        await self._ask_lost()
        self._seal_silent()
        for holder in self._silent_holders():
            await self._seal_unheard(holder)
        for grant_id, sealed in list(self._sealed.items()):
            grant = self._witness.grants.get(grant_id)
            if grant is None:
                del self._sealed[grant_id]
                continue
            await self._wind_up(grant, sealed)

    def _silent_holders(self) -> list[InstanceId]:
        now = self._peers.now()
        return [one for one in self._peers.table.suspects(now)]

    def _seal_silent(self) -> None:
        """Seal the grants of holders that are silent; a wrong guess does no harm."""
        for holder in self._witness.holders():
            if not self._peers.is_gone(holder):
                continue
            for grant in self._witness.of_holder(holder):
                if grant.id not in self._sealed:
                    self._begin_seal(grant.id, grant.workspace)

    def _begin_seal(self, grant: GrantId, workspace: str) -> None:
        self._witness.seal(grant, workspace)
        self._sealed[grant] = _Sealed()
        log_event("grant-sealed", grant=grant, workspace=workspace)

    async def _seal_unheard(self, holder: InstanceId) -> None:
        """Seal grants that name us as witness and of which we never heard."""
        if holder in self._searched:
            return
        rows = await self._platform.run(read_rows(prefixes=(holder_prefix(holder),)))
        if isinstance(rows, Unreachable):
            return
        self._searched.add(holder)
        for row in rows.starting(holder_prefix(holder)):
            grant = load_grant(row)
            grant_id = parse_grant_key(row.key)
            if grant is None or grant.witness_id != self._instance:
                continue
            if grant.state is GrantState.OPEN and grant_id not in self._sealed:
                self._begin_seal(grant_id, grant.workspace)

    async def _wind_up(self, grant: WitnessedGrant, sealed: _Sealed) -> None:
        """Bring a sealed grant one step further: close, resolve, forget."""
        if not sealed.closed and not await self._close(grant, sealed):
            return
        await self._ask_open(grant)
        ended = {seq for seq in sealed.held if grant.has_ended(seq)}
        if ended and await self._resolve(grant, ended):
            sealed.held -= ended
        if not sealed.held:
            self._witness.drop(grant.id)
            self._sealed.pop(grant.id, None)

    async def _close(self, grant: WitnessedGrant, sealed: _Sealed) -> bool:
        closing = self._witness.describe_close(grant, self._next_segment())
        outcome = await self._platform.run(close_grant(closing))
        if not isinstance(outcome, Closed):
            return False
        sealed.closed = True
        sealed.held = set(closing.held) | set(grant.bills)
        log_event("grant-closed", grant=grant.id, held=len(closing.held))
        return True

    async def _ask_open(self, grant: WitnessedGrant) -> None:
        """Ask engines what became of attempts whose holder is dead."""
        for seq, intent in list(grant.open.items()):
            upstream = self._upstreams.known.get(intent.upstream)
            if upstream is None or upstream.kind != "engine":
                continue
            status = await self._engines.ask(upstream.url, intent.stream)
            if status.state is StreamState.UNKNOWN:
                status = await self._engines.cancel(upstream.url, intent.stream)
            attempt = AttemptId(grant.id, seq)
            if status.state is StreamState.FINISHED:
                billed = min(status.tokens, intent.reserve)
                self._witness.resolve(attempt, intent.request, billed)
            elif status.state is StreamState.CANCELLED:
                self._witness.resolve(attempt, intent.request, None)

    async def _resolve(self, grant: WitnessedGrant, ended: set[int]) -> bool:
        bills = [grant.bills[seq] for seq in ended if seq in grant.bills]
        resolutions = [
            Resolution(seq, grant.bills[seq].tokens if seq in grant.bills else None)
            for seq in ended
        ]
        outcome = await self._platform.run(
            resolve_held(
                grant.workspace, grant.id, resolutions, bills, self._next_segment()
            )
        )
        return isinstance(outcome, Resolved)

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
    ) -> KeptAnswer | Refusal | None:
        """Pass on the answer of an attempt whose instance died.

        :returns: ``None`` if there is no such attempt, or it turned out not to run
        """
        found = await self._find_attempt(call.request)
        if isinstance(found, Refusal) or found is None:
            return found
        upstream = self._upstreams.known.get(found.upstream)
        if upstream is None:
            return None
        answer = Answer(found.stream)
        await self._replay(upstream.url, answer, sink)
        if not answer.whole:
            if not answer.frames and call.repeatable:
                return None
            return Refusal(
                RefusalCode.OUTCOME_UNKNOWN,
                "the request runs or ran, and its answer cannot be had now",
                Outcome.UNKNOWN,
                RETRY_SECONDS,
            )
        last = answer.frames[-1]
        tokens = last.prompt_tokens + last.output_tokens
        await self._report_end(found, call.request, tokens)
        sink.pass_on(last)
        log_event("request-taken-over", request=call.request, attempt=found.attempt)
        return KeptAnswer(call.content, tokens, tuple(answer.frames))

    async def _find_attempt(self, request: RequestName) -> _Found | Refusal | None:
        own = self._witness.find_request(request)
        if own and not self._peers.is_usable(own[-1].holder):
            newest = own[-1]
            attempt = AttemptId(newest.grant, newest.intent.seq)
            return _Found(None, attempt, newest.intent.upstream, newest.intent.stream)
        found = await self._peers.find_request(request)
        if own or any(answer.holder_alive for _, answer in found):
            return Refusal(
                RefusalCode.REQUEST_RUNNING,
                "a request with this key is running at another instance",
                Outcome.UNKNOWN,
                RETRY_SECONDS,
            )
        for peer, answer in found:
            if answer.attempt is not None:
                return _Found(peer, answer.attempt, answer.upstream, answer.stream)
        return None

    async def _replay(self, url: str, answer: Answer, sink: FrameSink) -> None:
        def take(frame: Frame) -> None:
            answer.take(frame)
            if answer.frames and answer.frames[-1] is frame and not frame.finish:
                sink.pass_on(frame)

        for _ in range(MOST_RESUMES):
            try:
                await self._engines.resume(url, answer.stream, answer.next_offset, take)
            except (RefusedError, MayHaveRunError):
                return
            if answer.whole:
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
