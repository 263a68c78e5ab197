"""Runs chat completions at engines, resumes their streams, and retries failures."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from pondquay.routing.admission import PRIORITY_ORDER
from pondquay.routing.policies import RequestProfile
from pondquay.routing.upstreams import ENGINE
from pondquay.streams import Frame, Response, Verdict
from pondquay_daemon.calls import CachedResponse, Delivered, Refusal
from pondquay_daemon.engines import Completion, StreamState
from pondquay_daemon.errors import MayHaveRunError, NotSentError, RefusedError
from pondquay_daemon.logs import Level, log_event
from pondquay_daemon.progress import refuse_unfinished
from pondquay_daemon.tasks import sleep
from pondquay_daemon.upstreams import UpstreamRequirements

if TYPE_CHECKING:
    from twisted.internet.interfaces import IReactorTime

    from pondquay_daemon.calls import CompletionCall, FrameSink
    from pondquay_daemon.engines import Engines
    from pondquay_daemon.grants import GrantTask
    from pondquay_daemon.metrics import Metrics
    from pondquay_daemon.progress import Progress, StartedAttempt
    from pondquay_daemon.recovery import Recovery
    from pondquay_daemon.requestattempts import Attempts
    from pondquay_daemon.requestindex import RequestIndex

MAX_RESUMES = 3
RESUME_BACKOFF_SECONDS = 0.2


class CompletionRunner:
    """Runs chat completions; unrepeatable requests must be claimed first."""

    def __init__(
        self,
        clock: IReactorTime,
        attempts: Attempts,
        grants: GrantTask,
        engines: Engines,
        recovery: Recovery,
        index: RequestIndex,
        metrics: Metrics,
    ) -> None:
        self._clock = clock
        self._attempts = attempts
        self._grants = grants
        self._engines = engines
        self._recovery = recovery
        self._index = index
        self._metrics = metrics

    async def run(
        self, progress: Progress, call: CompletionCall, sink: FrameSink
    ) -> Delivered | Refusal:
        """Run a completion to its end, with retries at other upstreams if possible."""
        while True:
            rank = PRIORITY_ORDER.index(call.priority)
            work = RequestProfile(call.reserve, call.prefix, rank)
            requirements = UpstreamRequirements(
                call.request,
                ENGINE,
                call.model,
                call.workspace.partner,
                work,
                frozenset(progress.failed),
            )
            started = await self._attempts.start(progress, requirements)
            if isinstance(started, Refusal):
                return started
            response = Response(started.attempt.stream)
            try:
                await self._run_stream(progress, call, started, response, sink)
            finally:
                self._attempts.release(started)
            if response.complete:
                return await self._finish(progress, call, started, response, sink)
            if response.frames or not self._attempts.may_try_again(progress):
                return refuse_unfinished(progress)
            self._metrics.retries.inc()

    async def _run_stream(
        self,
        progress: Progress,
        call: CompletionCall,
        started: StartedAttempt,
        response: Response,
        sink: FrameSink,
    ) -> None:
        """Run one attempt until its response is complete or it is given up."""
        upstream = started.placement.upstream
        frame_times: list[float] = []
        completion = Completion(
            call.model,
            started.placement.version,
            call.messages,
            call.max_tokens,
            call.priority.value,
            started.attempt.boot,
        )

        def on_frame(frame: Frame) -> None:
            verdict = response.add_frame(frame)
            frame_times.append(self._clock.seconds())
            if verdict is not Verdict.PASS_ON:
                self._metrics.dropped_frames.labels(verdict.value).inc()
            elif not frame.finish:
                sink.forward(frame)

        progress.lifecycle.dispatch()
        stream = started.attempt.stream
        try:
            await self._engines.start(upstream.url, stream, completion, on_frame)
        except (NotSentError, RefusedError) as error:
            await self._attempts.give_up_unstarted(progress, started, error)
            return
        except MayHaveRunError as error:
            self._attempts.log_failure(call, started, error)
        if not response.complete:
            await self._resume(started, response, on_frame)
        if response.complete:
            upstream.circuit.succeed()
            if len(frame_times) > 1:
                upstream.observe_pace(
                    (frame_times[-1] - frame_times[0]) / (len(frame_times) - 1)
                )
            progress.lifecycle.finish()
            return
        await self._give_up_started(progress, started)

    async def _resume(
        self, started: StartedAttempt, response: Response, on_frame: Any
    ) -> None:
        """Fetch the missing frames of a response from the engine that runs it."""
        url = started.placement.upstream.url
        failures = 0
        while failures < MAX_RESUMES and not response.complete:
            await sleep(RESUME_BACKOFF_SECONDS * failures, self._clock)
            offset = response.next_offset
            try:
                await self._engines.resume(url, response.stream, offset, on_frame)
                self._metrics.resumes.inc()
            except RefusedError:
                return
            except MayHaveRunError:
                failures += 1
                continue
            failures = 0 if response.next_offset > offset else failures + 1

    async def _give_up_started(
        self, progress: Progress, started: StartedAttempt
    ) -> None:
        """Cancel an attempt that may have run, and settle it if its outcome is known.

        Otherwise, the recovery task cancels it again later.
        """
        upstream = started.placement.upstream
        self._attempts.avoid(progress, started)
        response = await self._engines.cancel(upstream.url, started.attempt.stream)
        status = response.for_boot(started.attempt.boot)
        if status.state is StreamState.CANCELLED and not status.started:
            progress.lifecycle.mark_not_run()
        else:
            progress.lifecycle.mark_unknown()
        if status.state is StreamState.CANCELLED:
            await self._grants.settle(started.attempt, None)
        elif status.state is StreamState.FINISHED:
            await self._grants.settle(started.attempt, status.tokens)
        else:
            self._recovery.track_unresolved(started.attempt, upstream.name)

    async def _finish(
        self,
        progress: Progress,
        call: CompletionCall,
        started: StartedAttempt,
        response: Response,
        sink: FrameSink,
    ) -> Delivered:
        """Settle an attempt, then forward its last frame.

        The bill is settled first, so that each complete response is billed.
        """
        last = response.frames[-1]
        used = last.prompt_tokens + last.output_tokens
        charged = await self._grants.settle(started.attempt, used)
        tokens = used if charged is None else charged
        sink.forward(last)
        self._index.cache(
            call, CachedResponse(call.content_digest, tokens, tuple(response.frames))
        )
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
