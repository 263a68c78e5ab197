"""The request task: one request's way from the endpoint to its bill."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from pondquay.requests.lifecycle import create_lifecycle
from pondquay_daemon.calls import (
    CachedResponse,
    Call,
    CompletionCall,
    Delivered,
    FrameSink,
    PlainCall,
    Refusal,
    RefusalCode,
)
from pondquay_daemon.completionruns import CompletionRuns
from pondquay_daemon.progress import RETRY_SECONDS, Progress
from pondquay_daemon.requestattempts import Attempts
from pondquay_daemon.requestindex import RequestIndex
from pondquay_daemon.serviceruns import ServiceRuns
from pondquay_daemon.tasks import Task

if TYPE_CHECKING:
    from pondquay_daemon.configuration import ConfigurationTask
    from pondquay_daemon.engines import Engines
    from pondquay_daemon.grants import GrantTask
    from pondquay_daemon.metrics import Metrics
    from pondquay_daemon.recovery import Recovery
    from pondquay_daemon.requestclaims import ClaimTask
    from pondquay_daemon.services import Services
    from pondquay_daemon.upstreams import Upstreams


class Runner(Task):
    """Takes requests in, has them claimed and run, and keeps their answers."""

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
        self._recovery = recovery
        self._configuration = configuration
        self.index = RequestIndex()
        self._attempts = Attempts(reactor, grants, upstreams)
        self._completions = CompletionRuns(
            reactor, self._attempts, grants, engines, recovery, self.index, metrics
        )
        self._service_runs = ServiceRuns(
            self._attempts, grants, services, self.index, metrics
        )
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

    async def call_service(self, call: PlainCall) -> CachedResponse | Refusal:
        """Make a call to a plain service, or find the answer it already has."""
        known = self._recall(call)
        if known is not None:
            return known
        self.index.begin(call)
        self.index.found_none(call)
        try:
            progress = Progress(call, create_lifecycle(repeatable=call.repeatable))
            refusal = await self._claims.claim(progress)
            response = refusal or await self._service_runs.run(progress, call)
            await self._claims.end(progress)
            return response
        finally:
            self.index.end(call)

    def _recall(self, call: Call) -> CachedResponse | Refusal | None:
        if self.stopping or not self._configuration.loaded:
            return Refusal(
                RefusalCode.NOT_READY,
                "this instance takes no requests now",
                retry_after=RETRY_SECONDS,
            )
        return self.index.find(call)

    # Chat completions

    async def _complete_new(
        self, call: CompletionCall, sink: FrameSink
    ) -> Delivered | Refusal:
        progress = Progress(call, create_lifecycle(repeatable=call.repeatable))
        if call.keyed:
            taken_over = await self._recovery.take_over(call, sink)
            if taken_over is not None:
                return self._keep_taken_over(call, taken_over)
        self.index.found_none(call)
        refusal = await self._claims.claim(progress)
        if refusal is not None:
            return refusal
        self._attempts.note_request()
        result = await self._completions.run(progress, call, sink)
        await self._claims.end(progress)
        return result

    def _keep_taken_over(
        self, call: CompletionCall, taken_over: CachedResponse | Refusal
    ) -> Delivered | Refusal:
        if isinstance(taken_over, Refusal):
            return taken_over
        self.index.keep(call, taken_over)
        return Delivered(taken_over.tokens)
