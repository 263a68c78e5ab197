"""The request task: one request's way from the endpoint to its bill."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from returns.result import Failure

from pondquay.names import name_stream
from pondquay.requests.lifecycle import Outcome, begin_request
from pondquay.routing.admission import ORDER
from pondquay.routing.policies import Work
from pondquay.routing.retries import RetryBudget
from pondquay.routing.upstreams import ENGINE, SERVICE
from pondquay.streams import Answer, Frame, Verdict
from pondquay_daemon.calls import (
    Call,
    CompletionCall,
    Delivered,
    FrameSink,
    KeptAnswer,
    PlainCall,
    Refusal,
    RefusalCode,
)
from pondquay_daemon.engines import Completion, StreamState
from pondquay_daemon.errors import MayHaveRunError, NotSentError, RefusedError
from pondquay_daemon.logs import Level, log_event
from pondquay_daemon.progress import (
    RETRY_SECONDS,
    Progress,
    Started,
    refuse_budget,
    refuse_unfinished,
)
from pondquay_daemon.requestindex import RequestIndex
from pondquay_daemon.tasks import Task, sleep
from pondquay_daemon.upstreams import Wish

if TYPE_CHECKING:
    from pondquay_daemon.configuration import ConfigurationTask
    from pondquay_daemon.engines import Engines
    from pondquay_daemon.grants import GrantTask
    from pondquay_daemon.metrics import Metrics
    from pondquay_daemon.recovery import Recovery
    from pondquay_daemon.requestclaims import ClaimTask
    from pondquay_daemon.services import ServiceAnswer, Services
    from pondquay_daemon.upstreams import Upstreams

MOST_ATTEMPTS = 3
MOST_RESUMES = 3
RESUME_PAUSE_SECONDS = 0.2


class Runner(Task):
    """Runs requests: has them claimed, places, reserves, dispatches, settles."""

    def __init__(
        self,
        reactor: Any,
        claims: ClaimTask,
        grants: GrantTask,
        upstreams: Upstreams,
        engines: Engines,
        services: Services,
        recovery: Recovery,
        configuration: ConfigurationTask,
        metrics: Metrics,
    ) -> None:
        super().__init__(reactor)
        self._claims = claims
        self._grants = grants
        self._upstreams = upstreams
        self._engines = engines
        self._services = services
        self._recovery = recovery
        self._configuration = configuration
        self._metrics = metrics
        self._retries = RetryBudget()
        self.index = RequestIndex()
        self.stopping = False

    def running(self) -> int:
        """Return how many requests are in progress."""
        return len(self.index.running)

    async def complete(
        self, call: CompletionCall, sink: FrameSink
    ) -> Delivered | Refusal:
        """Run a chat completion, or find the answer it already has."""
        known = self._recall(call)
        if isinstance(known, Refusal):
            return known
        if known is not None:
            for frame in known.frames:
                sink.pass_on(frame)
            return Delivered(known.tokens)
        self.index.begin(call)
        try:
            return await self._complete_new(call, sink)
        finally:
            self.index.end(call)

    async def call_service(self, call: PlainCall) -> KeptAnswer | Refusal:
        """Make a call to a plain service, or find the answer it already has."""
        known = self._recall(call)
        if known is not None:
            return known
        self.index.begin(call)
        self.index.found_none(call)
        try:
            progress = Progress(call, begin_request(repeatable=call.repeatable))
            refusal = await self._claims.claim(progress)
            answer = refusal or await self._call_until_done(progress, call)
            await self._claims.end(progress)
            return answer
        finally:
            self.index.end(call)

    def _recall(self, call: Call) -> KeptAnswer | Refusal | None:
        if self.stopping or not self._configuration.loaded:
            return Refusal(
                RefusalCode.NOT_READY,
                "this instance takes no requests now",
                retry_after=RETRY_SECONDS,
            )
        return self.index.find(call)

    # Getting started

    async def _start(self, progress: Progress, wish: Wish) -> Started | Refusal:
        """Take a place and reserve what the attempt can cost."""
        call = progress.call
        if not self._upstreams.is_served(wish):
            return progress.refusal(
                RefusalCode.UPSTREAM_FAILED,
                f"no upstream serves {wish.target} now",
                RETRY_SECONDS,
            )
        placement = await self._upstreams.place(wish, call.priority, call.wait)
        if placement is None:
            return progress.refusal(
                RefusalCode.OVER_CAPACITY, "no place came free in time", RETRY_SECONDS
            )
        reserved = await self._grants.reserve(
            call.request,
            wish.work.tokens,
            placement.upstream.name,
            placement.upstream.boot,
        )
        if isinstance(reserved, Failure):
            self._upstreams.release(placement)
            return refuse_budget(progress, reserved.failure())
        return Started(placement, reserved.unwrap())

    def _may_try_again(self, progress: Progress) -> bool:
        """Decide whether another attempt is allowed and affordable."""
        progress.attempts += 1
        if progress.attempts >= MOST_ATTEMPTS:
            return False
        if progress.life.outcome() is Outcome.UNKNOWN and not progress.call.repeatable:
            return False
        return self._retries.spend()

    # Chat completions

    async def _complete_new(
        self, call: CompletionCall, sink: FrameSink
    ) -> Delivered | Refusal:
        progress = Progress(call, begin_request(repeatable=call.repeatable))
        if call.keyed:
            taken_over = await self._recovery.take_over(call, sink)
            if taken_over is not None:
                return self._keep_taken_over(call, taken_over)
        self.index.found_none(call)
        refusal = await self._claims.claim(progress)
        if refusal is not None:
            return refusal
        self._retries.earn()
        result = await self._complete_until_done(progress, call, sink)
        await self._claims.end(progress)
        return result

    def _keep_taken_over(
        self, call: CompletionCall, taken_over: KeptAnswer | Refusal
    ) -> Delivered | Refusal:
        if isinstance(taken_over, Refusal):
            return taken_over
        self.index.keep(call, taken_over)
        return Delivered(taken_over.tokens)

    async def _complete_until_done(
        self, progress: Progress, call: CompletionCall, sink: FrameSink
    ) -> Delivered | Refusal:
        while True:
            rank = ORDER.index(call.priority)
            work = Work(call.reserve, call.prefix, rank)
            wish = Wish(
                call.request,
                ENGINE,
                call.model,
                call.workspace.partner,
                work,
                frozenset(progress.failed),
            )
            started = await self._start(progress, wish)
            if isinstance(started, Refusal):
                return started
            answer = Answer(started.attempt.stream)
            try:
                await self._run_stream(progress, call, started, answer, sink)
            finally:
                self._upstreams.release(started.placement)
            if answer.whole:
                return await self._finish(progress, call, started, answer, sink)
            if answer.frames or not self._may_try_again(progress):
                return refuse_unfinished(progress)
            self._metrics.retries.inc()

    async def _run_stream(
        self,
        progress: Progress,
        call: CompletionCall,
        started: Started,
        answer: Answer,
        sink: FrameSink,
    ) -> None:
        """Run one attempt until its answer is whole or it is given up."""
        upstream = started.placement.upstream
        pieces: list[float] = []
        completion = Completion(
            call.model,
            started.placement.version,
            call.messages,
            call.max_tokens,
            call.priority.value,
            started.attempt.boot,
        )

        def take(frame: Frame) -> None:
            verdict = answer.take(frame)
            pieces.append(self.clock.seconds())
            if verdict is not Verdict.PASS_ON:
                self._metrics.dropped_frames.labels(verdict.value).inc()
            elif not frame.finish:
                sink.pass_on(frame)

        progress.life.dispatch()
        stream = started.attempt.stream
        try:
            await self._engines.start(upstream.url, stream, completion, take)
        except (NotSentError, RefusedError) as error:
            await self._give_up_unstarted(progress, started, error)
            return
        except MayHaveRunError as error:
            self._log_failure(call, upstream.name, error)
        if not answer.whole:
            await self._resume(started, answer, take)
        if answer.whole:
            upstream.circuit.succeed()
            if len(pieces) > 1:
                upstream.observe_pace((pieces[-1] - pieces[0]) / (len(pieces) - 1))
            progress.life.finish()
            return
        await self._give_up_started(progress, started)

    async def _resume(self, started: Started, answer: Answer, take: Any) -> None:
        """Fetch what is missing of an answer from the engine that has it."""
        url = started.placement.upstream.url
        failures = 0
        while failures < MOST_RESUMES and not answer.whole:
            await sleep(RESUME_PAUSE_SECONDS * failures, self.clock)
            before = answer.next_offset
            try:
                await self._engines.resume(url, answer.stream, before, take)
                self._metrics.resumes.inc()
            except RefusedError:
                return
            except MayHaveRunError:
                failures += 1
                continue
            failures = 0 if answer.next_offset > before else failures + 1

    async def _give_up_unstarted(
        self, progress: Progress, started: Started, error: Exception
    ) -> None:
        """Give back all that was taken for an attempt that certainly did not run."""
        upstream = started.placement.upstream
        self._log_failure(progress.call, upstream.name, error)
        progress.failed.add(upstream.name)
        upstream.circuit.fail(self.clock.seconds())
        progress.life.refuse()
        await self._grants.settle(started.attempt, None)

    async def _give_up_started(self, progress: Progress, started: Started) -> None:
        """End an attempt that may have run, for good if the engine answers."""
        upstream = started.placement.upstream
        progress.failed.add(upstream.name)
        upstream.circuit.fail(self.clock.seconds())
        answer = await self._engines.cancel(upstream.url, started.attempt.stream)
        status = answer.seen_from(started.attempt.boot)
        if status.state is StreamState.CANCELLED and not status.started:
            progress.life.refuse()
        else:
            progress.life.lose()
        if status.state is StreamState.CANCELLED:
            await self._grants.settle(started.attempt, None)
        elif status.state is StreamState.FINISHED:
            await self._grants.settle(started.attempt, status.tokens)
        else:
            self._recovery.watch(started.attempt, upstream.name)

    async def _finish(
        self,
        progress: Progress,
        call: CompletionCall,
        started: Started,
        answer: Answer,
        sink: FrameSink,
    ) -> Delivered:
        """Settle, then let the last piece go: its bill is safe before it leaves."""
        last = answer.frames[-1]
        used = last.prompt_tokens + last.output_tokens
        charged = await self._grants.settle(started.attempt, used)
        tokens = used if charged is None else charged
        sink.pass_on(last)
        self.index.keep(call, KeptAnswer(call.content, tokens, tuple(answer.frames)))
        self._metrics.billed_tokens.labels(call.request.workspace).inc(tokens)
        log_event(
            "request-done",
            Level.DEBUG,
            request=call.request,
            workspace=call.request.workspace,
            upstream=started.placement.upstream.name,
            tokens=tokens,
        )
        return Delivered(tokens)

    # Plain services

    async def _call_until_done(
        self, progress: Progress, call: PlainCall
    ) -> KeptAnswer | Refusal:
        while True:
            wish = Wish(
                call.request,
                SERVICE,
                call.service,
                call.workspace.partner,
                Work(call.price, rank=ORDER.index(call.priority)),
                frozenset(progress.failed),
            )
            started = await self._start(progress, wish)
            if isinstance(started, Refusal):
                return started
            try:
                answer = await self._call_once(progress, call, started)
            finally:
                self._upstreams.release(started.placement)
            if answer is not None:
                return await self._finish_call(progress, call, started, answer)
            if not self._may_try_again(progress):
                return refuse_unfinished(progress)
            self._metrics.retries.inc()

    async def _call_once(
        self, progress: Progress, call: PlainCall, started: Started
    ) -> ServiceAnswer | None:
        upstream = started.placement.upstream
        progress.life.dispatch()
        name = name_stream(call.request, started.attempt.id)
        try:
            answer = await self._services.call(upstream.url, name, call.call)
        except NotSentError as error:
            await self._give_up_unstarted(progress, started, error)
            return None
        except MayHaveRunError as error:
            self._log_failure(call, upstream.name, error)
            progress.failed.add(upstream.name)
            upstream.circuit.fail(self.clock.seconds())
            progress.life.lose()
            return None
        upstream.circuit.succeed()
        progress.life.finish()
        return answer

    async def _finish_call(
        self,
        progress: Progress,
        call: PlainCall,
        started: Started,
        answer: ServiceAnswer,
    ) -> KeptAnswer:
        await self._grants.settle(started.attempt, call.price)
        kept = KeptAnswer(
            call.content,
            call.price,
            status=answer.status,
            body=answer.body,
            headers=dict(answer.headers),
        )
        self.index.keep(call, kept)
        self._metrics.billed_tokens.labels(call.request.workspace).inc(call.price)
        return kept

    def _log_failure(self, call: Call, upstream: str, error: Exception) -> None:
        log_event(
            "attempt-failed",
            Level.WARNING,
            request=call.request,
            workspace=call.request.workspace,
            upstream=upstream,
            error=error,
        )
